package dispatch

import (
	"slices"
	"time"
)

// Ended records ends of runs that an instance reports. Ends reported by any incarnation but
// the current one are ignored.
func (s *Scheduler) Ended(now time.Time, incarnation Incarnation, ends []End) {
	in, ok := s.instances[incarnation.ID]
	if !ok || in.registration.Incarnation != incarnation {
		return
	}
	for _, end := range ends {
		s.runEnded(now, in, end)
		s.pinEnded(now, in, end)
	}
}

// runEnded processes the end of a run: it releases the run's resources and updates its task.
// It ignores ends that are outdated.
func (s *Scheduler) runEnded(now time.Time, in *instance, end End) {
	p, placed := in.reservations[end.Task]
	if placed && p.run == end.Run {
		in.remove(p)
		s.stopOrderedRun(in, p)
	}
	t := s.findReported(now, end.Task)
	if t == nil || t.done {
		return
	}
	current := t.instance == in.registration.Incarnation.ID && t.run == end.Run
	// A task that is not placed also accepts the end of a run whose number is less than
	// runNumbersPerEpoch below lastRun, such as that of a run of the previous epoch.
	unassigned := t.instance == "" && end.Run > t.lastRun-runNumbersPerEpoch
	if end.Reason == EndNotStarted && !current {
		return
	}
	if !current && !unassigned && end.Reason != EndFailed && end.Reason != EndDone {
		return
	}
	t.lastRun = max(t.lastRun, end.Run)
	t.job.begun = t.job.begun || end.Sequence > 0 // the worker has listed it
	if placed && p.run == end.Run {
		t.recordCheckpoint(now, end.Checkpoint, s.worked(in, p, now))
		if end.Reason == EndDone {
			s.recordDuration(now, in, p, t)
		}
	} else {
		t.recordCheckpoint(now, end.Checkpoint, 0)
	}
	if current {
		s.learnFromEnd(now, in, p, end, t)
	}
	s.applyEnd(now, in, end, t)
	switch {
	case current:
		t.instance, t.run = "", 0
	case t.done:
		s.stopCurrent(t)
	}
}

// stopCurrent stops the current run of a task that another run has completed, and removes the
// task from its instance.
func (s *Scheduler) stopCurrent(t *task) {
	if in, ok := s.instances[t.instance]; ok {
		if p, placed := in.reservations[t.name]; placed {
			s.stop(in, p, StopSuperseded)
		}
	}
	t.instance, t.run = "", 0
}

// applyEnd applies the end of a run to its task and job.
func (s *Scheduler) applyEnd(now time.Time, in *instance, end End, t *task) {
	j := t.job
	switch end.Reason {
	case EndDone:
		if t.step.LongRunning {
			t.notBefore = now.Add(restartDelay)
			return
		}
		s.completeTask(t)
	case EndFailed:
		in.recordFailure(now, t)
		t.recordFailedOn(in.registration.Incarnation.ID)
		if t.step.LongRunning {
			t.notBefore = now.Add(restartDelay)
			return
		}
		if slices.Contains(t.failedRuns, end.Run) {
			return
		}
		t.failedRuns = append(t.failedRuns, end.Run)
		s.markDirty(j)
		if len(t.failedRuns) >= max(j.spec.Policy.Attempts, 1) {
			s.finish(j, Failed)
		}
	case EndNotStarted:
	default:
		if t.checkpoint != "" && !t.step.LongRunning {
			s.markDirty(j)
		}
	}
}

// completeTask marks a task, or its whole gang, as done.
func (s *Scheduler) completeTask(t *task) {
	j := t.job
	o := j.occurrences[t.name.Occurrence]
	if t.step.Gang {
		// One done member completes the whole gang.
		for _, member := range o.steps[t.name.Step] {
			o.setDone(member)
		}
	} else {
		o.setDone(t)
	}
	if o.stepDone(t.name.Step) {
		s.learnStep(j, t.name.Step)
	}
	s.markDirty(j)
	s.completeIfDone(j)
}
