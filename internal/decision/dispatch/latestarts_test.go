package dispatch

import (
	"testing"
	"time"
)

// Guards against a second run of a task whose start was under way when its instance was lost.
func TestALateStartHoldsItsTask(t *testing.T) {
	const lease = 10 * time.Second
	name := TaskName{Job: "j"}
	incarnation := Incarnation{"a", 1}
	lost := func(s *Scheduler, process string) {
		s.HoldUnsettled("a", process, at(30))
		s.Lost(at(2), incarnation)
	}
	back := func(s *Scheduler, running ...RunStatus) {
		s.Register(at(3), registrationOf("a", 8))
		s.RowWritten(incarnation)
		s.Reconcile(at(3), incarnation, running)
	}
	replacement := registrationOf("c", 0)
	replacement.Agent, replacement.Incarnation.StartedAt = "agent-a", 2
	cases := []struct {
		name string
		do   func(s *Scheduler)
		from float64 // when the task starts elsewhere; 0: never
	}{
		{"nothing is known of the start", func(s *Scheduler) { lost(s, "") }, 30},
		{"it is settled", func(s *Scheduler) {
			s.Checkpointed(at(1), incarnation, []RunStatus{{Task: name, Run: 1, Settled: true}})
			lost(s, "")
		}, 2},
		{"it is settled by a full report", func(s *Scheduler) {
			s.Reconcile(at(1), incarnation, []RunStatus{{Task: name, Run: 1, Settled: true}})
			lost(s, "")
		}, 2},
		{"it is reported and not settled", func(s *Scheduler) {
			s.Reconcile(at(1), incarnation, []RunStatus{{Task: name, Run: 1}})
			lost(s, "")
		}, 30},
		{"another run is settled", func(s *Scheduler) {
			s.Checkpointed(at(1), incarnation, []RunStatus{{Task: name, Run: 2, Settled: true}})
			lost(s, "")
		}, 30},
		{"its agent process says that it is not under way", func(s *Scheduler) { lost(s, "p1") }, 2},
		{"another agent process says so", func(s *Scheduler) { lost(s, "p2") }, 30},
		{"its agent process says that it is under way", func(s *Scheduler) {
			s.HoldUnderWay(at(2), "a", "agent-a", []StartUnderWay{{Task: name, Run: 1, Remaining: 4000}})
			lost(s, "p1")
		}, 16},
		{"the instance is back without it", func(s *Scheduler) { lost(s, ""); back(s) }, 3},
		{"the instance is back with it", func(s *Scheduler) { lost(s, ""); back(s, RunStatus{Task: name, Run: 1}) }, 0},
		{"another worker has replaced it", func(s *Scheduler) { lost(s, ""); s.Register(at(3), replacement) }, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := schedulerWith(registrationOf("a", 8))
			s.SetLongestLease(lease)
			s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
			expect(t, "first start", startsOf(s.Plan(at(0))), []string{"j.0.0.0 1 a"})
			registerOn(s, registrationOf("b", 16))
			c.do(s)
			if c.from > 3 {
				expect(t, "before", startsOf(s.Plan(at(c.from-0.001))), []string(nil))
			}
			if c.from == 0 {
				expect(t, "while it runs", startsOf(s.Plan(at(40))), []string(nil))
				return
			}
			expect(t, "starts", len(s.Plan(at(c.from))), 1)
		})
	}
}

// Guards against a restore of an unsettled reservation that a new agent process reports: the process
// through which the start was ordered stays known.
func TestAnAgentDoesNotAnswerForItsPredecessor(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
	s.Plan(at(0))
	successor := registrationOf("a", 8)
	successor.AgentIncarnation = "p2"
	s.Register(at(1), successor)
	s.Reconcile(at(1), successor.Incarnation, []RunStatus{{Task: TaskName{Job: "j"}, Run: 1}})
	expect(t, "held", len(s.HoldUnsettled("a", "p2", at(30))), 1)
}

// Guards against a second run of a task whose start an incarnation has settled, while the next one would carry out a
// call that is still under way: until the call is too old, the task starts on that instance alone.
func TestACallUnderWayPinsItsTask(t *testing.T) {
	const lease = 10 * time.Second
	a := Incarnation{"a", 1}
	pinned := func(t *testing.T) *Scheduler {
		s := schedulerWithAStart(t)
		s.SetLongestLease(lease)
		registerOn(s, registrationOf("b", 64))
		s.Ended(at(1), a, []End{{Task: firstTask, Run: 1, Reason: EndNotStarted, UnderWay: 5000}})
		return s
	}
	t.Run("the instance has room", func(t *testing.T) {
		expect(t, "starts", startsOf(pinned(t).Plan(at(1))), []string{"j.0.0.0 2 a"})
	})
	full := registrationOf("a", 0)
	t.Run("it has no room", func(t *testing.T) {
		s := pinned(t)
		s.Register(at(1), full)
		s.Accept(at(1), jobOf("k", stepOf(1, 1)), nil)
		expect(t, "others", startsOf(s.Plan(at(1))), []string{"k.0.0.0 1 b"})
		expect(t, "while the call is under way", startsOf(s.Plan(at(9.9))), []string(nil))
		expect(t, "afterwards", startsOf(s.Plan(at(10))), []string{"j.0.0.0 2 b"})
	})
	t.Run("it does not answer", func(t *testing.T) {
		s := pinned(t)
		s.SetReachable("a", false)
		expect(t, "as it may have begun the run", startsOf(s.Plan(at(14))), []string(nil))
		s.HoldUnsettled("a", "", at(40))
		s.Lost(at(14), a)
		expect(t, "before the run has ended", startsOf(s.Plan(at(15.9))), []string(nil))
		expect(t, "afterwards", startsOf(s.Plan(at(16))), []string{"j.0.0.0 2 b"})
	})
	t.Run("the next owner", func(t *testing.T) {
		next := successorOf(pinned(t), true)
		next.SetLongestLease(lease)
		next.LostByID(at(2), "a")
		expect(t, "before the run has ended", startsOf(next.Plan(at(15.9))), []string(nil))
		expect(t, "afterwards", startsOf(next.Plan(at(18))), []string{"j.0.0.0 1000001 b"})
	})
	t.Run("an instance that is back", func(t *testing.T) {
		s := schedulerWithAStart(t)
		s.SetLongestLease(lease)
		registerOn(s, registrationOf("b", 64))
		s.HoldUnsettled("a", "", at(20))
		s.Lost(at(1), a)
		registerOn(s, full)
		expect(t, "while the call is under way", startsOf(s.Plan(at(13.9))), []string(nil))
		expect(t, "afterwards", startsOf(s.Plan(at(14))), []string{"j.0.0.0 2 b"})
	})
}
