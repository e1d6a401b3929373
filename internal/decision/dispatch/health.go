package dispatch

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/speeds"
)

// probeSurvival is how long a run must last to show that its instance is well after a hold.
const probeSurvival = 3 * time.Second

// speed returns the speed at which an instance works at now, as a share of that of its peers.
func (s *Scheduler) speed(in *instance, now time.Time) float64 { return in.record.Speed(now) }

// TakeSpeedChanges returns the changes of what instances get since the last call.
func (s *Scheduler) TakeSpeedChanges() []speeds.Change { return s.speeds.TakeChanges() }

// probed reports whether an instance that has to show that it is well has as many runs for that as it
// may have.
func (in *instance) probed(now time.Time) bool {
	if !in.record.Probing() || in.record.Held(now) {
		return false
	}
	probes := 0
	for _, placed := range in.reservations {
		if !in.isProbe(placed) {
			continue
		}
		if in.survived(placed, now) {
			return false
		}
		probes++
	}
	return probes >= in.record.Probes()
}

// isProbe reports whether a run is to show that its instance is well.
func (in *instance) isProbe(run *reservation) bool {
	return !run.startedAt.Before(in.record.HeldUntil()) && run.step != nil && !(run.step.LongRunning && in.record.Cause() == speeds.Slow)
}

// survived reports whether a probe has lasted long enough to show that its instance is well.
func (in *instance) survived(probe *reservation, now time.Time) bool {
	return now.Sub(probe.startedAt) >= probeSurvival && !probe.stopping && in.record.Cause() != speeds.Slow
}

// clearProbed records the instances of which a probe has survived as well.
func (s *Scheduler) clearProbed(now time.Time) {
	for _, in := range s.byID {
		if !in.record.Probing() || in.record.Held(now) || !in.ready() {
			continue
		}
		for _, placed := range in.reservations {
			if in.isProbe(placed) && in.survived(placed, now) {
				in.record.Clear()
				break
			}
		}
	}
}

// learnFromEnd passes the end of a run to the record of its instance.
func (s *Scheduler) learnFromEnd(now time.Time, in *instance, run *reservation, end End, t *task) {
	switch end.Reason {
	case EndDone:
		in.record.Done(now)
		s.compareWithStep(now, in, run, t)
	case EndNotStarted:
		if run != nil && !run.stopping && !in.evacuated { // agents of an evacuated domain refuse all starts
			in.record.Refused(now)
			t.recordFailedOn(in.registration.Incarnation.ID)
		}
	default:
	}
}

// compareWithStep passes to the record of an instance how long a run that is done took beside the last
// ones of its step.
func (s *Scheduler) compareWithStep(now time.Time, in *instance, run *reservation, t *task) {
	if run == nil || !isTypical(in, run, t) {
		return
	}
	taken := run.workDone(now)
	o := t.job.occurrences[t.name.Occurrence]
	reference := o.reference(t.name.Step)
	in.record.Ended(now, reference.Usual(), taken)
	reference.Add(taken)
}

// isTypical reports whether a run of a task on an instance takes as long as others of its step: it
// begins at the beginning, near its data, and ends by itself.
func isTypical(in *instance, run *reservation, t *task) bool {
	step := t.step
	return !step.LongRunning && !step.Gang && run.fromStart && (step.DataRack == "" || in.hasLabel(step.DataRack))
}

// noteReturns records the instances that answer again.
func (s *Scheduler) noteReturns(now time.Time) {
	for _, in := range s.byID {
		if in.reachable && !in.wasReachable {
			in.record.Returned(now)
		}
		in.wasReachable = in.reachable
	}
}

// reviewSpeeds compares the instances, with the runs that are overdue.
func (s *Scheduler) reviewSpeeds(now time.Time) {
	s.noteReturns(now)
	if !s.speeds.ReviewDue(now) {
		return
	}
	for _, in := range s.byID {
		for name, placed := range in.reservations {
			if placed.step == nil || placed.step.LongRunning || placed.stopping || in.record.Probing() && placed.startedAt.Before(in.record.HeldUntil()) {
				continue
			}
			t := s.findTask(name)
			if t == nil || t.run != placed.run || !isTypical(in, placed, t) {
				continue
			}
			in.record.Overdue(t.job.occurrences[name.Occurrence].usual(name.Step), placed.workDone(now))
		}
	}
	s.speeds.Review(now)
}

// usual returns how long the runs of a step usually take, or 0 if too few have ended.
func (o *occurrence) usual(step int) time.Duration {
	if o.references == nil {
		return 0
	}
	return o.references[step].Usual()
}

// reference returns how long the runs of a step took.
func (o *occurrence) reference(step int) *speeds.Reference {
	if o.references == nil {
		o.references = make([]speeds.Reference, len(o.steps))
	}
	return &o.references[step]
}
