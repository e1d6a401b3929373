package speeds

import (
	"math"
	"slices"
	"time"
)

const (
	// reviewPeriod is the least time between two comparisons of the instances.
	reviewPeriod = 250 * time.Millisecond
	// sampleCount is how many samples weigh as much as all earlier ones, and sampleMemory the time
	// constant with which they are forgotten besides: an instance that gets little work for being slow
	// is to be tried again.
	sampleCount  = 6
	sampleMemory = 15 * time.Second
	// maxDeviation bounds the logarithm of one sample: one run that takes long says little.
	maxDeviation = 1.1
	// priorSamples is the weight of the assumption that an instance is like its peers.
	priorSamples = 1
	// sampleSpread is the spread of the bounded logarithms of the runs of sound instances, with
	// durations of a heavy tail. A deviation counts from minSpreads spreads of the mean on.
	sampleSpread = 0.35
	minSpreads   = 3
	// mildSpeed is the speed from which on an instance counts as like its peers, and holdSpeed
	// that below which it is held.
	mildSpeed = 0.8
	holdSpeed = 0.5
	// slowHold is short: while no other has room, a slow instance is better than none, and it may soon be
	// well again.
	slowHold = time.Second
	// probeDelay is how long after a hold an instance is taken for as slow as before it, so that it gets
	// work only if there is no room elsewhere.
	probeDelay = 200 * time.Millisecond
	// probeTimeout bounds how long an instance is probed for slowness: runs of steps of which too few
	// others have ended say nothing.
	probeTimeout = 5 * time.Second
	// minHoldSamples is the least weight of the samples for a hold, and minEnds that of those that are
	// ends: runs of a heavy tail are overdue for long. minOverdue of those do without an end: on some
	// instances runs stand still.
	minHoldSamples = 2.5
	minEnds        = 1.6
	minOverdue     = 3
)

// efficiency sums up how long the runs of an instance took.
type efficiency struct {
	weight, sum float64 // of the logarithms of expected by taken
	sampledAt   time.Time
	// overdue and overdueSum are the same of the runs that have not ended and have taken longer
	// than expected.
	overdue, overdueSum float64
}

// deviation returns the bounded logarithm of expected by taken.
func deviation(expected, taken time.Duration) float64 {
	ratio := math.Log(expected.Seconds() / max(taken.Seconds(), 0.001))
	return min(max(ratio, -maxDeviation), maxDeviation)
}

// Ended records that a run took a time where the runs of its step usually take the expected one. The
// runs that end in a hold began before it and don't count.
func (r *Record) Ended(now time.Time, expected, taken time.Duration) {
	if expected <= 0 || r.Held(now) {
		return
	}
	r.forget(now)
	r.weight, r.sum = r.weight*(1-1.0/sampleCount), r.sum*(1-1.0/sampleCount)
	r.weight++
	sample := deviation(expected, taken)
	r.sum += sample
	if r.probing && r.cause == Slow {
		r.probed(now, sample)
	}
}

// probed judges an instance that was held for being slow by the first run after that.
func (r *Record) probed(now time.Time, sample float64) {
	switch {
	case sample < math.Log(holdSpeed):
		r.hold(now, Slow, slowHold)
	case sample > math.Log(mildSpeed):
		r.Clear()
	}
}

func (r *Record) forget(now time.Time) {
	kept := math.Exp(-now.Sub(r.sampledAt).Seconds() / sampleMemory.Seconds())
	r.weight, r.sum, r.sampledAt = r.weight*kept, r.sum*kept, now
}

// Overdue records that a run has taken longer than expected and has not ended. It counts until the
// next review.
func (r *Record) Overdue(expected, taken time.Duration) {
	if expected > 0 && taken > expected {
		r.overdue++
		r.overdueSum += deviation(expected, taken)
	}
}

// ReviewDue reports whether the time for the next review has come.
func (m *Model) ReviewDue(now time.Time) bool { return now.Sub(m.reviewedAt) >= reviewPeriod }

// Review compares the instances of each group with the one in their middle, and holds those that are
// far slower.
func (m *Model) Review(now time.Time) {
	m.reviewedAt = now
	m.forgetHosts(now)
	means := map[string][]float64{}
	for _, r := range m.sorted {
		r.forget(now)
		if mean, known := r.mean(); known {
			means[r.group] = append(means[r.group], mean)
		}
	}
	for _, sample := range means {
		slices.Sort(sample)
	}
	for _, r := range m.sorted {
		r.review(now, means[r.group])
		r.overdue, r.overdueSum = 0, 0
	}
}

// mean returns the mean of the samples, and whether there is at least one.
func (r *Record) mean() (float64, bool) {
	weight := r.weight + r.overdue
	if weight < 1 {
		return 0, false
	}
	return (r.sum + r.overdueSum) / weight, true
}

// review sets the speed of an instance. A held one keeps its speed until it has been probed.
func (r *Record) review(now time.Time, peers []float64) {
	mean, known := r.mean()
	if r.Held(now) {
		return
	}
	if r.probing && r.cause == Slow && r.overdue > 0 && r.overdueSum/r.overdue < math.Log(holdSpeed) {
		r.hold(now, Slow, slowHold) // its probe takes too long already
		return
	}
	if r.probing && r.cause == Slow && now.Sub(r.heldUntil) >= probeTimeout {
		r.Clear()
	}
	if !known && r.probing && r.cause == Slow && now.Sub(r.heldUntil) < probeDelay {
		return
	}
	speed, far := 1.0, false
	if known {
		weight := r.weight + r.overdue
		below := mean - peers[len(peers)/2]
		shrunk := below * weight / (weight + priorSamples)
		if shrunk < -minSpreads*sampleSpread/math.Sqrt(weight+priorSamples) && shrunk < math.Log(mildSpeed) {
			speed = math.Exp(shrunk)
			far = below < math.Log(holdSpeed) && weight >= minHoldSamples && (r.weight >= minEnds || r.overdue >= minOverdue)
		}
	}
	r.setSpeed(now, speed, far)
}

// setSpeed sets the speed, and holds an instance that is far slower than its peers.
func (r *Record) setSpeed(now time.Time, speed float64, far bool) {
	was := r.speed
	r.speed = speed
	switch {
	case far:
		if !now.Before(r.boundedUntil) {
			r.hold(now, Slow, slowHold)
		}
	case speed < 1 && was == 1:
		r.model.changes = append(r.model.changes, Change{Instance: r.instance, Cause: Slow, Speed: speed})
	case speed == 1 && was < 1 && !r.probing:
		r.model.changes = append(r.model.changes, Change{Instance: r.instance, Speed: 1})
	}
}
