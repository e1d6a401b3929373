package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/google/go-cmp/cmp"
)

// startTime is when the tests start.
var startTime = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

func registrationOf(id string, cores int) Registration {
	return Registration{
		Incarnation: Incarnation{ID: id, StartedAt: 1}, Agent: "agent-" + id, AgentIncarnation: "p1", Service: "s",
		Rack: "r1", Labels: []string{"a", "r1"}, Capacity: Resources{Processors: cores * 1000, Memory: 100_000},
	}
}

func jobOf(id string, steps ...Step) *Job {
	return &Job{ID: id, Queue: "q", Policy: Policy{Service: "s", Attempts: 2, Stretch: 2, Latency: 1000}, Steps: steps, OwnerRevision: 7}
}

func stepOf(count, cores int) Step {
	return Step{Count: count, Need: Resources{Processors: cores * 1000, Memory: 10}, Estimate: 1000}
}

// schedulerWith returns a scheduler whose instances are registered and run nothing.
func schedulerWith(registrations ...Registration) *Scheduler {
	s := New(1, 7)
	for _, registration := range registrations {
		registerOn(s, registration)
	}
	return s
}

func registerOn(s *Scheduler, registration Registration) {
	s.Register(startTime, registration)
	s.RowWritten(registration.Incarnation)
	s.Reconcile(startTime, registration.Incarnation, nil)
}

// startsOf formats starts as "task run instance".
func startsOf(starts []Start) []string {
	var texts []string
	for _, s := range starts {
		texts = append(texts, fmt.Sprintf("%s %d %s", s.Task, s.Run, s.Instance))
	}
	return texts
}

func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func TestStepsRunInOrderAndTheJobCompletes(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	second := stepOf(1, 1)
	second.After = []int{0}
	s.Accept(startTime, jobOf("j", stepOf(2, 1), second), nil)
	expect(t, "first step", startsOf(s.Plan(at(0))), []string{"j.0.0.0 1 a", "j.0.0.1 1 a"})
	incarnation := Incarnation{"a", 1}
	s.Ended(at(1), incarnation, []End{{Sequence: 1, Task: TaskName{"j", 0, 0, 0}, Run: 1, Reason: EndDone}})
	expect(t, "while one task is open", startsOf(s.Plan(at(1))), []string(nil))
	s.Ended(at(1), incarnation, []End{{Sequence: 2, Task: TaskName{"j", 0, 0, 1}, Run: 1, Reason: EndDone}})
	expect(t, "second step", startsOf(s.Plan(at(1))), []string{"j.0.1.0 1 a"})
	s.Ended(at(2), incarnation, []End{{Sequence: 3, Task: TaskName{"j", 0, 1, 0}, Run: 1, Reason: EndDone}})
	changes := s.Dirty(10)
	expect(t, "changes", len(changes), 1)
	expect(t, "state", changes[0].Progress.State, Completed)
	s.Committed(changes[0])
	expect(t, "open", s.Active("j"), false)
}

func TestRoomIsNeverExceeded(t *testing.T) {
	cases := []struct {
		name  string
		step  Step
		cores int
		want  int
	}{
		{"processors", stepOf(9, 2), 8, 4},
		{"memory", Step{Count: 9, Need: Resources{Processors: 1, Memory: 30_000}}, 8, 3},
		{"accelerators", Step{Count: 2, Need: Resources{Accelerators: 1}}, 8, 0},
		{"most on one", Step{Count: 5, Need: Resources{Processors: 1}, MaxPerInstance: 2}, 8, 2},
		{"filling tasks take what is left", Step{Count: 9, Need: Resources{Processors: 3000}, BestEffort: true}, 8, 2},
		{"a job that fills runs at least one task", Step{Count: 9, Need: Resources{Processors: 9000}, BestEffort: true}, 8, 1},
		{"label", Step{Count: 1, Label: "b"}, 8, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := schedulerWith(registrationOf("a", c.cores))
			s.Accept(startTime, jobOf("j", c.step), nil)
			expect(t, "starts", len(s.Plan(at(0))), c.want)
			expect(t, "starts of a second plan", len(s.Plan(at(0))), 0)
		})
	}
}

func TestBestEffortTasksUseWhatLatencyCriticalOnesLeave(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	latencyCritical := Step{Count: 1, Need: Resources{Processors: 8000}, Target: 18, Image: "s", LongRunning: true}
	bestEffort := Step{Count: 9, Need: Resources{Processors: 2000}, BestEffort: true, Image: "f"}
	s.Accept(startTime, jobOf("j", latencyCritical), nil)
	expect(t, "serving", len(s.Plan(at(0))), 1)
	s.costModel.Set(interference.PairCost{Pair: interference.Pair{LatencyCritical: "s", BestEffort: "f"}})
	s.Accept(startTime, jobOf("k", bestEffort), nil)
	if got := len(s.Plan(at(0))); got < 2 || got > 3 {
		t.Errorf("%d best-effort tasks of 2 cores start beside a latency-critical one of 8 that uses half", got)
	}
}

// Runs of finished jobs use resources until they have ended, also for a new owner that
// restored the job as finished.
func TestRunsOfFinishedJobsTakeRoom(t *testing.T) {
	s := New(2, 9)
	s.RestoreInstance(registrationOf("a", 8))
	s.Accept(startTime, jobOf("old", stepOf(1, 8)), &Progress{State: Cancelled})
	s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
	s.Register(startTime, registrationOf("a", 8))
	s.Reconcile(startTime, Incarnation{"a", 1}, []RunStatus{{Task: TaskName{"old", 0, 0, 0}, Run: 1}})
	expect(t, "starts beside the run", startsOf(s.Plan(at(0))), []string(nil))
	expect(t, "stops", s.TakeStops(), []Stop{{Instance: "a", Task: TaskName{"old", 0, 0, 0}, Run: 1, Reason: StopJobEnded}})
	s.Ended(at(1), Incarnation{"a", 1}, []End{{Sequence: 1, Task: TaskName{"old", 0, 0, 0}, Run: 1, Reason: EndStopped}})
	expect(t, "starts afterwards", startsOf(s.Plan(at(1))), []string{"j.0.0.0 1000001 a"})
}

func TestNothingStartsBesideARunOfAnUnknownJob(t *testing.T) {
	s := New(2, 9)
	s.RestoreInstance(registrationOf("a", 8))
	s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
	s.Register(startTime, registrationOf("a", 8))
	s.Reconcile(startTime, Incarnation{"a", 1}, []RunStatus{{Task: TaskName{"unknown", 0, 0, 0}, Run: 1}})
	expect(t, "starts", startsOf(s.Plan(at(0))), []string(nil))
}

func TestFailedEndsCountOnceAndEndTheJob(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
	incarnation, task := Incarnation{"a", 1}, TaskName{"j", 0, 0, 0}
	s.Plan(at(0))
	failed := End{Sequence: 1, Task: task, Run: 1, Reason: EndFailed}
	s.Ended(at(1), incarnation, []End{failed})
	s.Ended(at(1), incarnation, []End{failed})
	expect(t, "second run", startsOf(s.Plan(at(1))), []string{"j.0.0.0 2 a"})
	s.Ended(at(2), incarnation, []End{{Sequence: 2, Task: task, Run: 2, Reason: EndFailed}})
	expect(t, "state", s.Dirty(10)[0].Progress.State, Failed)
}

func TestATaskThatFailedGoesElsewhere(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8), registrationOf("b", 8))
	s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
	first := s.Plan(at(0))[0].Instance
	s.Ended(at(1), Incarnation{first, 1}, []End{{Sequence: 1, Task: TaskName{"j", 0, 0, 0}, Run: 1, Reason: EndFailed}})
	if second := s.Plan(at(1)); len(second) != 1 || second[0].Instance == first {
		t.Errorf("after a failure on %s: %v", first, startsOf(second))
	}
}

// An instance on which different jobs fail in a row is quarantined. One on which the same job
// fails again is not.
func TestFailingInstancesAreAvoided(t *testing.T) {
	cases := []struct {
		name    string
		jobs    []string
		avoided bool
	}{
		{"two jobs", []string{"j", "k"}, true},
		{"the same job", []string{"j", "j"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := schedulerWith(registrationOf("a", 8))
			for i, id := range c.jobs {
				job := jobOf(id, stepOf(1, 1))
				job.Policy.Attempts = 9
				s.Accept(startTime, job, nil)
				for _, start := range s.Plan(at(0)) {
					s.Ended(at(0), Incarnation{"a", 1}, []End{{Sequence: int64(i + 1), Task: start.Task, Run: start.Run, Reason: EndFailed}})
				}
			}
			s.Accept(startTime, jobOf("n", stepOf(1, 1)), nil)
			at0 := len(s.Plan(at(0)))
			expect(t, "avoided", at0 == 0, c.avoided)
			expect(t, "avoided for good", at0+len(s.Plan(at(10))) == 0, false)
		})
	}
}

func TestLongRunningTasksRestartHoweverTheyEnd(t *testing.T) {
	for _, reason := range []EndReason{EndDone, EndFailed, EndStopped, EndExpired} {
		t.Run(reason.String(), func(t *testing.T) {
			s := schedulerWith(registrationOf("a", 8))
			step := stepOf(1, 1)
			step.LongRunning = true
			s.Accept(startTime, jobOf("j", step), nil)
			for run := int64(1); run < 6; run++ {
				expect(t, "starts", startsOf(s.Plan(at(float64(run)))), []string{fmt.Sprintf("j.0.0.0 %d a", run)})
				s.Ended(at(float64(run)), Incarnation{"a", 1}, []End{{Sequence: run, Task: TaskName{"j", 0, 0, 0}, Run: run, Reason: reason}})
			}
			expect(t, "open", s.Active("j"), true)
		})
	}
}

func TestCancelStopsWhatRuns(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	s.Accept(startTime, jobOf("j", stepOf(2, 1)), nil)
	s.Plan(at(0))
	s.Cancel("j")
	expect(t, "stops", len(s.TakeStops()), 2)
	expect(t, "state", s.Dirty(10)[0].Progress.State, Cancelled)
	expect(t, "starts", len(s.Plan(at(1))), 0)
}

// A start order that an earlier incarnation of the agent received may still be in transit to
// the worker. Only the answer to a stop order shows that the run will not start.
func TestAbsenceCountsOnlyFromTheAgentThatWasGivenTheOrder(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
	s.Plan(at(0))
	registration := registrationOf("a", 8)
	registration.AgentIncarnation = "p2"
	s.Register(at(1), registration)
	s.Reconcile(at(1), registration.Incarnation, nil)
	expect(t, "starts", startsOf(s.Plan(at(1))), []string(nil))
	expect(t, "stops", len(s.TakeStops()), 1)
	s.Ended(at(2), registration.Incarnation, []End{{Task: TaskName{"j", 0, 0, 0}, Run: 1, Reason: EndNotStarted}})
	expect(t, "starts after the stop", startsOf(s.Plan(at(2))), []string{"j.0.0.0 2 a"})
}

func TestDrainingInstancesGetNoTasksAndStopThoseThatWouldNotFinish(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	longRunning, short := stepOf(1, 1), stepOf(1, 1)
	longRunning.LongRunning = true
	s.Accept(startTime, jobOf("l", longRunning), nil)
	s.Accept(startTime, jobOf("s", short), nil)
	expect(t, "starts", len(s.Plan(at(0))), 2)
	registration := registrationOf("a", 8)
	registration.Draining, registration.GracePeriod = true, 3000
	s.Register(at(0.1), registration)
	s.Accept(startTime, jobOf("k", short), nil)
	expect(t, "starts", startsOf(s.Plan(at(0.1))), []string(nil))
	expect(t, "stops", s.TakeStops(), []Stop{{Instance: "a", Task: TaskName{"l", 0, 0, 0}, Run: 1, Reason: StopDraining}})
}

// Orders may be lost when a session ends, so a run that is to stop and is reported in the next
// session is stopped again.
func TestAStopIsRepeatedInTheNextSession(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	s.Accept(startTime, jobOf("j", stepOf(1, 1)), nil)
	expect(t, "starts", len(s.Plan(at(0))), 1)
	s.Cancel("j")
	expect(t, "stops", len(s.TakeStops()), 1)
	for _, c := range s.Dirty(10) {
		s.Committed(c)
	}
	s.Register(at(1), registrationOf("a", 8))
	s.Reconcile(at(1), Incarnation{"a", 1}, []RunStatus{{Task: TaskName{"j", 0, 0, 0}, Run: 1}})
	expect(t, "stops after the next list", len(s.TakeStops()), 1)
}

// A cancellation that arrives while the final state of a job is being stored changes nothing:
// clients may have seen that state.
func TestACancelAfterTheEndChangesNothing(t *testing.T) {
	s := New(1, 1)
	job := jobOf("j", stepOf(1, 1))
	s.Accept(startTime, job, &Progress{Occurrences: []*Occurrence{{Done: []string{"1"}}}})
	if s.Cancel("j") {
		t.Error("a completed job was cancelled")
	}
	for _, change := range s.Dirty(1) {
		expect(t, "stored state", change.Progress.State, Completed)
	}
}
