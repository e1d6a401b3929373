package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// fullPace is the pace, in percent, of a task that nobody slows.
	fullPace = 100
	// slowAt is the headroom below which filling tasks give way; they give way until it
	// is expected at aimAt, and get more again as far as it is expected to stay above
	// aimAt, once it is over calmAt.
	slowAt = 1.15
	aimAt  = 1.35
	calmAt = 1.45
	// patience is how long a serving task may be over its target until all filling
	// tasks stand still, whatever is known of their images.
	patience = 1200 * time.Millisecond
	// settleTime is how long a change takes to show in the figures.
	settleTime = 550 * time.Millisecond
	// raiseMost is the most that a pace goes up at a time, in percent points, for an
	// image that is known to cost something.
	raiseMost = 50
	// raiseLeast is the least step that is worth an order.
	raiseLeast = 4
	// lightCost is the cost below which an image counts as harmless.
	lightCost = 0.02
)

// LatencyCritical is a serving task's state.
type LatencyCritical struct {
	Image    string
	Headroom float64 // over the last moment
}

// BestEffort is what the filling tasks of one image use and ask for.
type BestEffort struct {
	Cores float64 // over the last moment
	Asked float64 // at full pace
}

// Pacer decides how fast the filling tasks of one instance may work, by image, so that
// the serving ones beside them stay below their targets.
type Pacer struct {
	pairs   *Model
	paces   map[string]int // percent, of images that are slowed
	changed time.Time
	over    time.Time // since when a serving task has been over its target
}

// NewPacer makes a pacer that slows nothing.
func NewPacer(pairs *Model) *Pacer { return &Pacer{pairs: pairs, paces: map[string]int{}} }

// Pace is the pace of an image in percent.
func (p *Pacer) Pace(image string) int {
	if pace, slowed := p.paces[image]; slowed {
		return pace
	}
	return fullPace
}

// Observe takes the state of the serving tasks and of the filling ones by image, and
// adjusts the paces. It tells whether any has changed.
func (p *Pacer) Observe(now time.Time, serving []LatencyCritical, filling map[string]BestEffort) bool {
	worst := Worst(serving)
	if worst > 1 {
		p.over = time.Time{}
	} else if p.over.IsZero() {
		p.over = now
	}
	switch {
	case len(serving) == 0:
		changed := len(p.paces) > 0
		clear(p.paces)
		return changed
	case !p.over.IsZero() && now.Sub(p.over) > patience:
		return p.standStill(now, filling)
	case now.Sub(p.changed) < settleTime:
		return false
	case worst <= slowAt:
		return p.lower(now, serving, filling)
	case worst > calmAt:
		return p.raise(now, serving, filling)
	}
	return false
}

// Worst is the least headroom of serving tasks.
func Worst(serving []LatencyCritical) float64 {
	worst := math.Inf(1)
	for _, s := range serving {
		worst = min(worst, s.Headroom)
	}
	return worst
}

func (p *Pacer) standStill(now time.Time, filling map[string]BestEffort) bool {
	changed := false
	for image := range filling {
		changed = changed || p.Pace(image) > 0
		p.paces[image] = 0
	}
	if changed {
		p.changed = now
	}
	return changed
}

// lower slows the images that cost the serving tasks the most, until each of these is
// expected where it should be.
func (p *Pacer) lower(now time.Time, serving []LatencyCritical, filling map[string]BestEffort) bool {
	changed := false
	for _, s := range serving {
		if s.Headroom > slowAt {
			continue
		}
		excess := aimAt - s.Headroom
		for _, image := range p.byCost(s.Image, filling) {
			pace := p.Pace(image)
			share := p.pairs.Cost(s.Image, image) * filling[image].Cores // of the headroom
			if excess <= 0 || share <= 0 || pace == 0 {
				continue
			}
			left := 0
			if share > excess {
				left = int(float64(pace) * (1 - excess/share))
			}
			p.paces[image] = left
			excess -= share
			changed = true
		}
	}
	if changed {
		p.changed = now
	}
	return changed
}

// byCost orders the images by what they cost a serving image, the dearest first.
func (p *Pacer) byCost(serving string, filling map[string]BestEffort) []string {
	var images []string
	for image := range filling {
		images = append(images, image)
	}
	slices.SortFunc(images, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.pairs.Cost(serving, b)*filling[b].Cores, p.pairs.Cost(serving, a)*filling[a].Cores),
			cmp.Compare(a, b),
		)
	})
	return images
}

// raise gives pace back: at once to harmless images, else to the cheapest one, as far as
// all serving tasks are expected to stay calm.
func (p *Pacer) raise(now time.Time, serving []LatencyCritical, filling map[string]BestEffort) bool {
	cheapest, least := "", 0.0
	changed := false
	for image, pace := range p.paces {
		asked, here := filling[image]
		switch {
		case pace >= fullPace:
			delete(p.paces, image)
			continue
		case !here:
			continue // the next task of the image begins as slowly
		}
		cost := 0.0
		for _, s := range serving {
			cost = max(cost, p.pairs.Cost(s.Image, image))
		}
		if cost < lightCost {
			delete(p.paces, image)
			changed = true
			continue
		}
		if cheapest == "" || cost*asked.Asked < least || cost*asked.Asked == least && image < cheapest {
			cheapest, least = image, cost*asked.Asked
		}
	}
	if cheapest != "" && !changed {
		if step := p.step(cheapest, serving, filling[cheapest].Asked); step > 0 {
			p.paces[cheapest] = min(p.paces[cheapest]+step, fullPace)
			changed = true
		}
	}
	if changed {
		p.changed = now
	}
	return changed
}

// step is how far, in percent points, an image's pace can go up until a serving task is
// expected to leave its calm.
func (p *Pacer) step(image string, serving []LatencyCritical, asked float64) int {
	step := float64(raiseMost)
	for _, s := range serving {
		if loss := p.pairs.Cost(s.Image, image) * asked; loss > 0 {
			step = min(step, 100*(s.Headroom-aimAt)/loss)
		}
	}
	if step < raiseLeast {
		return 0
	}
	return int(step)
}
