package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// Once an agent has told the owner that its worker's leases are over, the owner starts the tasks
// elsewhere. A worker that answers again gets no lease from an earlier grant, nor from the reply.
func TestAWorkerWhoseLeasesAreOverGetsNoLeaseFromAnEarlierGrant(t *testing.T) {
	for _, inSession := range []bool{true, false} {
		t.Run(fmt.Sprintf("in a session: %v", inSession), func(t *testing.T) {
			withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
				near, far := net.Pipe()
				ctx, cancel := context.WithCancel(t.Context())
				conn := link.New(ctx, near, "owner", metrics.New(), link.RejectCalls)
				link.New(ctx, far, "agent", metrics.New(), func(_ context.Context, method string, _ json.RawMessage) (any, error) {
					onLoop(t, r, func() { r.silent = false }) // the worker answers while the message is in flight
					if method == link.MethodAttach {
						return link.AttachReply{Epoch: 1}, nil
					}
					return link.ReportReply{Grant: 3500}, nil
				})
				s := r.session
				onLoop(t, r, func() {
					if s.conn = conn; !inSession {
						r.session = nil
					}
					r.silent, r.leases.grantedUntil = true, time.Now().Add(-time.Second)
				})
				var err error
				if inSession {
					_, err = r.reportOnce(ctx, s)
				} else {
					_, err = r.attach(ctx, conn, 1)
				}
				if err != nil {
					t.Error(err)
				}
				onLoop(t, r, func() {
					if call, _ := r.nextPoll(0); call.LeaseDeadline != 0 {
						t.Errorf("a lease until %d", call.LeaseDeadline)
					}
				})
				cancel()
			})
		})
	}
}

// An agent process that no worker has registered with tells each owner once, as soon as the leases that its
// predecessor may have given are over.
func TestAnAgentWithoutAWorkerTellsEachOwnerOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := loop.New(ctx)
		r := New(Settings{Name: "a", AgentIncarnation: "p2"}, Worker{}, l, zap.NewNop(), metrics.New())
		dueFor := func(epoch uint64) (due bool) {
			onLoop(t, r, func() { due = r.sessionDue(epoch) })
			return due
		}
		time.Sleep(initialLeaseBound)
		if dueFor(1) {
			t.Error("the agent speaks before the leases of its predecessor are over")
		}
		time.Sleep(time.Millisecond)
		if !dueFor(1) {
			t.Error("the agent does not tell the first owner")
		}
		near, far := net.Pipe()
		conn := link.New(ctx, near, "owner", metrics.New(), link.RejectCalls)
		var told link.Attach
		link.New(ctx, far, "agent", metrics.New(), func(_ context.Context, _ string, params json.RawMessage) (any, error) {
			return link.AttachReply{Epoch: 1}, json.Unmarshal(params, &told)
		})
		if s, err := r.attach(ctx, conn, 1); s != nil || err != nil {
			t.Errorf("session %v, %v", s, err)
		}
		want := link.Attach{Vacant: true, Epoch: 1, Session: 1, Registration: dispatch.Registration{Agent: "a", AgentIncarnation: "p2"}}
		if diff := cmp.Diff(want, told); diff != "" {
			t.Errorf("the owner was told (-want +got):\n%s", diff)
		}
		if dueFor(1) || !dueFor(2) {
			t.Error("the agent tells the same owner again, or not the next one")
		}
		r.Register(dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "w", StartedAt: 5}, Service: "s"}, 1)
		if !dueFor(1) {
			t.Error("the agent does not attach for a worker that has registered")
		}
		cancel()
		l.Wait()
	})
}
