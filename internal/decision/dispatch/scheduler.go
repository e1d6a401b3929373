// Package dispatch decides which task of which job runs on which instance, for one
// owner. It is a state machine without I/O: it is told what was accepted, what
// instances list and what the table has confirmed, and says what to start and stop.
//
// Data in and out:
//
//	in:  Accept(job 5c0e.. with 1 step of 2 tasks), Register(instance a), Reconcile(a, nothing runs)
//	out: Plan -> start 5c0e...0.0.0 run 1 on a, start 5c0e...0.0.1 run 1 on a
//	in:  End(a, 5c0e...0.0.0 run 1 done)
//	out: Dirty -> progress of 5c0e.. with bit 0 of step 0
package dispatch

import (
	"sort"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
)

const (
	// runsAnEpoch parts the run numbers of one owner from those of the next.
	runsAnEpoch = 1_000_000
	// avoidAfter is how many failed ends in a row, of different jobs, make an
	// instance one to avoid.
	avoidAfter = 2
	// avoidFor is how long it is avoided.
	avoidFor = 4 * time.Second
	// restartPause is the wait before a lasting task that failed starts again.
	restartPause = 20 * time.Millisecond
	// lateLimit is the multiple of the objective up to which a job is worth something.
	lateLimit = 3
)

// Scheduler is the state of one owner.
type Scheduler struct {
	epoch     uint64
	runBase   int64
	under     uint64 // version of the owner's row of this epoch
	jobs      map[string]*work
	finished  map[string]finished
	instances map[string]*instance // by the ID of their life
	doubts    map[string]bool      // instances of earlier owners not heard of yet
	stops     []Stop
	changes   []InstanceChange
	pairs     *interference.Model
	regrouped time.Time // when serving tasks were last moved for filling ones
	looked    time.Time // when a reason for that was last looked for
}

// finished is a job whose last state is kept. Runs of it may still be stopping, so
// what they take must be known.
type finished struct {
	job   *Job
	state State
}

// New makes the book of the owner of an epoch, whose row has the version under.
func New(epoch, under uint64) *Scheduler {
	return &Scheduler{
		epoch: epoch, under: under, runBase: int64(epoch-1) * runsAnEpoch,
		jobs: map[string]*work{}, finished: map[string]finished{},
		instances: map[string]*instance{}, doubts: map[string]bool{},
		pairs: interference.NewModel(),
	}
}

// OwnerVersion is the version of the owner's row that the book was made with.
func (b *Scheduler) OwnerVersion() uint64 { return b.under }

// Accept takes a job with the progress that was kept of it, nil when there is none.
// A job that is known already changes nothing. It tells whether the job was new.
func (b *Scheduler) Accept(now time.Time, job *Job, kept *Progress) bool {
	if _, known := b.jobs[job.ID]; known {
		return false
	}
	if _, known := b.finished[job.ID]; known {
		return false
	}
	if kept != nil && kept.State.Final() {
		b.finished[job.ID] = finished{job, kept.State}
		return false
	}
	w := &work{job: job, accepted: now, objective: time.Duration(job.Objective()) * time.Millisecond}
	doubted := job.OwnerVersion != b.under && len(b.doubts) > 0
	b.jobs[job.ID] = w
	if kept != nil {
		for k, occ := range kept.Occurrences {
			o := b.newOccurrence(w, k, doubted)
			o.adopt(occ)
			w.occurrences = append(w.occurrences, o)
			w.started = true
		}
	}
	if job.FirstDue == 0 && len(w.occurrences) == 0 {
		w.occurrences = append(w.occurrences, b.newOccurrence(w, 0, doubted))
	}
	b.conclude(w)
	return true
}

// Trigger makes the occurrences whose time has come; unix is the time of day in ms.
func (b *Scheduler) Trigger(unix int64) {
	for _, w := range b.jobs {
		if w.job.FirstDue == 0 {
			continue
		}
		for k := len(w.occurrences); k < w.job.Occurrences(); k++ {
			if w.job.FirstDue+int64(k)*w.job.Interval > unix {
				break
			}
			doubted := w.job.OwnerVersion != b.under && len(b.doubts) > 0
			w.occurrences = append(w.occurrences, b.newOccurrence(w, k, doubted))
		}
	}
}

// Cancel ends a job. It tells whether that changed anything.
func (b *Scheduler) Cancel(id string) bool {
	w, ok := b.jobs[id]
	if !ok {
		return false
	}
	b.finish(w, Cancelled)
	return true
}

// finish gives a job its last state and stops what still runs of it.
func (b *Scheduler) finish(w *work, state State) {
	w.state = state
	b.touch(w)
	if state == Completed {
		return
	}
	for _, in := range b.instances {
		for _, p := range in.placements {
			if p.name.Job == w.job.ID {
				b.stop(in, p)
			}
		}
	}
}

func (b *Scheduler) touch(w *work) {
	w.dirty = true
	w.revision++
}

func (b *Scheduler) stop(in *instance, p *placement) {
	if p.stopping {
		return
	}
	p.stopping = true
	b.stops = append(b.stops, Stop{Instance: in.offer.Incarnation.ID, Task: p.name, Run: p.run})
}

// conclude completes a job whose tasks have all ended as done.
func (b *Scheduler) conclude(w *work) {
	if w.state.Final() || len(w.occurrences) < w.job.Occurrences() {
		return
	}
	for _, o := range w.occurrences {
		if o.left > 0 {
			return
		}
	}
	b.finish(w, Completed)
}

func (b *Scheduler) find(name TaskName) *task {
	w, ok := b.jobs[name.Job]
	if !ok || w.state.Final() {
		return nil
	}
	if name.Occurrence >= len(w.occurrences) {
		return nil
	}
	o := w.occurrences[name.Occurrence]
	if name.Step >= len(o.steps) || name.Index >= len(o.steps[name.Step]) {
		return nil
	}
	return o.steps[name.Step][name.Index]
}

// Stop is an order to end a run.
type Stop struct {
	Instance string
	Task     TaskName
	Run      int64
}

// TakeStops returns the stops decided since the last call.
func (b *Scheduler) TakeStops() []Stop {
	stops := b.stops
	b.stops = nil
	return stops
}

// ProgressChange is progress that must be kept. Revision goes back to Committed.
type ProgressChange struct {
	Job      string
	Revision uint64
	Progress *Progress
}

// Dirty lists at most limit changes that are not kept yet; final ones come first.
func (b *Scheduler) Dirty(limit int) []ProgressChange {
	var changes []ProgressChange
	for id, w := range b.jobs {
		if w.dirty {
			changes = append(changes, ProgressChange{Job: id, Revision: w.revision, Progress: w.progress()})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		a, c := changes[i], changes[j]
		if a.Progress.State.Final() != c.Progress.State.Final() {
			return a.Progress.State.Final()
		}
		return a.Job < c.Job
	})
	if len(changes) > limit {
		changes = changes[:limit]
	}
	return changes
}

// HasDirty tells whether something must be kept, and whether some of it is the end
// of a job, for which somebody may wait.
func (b *Scheduler) HasDirty() (dirty, final bool) {
	for _, w := range b.jobs {
		if w.dirty {
			dirty = true
			final = final || w.state.Final()
		}
	}
	return dirty, final
}

// Committed takes that a change is in the table. A job whose last state is kept leaves
// the book.
func (b *Scheduler) Committed(c ProgressChange) {
	w, ok := b.jobs[c.Job]
	if !ok || w.revision != c.Revision {
		return
	}
	w.dirty = false
	if w.state.Final() {
		delete(b.jobs, c.Job)
		b.finished[c.Job] = finished{w.job, w.state}
	}
}

// Forget drops what is known of a finished job.
func (b *Scheduler) Forget(id string) { delete(b.finished, id) }

// Finished tells the last state of a job that is kept.
func (b *Scheduler) Finished(id string) (State, bool) {
	done, ok := b.finished[id]
	return done.state, ok
}

// Active tells whether the book has the job and it is not finished.
func (b *Scheduler) Active(id string) bool {
	_, ok := b.jobs[id]
	return ok
}

// Backlog counts, for each queue, the jobs of which no task has started.
func (b *Scheduler) Backlog() map[string]int {
	counts := map[string]int{}
	for _, w := range b.jobs {
		if !w.started && !w.state.Final() {
			counts[w.job.Queue]++
		}
	}
	return counts
}
