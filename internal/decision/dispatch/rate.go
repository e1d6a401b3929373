package dispatch

import "time"

const (
	// quietAt is the headroom that placements leave a serving task at the worst moment of
	// its load.
	quietAt = 1.15
	// harmless is the loss of headroom that no placement depends on, as long as the task
	// has loudAt at least.
	harmless = 0.08
	loudAt   = 1.05
	// rateLeast is the share of its speed below which a filling task is not placed.
	rateLeast = 0.75
	// squeezeAfter is how long nothing of a job may run until one of its filling tasks is
	// placed where it gets on slowly.
	squeezeAfter = 1500 * time.Millisecond
	// unknownCloses is the share of the filling images that a serving image is taken to
	// close an instance to until something is known.
	unknownCloses = 0.4
)

// beside is what a plan knows of the tasks of one serving job on an instance.
type beside struct {
	image string
	slack float64 // headroom that they can still lose
	loud  bool    // they have hardly any left now
}

// besides lists the serving jobs on an instance. It is kept as long as the plan lasts.
func (p *planner) besides(in *instance) []beside {
	if known, ok := p.beside[in]; ok {
		return known
	}
	var list []beside
	index := map[string]int{} // by job
	for name, placed := range in.placements {
		if !placed.serves {
			continue
		}
		headroom, measured := in.headrooms[name]
		loud := measured && headroom < loudAt
		if i, known := index[name.Job]; known {
			list[i].loud = list[i].loud || loud
			continue
		}
		index[name.Job] = len(list)
		list = append(list, beside{image: placed.step.Image, slack: p.book.slack(in, name, placed), loud: loud})
	}
	p.beside[in] = list
	return list
}

// changed takes that a task was placed on an instance or taken off again.
func (p *planner) changed(in *instance, step *Step, placed bool) {
	if !step.BestEffort || !placed {
		delete(p.beside, in)
		delete(p.open, in)
		return
	}
	list := p.beside[in]
	for i := range list {
		list[i].slack -= p.book.loss(list[i].image, step)
	}
}

// rate is the share of its speed, 0 to 1, at which a filling task of a step is expected
// to work on an instance: as far as processors are left, and as the serving tasks there
// stay below their targets.
func (p *planner) rate(step *Step, in *instance) float64 {
	rate := p.roomRate(step, in)
	for _, beside := range p.besides(in) {
		loss := p.book.loss(beside.image, step)
		if loss <= harmless && !beside.loud {
			continue
		}
		if loss > beside.slack {
			rate = min(rate, beside.slack/max(loss, harmless))
		}
	}
	return max(rate, 0)
}

// roomRate is the share of its speed for which processors are left.
func (p *planner) roomRate(step *Step, in *instance) float64 {
	if need := step.Need.Processors; need > 0 {
		return min(float64(in.fillRoom())/float64(need), 1)
	}
	return 1
}

// loss is the headroom that one task of a filling step takes from a serving image.
func (b *Scheduler) loss(serving string, filling *Step) float64 {
	return b.pairs.Cost(serving, filling.Image) * float64(filling.Need.Processors) / 1000
}

// slack is the headroom that a serving task can still lose, with the filling tasks beside
// it at full pace and its load at its worst.
func (b *Scheduler) slack(in *instance, name TaskName, p *placement) float64 {
	slack := b.pairs.MinHeadroom(p.step.Image, name.Job) - quietAt
	for _, other := range in.placements {
		if other.fills {
			slack -= b.loss(p.step.Image, other.step)
		}
	}
	return slack
}

// disturbance is the largest part of its slack that a filling task would take from a
// serving one on an instance, 1 at most.
func (p *planner) disturbance(step *Step, in *instance) float64 {
	most := 0.0
	for _, beside := range p.besides(in) {
		loss := p.book.loss(beside.image, step)
		most = max(most, min(1, loss/max(beside.slack, loss, harmless)))
	}
	return most
}

// servingImages are the serving images on an instance.
func (in *instance) servingImages() map[string]bool {
	images := map[string]bool{}
	for _, placed := range in.placements {
		if placed.serves {
			images[placed.step.Image] = true
		}
	}
	return images
}

// openTo is the share of the filling images that disturb nothing on an instance.
func (p *planner) openTo(in *instance) float64 {
	open, known := p.open[in]
	if !known {
		open = p.openness(in.servingImages())
		p.open[in] = open
	}
	return open
}

// openness is the share of the filling images known that would disturb none of some
// serving images.
func (p *planner) openness(serving map[string]bool) float64 {
	if len(serving) == 0 {
		return 1
	}
	open := 0
	for _, filling := range p.filling {
		if p.book.disturbsNone(filling, serving) {
			open++
		}
	}
	return float64(open) / float64(max(len(p.filling), 1))
}

// disturbsNone tells whether a filling image costs none of some serving images anything.
func (b *Scheduler) disturbsNone(filling string, serving map[string]bool) bool {
	for image := range serving {
		if !b.pairs.Harmless(image, filling) {
			return false
		}
	}
	return true
}

// closes is the share of the filling images that would find an instance closed, and do
// not now, if a serving image came to it. As long as nothing is known of costs, each other
// image there counts as much as an empty instance does.
func (p *planner) closes(image string, in *instance) float64 {
	serving := in.servingImages()
	if len(p.filling) == 0 {
		delete(serving, image)
		return min(unknownCloses*float64(len(serving)), 1)
	}
	before := p.openness(serving)
	serving[image] = true
	return before - p.openness(serving)
}
