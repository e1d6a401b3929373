package dispatch

import (
	"slices"
	"time"
)

// StartUnderWay is a start that was sent to a worker and that the worker, or a later incarnation with its
// ID, may still carry out.
type StartUnderWay struct {
	Task      TaskName `json:"task"`
	Run       int64    `json:"run"`
	Remaining int64    `json:"remaining"` // ms until it is not carried out any more
}

// LateStart is a start that may still be under way while the task waits. The worker of its instance may start
// again under its ID, carry the start out, and run the task until its lease expires without anybody knowing. While the
// instance is lost, the task does not start at all; see pinned and superseded for one that is not.
type LateStart struct {
	Task     TaskName
	Run      int64
	Instance string
	Agent    string    // name of the instance's agent
	Until    time.Time // when the run that it starts has certainly ended
	// CallUntil is when the call is not carried out any more.
	CallUntil time.Time
	// pinned says that the instance is not lost. Its present incarnation does not carry the start out, so the task
	// may start there, and only there.
	pinned bool
	// superseded says that the run has begun, on an instance that is not lost, and is stopped.
	superseded bool
}

// lateStarts holds the late starts by task. A task with one does not start, but for where it is pinned to.
type lateStarts map[TaskName][]LateStart

// add adds a late start. It replaces that of the same instance.
func (l lateStarts) add(late LateStart) {
	others := slices.DeleteFunc(slices.Clone(l[late.Task]), func(other LateStart) bool { return other.Instance == late.Instance })
	l[late.Task] = append(others, late)
}

// drop drops the late starts for which over is true.
func (l lateStarts) drop(over func(LateStart) bool) {
	for name, starts := range l {
		kept := slices.DeleteFunc(slices.Clone(starts), over)
		if len(kept) == 0 {
			delete(l, name)
			continue
		}
		l[name] = kept
	}
}

// forbids reports whether late starts of a task keep it from starting on any instance.
func (l lateStarts) forbids(name TaskName) bool {
	return slices.ContainsFunc(l[name], func(late LateStart) bool { return !late.pinned })
}

// pinsElsewhere reports whether late starts of a task keep it from starting on an instance.
func (l lateStarts) pinsElsewhere(name TaskName, instance string) bool {
	return slices.ContainsFunc(l[name], func(late LateStart) bool { return !late.pinned || late.Instance != instance })
}

// on reports whether a task has a late start on an instance.
func (l lateStarts) on(name TaskName, instance string) bool {
	return slices.ContainsFunc(l[name], func(late LateStart) bool { return late.Instance == instance && !late.superseded })
}

// dropRun drops the late start of a run on an instance.
func (l lateStarts) dropRun(name TaskName, run int64, instance string) {
	if len(l[name]) == 0 {
		return
	}
	l.drop(func(late LateStart) bool { return late.Task == name && late.Run == run && late.Instance == instance })
}

// pin lets the tasks of the late starts on an instance that is back start there, until the calls are too old: only
// its present incarnation has seen a higher fencing token and listed its runs.
func (l lateStarts) pin(now time.Time, instance string) {
	l.drop(func(late LateStart) bool {
		return late.Instance == instance && !late.superseded && !now.Before(late.CallUntil)
	})
	for _, starts := range l {
		for i := range starts {
			if starts[i].Instance == instance && !starts[i].superseded {
				starts[i].pinned, starts[i].Until = true, starts[i].CallUntil.Add(pinMargin)
			}
		}
	}
}

// unpin keeps the tasks that are pinned to an instance from starting, since it is lost, until a run that is started
// last has ended.
func (l lateStarts) unpin(instance string, longestLease time.Duration) {
	for _, starts := range l {
		for i := range starts {
			if starts[i].Instance == instance && starts[i].pinned {
				starts[i].pinned, starts[i].Until = false, starts[i].CallUntil.Add(longestLease)
			}
		}
	}
}

// pinMargin is the time after the end of a call in which an instance that has crashed or is cut off before that
// becomes unreachable.
const pinMargin = 4 * time.Second

// dropExpiredLateStarts drops the late starts that are over by now. A task stays pinned to an instance that does
// not answer, and may have carried the start out.
func (s *Scheduler) dropExpiredLateStarts(now time.Time) {
	s.lateStarts.drop(func(late LateStart) bool {
		in, known := s.instances[late.Instance]
		return !now.Before(late.Until) && (!late.pinned || !known || in.reachable)
	})
}

// noteSettled records that no call is under way that starts the run of a reservation, if the report says so.
func (in *instance) noteSettled(status RunStatus) {
	if p := in.reservations[status.Task]; p != nil && p.run == status.Run && status.Settled {
		p.settled = true
	}
}

// HoldUnsettled keeps the tasks on an instance from starting elsewhere until the given time if their starts
// are not known to be settled. It is called just before the instance is lost. It leaves out the starts that
// were ordered through the given agent process, which has said what is under way. It returns what it holds.
func (s *Scheduler) HoldUnsettled(id, process string, until time.Time) []LateStart {
	in, known := s.instances[id]
	if !known {
		return nil
	}
	s.releaseSuperseded(id)
	s.lateStarts.unpin(id, s.longestLease)
	held := s.holdFormer(id, process, until)
	for _, p := range in.reservations {
		for ; p != nil; p = p.orderedRun {
			if !p.settled && (process == "" || p.orderedThrough != process) {
				held = append(held, LateStart{Task: p.name, Run: p.run, Instance: id, Agent: in.registration.Agent, Until: until, CallUntil: until.Add(-s.longestLease)})
			}
		}
	}
	s.hold(held)
	return held
}

// HoldUnderWay is like HoldUnsettled for the starts that the agent of an instance says are under way.
func (s *Scheduler) HoldUnderWay(now time.Time, id, agent string, starts []StartUnderWay) []LateStart {
	var held []LateStart
	for _, start := range starts {
		callUntil := now.Add(time.Duration(start.Remaining) * time.Millisecond)
		held = append(held, LateStart{Task: start.Task, Run: start.Run, Instance: id, Agent: agent, Until: callUntil.Add(s.longestLease), CallUntil: callUntil})
	}
	s.hold(held)
	return held
}

// SetLongestLease sets for how long a run may last that a late start begins.
func (s *Scheduler) SetLongestLease(lease time.Duration) { s.longestLease = lease }

// pinEnded pins the task of a run that has ended, or never started, to its instance if a call that starts it is
// still under way.
func (s *Scheduler) pinEnded(now time.Time, in *instance, end End) {
	id := in.registration.Incarnation.ID
	s.lateStarts.dropRun(end.Task, end.Run, id)
	if t := s.findTask(end.Task); end.UnderWay <= 0 || t == nil || t.done {
		return
	}
	until := now.Add(time.Duration(end.UnderWay) * time.Millisecond)
	s.lateStarts.add(LateStart{
		Task: end.Task, Run: end.Run, Instance: id, Agent: in.registration.Agent,
		Until: until.Add(pinMargin), CallUntil: until, pinned: true,
	})
}

func (s *Scheduler) hold(starts []LateStart) {
	for _, late := range starts {
		s.lateStarts.add(late)
	}
}

// supersededStopTimeout bounds how long a task waits for the end of an earlier run that is stopped. The instance
// is lost, or has reported the end, long before that.
const supersededStopTimeout = time.Minute

// holdSuperseded keeps the task of a run that an instance reports, and that is to be stopped, from starting
// elsewhere until the run has ended.
func (s *Scheduler) holdSuperseded(now time.Time, in *instance, p *reservation) {
	s.lateStarts.add(LateStart{
		Task: p.name, Run: p.run, Instance: in.registration.Incarnation.ID, Agent: in.registration.Agent,
		Until: now.Add(supersededStopTimeout), superseded: true,
	})
}

// releaseSuperseded releases what holdSuperseded holds for an instance that is lost.
func (s *Scheduler) releaseSuperseded(id string) {
	s.lateStarts.drop(func(late LateStart) bool { return late.superseded && late.Instance == id })
}

// LateStarts returns the number of tasks that wait for a late start.
func (s *Scheduler) LateStarts() int { return len(s.lateStarts) }

// releaseLateStarts lets the tasks of the late starts on an instance start, whose worker has seen a higher fencing
// token and listed all of its runs, see pin.
func (s *Scheduler) releaseLateStarts(now time.Time, in *instance) {
	id := in.registration.Incarnation.ID
	delete(s.formerStarts, id)
	s.lateStarts.pin(now, id)
}

// releaseReplaced drops the late starts on the earlier workers of an agent, which drives one with another
// ID now: the earlier ones have ended.
func (s *Scheduler) releaseReplaced(registration Registration) {
	s.lateStarts.drop(func(late LateStart) bool {
		return late.Agent == registration.Agent && late.Instance != registration.Incarnation.ID
	})
}
