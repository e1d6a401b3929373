package dispatch

import (
	"maps"
	"math"
	"time"
)

const (
	// stalledPercent is the share of its requested processors, in percent, below which a
	// best-effort run counts as stalled.
	stalledPercent = 30
	// deliveryLag is the time constant with which the rate of a run follows its measurements.
	deliveryLag = 500 * time.Millisecond
	// measuredSpan is the time that a measurement covers. What a run used before its first full one
	// is not known, and is taken for all that it requested.
	measuredSpan = 500 * time.Millisecond
	// firstMeasured is the age from which on a measurement covers the run alone: a start takes some
	// time to be obeyed, and a report some to arrive.
	firstMeasured = 700 * time.Millisecond
	// deliveryMemory is how long the rate of the last runs of an image on an instance stands for
	// that of the next one: it is measured anew twice a second.
	deliveryMemory = 800 * time.Millisecond
)

// delivery is what a best-effort run gets, as a share of the processors that it requests.
type delivery struct {
	rate         float64       // smoothed
	work         time.Duration // time at full rate that is as much work
	measuredAt   time.Time     // zero before the first full measurement
	stalledSince time.Time     // since when it has got little; zero otherwise
}

// recordDelivery records the rate and the work of a best-effort run, from a measurement of the processors
// that it uses, in thousandths of a core.
func (p *reservation) recordDelivery(now time.Time, used float64) {
	share := min(used/float64(max(p.need.Processors, 1)), 1)
	d := &p.delivery
	switch {
	case share*100 >= stalledPercent:
		d.stalledSince = time.Time{}
	case d.stalledSince.IsZero():
		d.stalledSince = now
	}
	age := now.Sub(p.startedAt)
	switch {
	case age < firstMeasured:
		return
	case d.measuredAt.IsZero():
		measured := min(measuredSpan+d.stalledFor(now), age)
		d.rate, d.work = share, age-measured+time.Duration(share*float64(measured))
	default:
		elapsed := now.Sub(d.measuredAt)
		d.work += time.Duration(share * float64(elapsed))
		d.rate += (share - d.rate) * (1 - math.Exp(-elapsed.Seconds()/deliveryLag.Seconds()))
	}
	d.measuredAt = now
}

// stalledFor returns how long a run has been stalled.
func (d *delivery) stalledFor(now time.Time) time.Duration {
	if d.stalledSince.IsZero() {
		return 0
	}
	return now.Sub(d.stalledSince)
}

// workDone returns how long a run has worked at full rate, since its start or since it was found.
func (p *reservation) workDone(now time.Time) time.Duration {
	if !p.bestEffort || p.delivery.measuredAt.IsZero() {
		return now.Sub(p.startedAt)
	}
	return p.delivery.work + time.Duration(p.delivery.rate*float64(now.Sub(p.delivery.measuredAt)))
}

// imageRate is the rate that the runs of a best-effort image had on an instance.
type imageRate struct {
	rate float64
	at   time.Time
}

// observeImages records the rates of the best-effort images that run on an instance.
func (in *instance) observeImages(now time.Time) {
	sums := map[string][2]float64{} // processors delivered and requested
	for _, placed := range in.reservations {
		if placed.bestEffort && !placed.stopping && placed.delivery.measuredAt.Equal(now) {
			sum := sums[placed.step.Image]
			need := float64(placed.need.Processors)
			sums[placed.step.Image] = [2]float64{sum[0] + need*placed.delivery.rate, sum[1] + need}
		}
	}
	maps.DeleteFunc(in.imageRates, func(_ string, known imageRate) bool { return now.Sub(known.at) >= deliveryMemory })
	for image, sum := range sums {
		if in.imageRates == nil {
			in.imageRates = map[string]imageRate{}
		}
		in.imageRates[image] = imageRate{sum[0] / max(sum[1], 1), now}
	}
}

// deliveredRate returns the rate that the runs of a best-effort image have on an instance, 1 if there
// were none lately.
func (in *instance) deliveredRate(now time.Time, image string) float64 {
	if known, ok := in.imageRates[image]; ok && now.Sub(known.at) < deliveryMemory {
		return known.rate
	}
	return 1
}

// expectedRate returns the share of full speed at which a best-effort task of a step is expected to run
// on an instance, by what the instance has headroom for, by what it gives runs of the image now, and by
// its speed.
func (p *planner) expectedRate(step *Step, in *instance) float64 {
	rate := min(p.rate(step, in), in.deliveredRate(p.now, step.Image))
	return rate * p.scheduler.speed(in, p.now)
}

// speedPenalty returns the penalty of a task that is not best-effort for the time by which it takes longer
// on an instance than on its peers.
func (p *planner) speedPenalty(in *instance) int {
	return int(penaltySlow * (1/p.scheduler.speed(in, p.now) - 1))
}

// mayProbe reports whether an instance takes one more task of a step in this plan. A long-running one
// takes what room there is.
func (p *planner) mayProbe(step *Step, in *instance) bool {
	return step.LongRunning || !in.probed(p.now)
}
