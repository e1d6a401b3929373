package owner

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
)

const testMaxLease = 10 * time.Second

// termWithAStart returns a term that has ordered a start on instance a through process p1 of its agent.
func termWithAStart(t *testing.T) (*term, dispatch.Incarnation) {
	t.Helper()
	current := newTestTerm(nil)
	current.elector.settings.MaxLease = testMaxLease
	current.scheduler.SetLongestLease(link.MaxStaleLease(testMaxLease))
	current.leaseExpiry, current.sessions, current.attached = map[string]time.Time{}, map[string]*session{}, map[string]bool{}
	incarnation := dispatch.Incarnation{ID: "a", StartedAt: 1}
	now := time.Now()
	current.scheduler.Register(now, dispatch.Registration{Incarnation: incarnation, Agent: "a", AgentIncarnation: "p1", Service: "s", Capacity: dispatch.Resources{Processors: 8000, Memory: 8000}})
	current.scheduler.RowWritten(incarnation)
	current.scheduler.Reconcile(now, incarnation, nil)
	job := dispatch.Job{ID: "j", Policy: dispatch.Policy{Service: "s"}, Steps: []dispatch.Step{{Count: 1, Need: dispatch.Resources{Processors: 1000}}}}
	current.scheduler.Accept(now, &job, nil)
	if starts := current.scheduler.Plan(now); len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	return current, incarnation
}

// Guards against a late start that outlasts the wait for it: the agent may send the start until its last grant is
// over, the worker may carry it out link.MaxCallDelay later, and its lease is the longest one.
func TestAnUnsettledStartIsWaitedFor(t *testing.T) {
	current, incarnation := termWithAStart(t)
	granted := time.Now()
	s := &session{incarnation: incarnation, leaseCountedFrom: granted}
	current.sessions["a"] = s
	current.disconnected("a", s)
	end := current.grantsEnd["a"]
	if end.Before(granted.Add(leaseTTL)) {
		t.Errorf("grants end %v after the last one, want %v at least", end.Sub(granted), leaseTTL)
	}
	current.holdUnsettled("a")
	current.scheduler.LostByID(time.Now(), "a")
	if got := current.scheduler.LateStarts(); got != 1 {
		t.Fatalf("%d late starts, want 1", got)
	}
	longest := link.MaxCallDelay + testMaxLease*100/98
	current.scheduler.Plan(end.Add(longest))
	if current.scheduler.LateStarts() != 1 {
		t.Error("the task is free before the run may have ended")
	}
	current.scheduler.Plan(end.Add(link.MaxUnfencedLease(testMaxLease)))
	if current.scheduler.LateStarts() != 0 {
		t.Error("the task is never free")
	}
}

// What the agent process says of its own starts counts, and nothing that it says of an earlier one's.
func TestAnAgentSaysWhatIsUnderWay(t *testing.T) {
	name := dispatch.TaskName{Job: "j"}
	cases := []struct {
		name, process string
		starts        []dispatch.StartUnderWay
		wants         time.Duration
	}{
		{"nothing", "p1", nil, 0},
		{"the start", "p1", []dispatch.StartUnderWay{{Task: name, Run: 1, Remaining: 2000}}, 2*time.Second + link.MaxStaleLease(testMaxLease)},
		{"nothing, as another process", "p2", nil, link.MaxUnfencedLease(testMaxLease)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			current, _ := termWithAStart(t)
			now := time.Now()
			current.holdUnderWay("a", "a", c.process, c.starts)
			current.scheduler.LostByID(now, "a")
			if held := current.scheduler.LateStarts() == 1; held != (c.wants > 0) {
				t.Fatalf("held: %v", held)
			}
			current.scheduler.Plan(now.Add(c.wants - time.Millisecond))
			if c.wants > 0 && current.scheduler.LateStarts() == 0 {
				t.Errorf("free before %v", c.wants)
			}
			current.scheduler.Plan(now.Add(c.wants + time.Second))
			if current.scheduler.LateStarts() > 0 {
				t.Errorf("still held after %v", c.wants)
			}
		})
	}
}
