package process_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/internal/testcluster"
	"github.com/google/go-cmp/cmp"
)

// An entry that is not the owner explains a waiting job and a described one, and nothing changes.
func TestAnyEntryExplainsAJob(t *testing.T) {
	withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
		for _, job := range []dispatch.Job{newJob("running", 16, 20_000), newJob("waiting", 1, 1000)} {
			if outcome := submit(t, system, 0, job); outcome != submission.Accepted {
				t.Fatal(outcome)
			}
			time.Sleep(time.Second)
		}
		entry := (ownerIndex(t, system) + 1) % 3
		address := fmt.Sprintf("10.0.0.%d:1", entry+1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stream, err := system.Net.Dial(ctx, "operator", address)
		if err != nil {
			t.Fatal(err)
		}
		conn := link.New(ctx, stream, address, metrics.New(), link.RejectCalls)
		defer conn.Close()
		described, never, bad := newJob("described", 1, 1000), newJob("never", 1, 1000), newJob("bad", 0, 1000)
		never.Steps[0].Label = "none"
		type want struct {
			Known       bool
			Place, Jobs int
			Obstacle    dispatch.Obstacle
			Starts      bool // at a known time
		}
		for _, c := range []struct {
			what  string
			asked link.Explain
			want  want
		}{
			{"a waiting job", link.Explain{ID: "waiting"}, want{true, 1, 2, dispatch.ObstacleResources, true}},
			{"a described job", link.Explain{Job: &described}, want{true, 2, 3, dispatch.ObstacleResources, true}},
			{"a described job that fits nowhere", link.Explain{Job: &never}, want{true, 2, 3, dispatch.ObstacleLabel, false}},
			{"the described job is not known", link.Explain{ID: "described"}, want{}},
			{"a waiting job, as before", link.Explain{ID: "waiting"}, want{true, 1, 2, dispatch.ObstacleResources, true}},
		} {
			var explained link.Explained
			if err := conn.Call(ctx, link.MethodExplain, c.asked, &explained); err != nil {
				t.Fatal(err)
			}
			e := explained.Explanation
			got := want{Known: explained.Known, Place: e.Place, Jobs: e.Jobs}
			if len(e.Steps) > 0 {
				got.Obstacle, got.Starts = e.Steps[0].Candidates[0].Obstacle, !e.Steps[0].Start.IsZero()
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", c.what, diff)
			}
		}
		err = conn.Call(ctx, link.MethodExplain, link.Explain{Job: &bad}, nil)
		if err == nil || !strings.Contains(err.Error(), `job "bad"`) {
			t.Errorf("a bad job: %v", err)
		}
		err = conn.Call(ctx, link.MethodExplain, link.Explain{ID: "waiting", Forwarded: true}, nil)
		if err == nil || !strings.Contains(err.Error(), "not the owner") {
			t.Errorf("a call that was passed on already: %v", err)
		}
		time.Sleep(40 * time.Second)
		if starts := system.Checker.Starts(); starts != 17 {
			t.Errorf("%d starts of 17 tasks", starts)
		}
		if _, outcome, _ := system.Service(entry).State(ctx, "described"); outcome == submission.Accepted {
			t.Error("the described job was submitted")
		}
	})
}
