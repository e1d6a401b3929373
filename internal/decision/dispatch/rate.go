package dispatch

import "time"

const (
	// quietAt is the share of its target up to which a serving task's tail may be
	// expected to rise beside a filling task that works at full pace.
	quietAt = 0.6
	// harmless is the rise of a tail, as a share of its target, that no placement depends
	// on, as long as the tail is below loudAt.
	harmless = 0.05
	loudAt   = 0.8
	// rateLeast is the share of its speed below which a filling task is not placed.
	rateLeast = 0.75
	// unmeasured is how long a filling task does not show in the figures of those beside
	// it.
	unmeasured = 900 * time.Millisecond
)

// rate is the share of its speed, 0 to 1, at which a filling task of a step is expected
// to work on an instance: as far as processors are left, and as the serving tasks there
// stay below their targets.
func (b *Book) rate(now time.Time, step *Step, in *instance) float64 {
	rate := 1.0
	if need := step.Need.Processors; need > 0 {
		rate = min(rate, float64(in.fillRoom())/float64(need))
	}
	if in.serving == 0 {
		return max(rate, 0)
	}
	for name, p := range in.placements {
		if !p.serves {
			continue
		}
		more := b.rise(p.step.Image, step)
		limit := quietAt
		if more < harmless {
			limit = loudAt
		}
		slack := limit - b.expectedTail(now, in, name, p)
		if more > slack {
			rate = min(rate, slack/max(more, harmless))
		}
	}
	return max(rate, 0)
}

// rise is what one task of a filling step adds to a serving image's tail, as a share of
// its target.
func (b *Book) rise(serving string, filling *Step) float64 {
	return b.pairs.Cost(serving, filling.Image) * float64(filling.Need.Processors) / 1000
}

// expectedTail is the tail of a serving task as last measured, with what the filling
// tasks add that were placed since.
func (b *Book) expectedTail(now time.Time, in *instance, name TaskName, p *placement) float64 {
	tail, measured := in.tails[name]
	if !measured {
		tail = b.pairs.Tail(p.step.Image)
	}
	for _, other := range in.placements {
		if other.fills && now.Sub(other.since) < unmeasured {
			tail += b.rise(p.step.Image, other.step)
		}
	}
	return tail
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
