package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// drain stops the runs on draining instances that would not finish there in time, so that
// they continue elsewhere. It requests the deletion of the rows of draining instances without
// runs.
func (s *Scheduler) drain(now time.Time) {
	for _, in := range s.byID {
		if !in.registration.Draining {
			continue
		}
		if len(in.reservations) == 0 && in.reconciled && in.rowWritten {
			// Nothing runs there and nothing will start: a later owner need not wait for it.
			in.rowWritten, in.rowChangeRequested = false, true
			s.instanceChanges = append(s.instanceChanges, InstanceChange{Registration: in.registration, Gone: true})
		}
		for _, p := range in.reservations {
			if p.step == nil || p.stopping {
				continue
			}
			remaining := s.remainingTime(in, p, now)
			if p.step.LongRunning || now.Add(remaining).After(in.drainDeadline) {
				s.stop(in, p, StopDraining)
			}
		}
	}
}

const (
	// stallTimeout is how long a task must be stalled before it is moved.
	stallTimeout = 1200 * time.Millisecond
	// stallCheckPeriod is the minimum time between two checks for stalled tasks.
	stallCheckPeriod = 100 * time.Millisecond
	// maxStallMovesPerPlan bounds how many stalled tasks one plan moves: each is checked
	// against the same free resources, which may suffice for one only.
	maxStallMovesPerPlan = 1
)

// moveStalled stops a stalled best-effort task that saves checkpoints if another instance
// suits it now. The task resumes there from its checkpoint.
func (p *planner) moveStalled() {
	if p.now.Sub(p.scheduler.stallCheckedAt) < stallCheckPeriod {
		return
	}
	p.scheduler.stallCheckedAt = p.now
	moved := 0
	for _, in := range p.usable {
		for _, placed := range in.stalledRuns(p.now) {
			t := p.scheduler.findTask(placed.name)
			if t == nil || !t.step.Checkpoints || moved >= maxStallMovesPerPlan || p.bestInstance(t.job, t, "") == nil {
				continue
			}
			p.scheduler.stop(in, placed, StopStalled)
			moved++
		}
	}
}

// stalledRuns returns the runs on an instance that have been stalled for stallTimeout, in a fixed order.
func (in *instance) stalledRuns(now time.Time) []*reservation {
	var stalled []*reservation
	for _, placed := range in.reservations {
		if since := placed.delivery.stalledSince; !placed.stopping && !since.IsZero() && now.Sub(since) >= stallTimeout {
			stalled = append(stalled, placed)
		}
	}
	slices.SortFunc(stalled, func(a, c *reservation) int { return cmp.Compare(a.name.String(), c.name.String()) })
	return stalled
}
