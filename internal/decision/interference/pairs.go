package interference

import "slices"

const (
	// unknownWeight is what a filling image costs a serving one until it is learned, in
	// ms of tail latency for each core.
	unknownWeight = 0.5
	// unknownTail is the tail latency of a serving image on its own until it is learned.
	unknownTail = 8
	// weightRate and tailRate are the parts of an error that one sample corrects.
	weightRate = 0.3
	tailRate   = 0.05
	// weightMost bounds what is learned from one wild sample.
	weightMost = 20
)

// Pair is a serving image and a filling one that run on one instance.
type Pair struct {
	Serving string `json:"s"`
	Filling string `json:"f"`
}

// Weight is what a pair costs: ms of the serving image's tail latency for each core
// that the filling image uses.
type Weight struct {
	Pair
	Cost float64 `json:"w"`
}

// Sample is the tail latency of a serving task over a moment, with the cores that each
// filling image beside it used then.
type Sample struct {
	Serving string
	Tail    float64 // ms
	Cores   map[string]float64
}

// Pairs learns what pairs of images cost, by normalized least mean squares: each sample
// moves the weights of what ran by a part of the error, in proportion to its cores.
type Pairs struct {
	weights map[Pair]float64
	tails   map[string]float64
}

// NewPairs makes a learner that knows nothing.
func NewPairs() *Pairs { return &Pairs{weights: map[Pair]float64{}, tails: map[string]float64{}} }

// Cost is what a pair costs in ms for each core, as far as is known.
func (p *Pairs) Cost(serving, filling string) float64 {
	if weight, known := p.weights[Pair{serving, filling}]; known {
		return weight
	}
	return unknownWeight
}

// Tail is the tail latency of a serving image on its own, in ms.
func (p *Pairs) Tail(serving string) float64 {
	if tail, known := p.tails[serving]; known {
		return tail
	}
	return unknownTail
}

// Observe learns from a sample.
func (p *Pairs) Observe(s Sample) {
	expected, norm := p.Tail(s.Serving), 1.0
	for filling, cores := range s.Cores {
		expected += p.Cost(s.Serving, filling) * cores
		norm += cores * cores
	}
	wrong := s.Tail - expected
	for filling, cores := range s.Cores {
		if cores <= 0 {
			continue
		}
		pair := Pair{s.Serving, filling}
		p.weights[pair] = min(max(p.Cost(s.Serving, filling)+weightRate*wrong*cores/norm, 0), weightMost)
	}
	p.tails[s.Serving] = max(p.Tail(s.Serving)+tailRate*wrong, 0)
}

// Set takes a weight that was learned elsewhere.
func (p *Pairs) Set(w Weight) { p.weights[w.Pair] = w.Cost }

// Of lists the weights known of serving images, in order.
func (p *Pairs) Of(serving []string) []Weight {
	var weights []Weight
	for pair, cost := range p.weights {
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
