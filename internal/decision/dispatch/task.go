package dispatch

import (
	"math/big"
	"strconv"
	"time"
)

// task is one task of one occurrence.
type task struct {
	name     TaskName
	work     *work
	step     *Step
	instance string // where it is placed; "" while it waits
	run      int64  // number of the run placed now
	lastRun  int64  // highest run number given out or seen
	since    time.Time
	saved    string   // last checkpoint
	failed   []int64  // runs that ended as failed
	failedOn []string // instances on which they did
	done     bool
	// doubted: an earlier owner may have started it on an instance that has not
	// been heard of yet.
	doubted   bool
	notBefore time.Time
}

func (t *task) waits() bool { return !t.done && t.instance == "" }

func (t *task) key() string { return strconv.Itoa(t.name.Step) + "." + strconv.Itoa(t.name.Index) }

// occurrence is one run through the steps of a job.
type occurrence struct {
	number int
	steps  [][]*task
	left   int       // tasks that have not ended as done
	idle   time.Time // since when a plan has found nothing of it running; zero while it runs
}

// stepDone tells whether all tasks of a step have ended as done.
func (o *occurrence) stepDone(step int) bool {
	if step < 0 || step >= len(o.steps) {
		return true
	}
	for _, t := range o.steps[step] {
		if !t.done {
			return false
		}
	}
	return true
}

// runs tells whether a task of the occurrence is on an instance.
func (o *occurrence) runs() bool {
	for _, tasks := range o.steps {
		for _, t := range tasks {
			if t.instance != "" {
				return true
			}
		}
	}
	return false
}

// idleFor is how long nothing of the occurrence has run, as far as plans have seen.
func (o *occurrence) idleFor(now time.Time) time.Duration {
	switch {
	case o.runs():
		o.idle = time.Time{}
		return 0
	case o.idle.IsZero():
		o.idle = now
	}
	return now.Sub(o.idle)
}

// ready tells whether the tasks of a step may start.
func (o *occurrence) ready(step *Step) bool {
	for _, before := range step.After {
		if !o.stepDone(before) {
			return false
		}
	}
	return true
}

// work is a job that is not finished, with its tasks.
type work struct {
	job         *Job
	state       State
	started     bool // a task has started, as far as is known
	cancelled   bool
	occurrences []*occurrence // those that are due, in order
	settled     int           // occurrences before this number are done
	objective   time.Duration
	accepted    time.Time // by the book's clock
	dirty       bool
	revision    uint64 // grows with each change that must be kept
}

func (b *Scheduler) newOccurrence(w *work, number int, doubted bool) *occurrence {
	o := &occurrence{number: number, steps: make([][]*task, len(w.job.Steps))}
	for s := range w.job.Steps {
		step := &w.job.Steps[s]
		o.steps[s] = make([]*task, step.Count)
		for i := range o.steps[s] {
			o.steps[s][i] = &task{
				name: TaskName{w.job.ID, number, s, i}, work: w, step: step,
				lastRun: b.runBase, doubted: doubted,
			}
		}
		o.left += step.Count
	}
	return o
}

// progress is what must be kept of the work now.
func (w *work) progress() *Progress {
	p := &Progress{State: w.state}
	if w.state.Final() {
		return p
	}
	for _, o := range w.occurrences {
		for len(p.Occurrences) < o.number {
			p.Occurrences = append(p.Occurrences, nil)
		}
		p.Occurrences = append(p.Occurrences, o.progress())
	}
	return p
}

func (o *occurrence) progress() *Occurrence {
	kept := &Occurrence{Done: make([]string, len(o.steps))}
	for s, tasks := range o.steps {
		done := new(big.Int)
		for i, t := range tasks {
			if t.done {
				done.SetBit(done, i, 1)
				continue
			}
			if len(t.failed) > 0 {
				if kept.Failed == nil {
					kept.Failed = map[string][]int64{}
				}
				kept.Failed[t.key()] = t.failed
			}
			if t.saved != "" && t.instance == "" {
				if kept.Checkpoints == nil {
					kept.Checkpoints = map[string]string{}
				}
				kept.Checkpoints[t.key()] = t.saved
			}
		}
		kept.Done[s] = bitsText(done)
	}
	return kept
}

// adopt takes kept progress over into a fresh occurrence.
func (o *occurrence) adopt(kept *Occurrence) {
	if kept == nil {
		return
	}
	for s, tasks := range o.steps {
		done := new(big.Int)
		if s < len(kept.Done) {
			if set, ok := bitsOf(kept.Done[s]); ok {
				done = set
			}
		}
		for i, t := range tasks {
			if done.Bit(i) == 1 {
				t.done = true
				t.doubted = false
				o.left--
			}
			t.failed = kept.Failed[t.key()]
			t.saved = kept.Checkpoints[t.key()]
			for _, run := range t.failed {
				t.lastRun = max(t.lastRun, run)
			}
		}
	}
}
