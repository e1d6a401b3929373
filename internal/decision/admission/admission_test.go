package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func try(id string) Attempt {
	return Attempt{ID: id, Workspace: "w", Incarnation: "i", Deadline: start.Add(time.Minute)}
}

func TestVerdicts(t *testing.T) {
	late := try("late")
	late.Deadline = start
	other := try("other")
	other.Incarnation = "j"
	cases := []struct {
		name    string
		prepare func(*Controller)
		attempt Attempt
		want    Verdict
	}{
		{"slot free", func(*Controller) {}, try("a"), Admit},
		{"slots taken", func(g *Controller) { g.Admit(start, try("x")) }, try("a"), Queue},
		{"connections taken", func(g *Controller) { g.Admit(start, try("x")); g.Admit(start, try("y")) }, try("a"), Full},
		{"leaving", func(g *Controller) { g.Drain() }, try("a"), Draining},
		{"second copy", func(g *Controller) { g.Admit(start, try("a")) }, try("a"), Duplicate},
		{"late copy of a revoked one", func(g *Controller) { g.Revoke(start, "a") }, try("a"), Revoked},
		{"deadline passed", func(*Controller) {}, late, Expired},
		{"meant for another incarnation", func(*Controller) {}, other, StaleIncarnation},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := New("i", Limits{Slots: 1, MaxInFlight: 2})
			c.prepare(g)
			if got := g.Admit(start, c.attempt); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestRevokedAttemptNeverRuns(t *testing.T) {
	g := New("i", Limits{Slots: 1, MaxInFlight: 4})
	g.Admit(start, try("a"))
	g.Admit(start, try("b"))
	if got := g.Revoke(start, "b"); got != NeverStarted {
		t.Fatalf("waiting attempt: got %s", got)
	}
	if got := g.Revoke(start, "a"); got != Started {
		t.Fatalf("running attempt: got %s", got)
	}
	if next := g.Finish(start, try("a")); len(next) != 0 {
		t.Fatalf("revoked attempt was started: %v", next)
	}
}

func TestLateRequestsGiveWayToThoseThatCanStillMeetTheirTarget(t *testing.T) {
	g := New("i", Limits{Slots: 1, MaxInFlight: 3})
	queue := func(id string, target time.Duration) Verdict {
		attempt := try(id)
		attempt.TargetDeadline = start.Add(target)
		return g.Admit(start, attempt)
	}
	queue("running", time.Second)
	queue("late", -2*time.Second)
	queue("later", -time.Second)
	if got := queue("in time", time.Second); got != Queue {
		t.Fatalf("with late ones in a full queue: %s", got)
	}
	if got := g.Displaced(); len(got) != 1 || got[0] != "late" {
		t.Fatalf("displaced %v, want the one that is late the longest", got)
	}
	if got := g.Revoke(start, "late"); got != Rejected {
		t.Errorf("the displaced attempt is %s", got)
	}
	if next := g.Finish(start, try("running")); len(next) != 1 || next[0] != "in time" {
		t.Errorf("next is %v", next)
	}
	queue("second", time.Second)
	if got := queue("third", 2*time.Second); got != Queue {
		t.Errorf("the other late one did not give way: %s", got)
	}
	if got := queue("fourth", 2*time.Second); got != Full {
		t.Errorf("a queue of requests in time gave way: %s", got)
	}
}

// TestSeededInterleavings drives the gate by chance and compares it with what must
// always hold: never over the slots, and nothing that was refused or revoked runs.
func TestSeededInterleavings(t *testing.T) {
	for seed := range uint64(500) {
		if err := interleave(seed); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func interleave(seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 0))
	limits := Limits{Slots: 1 + random.IntN(4), MaxInFlight: 5}
	g := New("i", limits)
	now := start
	running, dead := map[string]bool{}, map[string]bool{}
	begin := func(id string) error {
		running[id] = true
		if dead[id] {
			return fmt.Errorf("%s runs after it was refused", id)
		}
		if len(running) > limits.Slots {
			return fmt.Errorf("%d run in %d slots", len(running), limits.Slots)
		}
		return nil
	}
	for range 200 {
		now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		id := fmt.Sprint(random.IntN(40))
		attempt := try(id)
		attempt.Workspace = fmt.Sprint(random.IntN(3))
		attempt.TargetDeadline = now.Add(time.Duration(random.IntN(400)-200) * time.Millisecond)
		switch random.IntN(4) {
		case 0, 1:
			verdict := g.Admit(now, attempt)
			for _, displaced := range g.Displaced() {
				dead[displaced] = true
			}
			switch verdict {
			case Admit:
				if err := begin(id); err != nil {
					return err
				}
			case Full, Expired, Draining, StaleIncarnation:
				dead[id] = true
			case Queue, Duplicate, Revoked:
			}
		case 2:
			if standing := g.Revoke(now, id); standing == NeverStarted || standing == Rejected {
				if running[id] {
					return fmt.Errorf("%s runs and was said not to", id)
				}
				dead[id] = true
			}
		case 3:
			if !running[id] {
				continue
			}
			delete(running, id)
			for _, next := range g.Finish(now, attempt) {
				if err := begin(next); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
