package interference

import "slices"

const (
	// unknownCost is what a filling image costs a serving one until it is learned, as a
	// share of the target for each core.
	unknownCost = 0.025
	// unknownTail is the tail of a serving image on its own until it is learned, as a
	// share of its target.
	unknownTail = 0.45
	// costRate and tailRate are the parts of an error that one sample corrects.
	costRate = 0.3
	tailRate = 0.05
	// blameLeast is the part of the target by which a tail must be higher than expected
	// until anything is blamed for it: the load of serving tasks swings.
	blameLeast = 0.15
	// blameMost bounds what is learned from one sample, since tails rise steeply near the
	// limit.
	blameMost = 1.0
	// blameFloor is the cost that even an image known as harmless has when blame is
	// shared, so that it can be found guilty later.
	blameFloor = 0.002
	// coresLeast is how much of an image must work for a sample to say something of it.
	coresLeast = 0.5
	// costMost bounds a cost.
	costMost = 1.0
)

// Pair is a serving image and a filling one that run on one instance.
type Pair struct {
	Serving string `json:"s"`
	Filling string `json:"f"`
}

// Weight is what a pair costs: the share of its target by which the serving image's
// tail latency rises for each core that the filling image uses.
type Weight struct {
	Pair
	Cost float64 `json:"w"`
}

// Sample is the tail latency of a serving task over a moment, with the cores that each
// filling image beside it used then.
type Sample struct {
	Serving string
	Tail    float64 // as a share of the target
	Cores   map[string]float64
}

// Pairs learns what pairs of images cost. Each sample corrects the costs of what ran by
// a part of the error, shared by what each image is believed to add (the exponentiated
// gradient method, with a floor), since most pairs cost nothing and few cost much.
type Pairs struct {
	costs map[Pair]float64
	tails map[string]float64
}

// NewPairs makes a learner that knows nothing.
func NewPairs() *Pairs { return &Pairs{costs: map[Pair]float64{}, tails: map[string]float64{}} }

// Cost is what a pair costs, as far as is known.
func (p *Pairs) Cost(serving, filling string) float64 {
	if cost, known := p.costs[Pair{serving, filling}]; known {
		return cost
	}
	return unknownCost
}

// Tail is the tail latency of a serving image on its own, as a share of its target.
func (p *Pairs) Tail(serving string) float64 {
	if tail, known := p.tails[serving]; known {
		return tail
	}
	return unknownTail
}

// Observe learns from a sample.
func (p *Pairs) Observe(s Sample) {
	expected, believed := p.Tail(s.Serving), 0.0
	for filling, cores := range s.Cores {
		if cores < coresLeast {
			continue
		}
		expected += p.Cost(s.Serving, filling) * cores
		believed += (p.Cost(s.Serving, filling) + blameFloor) * cores
	}
	wrong := min(s.Tail-expected, blameMost)
	if believed == 0 {
		p.tails[s.Serving] = min(max(p.Tail(s.Serving)+tailRate*wrong, 0), 1)
		return
	}
	if wrong > 0 {
		wrong = max(wrong-blameLeast, 0)
	}
	for filling, cores := range s.Cores {
		if cores < coresLeast {
			continue
		}
		cost := p.Cost(s.Serving, filling)
		share := (cost + blameFloor) / believed // of the error, for each core
		p.costs[Pair{s.Serving, filling}] = min(max(cost+costRate*wrong*share, 0), costMost)
	}
}

// Set takes a weight that was learned elsewhere.
func (p *Pairs) Set(w Weight) { p.costs[w.Pair] = w.Cost }

// Learn takes a weight that was learned elsewhere, unless one is known.
func (p *Pairs) Learn(w Weight) {
	if _, known := p.costs[w.Pair]; !known {
		p.Set(w)
	}
}

// All lists all weights, in no order.
func (p *Pairs) All() []Weight {
	weights := make([]Weight, 0, len(p.costs))
	for pair, cost := range p.costs {
		weights = append(weights, Weight{pair, cost})
	}
	return weights
}

// Of lists the weights known of serving images, in order.
func (p *Pairs) Of(serving []string) []Weight {
	var weights []Weight
	for pair, cost := range p.costs {
		if slices.Contains(serving, pair.Serving) {
			weights = append(weights, Weight{pair, cost})
		}
	}
	slices.SortFunc(weights, func(a, b Weight) int {
		if a.Serving != b.Serving {
			return compareText(a.Serving, b.Serving)
		}
		return compareText(a.Filling, b.Filling)
	})
	return weights
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
