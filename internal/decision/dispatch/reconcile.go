package dispatch

import (
	"slices"
	"time"
)

// InstanceChange is a change to an instance's table row: write it, or delete it if Gone is
// set.
type InstanceChange struct {
	Registration Registration
	Gone         bool
}

// TakeInstanceChanges returns the changes to instance rows since the last call.
func (s *Scheduler) TakeInstanceChanges() []InstanceChange {
	changes := s.instanceChanges
	s.instanceChanges = nil
	return changes
}

// RestoreInstance adds an instance of an earlier owner, read from its table row. Tasks that
// earlier owners may have started wait until all restored instances have reported their runs
// or are lost.
func (s *Scheduler) RestoreInstance(registration Registration) {
	s.unconfirmed[registration.Incarnation.ID] = true
	in := newInstance(registration)
	in.rowWritten = true
	s.instances[registration.Incarnation.ID] = in
}

// Unconfirmed returns the IDs of the instances of earlier owners that have not reported their
// runs yet, sorted.
func (s *Scheduler) Unconfirmed() []string {
	var ids []string
	for id := range s.unconfirmed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Register records an instance's registration by its agent. A new incarnation under a known ID
// replaces the old one. Start orders for the old one may still be in transit and would be
// executed by the new one, so its reservations remain until the first call of Reconcile.
// Register reports whether the instance's row must be written first; RowWritten confirms that.
func (s *Scheduler) Register(now time.Time, registration Registration) bool {
	id := registration.Incarnation.ID
	in, known := s.instances[id]
	if known && in.registration.Incarnation != registration.Incarnation {
		in.restart()
	}
	if !known {
		in = newInstance(registration)
		s.instances[id] = in
	}
	if in.registration.Draining && !registration.Draining {
		in.rowChangeRequested = false // its row may have been deleted
	}
	in.registration = registration
	in.reachable = true
	s.dropPredecessors(now, registration)
	if registration.Draining {
		in.drainDeadline = now.Add(time.Duration(registration.GracePeriod) * time.Millisecond)
	}
	if !in.rowWritten && !in.rowChangeRequested {
		in.rowChangeRequested = true
		s.instanceChanges = append(s.instanceChanges, InstanceChange{Registration: registration})
	}
	return !in.rowWritten
}

// IsNewIncarnation reports whether the ID is known with another incarnation. It is false for an
// unknown ID.
func (s *Scheduler) IsNewIncarnation(incarnation Incarnation) bool {
	in, known := s.instances[incarnation.ID]
	return known && in.registration.Incarnation != incarnation
}

// dropPredecessors removes the earlier incarnations registered by the same agent under other
// IDs: a later one shows that they have ended.
func (s *Scheduler) dropPredecessors(now time.Time, registration Registration) {
	for _, other := range s.instances {
		incarnation := other.registration.Incarnation
		if other.registration.Agent == registration.Agent && incarnation.ID != registration.Incarnation.ID && incarnation.StartedAt < registration.Incarnation.StartedAt {
			s.Lost(now, incarnation)
		}
	}
}

// RowWritten records that the row of the instance's incarnation was written.
func (s *Scheduler) RowWritten(incarnation Incarnation) {
	if in, ok := s.instances[incarnation.ID]; ok && in.registration.Incarnation == incarnation {
		in.rowWritten = true
	}
}

// SetReachable sets whether orders can be delivered to the instance.
func (s *Scheduler) SetReachable(id string, reachable bool) {
	if in, ok := s.instances[id]; ok {
		in.reachable = reachable
	}
}

// Reconcile compares the reservations on an instance with its full status report. The report
// must include every run that an earlier order could still start. Runs that should not be there
// are stopped. Runs that are missing have ended, unless an earlier incarnation of the agent
// received their start order: those are stopped too.
func (s *Scheduler) Reconcile(now time.Time, incarnation Incarnation, running []RunStatus) {
	in, ok := s.instances[incarnation.ID]
	if !ok || in.registration.Incarnation != incarnation {
		return
	}
	listed := map[TaskName]bool{}
	for _, status := range running {
		listed[status.Task] = true
		s.reconcileRun(now, in, status)
	}
	for name, p := range in.reservations {
		switch {
		case listed[name]:
		case in.restarted && p.agentIncarnation == in.registration.AgentIncarnation:
			s.runEnded(now, in, End{Task: name, Run: p.run, Reason: EndExpired})
		case p.agentIncarnation != in.registration.AgentIncarnation:
			// The agent that received the start order is gone, and the order may still be in
			// transit to the worker. The answer to a stop order shows whether the run started.
			p.stopping = false
			s.stop(in, p)
		default:
			s.runEnded(now, in, End{Task: name, Run: p.run, Reason: EndNotStarted})
		}
	}
	in.reconciled, in.restarted = true, false
	s.confirm(incarnation.ID)
}

// reconcileRun processes one run that an instance reports.
func (s *Scheduler) reconcileRun(now time.Time, in *instance, status RunStatus) {
	if p, ok := in.reservations[status.Task]; ok && p.run == status.Run {
		p.agentIncarnation = in.registration.AgentIncarnation
		if p.stopping { // the stop order may have been lost with the previous session
			p.stopping = false
			s.stop(in, p)
			return
		}
		if t := s.findTask(status.Task); t != nil && t.instance == in.registration.Incarnation.ID && t.run == status.Run && status.Checkpoint != "" {
			t.checkpoint = status.Checkpoint
		}
		return
	}
	p := &reservation{name: status.Task, run: status.Run, startedAt: now, agentIncarnation: in.registration.AgentIncarnation}
	p.setStep(s.findStep(status.Task))
	s.replaceOrderedRun(now, in, p)
	in.add(p)
	t := s.findTask(status.Task)
	if t == nil || t.done || t.instance != "" || status.Run < t.lastRun && !t.unconfirmed {
		s.stop(in, p)
		return
	}
	t.instance, t.run, t.startedAt = in.registration.Incarnation.ID, status.Run, now
	if t.step.LongRunning {
		t.unconfirmed = false // it may fail any number of times, so failures not yet reported by other instances do not matter
	}
	t.lastRun = max(t.lastRun, status.Run)
	t.job.started = true
	if status.Checkpoint != "" {
		t.checkpoint = status.Checkpoint
	}
}

// replaceOrderedRun handles a status report that lists another run of a task than the one
// ordered on the instance, for example after a delayed start order. If the current agent
// received the order, the ordered run has ended: with the previous incarnation, or
// because the agent reports that it is absent. If an earlier agent incarnation received the
// order, it may still be in transit; stopOrderedRun resolves it once the reported run has
// ended.
func (s *Scheduler) replaceOrderedRun(now time.Time, in *instance, found *reservation) {
	ordered, placed := in.reservations[found.name]
	if !placed {
		return
	}
	switch {
	case ordered.agentIncarnation != in.registration.AgentIncarnation:
		in.remove(ordered)
		found.orderedRun = ordered
	case in.restarted:
		s.runEnded(now, in, End{Task: ordered.name, Run: ordered.run, Reason: EndExpired})
	default:
		s.runEnded(now, in, End{Task: ordered.name, Run: ordered.run, Reason: EndNotStarted})
	}
}

// stopOrderedRun stops the run that was ordered before another run of the task was reported in
// its place. It is called when the reported run has ended.
func (s *Scheduler) stopOrderedRun(in *instance, ended *reservation) {
	if ended.orderedRun == nil {
		return
	}
	ordered := ended.orderedRun
	ordered.agentIncarnation, ordered.stopping = in.registration.AgentIncarnation, false
	in.add(ordered)
	s.stop(in, ordered)
}

// findStep returns the step of a task of any known job, finished or not, or nil.
func (s *Scheduler) findStep(name TaskName) *Step {
	var job *Job
	if j, active := s.jobs[name.Job]; active {
		job = j.spec
	} else {
		job = s.finished[name.Job].job
	}
	if job == nil || name.Step >= len(job.Steps) {
		return nil
	}
	return &job.Steps[name.Step]
}

// Checkpointed records new checkpoints of runs.
func (s *Scheduler) Checkpointed(incarnation Incarnation, runs []RunStatus) {
	for _, status := range runs {
		t := s.findTask(status.Task)
		if t != nil && t.instance == incarnation.ID && t.run == status.Run && status.Checkpoint != "" {
			t.checkpoint = status.Checkpoint
		}
	}
}

// Ended records ends of runs that an instance reports. Ends reported by any incarnation but
// the current one are ignored.
func (s *Scheduler) Ended(now time.Time, incarnation Incarnation, ends []End) {
	in, ok := s.instances[incarnation.ID]
	if !ok || in.registration.Incarnation != incarnation {
		return
	}
	for _, end := range ends {
		s.runEnded(now, in, end)
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
	t := s.findTask(end.Task)
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
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	s.applyEnd(now, in, end, t)
	if current || end.Reason == EndDone {
		s.release(t, current)
	}
}

// release removes a task from its instance. If the run that ended is not the current one, the
// current one is stopped.
func (s *Scheduler) release(t *task, current bool) {
	if !current && t.instance != "" {
		// The task is done by another run: the run that is placed now is not needed.
		if in, ok := s.instances[t.instance]; ok {
			if p, placed := in.reservations[t.name]; placed {
				s.stop(in, p)
			}
		}
	}
	t.instance, t.run = "", 0
}

// applyEnd applies the end of a run to its task and job.
func (s *Scheduler) applyEnd(now time.Time, in *instance, end End, t *task) {
	j := t.job
	switch end.Reason {
	case EndDone:
		in.consecutiveFailures = 0
		if t.step.LongRunning {
			t.notBefore = now.Add(restartDelay)
			return
		}
		s.completeTask(t)
	case EndFailed:
		s.recordFailure(now, in, t)
		t.failedOn = append(t.failedOn, in.registration.Incarnation.ID)
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
			if !member.done {
				member.done = true
				o.remaining--
			}
		}
	} else {
		t.done = true
		o.remaining--
	}
	s.markDirty(j)
	s.completeIfDone(j)
}

// recordFailure counts a failure on an instance, unless the last counted one was of the same
// job, since a job that always fails says nothing about the instance. At quarantineThreshold it
// quarantines the instance. After that, one more failure is enough.
func (s *Scheduler) recordFailure(now time.Time, in *instance, t *task) {
	if in.lastFailedJob == t.name.Job {
		return
	}
	in.lastFailedJob = t.name.Job
	in.consecutiveFailures++
	if in.consecutiveFailures >= quarantineThreshold {
		in.quarantinedUntil = now.Add(quarantineDuration)
		in.consecutiveFailures = quarantineThreshold - 1
	}
}

// removeInstance ends all runs on an instance and removes it.
func (s *Scheduler) removeInstance(now time.Time, in *instance, reason EndReason) {
	for _, p := range in.reservations {
		for ; p != nil; p = p.orderedRun {
			s.runEnded(now, in, End{Task: p.name, Run: p.run, Reason: reason})
		}
	}
	delete(s.instances, in.registration.Incarnation.ID)
	s.confirm(in.registration.Incarnation.ID)
}

// Lost records that nothing runs on an instance any more: its leases have certainly expired,
// or it is gone. Its tasks may start elsewhere. Its row is to be deleted.
func (s *Scheduler) Lost(now time.Time, incarnation Incarnation) {
	in, ok := s.instances[incarnation.ID]
	if !ok || in.registration.Incarnation != incarnation {
		return
	}
	s.removeInstance(now, in, EndExpired)
	s.instanceChanges = append(s.instanceChanges, InstanceChange{Registration: in.registration, Gone: true})
}

// confirm records that an instance of an earlier owner has reported its runs or is lost. After
// the last one, all tasks that no instance reported may start.
func (s *Scheduler) confirm(id string) {
	if !s.unconfirmed[id] {
		return
	}
	delete(s.unconfirmed, id)
	if len(s.unconfirmed) > 0 {
		return
	}
	for _, j := range s.jobs {
		for _, o := range j.occurrences {
			for _, tasks := range o.steps {
				for _, t := range tasks {
					t.unconfirmed = false
				}
			}
		}
	}
}

// LostByID is like Lost for whichever incarnation the ID has now, when the row has already
// been deleted.
func (s *Scheduler) LostByID(now time.Time, id string) {
	if in, ok := s.instances[id]; ok {
		s.removeInstance(now, in, EndExpired)
	}
}

// RowDeleted records that the row of an instance was deleted. The row must be written again
// before anything starts there.
func (s *Scheduler) RowDeleted(id string) {
	if in, ok := s.instances[id]; ok {
		in.rowWritten, in.rowChangeRequested = false, true
		s.instanceChanges = append(s.instanceChanges, InstanceChange{Registration: in.registration})
	}
}
