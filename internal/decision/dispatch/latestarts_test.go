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
			s.HoldUnderWay(at(2), "a", "agent-a", []StartUnderWay{{Task: name, Run: 1, Remaining: 4000}}, lease)
			lost(s, "p1")
		}, 16},
		{"the instance is back without it", func(s *Scheduler) { lost(s, ""); back(s) }, 3},
		{"the instance is back with it", func(s *Scheduler) { lost(s, ""); back(s, RunStatus{Task: name, Run: 1}) }, 0},
		{"another worker has replaced it", func(s *Scheduler) { lost(s, ""); s.Register(at(3), replacement) }, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := schedulerWith(registrationOf("a", 8))
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
