package dispatch

import (
	"math"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
)

const (
	// sampleWarmUp is the time after the start of a latency-critical task in which its
	// measurements do not yet show the effect of the tasks beside it.
	sampleWarmUp = 2 * time.Second
	// samplePeriod is the minimum time between two samples of an instance. A measurement
	// covers the last half second.
	samplePeriod = 250 * time.Millisecond
	// tailLag is the time constant with which tail latency follows the cores that best-effort
	// tasks use: the tail is measured over an interval, and queues have to drain.
	tailLag = 400 * time.Millisecond
)

// Observe updates the interference cost model with an instance's measurements: how much
// headroom best-effort images take from latency-critical ones. Measurements of any incarnation
// but the current one are ignored.
func (s *Scheduler) Observe(now time.Time, incarnation Incarnation, measurements []Measurement) {
	in, ok := s.instances[incarnation.ID]
	if !ok || in.registration.Incarnation != incarnation || len(measurements) == 0 {
		return
	}
	cores := map[string]float64{}
	in.headrooms = map[TaskName]float64{}
	for _, measurement := range measurements {
		p := in.reservations[measurement.Task]
		switch {
		case p == nil || p.step == nil:
		case p.latencyCritical && measurement.Value > 0:
			in.headrooms[measurement.Task] = interference.Headroom(float64(p.step.Target), measurement.Value)
		case p.bestEffort:
			cores[p.step.Image] += measurement.Value / 1000
			p.recordDelivery(now, measurement.Value)
			p.recordLoss(now, measurement.Value)
		}
	}
	in.observeImages(now)
	elapsed := now.Sub(in.sampledAt)
	if elapsed < samplePeriod {
		return
	}
	in.sampledAt = now
	in.smoothCores(cores, elapsed)
	for _, sample := range in.samples(now) {
		sample.Cores = in.bestEffortCores
		s.costModel.Observe(sample)
	}
}

// smoothCores moves the cores of each best-effort image towards the measured ones,
// exponentially smoothed with tailLag, since tails follow as slowly.
func (in *instance) smoothCores(measured map[string]float64, elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/tailLag.Seconds())
	smoothed := map[string]float64{}
	for image, cores := range in.bestEffortCores {
		if decayed := cores * (1 - weight); decayed > minCores {
			smoothed[image] = decayed
		}
	}
	for image, cores := range measured {
		smoothed[image] += cores * weight
	}
	in.bestEffortCores = smoothed
}

// minCores is the number of cores below which an image counts as using none.
const minCores = 0.1

// samples returns, for each job, the mean headroom of its latency-critical tasks on an instance,
// without tasks that started less than sampleWarmUp ago. Headroom is the target divided by the
// tail latency. So if the tail changes by 1 ms, the headroom changes by the square of the
// headroom divided by the target, which is the Resolution of the sample.
func (in *instance) samples(now time.Time) []interference.Sample {
	type job struct{ image, id string }
	sums := map[job][]float64{}
	targets := map[job]float64{}
	for name, headroom := range in.headrooms {
		if p := in.reservations[name]; now.Sub(p.startedAt) >= sampleWarmUp {
			key := job{p.step.Image, name.Job}
			sums[key] = append(sums[key], headroom)
			targets[key] = float64(p.step.Target)
		}
	}
	samples := make([]interference.Sample, 0, len(sums))
	for key, headrooms := range sums {
		sum := 0.0
		for _, headroom := range headrooms {
			sum += headroom
		}
		headroom := sum / float64(len(headrooms))
		samples = append(samples, interference.Sample{
			At: now, LatencyCritical: key.image, Job: key.id, Headroom: headroom, Resolution: headroom * headroom / targets[key],
		})
	}
	return samples
}

// RestoreCosts loads the interference costs of image pairs that earlier owners learned.
func (s *Scheduler) RestoreCosts(estimates []interference.Estimate) {
	s.costModel.Restore(estimates)
}

// LearnedCosts returns the learned interference costs of at most limit image pairs.
func (s *Scheduler) LearnedCosts(limit int) []interference.Estimate {
	return s.costModel.Estimates(limit)
}

// Costs returns the known interference costs of the latency-critical images on an instance.
func (s *Scheduler) Costs(id string) []interference.PairCost {
	in, ok := s.instances[id]
	if !ok {
		return nil
	}
	var images []string
	for _, p := range in.reservations {
		if p.latencyCritical {
			images = append(images, p.step.Image)
		}
	}
	return s.costModel.Costs(images)
}

// Runs returns the runs placed on an instance, for an agent that did not receive their start
// orders. Payload and Checkpoint are not set. Runs of unknown jobs are left out.
func (s *Scheduler) Runs(id string) []Start {
	in, ok := s.instances[id]
	if !ok {
		return nil
	}
	var runs []Start
	for _, p := range in.reservations {
		if p.step != nil {
			runs = append(runs, Start{Instance: id, Task: p.name, Run: p.run, Step: p.step})
		}
	}
	return runs
}
