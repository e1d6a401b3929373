package dispatch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// restartedAfterCrash registers the next incarnation of an instance whose worker crashed under the
// given runs.
func restartedAfterCrash(s *Scheduler, now time.Time, id string, runs ...RunStatus) []TaskName {
	counted := s.Crashed(now, Crash{s.instances[id].registration.Agent, now, runs})
	next := s.instances[id].registration
	next.Incarnation.StartedAt++
	s.Register(now, next)
	s.RowWritten(next.Incarnation)
	s.SetReachable(id, true)
	s.Reconcile(now, next.Incarnation, nil)
	return counted
}

func runsOf(starts []Start) []RunStatus {
	var runs []RunStatus
	for _, start := range starts {
		runs = append(runs, RunStatus{Task: start.Task, Run: start.Run})
	}
	return runs
}

// A task that crashes its workers must not start without end.
func TestATaskThatCrashesItsWorkersFailsItsJob(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8), registrationOf("b", 8))
	s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
	for crash := range minCrashes {
		starts := s.Plan(at(float64(4 * crash)))
		if len(starts) != 1 {
			t.Fatalf("%d starts before crash %d", len(starts), crash+1)
		}
		restartedAfterCrash(s, at(float64(4*crash+3)), starts[0].Instance, runsOf(starts)...)
	}
	expect(t, "starts", startsOf(s.Plan(at(20))), []string(nil))
	expect(t, "state", s.Dirty(1)[0].Progress.State, Failed)
}

// A job fails for crashes no sooner than for failed runs: a task may have as many as the queue allows
// attempts. A single crash is never enough, since it may have another cause.
func TestCrashesFailAJobAfterItsAttempts(t *testing.T) {
	cases := []struct{ attempts, crashes int }{{1, minCrashes}, {2, 2}, {3, 3}, {maxCrashes + 2, maxCrashes + 2}}
	for _, c := range cases {
		s := schedulerWith(registrationOf("a", 8))
		job := jobOf("j", stepOf(1, 1))
		job.Policy.Attempts = c.attempts
		s.Accept(startTime, job, nil)
		crashes := 0
		for now := 0.0; s.findTask(TaskName{"j", 0, 0, 0}) != nil && crashes < 20; now += 4 {
			starts := s.Plan(at(now))
			if len(starts) == 0 {
				continue
			}
			crashes++
			restartedAfterCrash(s, at(now+3), "a", runsOf(starts)...)
		}
		expect(t, fmt.Sprint("crashes with ", c.attempts, " attempts"), crashes, c.crashes)
	}
}

// The crashes under a task are known to a later owner, which may hear of the last one again.
func TestCrashesUnderATaskSurviveATakeover(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	job := jobOf("j", stepOf(1, 1))
	s.Accept(startTime, job, nil)
	for crash := range minCrashes - 1 {
		restartedAfterCrash(s, at(float64(4*crash+3)), "a", runsOf(s.Plan(at(float64(4*crash))))...)
	}
	row, err := json.Marshal(s.Dirty(1)[0].Progress)
	if err != nil {
		t.Fatal(err)
	}
	var stored Progress
	if err := json.Unmarshal(row, &stored); err != nil {
		t.Fatal(err)
	}
	next := New(2, 9)
	next.Accept(at(10), job, &stored)
	known := RunStatus{Task: TaskName{"j", 0, 0, 0}, Run: minCrashes - 1}
	expect(t, "a crash that is known", len(next.Crashed(at(11), Crash{"agent-a", at(11), []RunStatus{known}})), 0)
	registerOn(next, registrationOf("a", 8))
	restartedAfterCrash(next, at(15), "a", runsOf(next.Plan(at(12)))...)
	next.Plan(at(16))
	expect(t, "state", next.Dirty(1)[0].Progress.State, Failed)
}

// A row of an earlier version, which counts no crashes, is read.
func TestProgressWithoutCrashesIsRead(t *testing.T) {
	var stored Progress
	if err := json.Unmarshal([]byte(`{"occ":[{"done":["1"],"failed":{"0.1":[4]}}]}`), &stored); err != nil {
		t.Fatal(err)
	}
	s := schedulerWith(registrationOf("a", 8))
	s.Accept(startTime, jobOf("j", stepOf(2, 1)), &stored)
	expect(t, "starts", startsOf(s.Plan(at(0))), []string{"j.0.0.1 5 a"})
}

// Jobs that ran beside the cause of a crash must not fail for it.
func TestACrashIsEvidenceAgainstTheMainSuspect(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	for _, id := range []string{"first", "second"} {
		s.Accept(startTime, jobOf(id, stepOf(1, 1)), nil)
	}
	suspect := RunStatus{Task: TaskName{"first", 0, 0, 0}, Run: 1}
	beside := RunStatus{Task: TaskName{"second", 0, 0, 0}, Run: 1}
	s.Crashed(at(0), Crash{"agent-a", at(0), []RunStatus{suspect}})
	s.Plan(at(3))
	suspect.Run = 2
	s.Crashed(at(4), Crash{"agent-a", at(4), []RunStatus{beside, suspect}})
	s.Plan(at(5))
	expect(t, "the suspect is open", s.findTask(suspect.Task) != nil, false)
	expect(t, "evidence against the other", s.findTask(beside.Task).crashes, Crashes{Runs: []int64{1}})
}

func TestSuspectsStartApart(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8), registrationOf("b", 8), registrationOf("c", 8), registrationOf("d", 8))
	s.Accept(startTime, jobOf("j", stepOf(2, 1)), nil)
	runs := runsOf(s.Plan(at(0)))
	for _, id := range []string{"a", "b"} {
		restartedAfterCrash(s, at(3), id, runs...)
	}
	s.Accept(startTime, jobOf("k", stepOf(20, 1)), nil)
	suspects := map[string]bool{}
	others := map[string]bool{}
	for _, start := range s.Plan(at(3)) {
		if start.Task.Job == "j" {
			suspects[start.Instance] = true
		} else {
			others[start.Instance] = true
		}
	}
	expect(t, "instances of suspects", len(suspects), 2)
	for id := range suspects {
		if !s.instances[id].isolated {
			t.Errorf("instance %s is not isolated", id)
		}
	}
	expect(t, "instances of the others", len(others) > 0, true)
	expect(t, "starts beside suspects", len(s.Plan(at(3.2))), 0)
	expect(t, "starts after the isolation", len(s.Plan(at(4))) > 0, true)
}

// Suspects must neither take all instances nor wait for one without end.
func TestSuspectsDoNotHoldUpOtherTasks(t *testing.T) {
	s := New(1, 7)
	for i := range 4 {
		registerOn(s, registrationOf(fmt.Sprint("i", i), 8))
	}
	s.Accept(startTime, jobOf("j", stepOf(20, 1)), nil)
	runs := runsOf(s.Plan(at(0)))
	for i := range 4 {
		restartedAfterCrash(s, at(3+float64(i)), fmt.Sprint("i", i), runs...)
	}
	s.Accept(startTime, jobOf("k", stepOf(1, 1)), nil)
	for _, task := range s.suspects {
		task.lastCrashAt = at(6)
	}
	expect(t, "starts at first", len(s.Plan(at(6))), 4/minSharedFraction+1)
	s.Plan(at(7))
	expect(t, "waiting after the timeout", len(s.Plan(at(8.5))) > 0, true)
	waiting := 0
	for _, task := range s.jobs["j"].occurrences[0].steps[0] {
		if task.waiting() {
			waiting++
		}
	}
	expect(t, "waiting", waiting, 0)
}

// A long-running task whose runs last must start again however often its workers crash.
func TestARunThatLastsClearsItsTask(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	step := stepOf(1, 1)
	step.LongRunning = true
	s.Accept(startTime, jobOf("j", step), nil)
	now := 0.0
	for range 3 * maxCrashes {
		starts := s.Plan(at(now))
		if len(starts) != 1 {
			t.Fatalf("%d starts at %v s", len(starts), now)
		}
		restartedAfterCrash(s, at(now+3), "a", runsOf(starts)...)
		expect(t, "starts", len(s.Plan(at(now+4))), 1)
		now += 3 + 2*crashSurvival.Seconds()
		s.Plan(at(now - 1))
		s.removeInstance(at(now), s.instances["a"], EndExpired)
		registerOn(s, registrationOf("a", 8))
	}
}

// A long-running task starts again however often its workers crash, also if none of its runs lasts. Its
// progress does not grow with each crash.
func TestCrashesFailNoJobOfALongRunningTask(t *testing.T) {
	const crashes = 5 * maxCrashes
	s := schedulerWith(registrationOf("a", 8))
	step := stepOf(1, 1)
	step.LongRunning = true
	s.Accept(startTime, jobOf("j", step), nil)
	task := TaskName{"j", 0, 0, 0}
	for crash := range crashes {
		starts := s.Plan(at(float64(4 * crash)))
		if len(starts) != 1 {
			t.Fatalf("%d starts before crash %d", len(starts), crash+1)
		}
		restartedAfterCrash(s, at(float64(4*crash+3)), "a", runsOf(starts)...)
	}
	expect(t, "crashes held against it", s.findTask(task).crashes.Runs, []int64{crashes - 3, crashes - 2, crashes - 1, crashes})
}

// A crash that may have another cause, such as a loss of power, is weak evidence.
func TestSharedCrashesAreWeakEvidence(t *testing.T) {
	cases := []struct {
		name   string
		beside int           // other suspects on the instance
		apart  time.Duration // between the loss of this worker and those of two others
		limit  int
	}{
		{"the only suspect", 0, time.Hour, minCrashes},
		{"one of two suspects", 1, time.Hour, maxCrashes},
		{"other workers are lost just before", 0, -sameMoment / 2, maxCrashes},
		{"other workers are lost just after", 0, sameMoment / 2, maxCrashes},
		{"other workers are lost later", 0, 2 * sameMoment, minCrashes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New(1, 7)
			for i := range 2 * minCommonLosses {
				registerOn(s, registrationOf(fmt.Sprint("i", i), 8))
			}
			s.Accept(startTime, jobOf("j", stepOf(1+c.beside, 1)), nil)
			crashes := 0
			for ; s.Active("j") && s.findTask(TaskName{"j", 0, 0, 0}) != nil && crashes <= maxCrashes; crashes++ {
				var runs []RunStatus
				for i := range 1 + c.beside {
					runs = append(runs, RunStatus{Task: TaskName{"j", 0, 0, i}, Run: int64(crashes + 1)})
				}
				now := at(3.5 * float64(crashes))
				s.Silent(now.Add(c.apart), "agent-b")
				s.Silent(now.Add(c.apart), "agent-c")
				s.Crashed(now.Add(3*time.Second), Crash{"agent-a", now, runs})
				for _, suspect := range s.suspects {
					s.settle(now.Add(3*time.Second+settleDelay), suspect)
				}
			}
			expect(t, "crashes until the job fails", crashes, c.limit)
		})
	}
}
