package dispatch

import (
	"slices"
	"time"
)

const (
	// A job fails after minCrashes crashes held against one of its tasks if the evidence is
	// sufficient, and after maxCrashes in any case, but not before there are as many crashes as its
	// queue allows attempts.
	minCrashes = 2
	maxCrashes = 4
	// sufficientEvidence is also the evidence of a crash with one suspect, and evidenceShared that
	// of a crash with several.
	sufficientEvidence = 2
	evidenceShared     = 1
	// sameMoment is the time between the losses of two workers below which they may have one
	// cause. At minCommonLosses losses they count as one event, such as a loss of power.
	sameMoment      = 600 * time.Millisecond
	minCommonLosses = 3
	// mostInstancesPercent is the share of the instances, in percent, that counts as most of them.
	mostInstancesPercent = 75
	// isolationPeriod is how long after the start of a suspect nothing else starts on its
	// instance.
	isolationPeriod = 300 * time.Millisecond
	// isolationTimeout is the time after the last crash in which a suspect waits for an
	// instance of its own. After that it starts beside others.
	isolationTimeout = 2 * time.Second
	// minSharedFraction is the fraction of the usable instances, one in minSharedFraction, that
	// suspects leave to other tasks.
	minSharedFraction = 2
	// settleDelay is the time in which the agents of workers that were lost at the same moment
	// report that.
	settleDelay = 500 * time.Millisecond
	// crashSurvival is how long a run must last to clear its task. It is longer than a crash of
	// its worker can go unnoticed.
	crashSurvival = 4 * time.Second
)

// Crashes are the crashes of workers that are held against a task.
type Crashes struct {
	Runs []int64 `json:"runs"` // runs of the task that the workers had begun shortly before
	// Evidence grows with each crash for which the task is the main suspect, by more if it is the
	// only one.
	Evidence int `json:"evidence,omitempty"`
}

// excessive reports whether a task counts as the cause if its queue allows so many attempts.
func (c Crashes) excessive(attempts int) bool {
	limit := maxCrashes
	if c.Evidence >= sufficientEvidence {
		limit = minCrashes
	}
	return len(c.Runs) >= max(limit, attempts)
}

// Crash is a crash of a worker, as its agent reports it.
type Crash struct {
	Agent string
	At    time.Time   // when the worker last answered
	Runs  []RunStatus // runs that the worker had begun shortly before
}

// Silent records that an agent has no answer from its worker since the time at. The worker may
// have crashed.
func (s *Scheduler) Silent(at time.Time, agent string) {
	s.lostAt[agent] = at
	s.speeds.Silent(at, agent)
}

// Crashed records a crash. It is held against all tasks of its runs, and is evidence against the
// main suspect. Crashed returns the tasks against which the crash was not held before.
func (s *Scheduler) Crashed(now time.Time, crash Crash) []TaskName {
	s.Silent(crash.At, crash.Agent)
	main := s.mainSuspect(now, crash.Runs)
	evidence := evidenceShared
	if len(crash.Runs) == 1 {
		evidence = sufficientEvidence
	}
	var recorded []TaskName
	for _, run := range crash.Runs {
		t := s.findTask(run.Task)
		if t == nil || t.done || slices.Contains(t.crashes.Runs, run.Run) {
			continue
		}
		t.pendingCrash = pendingCrash{crashedAt: crash.At, due: now.Add(settleDelay)}
		if t == main {
			t.pendingCrash.evidence = evidence
		}
		s.recordCrash(now, t, run.Run)
		recorded = append(recorded, run.Task)
	}
	return recorded
}

// pendingCrash is the last crash that is held against a task. It is settled when it is due: until
// then, agents may report that other workers were lost at the same moment.
type pendingCrash struct {
	evidence  int
	crashedAt time.Time
	due       time.Time
}

// settle settles the last crash that is held against a suspect, if it is due, and fails the job of a
// task that counts as the cause of its crashes. A long-running task starts again however its runs end.
func (s *Scheduler) settle(now time.Time, t *task) {
	if now.Before(t.pendingCrash.due) {
		return
	}
	if !t.pendingCrash.due.IsZero() {
		s.countEvidence(t)
	}
	if !t.step.LongRunning && t.crashes.excessive(t.job.spec.Policy.Attempts) {
		s.finish(t.job, Failed)
	}
}

// countEvidence counts the evidence of the last crash that is held against a task. There is none in a
// common loss of workers, and a loss of most workers is not held against the task at all.
func (s *Scheduler) countEvidence(t *task) {
	losses := s.countLosses(t.pendingCrash.crashedAt)
	switch {
	case losses < minCommonLosses:
		t.crashes.Evidence += t.pendingCrash.evidence
	case losses*100 >= len(s.instances)*mostInstancesPercent:
		t.crashes.Runs = t.crashes.Runs[:len(t.crashes.Runs)-1]
	}
	t.pendingCrash = pendingCrash{}
	s.markDirty(t.job)
}

// countLosses returns the number of workers that were lost about the time at.
func (s *Scheduler) countLosses(at time.Time) int {
	losses := 0
	for _, lostAt := range s.lostAt {
		if lostAt.Sub(at).Abs() < sameMoment {
			losses++
		}
	}
	return losses
}

// mainSuspect returns the task among the runs against which the most crashes are held, or nil
// if there are several such tasks.
func (s *Scheduler) mainSuspect(now time.Time, runs []RunStatus) *task {
	var main *task
	most := -1
	for _, run := range runs {
		t := s.findReported(now, run.Task)
		switch {
		case t == nil || len(t.crashes.Runs) < most:
		case len(t.crashes.Runs) == most:
			main = nil
		default:
			main, most = t, len(t.crashes.Runs)
		}
	}
	return main
}

// recordCrash holds a crash during a run against its task.
func (s *Scheduler) recordCrash(now time.Time, t *task, run int64) {
	t.crashes.Runs = append(t.crashes.Runs, run)
	if excess := len(t.crashes.Runs) - maxCrashes; t.step.LongRunning && excess > 0 {
		t.crashes.Runs = t.crashes.Runs[excess:] // nothing else bounds them
	}
	t.lastRun = max(t.lastRun, run)
	t.lastCrashAt = now
	if t.pendingCrash.evidence > 0 || t.crashes.excessive(t.job.spec.Policy.Attempts) {
		t.notBefore = t.pendingCrash.due
	}
	s.suspects[t.name] = t
	s.markDirty(t.job)
}

// restoreSuspects records the suspects of a restored occurrence.
func (s *Scheduler) restoreSuspects(now time.Time, o *occurrence) {
	for _, tasks := range o.steps {
		for _, t := range tasks {
			if !t.done && t.suspect() {
				t.lastCrashAt = now
				s.suspects[t.name] = t
			}
		}
	}
}

// suspect reports whether a crash of a worker is held against the task.
func (t *task) suspect() bool { return len(t.crashes.Runs) > 0 }

// isolated reports whether nothing else starts on the instance of a run of the task that starts
// at the time at. The members of a gang start together, so they are never isolated.
func (t *task) isolated(at time.Time) bool {
	return t.suspect() && !t.step.Gang && at.Sub(t.lastCrashAt) < isolationTimeout
}

// updateSuspects determines which instances suspects have to themselves, and clears suspects
// whose run lasts.
func (p *planner) updateSuspects() {
	for _, in := range p.scheduler.byID {
		in.isolated = false
	}
	for name, t := range p.scheduler.suspects {
		if p.scheduler.findTask(name) != t || t.done || !t.suspect() {
			delete(p.scheduler.suspects, name)
			continue
		}
		p.scheduler.settle(p.now, t)
		in, placed := p.scheduler.instances[t.instance]
		if !placed {
			continue
		}
		age := p.now.Sub(t.startedAt)
		switch {
		case age < isolationPeriod && t.isolated(t.startedAt):
			p.isolate(in)
		case age >= crashSurvival && in.reachable:
			p.scheduler.clearSuspect(t)
		}
	}
}

// clearSuspect drops the crashes held against a task.
func (s *Scheduler) clearSuspect(t *task) {
	t.crashes = Crashes{}
	delete(s.suspects, t.name)
	s.markDirty(t.job)
}

// isolate keeps an instance from other tasks.
func (p *planner) isolate(in *instance) {
	in.isolated = true
	p.isolatedCount++
}

// awaitsIsolation reports whether a suspect has to wait because other suspects have as many
// instances to themselves as they may have.
func (p *planner) awaitsIsolation(t *task) bool {
	return t.isolated(p.now) && p.isolatedCount >= max(len(p.usable)/minSharedFraction, 1)
}
