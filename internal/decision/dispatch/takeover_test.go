package dispatch

import "testing"

// An instance may list another run of a task than the one that was ordered there: a late
// order of before. The task must get on nevertheless.
func TestAnotherRunOfTheTaskIsListed(t *testing.T) {
	task := TaskName{"j", 0, 0, 0}
	prepare := func() *Scheduler {
		b := bookWith(offerOf("a", 8))
		b.Accept(began, jobOf("j", stepOf(1, 1)), nil)
		expect(t, "first start", startsOf(b.Plan(at(0))), []string{"j.0.0.0 1 a"})
		b.Ended(at(1), Incarnation{"a", 1}, []End{{Task: task, Run: 1, Reason: EndNotStarted}})
		expect(t, "second start", startsOf(b.Plan(at(1))), []string{"j.0.0.0 2 a"})
		return b
	}
	t.Run("by another life", func(t *testing.T) {
		b := prepare()
		next := offerOf("a", 8)
		next.Incarnation.StartedAt = 2
		b.Register(at(2), next)
		b.Registered(next.Incarnation)
		b.Reachable("a", true)
		b.Reconcile(at(2), next.Incarnation, []RunStatus{{Task: task, Run: 1}})
		expect(t, "stop", b.TakeStops(), []Stop{{"a", task, 1}})
		b.Ended(at(3), next.Incarnation, []End{{Task: task, Run: 1, Reason: EndNotStarted}})
		expect(t, "third start", startsOf(b.Plan(at(3))), []string{"j.0.0.0 3 a"})
		expect(t, "room taken", b.instances["a"].used, stepOf(1, 1).Need)
	})
	t.Run("by another agent", func(t *testing.T) {
		b := prepare()
		next := offerOf("a", 8)
		next.AgentIncarnation = "next"
		b.Register(at(2), next)
		b.Reconcile(at(2), next.Incarnation, []RunStatus{{Task: task, Run: 1}})
		expect(t, "stop of what is there", b.TakeStops(), []Stop{{"a", task, 1}})
		b.Ended(at(3), next.Incarnation, []End{{Sequence: 1, Task: task, Run: 1, Reason: EndStopped}})
		expect(t, "stop of what was ordered", b.TakeStops(), []Stop{{"a", task, 2}})
		expect(t, "before that is settled", startsOf(b.Plan(at(3))), []string(nil))
		b.Ended(at(4), next.Incarnation, []End{{Task: task, Run: 2, Reason: EndNotStarted}})
		expect(t, "third start", startsOf(b.Plan(at(4))), []string{"j.0.0.0 3 a"})
		expect(t, "room taken", b.instances["a"].used, stepOf(1, 1).Need)
	})
}

// A task that a successor finds running may have failed before on instances that it has
// not heard of. It starts again only once they have told, unless it is one that lasts.
func TestAFoundTaskWaitsForTheFailuresOfAll(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		b := New(2, 9)
		b.RestoreInstance(offerOf("a", 8))
		b.RestoreInstance(offerOf("b", 8))
		step := stepOf(1, 1)
		step.LongRunning = lasting
		job := jobOf("j", step)
		job.Policy.Attempts = 2
		b.Accept(began, job, nil)
		task := TaskName{"j", 0, 0, 0}
		b.Register(at(0), offerOf("a", 8))
		b.Reconcile(at(0), Incarnation{"a", 1}, []RunStatus{{Task: task, Run: 2}})
		b.Ended(at(1), Incarnation{"a", 1}, []End{{Sequence: 1, Task: task, Run: 2, Reason: EndFailed}})
		starts := startsOf(b.Plan(at(2)))
		if lasting {
			expect(t, "starts of one that lasts", len(starts), 1)
			continue
		}
		expect(t, "before b is heard of", starts, []string(nil))
		b.Register(at(3), offerOf("b", 8))
		b.Ended(at(3), Incarnation{"b", 1}, []End{{Sequence: 1, Task: task, Run: 1, Reason: EndFailed}})
		b.Reconcile(at(3), Incarnation{"b", 1}, nil)
		expect(t, "after two failures", startsOf(b.Plan(at(4))), []string(nil))
		expect(t, "open", b.find(task) != nil, false)
	}
}
