package dispatch

import "testing"

// quarantined returns a scheduler with a full instance and a quarantined one of 8 processors.
func quarantined(t *testing.T) (s *Scheduler, free string) {
	t.Helper()
	s = schedulerWith(registrationOf("a", 8), registrationOf("b", 8))
	s.Accept(startTime, jobOf("full", stepOf(1, 8)), nil)
	free = map[string]string{"a": "b", "b": "a"}[s.Plan(at(0))[0].Instance]
	for i, id := range []string{"j", "k"} {
		job := jobOf(id, stepOf(1, 1))
		job.Policy.Attempts = 9
		s.Accept(startTime, job, nil)
		for _, start := range s.Plan(at(0)) {
			s.Ended(at(0), Incarnation{free, 1}, []End{{Sequence: int64(i + 1), Task: start.Task, Run: start.Run, Reason: EndFailed}})
		}
	}
	expect(t, "the starts on a quarantined instance", s.Plan(at(0.1)), []Start(nil))
	return s, free
}

func TestLongRunningTasksStartOnAQuarantinedInstanceIfNoOtherHasRoom(t *testing.T) {
	s, free := quarantined(t)
	step := stepOf(2, 2)
	step.LongRunning = true
	s.Accept(at(0), jobOf("n", step), nil)
	starts := s.Plan(at(0.2))
	if len(starts) != 2 || starts[0].Instance != free || starts[1].Instance != free {
		t.Fatalf("started: %v", startsOf(starts))
	}
	failed := starts[0]
	s.Ended(at(0.3), Incarnation{free, 1}, []End{{Sequence: 3, Task: failed.Task, Run: failed.Run, Reason: EndFailed}})
	expect(t, "the starts where the task has failed", len(s.Plan(at(1))), 0)
	expect(t, "the starts after the quarantine", len(s.Plan(at(5))), 3) // with the tasks of j and k
}

func TestAFailureOfAnEarlierQuarantineDoesNotExcludeTheTask(t *testing.T) {
	s, free := quarantined(t)
	step := stepOf(1, 2)
	step.LongRunning = true
	s.Accept(at(0), jobOf("n", step), nil)
	fail := func(seconds float64, sequence int64, start Start) {
		s.Ended(at(seconds), Incarnation{free, 1}, []End{{Sequence: sequence, Task: start.Task, Run: start.Run, Reason: EndFailed}})
	}
	fail(0.3, 3, s.Plan(at(0.2))[0])
	for i, start := range s.Plan(at(5)) { // n, j and k fail after the quarantine, which begins anew
		fail(5.1, int64(4+i), start)
	}
	again := s.Plan(at(5.2))
	if len(again) != 1 || again[0].Task.Job != "n" {
		t.Errorf("started in the second quarantine: %v", startsOf(again))
	}
}
