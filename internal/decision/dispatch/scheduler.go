// Package dispatch schedules jobs with dependent steps: it decides which task runs on which
// instance, for one shard owner. It is a state machine without I/O. Its caller, the owner,
// reports accepted jobs, what instances report and what was committed to the table, and
// executes the starts and stops that the Scheduler returns. Storage, sessions with agents and
// leases are left to the owner.
//
// Data in and out:
//
//	in:  Accept(job 5c0e.. with 1 step of 2 tasks), Register(instance a), Reconcile(a, nothing runs)
//	out: Plan -> start 5c0e...0.0.0 run 1 on a, start 5c0e...0.0.1 run 1 on a
//	in:  Ended(a, 5c0e...0.0.0 run 1 done)
//	out: Dirty -> progress of 5c0e.. with bit 0 of step 0
package dispatch

import (
	"sort"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/durations"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/decision/speeds"
)

const (
	// runNumbersPerEpoch is the size of the range of run numbers that each owner epoch has to
	// itself, so that the runs of successive owners never share a number.
	runNumbersPerEpoch = 1_000_000
	// restartDelay is the wait before a long-running task starts again after a run that failed
	// or ended as done.
	restartDelay = 20 * time.Millisecond
	// worthlessFactor bounds, as a multiple of a job's objective, the time since acceptance after
	// which finishing the job has no value.
	worthlessFactor = 3
)

// Scheduler holds the scheduling state of one owner epoch: jobs, instances, and orders and
// changes that the owner has not taken yet. It is not safe for concurrent use.
type Scheduler struct {
	runBase            int64  // run numbers of this epoch are higher than this
	ownerRevision      uint64 // revision of the owner's table row in this epoch
	jobs               map[string]*jobState
	finished           map[string]finishedJob
	instances          map[string]*instance // by the ID of their incarnation
	byID               []*instance          // the same, sorted by that ID
	unconfirmed        map[string]bool      // instances of earlier owners that have not reported yet
	lateStarts         lateStarts
	longestLease       time.Duration // see SetLongestLease
	unsettled          unsettled
	formerStarts       map[string][]StoredStart // by instance that has not reported: what earlier owners have stored
	suspects           map[TaskName]*task       // tasks that a crash of a worker is held against
	lostAt             map[string]time.Time     // by agent: when its worker last fell silent or crashed
	stops              []Stop
	postponements      []Postponement
	stepDurations      []StepDuration
	instanceChanges    []InstanceChange
	costModel          *interference.Model
	durations          *durations.Model
	speeds             *speeds.Model
	rebalancedAt       time.Time       // when latency-critical tasks were last moved to make room for best-effort ones
	rebalanceCheckedAt time.Time       // when such a move was last considered
	stallCheckedAt     time.Time       // when stalled tasks were last looked for
	evacuated          map[string]bool // failure domains where nothing new starts
	bestEffortWaits    map[string]bool // services for which the last plan found no instance for some best-effort tasks of on-time jobs
	windows
}

// finishedJob is a job whose final state is committed. Its runs may still be stopping, so its
// steps are needed to account for the resources that they use.
type finishedJob struct {
	job   *Job
	state State
}

// New returns the scheduler of the owner with this epoch, whose table row has revision
// ownerRevision.
func New(epoch, ownerRevision uint64) *Scheduler {
	return &Scheduler{
		ownerRevision: ownerRevision, runBase: int64(epoch-1) * runNumbersPerEpoch,
		jobs: map[string]*jobState{}, finished: map[string]finishedJob{},
		instances: map[string]*instance{}, unconfirmed: map[string]bool{}, lateStarts: lateStarts{}, unsettled: unsettled{}, formerStarts: map[string][]StoredStart{}, suspects: map[TaskName]*task{}, lostAt: map[string]time.Time{},
		costModel: interference.NewModel(), durations: durations.New(), speeds: speeds.New(),
	}
}

// OwnerRevision returns the revision of the owner's table row that was passed to New.
func (s *Scheduler) OwnerRevision() uint64 { return s.ownerRevision }

// Accept adds a job with its stored progress, or nil if there is none. It reports whether the
// job is new and unfinished. A job that the scheduler already knows is ignored.
func (s *Scheduler) Accept(now time.Time, job *Job, stored *Progress) bool {
	if _, known := s.jobs[job.ID]; known {
		return false
	}
	if _, known := s.finished[job.ID]; known {
		return false
	}
	if stored != nil && stored.State.Final() {
		s.finished[job.ID] = finishedJob{job, stored.State}
		return false
	}
	j := &jobState{spec: job, acceptedAt: now, durations: make([]stepDuration, len(job.Steps)), favored: isFavored(job)}
	s.refreshPredictions(j)
	unconfirmed := job.OwnerRevision != s.ownerRevision && len(s.unconfirmed) > 0
	s.jobs[job.ID] = j
	if stored != nil {
		s.restoreOccurrences(now, j, stored, unconfirmed)
	}
	if job.FirstDue == 0 && len(j.occurrences) == 0 {
		j.occurrences = append(j.occurrences, s.newOccurrence(j, 0, unconfirmed))
	}
	s.completeIfDone(j)
	return true
}

// Cancel cancels a job that has not ended and stops its runs. It reports whether it did. A final
// state never changes, also while it is not stored yet.
func (s *Scheduler) Cancel(id string) bool {
	j, ok := s.jobs[id]
	if !ok || j.state.Final() {
		return false
	}
	s.finish(j, Cancelled)
	return true
}

// finish sets the final state of a job. Unless the job completed, it stops the runs that
// remain.
func (s *Scheduler) finish(j *jobState, state State) {
	j.state = state
	s.markDirty(j)
	if state == Completed {
		return
	}
	for _, in := range s.byID {
		for _, p := range in.reservations {
			if p.name.Job == j.spec.ID {
				s.stop(in, p, StopJobEnded)
			}
		}
	}
}

// markDirty marks the job's progress as changed and uncommitted.
func (s *Scheduler) markDirty(j *jobState) {
	j.dirty = true
	j.revision++
}

// stop orders a run to end, once.
func (s *Scheduler) stop(in *instance, p *reservation, reason StopReason) {
	if p.stopping {
		return
	}
	p.stopping = true
	s.stops = append(s.stops, Stop{Instance: in.registration.Incarnation.ID, Task: p.name, Run: p.run, Reason: reason})
}

// completeIfDone completes a job if all its occurrences were created and all their tasks are
// done.
func (s *Scheduler) completeIfDone(j *jobState) {
	if j.state.Final() || len(j.occurrences) < j.spec.Occurrences() {
		return
	}
	for _, o := range j.occurrences {
		if o.remaining > 0 {
			return
		}
	}
	s.finish(j, Completed)
}

// findTask returns a task of an unfinished job, or nil.
func (s *Scheduler) findTask(name TaskName) *task {
	j, ok := s.jobs[name.Job]
	if !ok || j.state.Final() {
		return nil
	}
	if name.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[name.Occurrence]
	if name.Step >= len(o.steps) || name.Index >= len(o.steps[name.Step]) {
		return nil
	}
	return o.steps[name.Step][name.Index]
}

// Stop is an order to end a run on an instance.
type Stop struct {
	Instance string
	Task     TaskName
	Run      int64
	Reason   StopReason
}

// TakeStops returns the stops decided since the last call.
func (s *Scheduler) TakeStops() []Stop {
	stops := s.stops
	s.stops = nil
	return stops
}

// ProgressChange is job progress to commit to the table. Once it is committed, pass it to
// Committed.
type ProgressChange struct {
	Job      string
	Revision uint64 // revision of the job's progress; Committed compares it
	Progress *Progress
}

// Dirty returns at most limit uncommitted progress changes, those with a final state first.
func (s *Scheduler) Dirty(limit int) []ProgressChange {
	var changes []ProgressChange
	for id, j := range s.jobs {
		if j.dirty {
			changes = append(changes, ProgressChange{Job: id, Revision: j.revision, Progress: j.progress()})
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

// HasDirty reports whether there are uncommitted progress changes, and whether one of them is
// the final state of a job, which a client may be waiting for.
func (s *Scheduler) HasDirty() (dirty, final bool) {
	for _, j := range s.jobs {
		if j.dirty {
			dirty = true
			final = final || j.state.Final()
		}
	}
	return dirty, final
}

// Committed records that a progress change was committed to the table. If the job has changed
// since, it stays uncommitted. A job whose final state is committed becomes a
// finished job.
func (s *Scheduler) Committed(c ProgressChange) {
	j, ok := s.jobs[c.Job]
	if !ok || j.revision != c.Revision {
		return
	}
	j.dirty = false
	if j.state.Final() {
		delete(s.jobs, c.Job)
		s.finished[c.Job] = finishedJob{j.spec, j.state}
	}
}

// Forget drops a finished job.
func (s *Scheduler) Forget(id string) { delete(s.finished, id) }

// Finished returns the final state of a finished job, and whether there is such a job.
func (s *Scheduler) Finished(id string) (State, bool) {
	job, ok := s.finished[id]
	return job.state, ok
}

// Active reports whether the scheduler has the job and has not committed a final state of it. A
// job that has just completed still counts.
func (s *Scheduler) Active(id string) bool {
	_, ok := s.jobs[id]
	return ok
}

// Backlog returns, for each queue, the number of unfinished jobs that wait: of which no task is known to
// have begun, and none is ordered on an instance that answers.
func (s *Scheduler) Backlog() map[string]int {
	counts := map[string]int{}
	for _, j := range s.jobs {
		if !j.begun && !j.state.Final() && !s.isOrdered(j) {
			counts[j.spec.Queue]++
		}
	}
	return counts
}

// isOrdered reports whether a task of the job is placed on an instance that answers.
func (s *Scheduler) isOrdered(j *jobState) bool {
	for _, o := range j.occurrences {
		for _, tasks := range o.steps {
			for _, t := range tasks {
				if in, placed := s.instances[t.instance]; placed && in.reachable {
					return true
				}
			}
		}
	}
	return false
}
