package dispatch

import "testing"

// Guards against a second start of a long-running task while its current run is at work: a new owner
// hears of the current run first and of the end of an earlier run after that.
func TestALateEndDoesNotFreeALongRunningTask(t *testing.T) {
	task := TaskName{"j", 0, 0, 0}
	for _, reason := range []EndReason{EndDone, EndFailed, EndStopped, EndExpired} {
		t.Run(reason.String(), func(t *testing.T) {
			s := New(2, 9)
			for _, id := range []string{"a", "b", "c"} {
				s.RestoreInstance(registrationOf(id, 8))
			}
			step := stepOf(1, 1)
			step.LongRunning = true
			s.Accept(startTime, jobOf("j", step), nil)
			for _, id := range []string{"a", "b", "c"} {
				s.Register(at(0), registrationOf(id, 8))
			}
			s.Reconcile(at(0), Incarnation{"b", 1}, []RunStatus{{Task: task, Run: 2}})
			s.Ended(at(0), Incarnation{"a", 1}, []End{{Sequence: 1, Task: task, Run: 1, Reason: reason}})
			s.Reconcile(at(0), Incarnation{"a", 1}, nil)
			s.Reconcile(at(0), Incarnation{"c", 1}, nil)
			expect(t, "starts", startsOf(s.Plan(at(1))), []string(nil))
			expect(t, "stops", s.TakeStops(), []Stop(nil))
			s.Ended(at(2), Incarnation{"b", 1}, []End{{Sequence: 1, Task: task, Run: 2, Reason: EndDone}})
			expect(t, "starts after the current run", len(s.Plan(at(3))), 1)
		})
	}
}
