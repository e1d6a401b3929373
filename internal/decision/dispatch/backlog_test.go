package dispatch

import "testing"

// A job waits until one of its tasks has begun. An order to an instance that is lost, or does not answer,
// begins nothing, nor does a start that is refused.
func TestJobsThatWait(t *testing.T) {
	incarnation, task := Incarnation{"a", 1}, TaskName{"j", 0, 0, 0}
	cases := []struct {
		name    string
		then    func(*Scheduler) // after a task was ordered
		waiting int
	}{
		{"ordered", func(*Scheduler) {}, 0},
		{"the instance does not answer", func(s *Scheduler) { s.SetReachable("a", false) }, 1},
		{"the instance answers again", func(s *Scheduler) { s.SetReachable("a", false); s.SetReachable("a", true) }, 0},
		{"the instance is lost", func(s *Scheduler) { s.Lost(at(1), incarnation) }, 1},
		{"the start was refused", func(s *Scheduler) {
			s.Ended(at(1), incarnation, []End{{Task: task, Run: 1, Reason: EndNotStarted}})
		}, 1},
		{"the run has failed", func(s *Scheduler) {
			s.Ended(at(1), incarnation, []End{{Sequence: 1, Task: task, Run: 1, Reason: EndFailed}})
		}, 0},
		{"the run was listed, and the instance is lost", func(s *Scheduler) {
			s.Lost(at(1), incarnation)
			registerOn(s, registrationOf("b", 8))
			s.Reconcile(at(2), Incarnation{"b", 1}, []RunStatus{{Task: task, Run: 2}})
			s.Lost(at(3), Incarnation{"b", 1})
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := schedulerWith(registrationOf("a", 8))
			s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
			expect(t, "before", s.Backlog()["q"], 1)
			s.Plan(at(0))
			c.then(s)
			expect(t, "waiting", s.Backlog()["q"], c.waiting)
		})
	}
}
