package placement

import (
	"maps"
	"slices"
	"time"
)

// chunksMost bounds the chunk rows of one commit.
const chunksMost = 64

// Change is one chunk row to write, if it is still at Revision.
type Change struct {
	Job      string
	Chunk    Chunk
	Revision uint64
}

// Plan derives the next commit from the facts taken so far; empty when there is
// nothing to do or a commit is under way. The caller must answer with Committed,
// or give the owner up.
func (o *Owner) Plan(now time.Time) []Change {
	if len(o.inflight) > 0 {
		return nil
	}
	o.markLost(now)
	for _, c := range o.takeDirty() {
		o.settleChunk(now, c)
	}
	o.placeWaiting(now)
	changes := make([]Change, 0, len(o.inflight))
	for _, c := range o.inflight {
		id := c.tasks[0].job.ID
		changes = append(changes, Change{
			Job:      id,
			Chunk:    Chunk{Job: id, Index: c.index, Tasks: c.next},
			Revision: c.version,
		})
	}
	return changes
}

// Committed takes the success of the planned commit: rows are at version now.
func (o *Owner) Committed(now time.Time, version uint64) {
	for _, c := range o.inflight {
		c.version = version
		for i, t := range c.tasks {
			o.apply(now, t, c.next[i])
		}
		c.next = nil
	}
	o.inflight = nil
}

// apply makes a committed record current and says what was decided by it.
func (o *Owner) apply(now time.Time, t *task, next Task) {
	before := t.Task
	if before == next {
		return
	}
	t.Task = next
	if next.State == Placed && before.State == Placed {
		o.decisions = append(o.decisions, Decision{
			Action: Hold, Job: t.job.Job, Task: t.Number, Attempt: next.Attempt, Instance: next.Instance,
			State: next.State, Reason: next.Reason,
		})
		return
	}
	if before.State == Placed {
		o.vacate(o.instances[before.Instance], t)
	}
	decision := Decision{
		Job: t.job.Job, Task: t.Number, Attempt: next.Attempt, Instance: before.Instance,
		State: next.State, Reason: next.Reason, Evicted: next.Evictions > before.Evictions,
	}
	switch {
	case next.State == Placed:
		decision.Action = Place
		decision.Instance = next.Instance
		decision.Candidates = t.over
	case next.State == Waiting:
		decision.Action = Requeue
		decision.Lost = !t.lostSince.IsZero()
		o.waiting[t] = true
	default:
		decision.Action = End
		decision.Late = !t.job.Deadline.IsZero() && now.After(t.job.Deadline)
		decision.QuotaDelayed = t.quota
	}
	t.held, t.unlisted, t.evict, t.lostSince = nil, false, "", time.Time{}
	o.decisions = append(o.decisions, decision)
}

func (o *Owner) takeDirty() []*chunk {
	taken := o.dirty
	if len(taken) > chunksMost {
		o.dirty = append([]*chunk(nil), taken[chunksMost:]...)
		taken = taken[:chunksMost]
	} else {
		o.dirty = nil
	}
	for _, c := range taken {
		c.dirty = false
	}
	return taken
}

// markLost marks the chunks with tasks on instances that are silent and whose
// every grant has lapsed.
func (o *Owner) markLost(now time.Time) {
	for _, name := range o.names {
		at := o.instances[name]
		if now.Sub(at.heard) <= o.ttl || now.Before(at.lapse) {
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(at.tasks)) {
			t := at.tasks[task]
			if t.lostSince.IsZero() {
				t.lostSince = now
			}
			o.mark(t.chunk)
		}
	}
}

// settleChunk derives the next records of one chunk from the facts.
func (o *Owner) settleChunk(now time.Time, c *chunk) {
	for i, t := range c.tasks {
		next := o.settle(now, t)
		if next != t.Task {
			o.stage(c)
			c.next[i] = next
			delete(o.waiting, t)
		}
	}
}

// stage puts a chunk into the commit being planned.
func (o *Owner) stage(c *chunk) {
	if c.next != nil {
		return
	}
	c.next = make([]Task, len(c.tasks))
	for i, t := range c.tasks {
		c.next[i] = t.Task
	}
	o.inflight = append(o.inflight, c)
}

// settle is the table of transitions: record and facts in, next record out.
func (o *Owner) settle(now time.Time, t *task) Task {
	switch {
	case t.State.Final():
		return t.Task
	case t.State == Waiting && t.cancelled:
		return t.end(now, Cancelled, "cancelled")
	case t.State == Waiting:
		return t.Task
	case t.held != nil && t.held.RunState.Final():
		return o.settleOver(now, t)
	case t.unlisted:
		return t.settleUnlisted(now, o.instances[t.Instance])
	case !t.lostSince.IsZero():
		return t.settleLost(now)
	}
	return t.Task
}

// settleOver takes the end of a run that the agent reported.
func (o *Owner) settleOver(now time.Time, t *task) Task {
	at := o.instances[t.Instance]
	switch t.held.RunState {
	case Finished:
		at.failures = 0
		return t.end(now, Done, "")
	case RunFailed:
		return o.settleBroken(now, t, at)
	case Declined:
		return t.back("declined by " + t.Instance + ": " + t.held.Reason)
	case Stopped, Starting, Running, Paused:
	}
	if t.cancelled {
		return t.end(now, Cancelled, "cancelled")
	}
	if t.held.Checkpoint == "" && !t.job.Idempotent {
		return t.end(now, Unknown, "stopped without a checkpoint: "+t.held.Reason)
	}
	next := t.back("evicted from " + t.Instance + ": " + t.held.Reason)
	next.Evictions++
	if t.held.Checkpoint != "" {
		next.Checkpoint = t.held.Checkpoint
	}
	return next
}

func (o *Owner) settleBroken(now time.Time, t *task, at *instance) Task {
	at.failures++
	if at.failures >= sickAfter {
		at.sickUntil = now.Add(sickTime)
	}
	why := "failed on " + t.Instance + ": " + t.held.Reason
	if t.cancelled {
		return t.end(now, Cancelled, "cancelled")
	}
	if !t.job.Idempotent || t.Failures+1 >= failuresMost {
		next := t.end(now, Failed, why)
		next.Failures++
		return next
	}
	next := t.back(why)
	next.Failures++
	return next
}

// settleUnlisted takes a task that its instance does not hold. Under the boot it
// was placed for, it was never started; under another, the worker lost it.
func (t *task) settleUnlisted(now time.Time, at *instance) Task {
	same := t.WorkerIncarnation == at.boot
	switch {
	case same && t.cancelled:
		return t.end(now, Cancelled, "cancelled")
	case same && t.evict != "":
		return t.back("not started on " + t.Instance + ": " + t.evict)
	case same && at.leaving:
		return t.back("not started on " + t.Instance + ": instance is leaving")
	case same:
		return t.Task
	case t.cancelled:
		return t.end(now, Cancelled, "cancelled")
	case !t.job.Idempotent:
		return t.end(now, Unknown, "the worker of "+t.Instance+" restarted while it held the task")
	}
	return t.back("the worker of " + t.Instance + " restarted")
}

// settleLost takes a task whose instance is silent and whose grants have lapsed.
func (t *task) settleLost(now time.Time) Task {
	switch {
	case t.job.Idempotent && t.cancelled:
		return t.end(now, Cancelled, "cancelled")
	case t.job.Idempotent:
		return t.back("instance " + t.Instance + " lost")
	case now.Sub(t.lostSince) >= settleBound:
		return t.end(now, Unknown, "instance "+t.Instance+" lost and did not come back to say")
	}
	next := t.Task
	next.Reason = "held: instance " + t.Instance + " is lost and may have run it"
	return next
}

func (t *task) back(why string) Task {
	next := t.Task
	next.State = Waiting
	next.PreviousInstance = t.Instance
	next.Instance = ""
	next.WorkerIncarnation = ""
	next.Reason = why
	return next
}

func (t *task) end(now time.Time, state State, why string) Task {
	next := t.Task
	next.State = state
	next.Reason = why
	next.Ended = now
	return next
}
