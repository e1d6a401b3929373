package speeds

import (
	"maps"
	"time"
)

const (
	// failureThreshold is the number of failed runs since the last done one after which an
	// instance is held. Consecutive ones are of different jobs.
	failureThreshold = 2
	failingHold      = 4 * time.Second
	// refusalThreshold is the number of starts refused in a row after which an instance is held.
	// The hold is short: a refused start costs a message only.
	refusalThreshold = 3
	sheddingHold     = 500 * time.Millisecond
	// flapsThreshold is the number of silences, each forgotten after flapMemory, with which an
	// instance is held when it comes back: one restart says nothing.
	flapsThreshold = 2
	flapMemory     = 20 * time.Second
	flappingHold   = time.Second
	// sameSilence is the time between two reports below which they are of one silence.
	sameSilence = 500 * time.Millisecond
)

// Done records a run that ended as done. One that ends in a hold does not end it, but the instance needs
// no probe after that.
func (r *Record) Done(now time.Time) {
	r.failures, r.refusals = 0, 0
	switch {
	case r.cause == Slow:
	case r.Held(now):
		r.strikes, r.probing = 0, false
	default:
		r.Clear()
	}
}

// Failed records a failed run, unless the last counted one was of the same job, since a job that always
// fails says nothing about the instance. After a hold, one more failure is enough for the next.
func (r *Record) Failed(now time.Time, job string) {
	r.refusals = 0
	if r.lastFailedJob == job {
		return
	}
	r.lastFailedJob = job
	r.failures++
	if r.failures >= failureThreshold {
		r.hold(now, Failing, failingHold)
		r.failures = failureThreshold - 1
	}
}

// Refused records a start that the instance refused.
func (r *Record) Refused(now time.Time) {
	r.refusals++
	if r.refusals >= refusalThreshold && !r.Held(now) {
		r.hold(now, Shedding, sheddingHold)
		r.refusals = refusalThreshold - 1
	}
}

// flaps are the silences of the instances of one host.
type flaps struct {
	instances int         // of the host that are known
	at        []time.Time // the last ones, flapsThreshold + maxHoldDoublings at most
}

// Silent records that the instance on a host stopped to answer.
func (m *Model) Silent(now time.Time, host string) {
	f := m.flaps[host]
	if f == nil {
		return
	}
	if n := len(f.at); n > 0 && now.Sub(f.at[n-1]) < sameSilence {
		return
	}
	f.at = append(f.at, now)
	if excess := len(f.at) - flapsThreshold - maxHoldDoublings; excess > 0 {
		f.at = f.at[excess:]
	}
}

// forgetHosts forgets the hosts that have no instance and of which no silence is remembered.
func (m *Model) forgetHosts(now time.Time) {
	maps.DeleteFunc(m.flaps, func(_ string, f *flaps) bool { return f.instances == 0 && f.recent(now) == 0 })
}

// recent returns how many of the silences are remembered.
func (f *flaps) recent(now time.Time) int {
	recent := 0
	for _, at := range f.at {
		if now.Sub(at) < flapMemory {
			recent++
		}
	}
	return recent
}

// commonSilence reports whether so many instances of a group were silent lately that the cause is not in
// them.
func (m *Model) commonSilence(now time.Time, group string) bool {
	silent, all := 0, 0
	for _, r := range m.sorted {
		if r.group != group {
			continue
		}
		all++
		if r.flaps.recent(now) > 0 {
			silent++
		}
	}
	return silent > max(all/maxHeldFraction, 1)
}

// Returned records that the instance answers again. One that flaps is held, for longer with each
// silence that is remembered.
func (r *Record) Returned(now time.Time) {
	recent := r.flaps.recent(now)
	if recent < flapsThreshold || r.Held(now) || r.model.commonSilence(now, r.group) {
		return
	}
	r.cause, r.strikes = Flapping, recent-flapsThreshold
	r.hold(now, Flapping, flappingHold)
}
