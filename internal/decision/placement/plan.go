package placement

import (
	"maps"
	"slices"
	"time"
)

// maxDirtyChunks bounds the dirty chunks that one Plan examines, and so the rows that their
// transitions add to a commit. Placements can add more rows.
const maxDirtyChunks = 64

// Change is a conditional write of one chunk row: it applies only if the row is still at
// Revision.
type Change struct {
	Job      string
	Chunk    Chunk
	Revision uint64
}

// Plan derives the next commit from the facts received so far. It returns no changes if
// there is nothing to do or a commit is in flight. The caller must write all changes in
// one transaction and then call Committed. If the write failed or its outcome is unknown,
// the caller must discard the Owner.
func (o *Owner) Plan(now time.Time) []Change {
	if len(o.pending) > 0 {
		return nil
	}
	o.markLost(now)
	for _, c := range o.takeDirty() {
		o.transitionChunk(now, c)
	}
	o.placeWaiting(now)
	changes := make([]Change, 0, len(o.pending))
	for _, c := range o.pending {
		id := c.tasks[0].job.ID
		changes = append(changes, Change{
			Job:      id,
			Chunk:    Chunk{Job: id, Index: c.index, Tasks: c.next},
			Revision: c.revision,
		})
	}
	return changes
}

// Committed applies the changes of the last Plan after they were written. Their rows have
// the given revision now.
func (o *Owner) Committed(now time.Time, revision uint64) {
	for _, c := range o.pending {
		c.revision = revision
		for i, t := range c.tasks {
			o.apply(now, t, c.next[i])
		}
		c.next = nil
	}
	o.pending = nil
}

// apply makes a committed record the current one and appends the decision that led to it.
// A changed record of a task that stays placed is a Hold: only its reason changed.
func (o *Owner) apply(now time.Time, t *task, next Task) {
	previous := t.Task
	if previous == next {
		return
	}
	t.Task = next
	if next.State == Placed && previous.State == Placed {
		o.decisions = append(o.decisions, Decision{
			Action: Hold, Job: t.job.Job, Task: t.Number, Attempt: next.Attempt, Instance: next.Instance,
			State: next.State, Reason: next.Reason,
		})
		return
	}
	if previous.State == Placed {
		o.release(o.instances[previous.Instance], t)
	}
	decision := Decision{
		Job: t.job.Job, Task: t.Number, Attempt: next.Attempt, Instance: previous.Instance,
		State: next.State, Reason: next.Reason, Evicted: next.Evictions > previous.Evictions,
	}
	switch {
	case next.State == Placed:
		decision.Action = Place
		decision.Instance = next.Instance
		decision.Candidates = t.candidates
	case next.State == Waiting:
		decision.Action = Requeue
		decision.Lost = !t.lostSince.IsZero()
		o.waiting[t] = true
	default:
		decision.Action = End
		decision.Late = !t.job.Deadline.IsZero() && now.After(t.job.Deadline)
		decision.QuotaDelayed = t.quotaDelayed
	}
	t.reported, t.unlisted, t.evictReason, t.lostSince = nil, false, "", time.Time{}
	o.decisions = append(o.decisions, decision)
}

// takeDirty removes and returns up to maxDirtyChunks dirty chunks.
func (o *Owner) takeDirty() []*chunk {
	taken := o.dirty
	if len(taken) > maxDirtyChunks {
		o.dirty = append([]*chunk(nil), taken[maxDirtyChunks:]...)
		taken = taken[:maxDirtyChunks]
	} else {
		o.dirty = nil
	}
	for _, c := range taken {
		c.dirty = false
	}
	return taken
}

// markLost marks the tasks on lost instances and their chunks. An instance is lost if it
// hasn't sent a heartbeat for a TTL and all its grants have expired.
func (o *Owner) markLost(now time.Time) {
	for _, name := range o.names {
		inst := o.instances[name]
		if now.Sub(inst.lastHeartbeat) <= o.ttl || now.Before(inst.grantExpiry) {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(inst.tasks)) {
			t := inst.tasks[name]
			if t.lostSince.IsZero() {
				t.lostSince = now
			}
			o.markDirty(t.chunk)
		}
	}
}

// transitionChunk derives the next records of one chunk and stages those that changed.
func (o *Owner) transitionChunk(now time.Time, c *chunk) {
	for i, t := range c.tasks {
		next := o.transition(now, t)
		if next != t.Task {
			o.stage(c)
			c.next[i] = next
			delete(o.waiting, t)
		}
	}
}

// stage adds a chunk to the commit being planned.
func (o *Owner) stage(c *chunk) {
	if c.next != nil {
		return
	}
	c.next = make([]Task, len(c.tasks))
	for i, t := range c.tasks {
		c.next[i] = t.Task
	}
	o.pending = append(o.pending, c)
}

// transition is the state machine of a task: it returns the next record, derived from the
// current record and the facts.
func (o *Owner) transition(now time.Time, t *task) Task {
	switch {
	case t.State.Final():
		return t.Task
	case t.State == Waiting && t.cancelled:
		return t.end(now, Cancelled, "cancelled")
	case t.State == Waiting:
		return t.Task
	case t.reported != nil && t.reported.RunState.Final():
		return o.transitionEnded(now, t)
	case t.unlisted:
		return t.transitionUnlisted(now, o.instances[t.Instance])
	case !t.lostSince.IsZero():
		return t.transitionLost(now)
	}
	return t.Task
}

// transitionEnded returns the next record of a task whose agent reported a final run state.
// It also updates the failure count of the instance, at once and not with the commit.
func (o *Owner) transitionEnded(now time.Time, t *task) Task {
	inst := o.instances[t.Instance]
	switch t.reported.RunState {
	case Finished:
		inst.consecutiveFailures = 0
		return t.end(now, Done, "")
	case RunFailed:
		return o.transitionFailed(now, t, inst)
	case Declined:
		return t.requeue("declined by " + t.Instance + ": " + t.reported.Reason)
	case Stopped, Starting, Running, Paused:
	}
	if t.cancelled {
		return t.end(now, Cancelled, "cancelled")
	}
	if t.reported.CheckpointKey == "" && !t.job.Idempotent {
		return t.end(now, Unknown, "stopped without a checkpoint: "+t.reported.Reason)
	}
	next := t.requeue("evicted from " + t.Instance + ": " + t.reported.Reason)
	next.Evictions++
	if t.reported.CheckpointKey != "" {
		next.CheckpointKey = t.reported.CheckpointKey
	}
	return next
}

// transitionFailed returns the next record of a task whose run failed, and counts the
// failure against the instance.
func (o *Owner) transitionFailed(now time.Time, t *task, inst *instance) Task {
	inst.consecutiveFailures++
	if inst.consecutiveFailures >= excludeAfter {
		inst.excludedUntil = now.Add(excludeTime)
	}
	reason := "failed on " + t.Instance + ": " + t.reported.Reason
	if t.cancelled {
		return t.end(now, Cancelled, "cancelled")
	}
	if !t.job.Idempotent || t.Failures+1 >= maxFailures {
		next := t.end(now, Failed, reason)
		next.Failures++
		return next
	}
	next := t.requeue(reason)
	next.Failures++
	return next
}

// transitionUnlisted returns the next record of a task that its instance doesn't hold. If
// the worker incarnation is the one it was placed on, it was never started; otherwise the
// worker restarted and lost it.
func (t *task) transitionUnlisted(now time.Time, inst *instance) Task {
	sameIncarnation := t.WorkerIncarnation == inst.workerIncarnation
	switch {
	case sameIncarnation && t.cancelled:
		return t.end(now, Cancelled, "cancelled")
	case sameIncarnation && t.evictReason != "":
		return t.requeue("not started on " + t.Instance + ": " + t.evictReason)
	case sameIncarnation && inst.draining:
		return t.requeue("not started on " + t.Instance + ": instance is leaving")
	case sameIncarnation:
		return t.Task
	case t.cancelled:
		return t.end(now, Cancelled, "cancelled")
	case !t.job.Idempotent:
		return t.end(now, Unknown, "the worker of "+t.Instance+" restarted while it held the task")
	}
	return t.requeue("the worker of " + t.Instance + " restarted")
}

// transitionLost returns the next record of a task on a lost instance.
func (t *task) transitionLost(now time.Time) Task {
	switch {
	case t.job.Idempotent && t.cancelled:
		return t.end(now, Cancelled, "cancelled")
	case t.job.Idempotent:
		return t.requeue("instance " + t.Instance + " lost")
	case now.Sub(t.lostSince) >= lostTimeout:
		return t.end(now, Unknown, "instance "+t.Instance+" lost and did not come back to say")
	}
	next := t.Task
	next.Reason = "held: instance " + t.Instance + " is lost and may have run it"
	return next
}

// requeue returns the record of the task in state Waiting, off its instance.
func (t *task) requeue(reason string) Task {
	next := t.Task
	next.State = Waiting
	next.PreviousInstance = t.Instance
	next.Instance = ""
	next.WorkerIncarnation = ""
	next.Reason = reason
	return next
}

// end returns the record of the task in the given final state.
func (t *task) end(now time.Time, state State, reason string) Task {
	next := t.Task
	next.State = state
	next.Reason = reason
	next.Ended = now
	return next
}
