package dispatch

import (
	"math/big"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/speeds"
)

// occurrence is one pass through the steps of a job.
type occurrence struct {
	number     int
	steps      [][]*task
	remaining  int                // tasks that are not done
	undone     []int              // the same, by step
	references []speeds.Reference // how long the runs of each step took; nil before the first end
	idleSince  time.Time          // since when planning has found no task of it on an instance; zero while one is
}

// stepDone reports whether all tasks of a step are done.
func (o *occurrence) stepDone(step int) bool {
	return step < 0 || step >= len(o.steps) || o.undone[step] == 0
}

// setDone marks a task of the occurrence as done.
func (o *occurrence) setDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	o.remaining--
	o.undone[t.name.Step]--
}

// running reports whether a task of the occurrence is on an instance.
func (o *occurrence) running() bool {
	for _, tasks := range o.steps {
		for _, t := range tasks {
			if t.instance != "" {
				return true
			}
		}
	}
	return false
}

// idleFor returns how long no task of the occurrence has been on an instance, as seen by its
// calls. It starts or resets that timer.
func (o *occurrence) idleFor(now time.Time) time.Duration {
	switch {
	case o.running():
		o.idleSince = time.Time{}
		return 0
	case o.idleSince.IsZero():
		o.idleSince = now
	}
	return now.Sub(o.idleSince)
}

// ready reports whether all steps that this step depends on are done.
func (o *occurrence) ready(step *Step) bool {
	for _, before := range step.After {
		if !o.stepDone(before) {
			return false
		}
	}
	return true
}

// newOccurrence creates an occurrence of a job whose tasks have not started.
func (s *Scheduler) newOccurrence(j *jobState, number int, unconfirmed bool) *occurrence {
	o := &occurrence{number: number, steps: make([][]*task, len(j.spec.Steps)), undone: make([]int, len(j.spec.Steps))}
	for stepIndex := range j.spec.Steps {
		step := &j.spec.Steps[stepIndex]
		o.steps[stepIndex] = make([]*task, step.Count)
		for index := range o.steps[stepIndex] {
			o.steps[stepIndex][index] = &task{
				name: TaskName{j.spec.ID, number, stepIndex, index}, job: j, step: step,
				lastRun: s.runBase, unconfirmed: unconfirmed,
			}
		}
		o.remaining += step.Count
		o.undone[stepIndex] = step.Count
	}
	return o
}

// restoreOccurrences creates the occurrences of a job of which there is stored progress.
func (s *Scheduler) restoreOccurrences(now time.Time, j *jobState, stored *Progress, unconfirmed bool) {
	for k := range min(stored.Completed, j.spec.Occurrences()) {
		o := s.newOccurrence(j, k, unconfirmed)
		o.setAllDone()
		j.occurrences = append(j.occurrences, o)
	}
	for _, occ := range stored.Occurrences {
		o := s.newOccurrence(j, len(j.occurrences), unconfirmed)
		o.restore(occ)
		s.restoreSuspects(now, o)
		j.occurrences = append(j.occurrences, o)
	}
	j.begun = j.begun || len(j.occurrences) > 0
}

// Trigger creates the occurrences that are due at nowMillis, in Unix ms.
func (s *Scheduler) Trigger(nowMillis int64) {
	for _, j := range s.jobs {
		count := len(j.occurrences)
		for count < j.spec.Occurrences() && j.spec.dueAt(count) <= nowMillis {
			count++
		}
		s.addOccurrences(j, count)
	}
}

// addOccurrences creates the next occurrences of a job, until it has count of them.
func (s *Scheduler) addOccurrences(j *jobState, count int) {
	unconfirmed := j.spec.OwnerRevision != s.ownerRevision && len(s.unconfirmed) > 0
	for k := len(j.occurrences); k < count; k++ {
		j.occurrences = append(j.occurrences, s.newOccurrence(j, k, unconfirmed))
	}
}

// findReported returns the task of a run that an instance reports, or nil. The report shows that an
// earlier owner has begun the task's occurrence, so it is created if this owner's clock has not reached
// its time yet. No clock is ahead by more than MaxClockAhead.
func (s *Scheduler) findReported(now time.Time, name TaskName) *task {
	j, ok := s.jobs[name.Job]
	if ok && !j.state.Final() && name.Occurrence < j.spec.Occurrences() && j.spec.dueAt(name.Occurrence) <= now.Add(MaxClockAhead).UnixMilli() {
		s.addOccurrences(j, name.Occurrence+1)
	}
	return s.findTask(name)
}

// progress returns the occurrence's progress to commit.
func (o *occurrence) progress() *Occurrence {
	progress := &Occurrence{Done: make([]string, len(o.steps)), complete: o.remaining == 0}
	for s, tasks := range o.steps {
		done := new(big.Int)
		for i, t := range tasks {
			if t.done {
				done.SetBit(done, i, 1)
				continue
			}
			if len(t.failedRuns) > 0 {
				if progress.Failed == nil {
					progress.Failed = map[string][]int64{}
				}
				progress.Failed[t.progressKey()] = t.failedRuns
			}
			if t.suspect() {
				if progress.Crashed == nil {
					progress.Crashed = map[string]Crashes{}
				}
				progress.Crashed[t.progressKey()] = t.crashes
			}
			if t.checkpoint != "" && t.instance == "" {
				if progress.Checkpoints == nil {
					progress.Checkpoints = map[string]string{}
				}
				progress.Checkpoints[t.progressKey()] = t.checkpoint
			}
		}
		progress.Done[s] = formatBits(done)
	}
	return progress
}

// setAllDone marks all tasks of the occurrence as done.
func (o *occurrence) setAllDone() {
	for _, tasks := range o.steps {
		for _, t := range tasks {
			o.setDone(t)
			t.unconfirmed = false
		}
	}
}

// restore loads stored progress into a new occurrence.
func (o *occurrence) restore(stored *Occurrence) {
	if stored == nil {
		return
	}
	for s, tasks := range o.steps {
		done := new(big.Int)
		if s < len(stored.Done) {
			if set, ok := parseBits(stored.Done[s]); ok {
				done = set
			}
		}
		for i, t := range tasks {
			if done.Bit(i) == 1 {
				o.setDone(t)
				t.unconfirmed = false
			}
			t.failedRuns = stored.Failed[t.progressKey()]
			t.crashes = stored.Crashed[t.progressKey()]
			t.checkpoint = stored.Checkpoints[t.progressKey()]
			for _, run := range slices.Concat(t.failedRuns, t.crashes.Runs) {
				t.lastRun = max(t.lastRun, run)
			}
		}
	}
}
