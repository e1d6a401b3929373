package dispatch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var firstTask = TaskName{Job: "j"}

// schedulerWithAStart returns a scheduler that has ordered the start of firstTask on instance a.
func schedulerWithAStart(t *testing.T) *Scheduler {
	t.Helper()
	s := schedulerWith(registrationOf("a", 8))
	s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
	expect(t, "start", startsOf(s.Plan(at(0))), []string{"j.0.0.0 1 a"})
	return s
}

// successorOf returns the scheduler of the next owner, which knows the job, instance b and, if it has a row,
// instance a.
func successorOf(s *Scheduler, hasRow bool) *Scheduler {
	next := New(2, 9)
	if hasRow {
		next.RestoreInstance(registrationOf("a", 8))
	}
	next.RestoreStarts(at(1), s.StoredStarts(at(1)), at(50))
	next.Accept(at(1), jobOf("j", stepOf(1, 1)), nil)
	registerOn(next, registrationOf("b", 8))
	return next
}

// Guards against a second run of a task whose start an earlier owner has ordered on an instance that the next
// owner never hears of.
func TestStartsPassToTheNextOwner(t *testing.T) {
	incarnation := Incarnation{"a", 1}
	settle := func(s *Scheduler) {
		s.Checkpointed(at(1), incarnation, []RunStatus{{Task: firstTask, Run: 1, Settled: true}})
	}
	lose := func(s *Scheduler) {
		s.HoldUnsettled("a", "", at(30))
		s.Lost(at(1), incarnation)
	}
	none := func(*Scheduler) {}
	cases := []struct {
		name   string
		before func(s *Scheduler)
		hasRow bool
		after  func(s *Scheduler)
		from   float64 // when the task starts on b
	}{
		{"the instance does not attach", none, true, lose, 30},
		{"the start was settled", settle, true, lose, 1},
		{"the run had ended", func(s *Scheduler) {
			s.Ended(at(1), incarnation, []End{{Sequence: 1, Task: firstTask, Run: 1, Reason: EndFailed}})
		}, true, lose, 1},
		{"the instance reports", none, true, func(s *Scheduler) {
			registerOn(s, registrationOf("a", 0))
			lose(s)
		}, 1},
		{"the agent process that has the order says that it is not under way", none, true, func(s *Scheduler) {
			s.HoldUnsettled("a", "p1", at(30))
			s.Lost(at(1), incarnation)
		}, 1},
		{"another agent process says so", none, true, func(s *Scheduler) {
			s.HoldUnsettled("a", "p2", at(30))
			s.Lost(at(1), incarnation)
		}, 30},
		{"the instance was lost before", lose, false, none, 31},
		{"the instance has no row any more", none, false, func(s *Scheduler) { s.FormerStartsLost(at(30)) }, 30},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := schedulerWithAStart(t)
			c.before(s)
			next := successorOf(s, c.hasRow)
			c.after(next)
			if c.from > 1 {
				expect(t, "before", startsOf(next.Plan(at(c.from-1.001))), []string(nil))
			}
			expect(t, "starts", startsOf(next.Plan(at(c.from))), []string{"j.0.0.0 1000001 b"})
		})
	}
}

// Guards against a second run of a task whose late start has begun: the instance, which an earlier owner has
// lost, reports a run of that owner's.
func TestALateStartThatHasBegunGoesOn(t *testing.T) {
	for _, stored := range []bool{true, false} {
		s := schedulerWithAStart(t)
		s.HoldUnsettled("a", "", at(30))
		s.Lost(at(1), Incarnation{"a", 1})
		if !stored {
			s = New(1, 7)
		}
		next := successorOf(s, false)
		if !stored {
			next.Plan(at(1)) // nobody knows of the start: the task starts on b
			next.Ended(at(2), Incarnation{"b", 1}, []End{{Sequence: 1, Task: firstTask, Run: 1000001, Reason: EndStopped}})
		}
		next.Register(at(3), registrationOf("a", 8))
		next.RowWritten(Incarnation{"a", 1})
		next.Reconcile(at(3), Incarnation{"a", 1}, []RunStatus{{Task: firstTask, Run: 1}})
		expect(t, "while the run goes on", startsOf(next.Plan(at(3))), []string(nil))
		var stops []Stop
		if !stored {
			stops = []Stop{{Instance: "a", Task: firstTask, Run: 1, Reason: StopSuperseded}}
		}
		expect(t, "stops", next.TakeStops(), stops)
		next.Ended(at(4), Incarnation{"a", 1}, []End{{Sequence: 1, Task: firstTask, Run: 1, Reason: EndStopped}})
		expect(t, "starts after its end", len(next.Plan(at(4))), 1)
	}
}

// A start that an earlier owner has ordered is stored by each owner until it is settled, held or over.
func TestStoredStarts(t *testing.T) {
	s := schedulerWithAStart(t)
	ordered := []StoredStart{{Task: "j.0.0.0", Run: 1, Instance: "a", Agent: "agent-a", Process: "p1"}}
	expect(t, "ordered", s.StoredStarts(at(1)), ordered)
	next := successorOf(s, true)
	expect(t, "by the next owner", next.StoredStarts(at(2)), ordered)
	next.HoldUnsettled("a", "", at(10.5))
	next.LostByID(at(2), "a")
	held := []StoredStart{{Task: "j.0.0.0", Run: 1, Instance: "a", Agent: "agent-a", Remaining: 9}}
	expect(t, "held", next.StoredStarts(at(2)), held)
	next.Plan(at(10.5))
	for _, start := range next.StoredStarts(at(10.5)) {
		if start.Instance == "a" {
			t.Errorf("%+v is over", start)
		}
	}
	s.Checkpointed(at(1), Incarnation{"a", 1}, []RunStatus{{Task: firstTask, Run: 1, Settled: true}})
	expect(t, "settled", s.StoredStarts(at(2)), []StoredStart(nil))
}

// A row that another writer has changed holds no task for longer than any start may last.
func TestAnOddRemainderIsBounded(t *testing.T) {
	for _, remaining := range []int64{1 << 62, 1e15, 51} {
		s := New(2, 9)
		s.RestoreStarts(at(0), []StoredStart{{Task: "j.0.0.0", Run: 1, Instance: "a", Remaining: remaining}}, at(50))
		s.dropExpiredLateStarts(at(50).Add(time.Second))
		if diff := cmp.Diff(0, s.LateStarts()); diff != "" {
			t.Errorf("%d: (-want +got):\n%s", remaining, diff)
		}
	}
}
