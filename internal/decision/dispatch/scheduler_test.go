package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/google/go-cmp/cmp"
)

// began is the time at which the tests' books begin.
var began = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }

func offerOf(id string, cores int) Registration {
	return Registration{
		Incarnation: Incarnation{ID: id, StartedAt: 1}, Agent: "agent-" + id, AgentIncarnation: "p1", Service: "s",
		Rack: "r1", Labels: []string{"a", "r1"}, Capacity: Resources{Processors: cores * 1000, Memory: 100_000},
	}
}

func jobOf(id string, steps ...Step) *Job {
	return &Job{ID: id, Queue: "q", Policy: Policy{Service: "s", Attempts: 2, Stretch: 2, Latency: 1000}, Steps: steps, OwnerVersion: 7}
}

func stepOf(count, cores int) Step {
	return Step{Count: count, Need: Resources{Processors: cores * 1000, Memory: 10}, Estimate: 1000}
}

// bookWith makes a book whose instances are attached, registered and empty.
func bookWith(offers ...Registration) *Scheduler {
	b := New(1, 7)
	for _, offer := range offers {
		attachTo(b, offer)
	}
	return b
}

func attachTo(b *Scheduler, offer Registration) {
	b.Register(began, offer)
	b.Registered(offer.Incarnation)
	b.Reconcile(began, offer.Incarnation, nil)
}

// startsOf writes starts as "task run instance".
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
	b := bookWith(offerOf("a", 8))
	second := stepOf(1, 1)
	second.After = []int{0}
	b.Accept(began, jobOf("j", stepOf(2, 1), second), nil)
	expect(t, "first step", startsOf(b.Plan(at(0))), []string{"j.0.0.0 1 a", "j.0.0.1 1 a"})
	life := Incarnation{"a", 1}
	b.Ended(at(1), life, []End{{Sequence: 1, Task: TaskName{"j", 0, 0, 0}, Run: 1, Reason: EndDone}})
	expect(t, "while one task is open", startsOf(b.Plan(at(1))), []string(nil))
	b.Ended(at(1), life, []End{{Sequence: 2, Task: TaskName{"j", 0, 0, 1}, Run: 1, Reason: EndDone}})
	expect(t, "second step", startsOf(b.Plan(at(1))), []string{"j.0.1.0 1 a"})
	b.Ended(at(2), life, []End{{Sequence: 3, Task: TaskName{"j", 0, 1, 0}, Run: 1, Reason: EndDone}})
	changes := b.Dirty(10)
	expect(t, "changes", len(changes), 1)
	expect(t, "state", changes[0].Progress.State, Completed)
	b.Committed(changes[0])
	expect(t, "open", b.Active("j"), false)
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
			b := bookWith(offerOf("a", c.cores))
			b.Accept(began, jobOf("j", c.step), nil)
			expect(t, "starts", len(b.Plan(at(0))), c.want)
			expect(t, "starts of a second plan", len(b.Plan(at(0))), 0)
		})
	}
}

func TestFillingTasksTakeWhatServingOnesLeave(t *testing.T) {
	b := bookWith(offerOf("a", 8))
	serving := Step{Count: 1, Need: Resources{Processors: 8000}, Target: 18, Image: "s", LongRunning: true}
	filling := Step{Count: 9, Need: Resources{Processors: 2000}, BestEffort: true, Image: "f"}
	b.Accept(began, jobOf("j", serving), nil)
	expect(t, "serving", len(b.Plan(at(0))), 1)
	b.pairs.Set(interference.PairCost{Pair: interference.Pair{LatencyCritical: "s", BestEffort: "f"}})
	b.Accept(began, jobOf("k", filling), nil)
	if got := len(b.Plan(at(0))); got < 2 || got > 3 {
		t.Errorf("%d filling tasks of 2 cores beside a serving one of 8 that uses half", got)
	}
}

// A successor must not start a task that an earlier owner may have started on an
// instance that it has not heard of, also when another instance lists an older end.
func TestDoubtedTasksWaitForAllInstances(t *testing.T) {
	b := New(2, 9)
	b.RestoreInstance(offerOf("a", 8))
	b.RestoreInstance(offerOf("b", 8))
	b.Accept(began, jobOf("j", stepOf(1, 1)), nil)
	b.Register(at(0), offerOf("a", 8))
	b.Ended(at(0), Incarnation{"a", 1}, []End{{Sequence: 1, Task: TaskName{"j", 0, 0, 0}, Run: 1, Reason: EndFailed}})
	b.Reconcile(at(0), Incarnation{"a", 1}, nil)
	expect(t, "before b is heard of", startsOf(b.Plan(at(0))), []string(nil))
	b.Register(at(1), offerOf("b", 8))
	b.Reconcile(at(1), Incarnation{"b", 1}, []RunStatus{{Task: TaskName{"j", 0, 0, 0}, Run: 2}})
	expect(t, "while run 2 goes on", startsOf(b.Plan(at(1))), []string(nil))
	b.Ended(at(2), Incarnation{"b", 1}, []End{{Sequence: 1, Task: TaskName{"j", 0, 0, 0}, Run: 2, Reason: EndExpired}})
	expect(t, "afterwards", startsOf(b.Plan(at(2))), []string{"j.0.0.0 1000001 b"})
}

func TestDoubtEndsWhenTheInstanceIsLostOrReplaced(t *testing.T) {
	cases := []struct {
		name string
		do   func(b *Scheduler)
	}{
		{"lost", func(b *Scheduler) { b.LostByID(at(1), "a") }},
		{"another life of the same ID", func(b *Scheduler) {
			offer := offerOf("a", 8)
			offer.Incarnation.StartedAt = 2
			b.Register(at(1), offer)
			b.Reconcile(at(1), offer.Incarnation, nil)
		}},
		{"another ID beside the same agent", func(b *Scheduler) {
			offer := offerOf("c", 8)
			offer.Agent, offer.Incarnation.StartedAt = "agent-a", 2
			b.Register(at(1), offer)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New(2, 9)
			b.RestoreInstance(offerOf("a", 8))
			b.Accept(began, jobOf("j", stepOf(1, 1)), nil)
			attachTo(b, offerOf("b", 8))
			expect(t, "before", len(b.Plan(at(0))), 0)
			c.do(b)
			expect(t, "after", len(b.Plan(at(1))), 1)
		})
	}
}

// Runs of finished jobs take room until they are gone, also for a successor that read
// the job as finished.
func TestRunsOfFinishedJobsTakeRoom(t *testing.T) {
	b := New(2, 9)
	b.RestoreInstance(offerOf("a", 8))
	b.Accept(began, jobOf("old", stepOf(1, 8)), &Progress{State: Cancelled})
	b.Accept(began, jobOf("j", stepOf(1, 1)), nil)
	b.Register(began, offerOf("a", 8))
	b.Reconcile(began, Incarnation{"a", 1}, []RunStatus{{Task: TaskName{"old", 0, 0, 0}, Run: 1}})
	expect(t, "starts beside the run", startsOf(b.Plan(at(0))), []string(nil))
	expect(t, "stops", b.TakeStops(), []Stop{{Instance: "a", Task: TaskName{"old", 0, 0, 0}, Run: 1}})
	b.Ended(at(1), Incarnation{"a", 1}, []End{{Sequence: 1, Task: TaskName{"old", 0, 0, 0}, Run: 1, Reason: EndStopped}})
	expect(t, "starts afterwards", startsOf(b.Plan(at(1))), []string{"j.0.0.0 1000001 a"})
}

func TestNothingStartsBesideARunOfAnUnknownJob(t *testing.T) {
	b := New(2, 9)
	b.RestoreInstance(offerOf("a", 8))
	b.Accept(began, jobOf("j", stepOf(1, 1)), nil)
	b.Register(began, offerOf("a", 8))
	b.Reconcile(began, Incarnation{"a", 1}, []RunStatus{{Task: TaskName{"unknown", 0, 0, 0}, Run: 1}})
	expect(t, "starts", startsOf(b.Plan(at(0))), []string(nil))
}

func TestFailedEndsCountOnceAndEndTheJob(t *testing.T) {
	b := bookWith(offerOf("a", 8))
	b.Accept(began, jobOf("j", stepOf(1, 1)), nil)
	life, task := Incarnation{"a", 1}, TaskName{"j", 0, 0, 0}
	b.Plan(at(0))
	failed := End{Sequence: 1, Task: task, Run: 1, Reason: EndFailed}
	b.Ended(at(1), life, []End{failed})
	b.Ended(at(1), life, []End{failed})
	expect(t, "second run", startsOf(b.Plan(at(1))), []string{"j.0.0.0 2 a"})
	b.Ended(at(2), life, []End{{Sequence: 2, Task: task, Run: 2, Reason: EndFailed}})
	expect(t, "state", b.Dirty(10)[0].Progress.State, Failed)
}

func TestATaskThatFailedGoesElsewhere(t *testing.T) {
	b := bookWith(offerOf("a", 8), offerOf("b", 8))
	b.Accept(began, jobOf("j", stepOf(1, 1)), nil)
	first := b.Plan(at(0))[0].Instance
	b.Ended(at(1), Incarnation{first, 1}, []End{{Sequence: 1, Task: TaskName{"j", 0, 0, 0}, Run: 1, Reason: EndFailed}})
	if second := b.Plan(at(1)); len(second) != 1 || second[0].Instance == first {
		t.Errorf("after a failure on %s: %v", first, startsOf(second))
	}
}

// An instance on which different jobs fail in a row is avoided, one on which the same job
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
			b := bookWith(offerOf("a", 8))
			for i, id := range c.jobs {
				job := jobOf(id, stepOf(1, 1))
				job.Policy.Attempts = 9
				b.Accept(began, job, nil)
				for _, start := range b.Plan(at(0)) {
					b.Ended(at(0), Incarnation{"a", 1}, []End{{Sequence: int64(i + 1), Task: start.Task, Run: start.Run, Reason: EndFailed}})
				}
			}
			b.Accept(began, jobOf("n", stepOf(1, 1)), nil)
			at0 := len(b.Plan(at(0)))
			expect(t, "avoided", at0 == 0, c.avoided)
			expect(t, "avoided for good", at0+len(b.Plan(at(10))) == 0, false)
		})
	}
}

func TestASuccessorCountsKeptFailuresOnce(t *testing.T) {
	b := New(2, 9)
	b.RestoreInstance(offerOf("a", 8))
	b.Accept(began, jobOf("j", stepOf(1, 1)), &Progress{Occurrences: []*Occurrence{{
		Done: []string{""}, Failed: map[string][]int64{"0.0": {1}}, Checkpoints: map[string]string{"0.0": "c1"},
	}}})
	b.Register(began, offerOf("a", 8))
	b.Ended(began, Incarnation{"a", 1}, []End{{Sequence: 1, Task: TaskName{"j", 0, 0, 0}, Run: 1, Reason: EndFailed}})
	b.Reconcile(began, Incarnation{"a", 1}, nil)
	starts := b.Plan(at(0))
	expect(t, "starts", startsOf(starts), []string{"j.0.0.0 1000001 a"})
	expect(t, "checkpoint", starts[0].Checkpoint, "c1")
}

func TestLastingTasksRestartHoweverTheyEnd(t *testing.T) {
	for _, how := range []EndReason{EndDone, EndFailed, EndStopped, EndExpired} {
		t.Run(how.String(), func(t *testing.T) {
			b := bookWith(offerOf("a", 8))
			step := stepOf(1, 1)
			step.LongRunning = true
			b.Accept(began, jobOf("j", step), nil)
			for run := int64(1); run < 6; run++ {
				expect(t, "starts", startsOf(b.Plan(at(float64(run)))), []string{fmt.Sprintf("j.0.0.0 %d a", run)})
				b.Ended(at(float64(run)), Incarnation{"a", 1}, []End{{Sequence: run, Task: TaskName{"j", 0, 0, 0}, Run: run, Reason: how}})
			}
			expect(t, "open", b.Active("j"), true)
		})
	}
}

func TestGangsStartTogetherWithOneRunOrNotAtAll(t *testing.T) {
	gang := stepOf(3, 4)
	gang.Gang = true
	b := bookWith(offerOf("a", 8))
	b.Accept(began, jobOf("j", gang), nil)
	expect(t, "without room for all", len(b.Plan(at(0))), 0)
	attachTo(b, offerOf("b", 8))
	starts := b.Plan(at(1))
	expect(t, "with room", len(starts), 3)
	for _, start := range starts {
		expect(t, "run", start.Run, starts[0].Run)
	}
}

func TestOccurrencesWaitForTheirTime(t *testing.T) {
	b := bookWith(offerOf("a", 8))
	job := jobOf("j", stepOf(1, 1))
	job.FirstDue, job.Interval, job.Repeat = 5_000, 1_000, 2
	b.Accept(began, job, nil)
	b.Trigger(4_999)
	expect(t, "before", startsOf(b.Plan(at(0))), []string(nil))
	b.Trigger(5_000)
	expect(t, "first", startsOf(b.Plan(at(0))), []string{"j.0.0.0 1 a"})
	b.Trigger(6_000)
	expect(t, "second", startsOf(b.Plan(at(0))), []string{"j.1.0.0 1 a"})
}

func TestCancelStopsWhatRuns(t *testing.T) {
	b := bookWith(offerOf("a", 8))
	b.Accept(began, jobOf("j", stepOf(2, 1)), nil)
	b.Plan(at(0))
	b.Cancel("j")
	expect(t, "stops", len(b.TakeStops()), 2)
	expect(t, "state", b.Dirty(10)[0].Progress.State, Cancelled)
	expect(t, "starts", len(b.Plan(at(1))), 0)
}

// An order that an agent's earlier incarnation was given may still be on its way to the
// worker: only a stop shows that it starts nothing.
func TestAbsenceCountsOnlyFromTheAgentThatWasGivenTheOrder(t *testing.T) {
	b := bookWith(offerOf("a", 8))
	b.Accept(began, jobOf("j", stepOf(1, 1)), nil)
	b.Plan(at(0))
	offer := offerOf("a", 8)
	offer.AgentIncarnation = "p2"
	b.Register(at(1), offer)
	b.Reconcile(at(1), offer.Incarnation, nil)
	expect(t, "starts", startsOf(b.Plan(at(1))), []string(nil))
	expect(t, "stops", len(b.TakeStops()), 1)
	b.Ended(at(2), offer.Incarnation, []End{{Task: TaskName{"j", 0, 0, 0}, Run: 1, Reason: EndNotStarted}})
	expect(t, "starts after the stop", startsOf(b.Plan(at(2))), []string{"j.0.0.0 2 a"})
}

func TestLeavingInstancesGetNothingAndGiveUpWhatTheyWouldCutOff(t *testing.T) {
	b := bookWith(offerOf("a", 8))
	lasting, short := stepOf(1, 1), stepOf(1, 1)
	lasting.LongRunning = true
	b.Accept(began, jobOf("l", lasting), nil)
	b.Accept(began, jobOf("s", short), nil)
	expect(t, "starts", len(b.Plan(at(0))), 2)
	offer := offerOf("a", 8)
	offer.Draining, offer.GracePeriod = true, 3000
	b.Register(at(0.1), offer)
	b.Accept(began, jobOf("k", short), nil)
	expect(t, "starts", startsOf(b.Plan(at(0.1))), []string(nil))
	expect(t, "stops", b.TakeStops(), []Stop{{Instance: "a", Task: TaskName{"l", 0, 0, 0}, Run: 1}})
}

func TestTaskNames(t *testing.T) {
	cases := []struct {
		text string
		want TaskName
		ok   bool
	}{
		{"5c0e7a21d94b36f8.0.1.17", TaskName{"5c0e7a21d94b36f8", 0, 1, 17}, true},
		{"5c0e7a21d94b36f8.0.1", TaskName{}, false},
		{"j.0.-1.2", TaskName{}, false},
		{"j.a.1.2", TaskName{}, false},
		{"", TaskName{}, false},
	}
	for _, c := range cases {
		got, ok := ParseTaskName(c.text)
		if got != c.want || ok != c.ok {
			t.Errorf("ParseTaskName(%q) = %v, %v", c.text, got, ok)
		}
		if ok && got.String() != c.text {
			t.Errorf("%v.String() is not %q", got, c.text)
		}
	}
}

// Orders of a session that has ended may be lost, so a run that is to stop and is listed
// in the next session is stopped again.
func TestAStopIsRepeatedInTheNextSession(t *testing.T) {
	b := bookWith(offerOf("a", 8))
	b.Accept(began, jobOf("j", stepOf(1, 1)), nil)
	expect(t, "starts", len(b.Plan(at(0))), 1)
	b.Cancel("j")
	expect(t, "stops", len(b.TakeStops()), 1)
	for _, c := range b.Dirty(10) {
		b.Committed(c)
	}
	b.Register(at(1), offerOf("a", 8))
	b.Reconcile(at(1), Incarnation{"a", 1}, []RunStatus{{Task: TaskName{"j", 0, 0, 0}, Run: 1}})
	expect(t, "stops after the next list", len(b.TakeStops()), 1)
}
