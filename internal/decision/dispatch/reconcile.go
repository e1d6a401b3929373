package dispatch

import "time"

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
	s.releaseLateStarts(now, in)
	for name, p := range in.reservations {
		switch {
		case listed[name]:
		case in.restarted && p.agentIncarnation == in.registration.AgentIncarnation:
			s.runEnded(now, in, End{Task: name, Run: p.run, Reason: EndExpired})
		case p.agentIncarnation != in.registration.AgentIncarnation:
			// The agent that received the start order is gone, and the order may still be in
			// transit to the worker. The answer to a stop order shows whether the run started.
			p.stopping = false
			s.stop(in, p, StopAgentRestarted)
		default:
			s.runEnded(now, in, End{Task: name, Run: p.run, Reason: EndNotStarted})
		}
	}
	in.reconciled, in.restarted = true, false
	s.requestRow(in)
	s.confirm(incarnation.ID)
}

// reconcileRun processes one run that an instance reports.
func (s *Scheduler) reconcileRun(now time.Time, in *instance, status RunStatus) {
	in.noteSettled(status)
	if p, ok := in.reservations[status.Task]; ok && p.run == status.Run {
		p.agentIncarnation = in.registration.AgentIncarnation
		if p.stopping { // the stop order may have been lost with the previous session
			p.stopping = false
			s.stop(in, p, StopRepeated)
			return
		}
		if t := s.findTask(status.Task); t != nil && t.instance == in.registration.Incarnation.ID && t.run == status.Run {
			t.recordCheckpoint(now, status.Checkpoint, s.worked(in, p, now))
		}
		return
	}
	p := &reservation{name: status.Task, run: status.Run, startedAt: now, agentIncarnation: in.registration.AgentIncarnation, settled: status.Settled}
	p.setStep(s.findStep(status.Task))
	s.replaceOrderedRun(now, in, p)
	in.add(p)
	s.unsettled[p] = in
	t := s.findReported(now, status.Task)
	if t == nil {
		s.stop(in, p, StopJobEnded)
		return
	}
	if t.done || t.instance != "" || status.Run < t.lastRun && !s.mayBeCurrent(t, in) {
		if !t.done {
			s.holdSuperseded(now, in, p)
		}
		s.stop(in, p, StopSuperseded)
		return
	}
	t.instance, t.run, t.startedAt = in.registration.Incarnation.ID, status.Run, now
	if t.step.LongRunning {
		t.unconfirmed = false // it may fail any number of times, so failures not yet reported by other instances do not matter
	}
	t.lastRun = max(t.lastRun, status.Run)
	t.job.begun = true
	t.recordCheckpoint(now, status.Checkpoint, 0)
}

// mayBeCurrent reports whether a run of a waiting task that an instance reports, with a lower number than the
// last one known, may be the last one all the same: this owner has not started the task, or was told that
// the instance may start it late.
func (s *Scheduler) mayBeCurrent(t *task, in *instance) bool {
	return t.unconfirmed || t.lastRun == s.runBase || s.lateStarts.on(t.name, in.registration.Incarnation.ID)
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
	s.stop(in, ordered, StopUnlisted)
}

// findStep returns the step of a task of any known job, finished or not, or nil.
func (s *Scheduler) findStep(name TaskName) *Step {
	job := s.findJob(name.Job)
	if job == nil || name.Step >= len(job.Steps) {
		return nil
	}
	return &job.Steps[name.Step]
}

// Checkpointed records new checkpoints of runs, and which of their starts are settled.
func (s *Scheduler) Checkpointed(now time.Time, incarnation Incarnation, runs []RunStatus) {
	for _, status := range runs {
		if in, ok := s.instances[incarnation.ID]; ok && in.registration.Incarnation == incarnation {
			in.noteSettled(status)
		}
		t := s.findTask(status.Task)
		if t == nil || t.instance != incarnation.ID || t.run != status.Run {
			continue
		}
		if in := s.instances[t.instance]; in != nil && in.reservations[t.name] != nil {
			t.recordCheckpoint(now, status.Checkpoint, s.worked(in, in.reservations[t.name], now))
		}
	}
}
