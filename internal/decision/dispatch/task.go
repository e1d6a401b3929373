package dispatch

import (
	"math/big"
	"slices"
	"strconv"
	"time"
)

// task is one task of one occurrence of a job.
type task struct {
	name         TaskName
	job          *jobState
	step         *Step
	instance     string // where it is placed; "" while it waits
	run          int64  // number of the run that is placed now
	lastRun      int64  // highest run number assigned or reported
	startedAt    time.Time
	checkpoint   string       // latest checkpoint, "" if none
	checkpointAt time.Time    // when it was reported; zero if none was, or an earlier owner has stored it
	failedRuns   []int64      // runs that ended as failed
	failedOn     []string     // instances on which they failed
	crashes      Crashes      // cleared by a run that lasts
	pendingCrash pendingCrash // zero once it is settled
	lastCrashAt  time.Time    // when the last of them was recorded or, by a later owner, restored
	done         bool
	// unconfirmed is set while an earlier owner may have started the task on an instance that
	// has not reported yet. The task must not start until then.
	unconfirmed bool
	notBefore   time.Time // earliest next start
}

// waiting reports whether the task is neither done nor placed.
func (t *task) waiting() bool { return !t.done && t.instance == "" }

// recordCheckpoint records a checkpoint that an instance reports; "" is none.
func (t *task) recordCheckpoint(now time.Time, checkpoint string) {
	if checkpoint != "" && checkpoint != t.checkpoint {
		t.checkpoint, t.checkpointAt = checkpoint, now
	}
}

// recordFailedOn records an instance on which the task has failed.
func (t *task) recordFailedOn(id string) {
	if !slices.Contains(t.failedOn, id) {
		t.failedOn = append(t.failedOn, id)
	}
}

// progressKey is the task's key in Occurrence.Failed and Occurrence.Checkpoints: step.index.
func (t *task) progressKey() string {
	return strconv.Itoa(t.name.Step) + "." + strconv.Itoa(t.name.Index)
}

// occurrence is one pass through the steps of a job.
type occurrence struct {
	number    int
	steps     [][]*task
	remaining int       // tasks that are not done
	undone    []int     // the same, by step
	idleSince time.Time // since when planning has found no task of it on an instance; zero while one is
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

// jobState is a job whose final state is not committed, with its tasks.
type jobState struct {
	spec            *Job
	state           State
	begun           bool          // a run or its end was reported, or an occurrence was stored; never reset
	occurrences     []*occurrence // those that are due, in order
	objective       time.Duration
	acceptedAt      time.Time // when Accept was called on this scheduler, by the caller's clock; not Job.Accepted
	postponedBefore bool      // TakePostponements returns the job once
	favored         bool      // see isFavored
	dirty           bool
	revision        uint64 // grows with each change to be committed
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

// progress returns the job's progress to commit.
func (j *jobState) progress() *Progress {
	p := &Progress{State: j.state}
	if j.state.Final() {
		return p
	}
	for _, o := range j.occurrences {
		for len(p.Occurrences) < o.number {
			p.Occurrences = append(p.Occurrences, nil)
		}
		p.Occurrences = append(p.Occurrences, o.progress())
	}
	return p
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
