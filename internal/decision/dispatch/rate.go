package dispatch

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
)

// rate is the share of its speed, 0 to 1, at which a filling task of a step is expected
// to work on an instance: as far as processors are left, and as the serving tasks there
// stay below their targets.
func (b *Book) rate(step *Step, in *instance) float64 {
	rate := 1.0
	if need := step.Need.Processors; need > 0 {
		rate = min(rate, float64(in.fillRoom())/float64(need))
	}
	for name, p := range in.placements {
		if !p.serves {
			continue
		}
		loss := b.loss(p.step.Image, step)
		headroom, measured := in.headrooms[name]
		if loss <= harmless && (!measured || headroom >= loudAt) {
			continue
		}
		if slack := b.slack(in, name, p); loss > slack {
			rate = min(rate, slack/max(loss, harmless))
		}
	}
	return max(rate, 0)
}

// loss is the headroom that one task of a filling step takes from a serving image.
func (b *Book) loss(serving string, filling *Step) float64 {
	return b.pairs.Cost(serving, filling.Image) * float64(filling.Need.Processors) / 1000
}

// slack is the headroom that a serving task can still lose, with the filling tasks beside
// it at full pace and its load at its worst.
func (b *Book) slack(in *instance, name TaskName, p *placement) float64 {
	slack := b.pairs.Trough(p.step.Image, name.Job) - quietAt
	for _, other := range in.placements {
		if other.fills {
			slack -= b.loss(p.step.Image, other.step)
		}
	}
	return slack
}

// disturbance is the largest part of its slack that a filling task would take from a
// serving one on an instance, 1 at most.
func (b *Book) disturbance(step *Step, in *instance) float64 {
	most := 0.0
	for name, p := range in.placements {
		if p.serves {
			loss := b.loss(p.step.Image, step)
			most = max(most, min(1, loss/max(b.slack(in, name, p), loss, harmless)))
		}
	}
	return most
}

// openness is the share of the filling images that would disturb nothing on an instance.
func (p *planner) openness(in *instance) float64 {
	if in.serving == 0 {
		return 1
	}
	images := map[string]bool{}
	for _, placed := range in.placements {
		if placed.serves {
			images[placed.step.Image] = true
		}
	}
	open := 0
	for _, filling := range p.filling {
		harmless := true
		for serving := range images {
			harmless = harmless && p.book.pairs.Harmless(serving, filling)
		}
		if harmless {
			open++
		}
	}
	return float64(open) / float64(max(len(p.filling), 1))
}

// otherImages counts the serving placements of other images.
func (in *instance) otherImages(image string) int {
	count := 0
	for _, p := range in.placements {
		if p.serves && p.step.Image != image {
			count++
		}
	}
	return count
}
