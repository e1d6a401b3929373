package dispatch

import (
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
	checkpoint   string        // latest checkpoint, "" if none
	checkpointAt time.Time     // when it was reported; zero if none was, or an earlier owner has stored it
	saved        time.Duration // work that the checkpoint holds, as the time that it takes at full speed; 0 if not known
	failedRuns   []int64       // runs that ended as failed
	failedOn     []string      // instances on which they failed
	crashes      Crashes       // cleared by a run that lasts
	pendingCrash pendingCrash  // zero once it is settled
	lastCrashAt  time.Time     // when the last of them was recorded or, by a later owner, restored
	done         bool
	// unconfirmed is set while an earlier owner may have started the task on an instance that
	// has not reported yet. The task must not start until then.
	unconfirmed bool
	notBefore   time.Time // earliest next start
}

// waiting reports whether the task is neither done nor placed.
func (t *task) waiting() bool { return !t.done && t.instance == "" }

// recordCheckpoint records a checkpoint that an instance reports, "" is none, of a run that has worked for
// worked by now, or 0 if that is not known.
func (t *task) recordCheckpoint(now time.Time, checkpoint string, worked time.Duration) {
	if checkpoint != "" && checkpoint != t.checkpoint {
		t.checkpoint, t.checkpointAt, t.saved = checkpoint, now, worked
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

// jobState is a job whose final state is not committed, with its tasks.
type jobState struct {
	spec            *Job
	state           State
	begun           bool           // a run or its end was reported, or an occurrence was stored; never reset
	occurrences     []*occurrence  // those that are due, in order
	durations       []stepDuration // by step
	objective       time.Duration  // see refreshPredictions
	acceptedAt      time.Time      // when Accept was called on this scheduler, by the caller's clock; not Job.Accepted
	postponedBefore bool           // TakePostponements returns the job once
	favored         bool           // see isFavored
	dirty           bool
	revision        uint64 // grows with each change to be committed
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
