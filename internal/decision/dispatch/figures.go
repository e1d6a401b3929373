package dispatch

import (
	"math"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
)

const (
	// warmUp is how long a serving task's figures say nothing of those beside it.
	warmUp = 2 * time.Second
	// samplePeriod is the least time between two samples of an instance: a figure is of
	// the last half second.
	samplePeriod = 250 * time.Millisecond
	// tailLag is how long a tail takes to follow the cores that filling tasks use: it is
	// taken over a moment, and queues have to drain.
	tailLag = 400 * time.Millisecond
)

// Observe takes the figures of an instance and learns from them what filling images
// cost serving ones.
func (b *Scheduler) Observe(now time.Time, life Incarnation, figures []Measurement) {
	in, ok := b.instances[life.ID]
	if !ok || in.offer.Incarnation != life || len(figures) == 0 {
		return
	}
	cores := map[string]float64{}
	in.headrooms = map[TaskName]float64{}
	for _, figure := range figures {
		p := in.placements[figure.Task]
		switch {
		case p == nil || p.step == nil:
		case p.serves && figure.Value > 0:
			in.headrooms[figure.Task] = interference.Headroom(float64(p.step.Target), figure.Value)
		case p.fills:
			cores[p.step.Image] += figure.Value / 1000
			p.measured(now, figure.Value)
		}
	}
	since := now.Sub(in.sampled)
	if since < samplePeriod {
		return
	}
	in.sampled = now
	in.smooth(cores, since)
	for _, sample := range in.samples(now) {
		sample.Cores = in.cores
		b.pairs.Observe(sample)
	}
}

// smooth has the cores of each filling image follow those that were measured, as slowly as
// tails do.
func (in *instance) smooth(measured map[string]float64, since time.Duration) {
	part := 1 - math.Exp(-since.Seconds()/tailLag.Seconds())
	smoothed := map[string]float64{}
	for image, cores := range in.cores {
		if left := cores * (1 - part); left > coresLeast {
			smoothed[image] = left
		}
	}
	for image, cores := range measured {
		smoothed[image] += cores * part
	}
	in.cores = smoothed
}

// coresLeast is how many cores of an image count as none.
const coresLeast = 0.1

// samples are the mean headrooms of the serving tasks of each job on an instance.
func (in *instance) samples(now time.Time) []interference.Sample {
	type job struct{ image, id string }
	sums := map[job][]float64{}
	targets := map[job]float64{}
	for name, headroom := range in.headrooms {
		if p := in.placements[name]; now.Sub(p.since) >= warmUp {
			of := job{p.step.Image, name.Job}
			sums[of] = append(sums[of], headroom)
			targets[of] = float64(p.step.Target)
		}
	}
	samples := make([]interference.Sample, 0, len(sums))
	for of, headrooms := range sums {
		sum := 0.0
		for _, headroom := range headrooms {
			sum += headroom
		}
		headroom := sum / float64(len(headrooms))
		samples = append(samples, interference.Sample{
			At: now, LatencyCritical: of.image, Job: of.id, Headroom: headroom, Resolution: headroom * headroom / targets[of],
		})
	}
	return samples
}

// measured notes since when a filling task has hardly worked.
func (p *placement) measured(now time.Time, used float64) {
	switch {
	case used*100 >= float64(stalledShare*p.need.Processors):
		p.stalled = time.Time{}
	case p.stalled.IsZero():
		p.stalled = now
	}
}

// RestoreEstimates takes what was learned of the costs of image pairs under earlier owners.
func (b *Scheduler) RestoreEstimates(estimates []interference.Estimate) { b.pairs.Restore(estimates) }

// Estimates are what is known of the costs of at most so many image pairs.
func (b *Scheduler) Estimates(most int) []interference.Estimate { return b.pairs.Estimates(most) }

// Costs are what is known of the serving images on an instance.
func (b *Scheduler) Costs(id string) []interference.PairCost {
	in, ok := b.instances[id]
	if !ok {
		return nil
	}
	var images []string
	for _, p := range in.placements {
		if p.serves {
			images = append(images, p.step.Image)
		}
	}
	return b.pairs.Costs(images)
}

// Runs describes the runs on an instance, for an agent that has not started them.
func (b *Scheduler) Runs(id string) []Start {
	in, ok := b.instances[id]
	if !ok {
		return nil
	}
	var traits []Start
	for _, p := range in.placements {
		if p.step != nil {
			traits = append(traits, Start{Instance: id, Task: p.name, Run: p.run, Step: p.step})
		}
	}
	return traits
}
