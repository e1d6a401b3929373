package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// bestEffortStep is a step of one best-effort task that its user estimates at 1 s.
func bestEffortStep() Step {
	return Step{Count: 1, Need: Resources{Processors: 2000, Memory: 10}, BestEffort: true, Image: "f", Estimate: 1000}
}

// A done run counts with the time that it worked at full speed, if that is known.
func TestWhichRunsSayHowLongWorkTakes(t *testing.T) {
	paced := func(used float64) func(s *Scheduler) {
		return func(s *Scheduler) {
			for seconds := 0.5; seconds < 4; seconds += 0.5 {
				s.Observe(at(seconds), Incarnation{"a", 1}, []Measurement{{TaskName{Job: "j"}, used}})
			}
		}
	}
	far := bestEffortStep()
	far.DataRack = "r9"
	lasting := bestEffortStep()
	lasting.LongRunning = true
	cases := []struct {
		name      string
		step      Step
		stored    *Progress
		meanwhile func(s *Scheduler)
		took      time.Duration // 0: left out
	}{
		{"without a measurement", bestEffortStep(), nil, func(*Scheduler) {}, 4 * time.Second},
		{"at full speed", bestEffortStep(), nil, paced(2000), 4 * time.Second},
		{"nearly so", bestEffortStep(), nil, paced(1900), 4 * time.Second},
		{"slowed", bestEffortStep(), nil, paced(1400), 2800 * time.Millisecond},
		{"paused", bestEffortStep(), nil, paced(0), 0},
		{"slowed by more than half", bestEffortStep(), nil, paced(900), 0},
		{"from a checkpoint", bestEffortStep(), &Progress{Occurrences: []*Occurrence{{Checkpoints: map[string]string{"0.0": "c"}}}}, func(*Scheduler) {}, 0},
		{"far from its data", far, nil, func(*Scheduler) {}, 0},
		{"found by a new owner", bestEffortStep(), nil, func(s *Scheduler) { s.instances["a"].reservations[TaskName{Job: "j"}].fromStart = false }, 0},
		{"long-running", lasting, nil, func(*Scheduler) {}, 0},
	}
	for _, c := range cases {
		s := schedulerWith(registrationOf("a", 8))
		s.Accept(startTime, jobOf("j", c.step), c.stored)
		expect(t, c.name+": starts", len(s.Plan(at(0))), 1)
		c.meanwhile(s)
		s.Ended(at(4), Incarnation{"a", 1}, []End{{Sequence: 1, Task: TaskName{Job: "j"}, Run: 1, Reason: EndDone}})
		steps, want := s.TakeStepDurations(), []StepDuration{{Job: "j", Estimate: time.Second, Predicted: time.Second, LeftOut: 1}}
		switch {
		case c.step.LongRunning:
			want = nil
		case c.took > 0:
			want[0].Took, want[0].Runs, want[0].LeftOut = steps[0].Took, 1, 0
			if ratio := float64(steps[0].Took) / float64(c.took); ratio < 0.99 || ratio > 1.01 {
				t.Errorf("%s: the step took %s, want about %s", c.name, steps[0].Took, c.took)
			}
		}
		expect(t, c.name, steps, want)
	}
}

// Once some tasks of a step are done, what is left of it is known, and with it the objective of the
// job. The same holds for the next job of the queue, also under a new owner.
func TestRunsMoveWhatIsPredicted(t *testing.T) {
	step := bestEffortStep()
	step.Count = 6
	s := schedulerWith(registrationOf("a", 16))
	s.Accept(startTime, jobOf("j", step), nil)
	s.Plan(at(0))
	j := s.jobs["j"]
	expect(t, "objective before", j.objective, 3*time.Second)
	for i := range 6 {
		s.Plan(at(4.99 + float64(i)/100))
		s.Ended(at(5+float64(i)/100), Incarnation{"a", 1}, []End{{Sequence: int64(i), Task: TaskName{"j", 0, 0, i}, Run: 1, Reason: EndDone}})
		median := s.predict(j.spec, &j.spec.Steps[0]).Median
		expect(t, "objective as predicted", j.objective, j.spec.objective(median))
		if i == 2 {
			near(t, "after three runs", median, 5*time.Second)
			near(t, "objective", j.objective, 11*time.Second)
			near(t, "rest", j.remainingChain(), 5*time.Second)
		}
	}
	for i := range 12 {
		id := fmt.Sprintf("before%d", i)
		s.Accept(at(10), jobOf(id, bestEffortStep()), nil)
		s.Plan(at(10))
		s.Ended(at(15), Incarnation{"a", 1}, []End{{Sequence: 1, Task: TaskName{Job: id}, Run: 1, Reason: EndDone}})
	}
	next := New(2, 9)
	expect(t, "queues restored", next.RestoreDurations(s.LearnedDurations()), 1)
	job := jobOf("next", bestEffortStep())
	next.Accept(at(20), job, nil)
	s.Accept(at(20), job, nil)
	near(t, "the next job", next.predict(job, &job.Steps[0]).Median, 5*time.Second)
	near(t, "its objective", next.jobs["next"].objective, 11*time.Second)
	near(t, "with the owner before", s.predict(job, &job.Steps[0]).Median, next.predict(job, &job.Steps[0]).Median)
}

func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if ratio := float64(got) / float64(want); ratio < 0.85 || ratio > 1.15 {
		t.Errorf("%s: %s, want about %s", what, got, want)
	}
}

// A run leaves a draining instance if it would not end there in time, by what the runs of its queue
// take and by what it lost to its pace.
func TestDrainsFollowWhatWasLearned(t *testing.T) {
	cases := []struct {
		name    string
		took    float64 // seconds, by the runs before
		used    float64 // thousandths of a core
		stopped int
	}{
		{"as estimated", 1, 2000, 0},
		{"longer than estimated", 6, 2000, 1},
		{"nothing done so far", 1.7, 0, 1},
	}
	for _, c := range cases {
		s := schedulerWith(registrationOf("a", 8))
		for i := range 12 {
			id := fmt.Sprintf("before%d", i)
			s.Accept(at(0), jobOf(id, bestEffortStep()), nil)
			s.Plan(at(0))
			s.Ended(at(c.took), Incarnation{"a", 1}, []End{{Sequence: 1, Task: TaskName{Job: id}, Run: 1, Reason: EndDone}})
		}
		s.Accept(at(10), jobOf("j", bestEffortStep()), nil)
		s.Plan(at(10))
		s.Observe(at(10.9), Incarnation{"a", 1}, []Measurement{{TaskName{Job: "j"}, c.used}})
		draining := registrationOf("a", 8)
		draining.Draining, draining.GracePeriod = true, 1000
		s.Register(at(11), draining)
		s.Plan(at(11))
		expect(t, c.name+": stops", len(s.TakeStops()), c.stopped)
	}
}

// A run that began with a checkpoint is expected to end sooner by what the checkpoint holds.
func TestAResumedRunEndsSooner(t *testing.T) {
	step := bestEffortStep()
	step.Checkpoints, step.Estimate = true, 10_000
	cases := []struct {
		name       string
		checkpoint string // reported after 6 s
		stopped    int
	}{
		{"with a checkpoint", "c", 0},
		{"without one", "", 1},
	}
	for _, c := range cases {
		s := schedulerWith(registrationOf("a", 8))
		s.Accept(startTime, jobOf("j", step), nil)
		s.Plan(at(0))
		s.Checkpointed(at(6), Incarnation{"a", 1}, []RunStatus{{Task: TaskName{Job: "j"}, Run: 1, Checkpoint: c.checkpoint}})
		s.Ended(at(7), Incarnation{"a", 1}, []End{{Sequence: 1, Task: TaskName{Job: "j"}, Run: 1, Reason: EndStopped, Checkpoint: c.checkpoint}})
		s.Plan(at(8))
		draining := registrationOf("a", 8)
		draining.Draining, draining.GracePeriod = true, 5000
		s.Register(at(8), draining)
		s.Plan(at(8))
		expect(t, c.name+": stops", len(s.TakeStops()), c.stopped)
	}
}

// A run that gets half of the processors that it requests has done half of what its age says.
func TestThePaceDelaysTheExpectedEnd(t *testing.T) {
	step := bestEffortStep()
	step.Estimate = 10_000
	s := schedulerWith(registrationOf("a", 8))
	s.Accept(startTime, jobOf("j", step), nil)
	s.Plan(at(0))
	for seconds := 0.5; seconds <= 4; seconds += 0.5 {
		measure(s, at(seconds), 0.5)
	}
	in := s.instances["a"]
	run := in.reservations[TaskName{Job: "j"}]
	expect(t, "for a drain", s.remainingTime(in, run, at(4)), 8*time.Second)
	expect(t, "for a window", s.expectedRest(in, run, at(4)), 8*time.Second)
}

// An instance forgets the rates of images that no longer run there.
func TestRatesOfImagesAreForgotten(t *testing.T) {
	in := newInstance(registrationOf("a", 8))
	for i := range 10 {
		now := at(float64(i))
		step := bestEffortStep()
		step.Image = fmt.Sprint("image", i)
		run := &reservation{name: TaskName{Job: step.Image}, startedAt: now.Add(-time.Second)}
		run.setStep(&step)
		in.add(run)
		run.recordDelivery(now, 100)
		in.observeImages(now)
		in.remove(run)
	}
	expect(t, "images", len(in.imageRates), 1)
}
