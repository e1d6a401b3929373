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

// LateStart is a start that was under way when its instance was lost. The worker may start again under
// its ID, carry the start out, and run the task until its lease expires without anybody knowing.
type LateStart struct {
	Task     TaskName
	Run      int64
	Instance string
	Agent    string    // name of the instance's agent
	Until    time.Time // when the run that it starts has certainly ended
	// superseded says that the run has begun, on an instance that is not lost, and is stopped.
	superseded bool
}

// lateStarts holds the late starts by task. A task with one does not start.
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

// on reports whether a task has a late start on an instance.
func (l lateStarts) on(name TaskName, instance string) bool {
	return slices.ContainsFunc(l[name], func(late LateStart) bool { return late.Instance == instance && !late.superseded })
}

// dropRun drops the late start of a run on an instance.
func (l lateStarts) dropRun(name TaskName, run int64, instance string) {
	l.drop(func(late LateStart) bool { return late.Task == name && late.Run == run && late.Instance == instance })
}

// dropExpired drops the late starts that are over by now.
func (l lateStarts) dropExpired(now time.Time) {
	l.drop(func(late LateStart) bool { return !now.Before(late.Until) })
}

// settled records that no call is under way that starts the run of a reservation.
func (in *instance) settled(status RunStatus) {
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
	held := s.holdFormer(id, process, until)
	for _, p := range in.reservations {
		for ; p != nil; p = p.orderedRun {
			if !p.settled && (process == "" || p.orderedThrough != process) {
				held = append(held, LateStart{Task: p.name, Run: p.run, Instance: id, Agent: in.registration.Agent, Until: until})
			}
		}
	}
	s.hold(held)
	return held
}

// HoldUnderWay is like HoldUnsettled for the starts that the agent of an instance says are under way. A run that
// they start has ended lease after the start at the latest.
func (s *Scheduler) HoldUnderWay(now time.Time, id, agent string, starts []StartUnderWay, lease time.Duration) []LateStart {
	var held []LateStart
	for _, start := range starts {
		until := now.Add(time.Duration(start.Remaining)*time.Millisecond + lease)
		held = append(held, LateStart{Task: start.Task, Run: start.Run, Instance: id, Agent: agent, Until: until})
	}
	s.hold(held)
	return held
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

// releaseLateStarts drops the late starts on an instance whose worker has seen a higher fencing token and listed
// all of its runs, but for those of which it stops a run.
func (s *Scheduler) releaseLateStarts(in *instance) {
	id := in.registration.Incarnation.ID
	delete(s.formerStarts, id)
	s.lateStarts.drop(func(late LateStart) bool { return late.Instance == id && !late.superseded })
}

// releaseReplaced drops the late starts on the earlier workers of an agent, which drives one with another
// ID now: the earlier ones have ended.
func (s *Scheduler) releaseReplaced(registration Registration) {
	s.lateStarts.drop(func(late LateStart) bool {
		return late.Agent == registration.Agent && late.Instance != registration.Incarnation.ID
	})
}
