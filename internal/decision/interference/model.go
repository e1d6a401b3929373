package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Headroom is a serving task's target as a multiple of its tail latency: 1 at the target,
// 2 where the tail is half of it. As in a queue whose response time is 1/(1-load), it falls
// by the same amount with each core that a filling image uses, so that costs add up.
//
//	in:  target 18 ms, tail 9 ms
//	out: headroom 2
func Headroom(target, tail float64) float64 { return target / max(tail, tailLeast) }

// tailLeast is the shortest tail that is told from none, in ms.
const tailLeast = 0.5

const (
	// unknownCost is what a filling image costs a serving one until it is learned, in
	// headroom for each core; costVariance is how far off that may be.
	unknownCost  = 0.06
	costVariance = 0.15 * 0.15
	// unknownCalm is the headroom of a serving task alone until it is learned.
	unknownCalm  = 2.2
	calmVariance = 0.8 * 0.8
	// calmDrift is the variance by which the headroom of a serving job alone changes in a
	// second, since its load does; driftMost bounds it after a longer time.
	calmDrift = 0.15
	driftMost = calmVariance
	// costDrift is the variance by which costs change with each sample.
	costDrift = 1e-5
	// sampleNoise is the variance of one sample's error, beside that of its resolution:
	// figures are rough and late.
	sampleNoise = 0.03
	// stepVariance is the square of a step over the variance of rounding to it.
	stepVariance = 12
	// wildLimit is from how many standard deviations on a sample counts no further: a
	// tail has other causes too, such as an instance that hangs.
	wildLimit = 3
	// choked is the headroom from which down samples say only that it is low.
	choked = 0.2
	// coresLeast is how much of an image must work for a sample to say something of it.
	coresLeast = 0.3
	// calmWindow is how long the lowest headroom of a job alone is remembered, in
	// calmBuckets parts; loads swing up and down.
	calmWindow  = 14 * time.Second
	calmBuckets = 7
	// unknownTrough is the lowest headroom that a job alone is expected to have until
	// some of its swing has been seen.
	unknownTrough = 1.6
	// troughLeast is the lowest headroom that a job is taken to have alone: targets are
	// such that they can be met.
	troughLeast = 1.2
)

// Pair is a serving image and a filling one that run on one instance.
type Pair struct {
	LatencyCritical string `json:"s"`
	BestEffort      string `json:"f"`
}

// PairCost is what a pair costs: the headroom that the serving image loses for each core
// that the filling image uses.
type PairCost struct {
	Pair
	Cost float64 `json:"w"`
}

// Sample is the headroom of a serving job's tasks on one instance over a moment, with the
// cores that each filling image beside them used then.
type Sample struct {
	At              time.Time
	LatencyCritical string // image
	Job             string
	Headroom        float64
	// Resolution is the change of the headroom that the tail's unit makes, as tails are whole ms.
	Resolution float64
	Cores      map[string]float64
}

// Model learns what pairs of images cost. The tasks of one serving job share their load,
// which swings, so what differs between instances shows the costs: for each serving image
// a filter estimates the costs of all filling images along with what each job would have
// alone.
type Model struct {
	serving map[string]*servingImage
}

// servingImage is what is known of one serving image.
type servingImage struct {
	filter  filter
	sure    []float64      // by index of a cost: what it costs surely
	filling map[string]int // index of each filling image's cost
	jobs    map[string]*calm
	unused  []int // indexes of jobs that are over
}

// calm is a job's headroom without filling tasks.
type calm struct {
	index  int
	seen   time.Time
	parts  [calmBuckets]mean // of the window, by their number modulo calmBuckets
	bucket int64             // number of the newest part
}

// mean is the mean of some values.
type mean struct {
	sum   float64
	count int
}

func (m mean) value() float64 { return m.sum / float64(m.count) }

// note takes the headroom of a moment into its part of the window.
func (c *calm) note(now time.Time, headroom float64) {
	bucket := now.UnixNano() / int64(calmWindow/calmBuckets)
	for ; c.bucket < bucket; c.bucket++ {
		if bucket-c.bucket > calmBuckets {
			c.bucket = bucket - calmBuckets
		}
		c.parts[(c.bucket+1)%calmBuckets] = mean{}
	}
	part := &c.parts[bucket%calmBuckets]
	part.sum += headroom
	part.count++
}

// trough is the lowest mean of the parts of the window, and no higher than what is
// expected of an unknown job until all of it has been seen.
func (c *calm) trough() float64 {
	lowest := math.Inf(1)
	for _, part := range c.parts {
		if part.count == 0 {
			lowest = min(lowest, unknownTrough)
			continue
		}
		lowest = min(lowest, part.value())
	}
	return max(lowest, troughLeast)
}

// NewModel makes a learner that knows nothing.
func NewModel() *Model { return &Model{serving: map[string]*servingImage{}} }

func (p *Model) of(serving string) *servingImage {
	s := p.serving[serving]
	if s == nil {
		s = &servingImage{filling: map[string]int{}, jobs: map[string]*calm{}}
		p.serving[serving] = s
	}
	return s
}

// Cost is what a pair costs, as far as is known: at least so much, once it is learned,
// since most pairs cost nothing.
func (p *Model) Cost(serving, filling string) float64 {
	if s := p.serving[serving]; s != nil {
		if index, known := s.filling[filling]; known {
			return s.sure[index]
		}
	}
	return unknownCost
}

// Harmless tells whether a filling image is known to cost a serving one next to nothing.
func (p *Model) Harmless(serving, filling string) bool { return p.Cost(serving, filling) < lightCost }

// BestEffortImages lists the filling images of which something is known, in order.
func (p *Model) BestEffortImages() []string {
	known := map[string]bool{}
	for _, s := range p.serving {
		for image := range s.filling {
			known[image] = true
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// surely is a cost less its standard deviation, the more so the more is known of it.
func (s *servingImage) surely(index int) float64 {
	variance := s.filter.cov[index][index]
	learned := max(1-variance/costVariance, 0)
	return max(s.filter.mean[index]-learned*math.Sqrt(variance), 0)
}

// MinHeadroom is the lowest headroom that a serving job is expected to have alone over the
// next seconds.
func (p *Model) MinHeadroom(serving, job string) float64 {
	if s := p.serving[serving]; s != nil {
		if c := s.jobs[job]; c != nil {
			return c.trough()
		}
	}
	return unknownTrough
}

// Observe learns from a sample.
func (p *Model) Observe(sample Sample) {
	s := p.of(sample.LatencyCritical)
	c := s.job(sample.Job, sample.At)
	parts := []part{{c.index, 1}}
	for filling, cores := range sample.Cores {
		if cores >= coresLeast {
			index := s.cost(filling)
			s.filter.spread(index, costDrift)
			parts = append(parts, part{index, -cores})
		}
	}
	expected := s.filter.predict(parts)
	if sample.Headroom > choked || expected > choked {
		s.filter.observe(parts, sample.Headroom, sampleNoise+sample.Resolution*sample.Resolution/stepVariance, wildLimit)
	}
	for _, index := range s.filling {
		s.filter.mean[index] = max(s.filter.mean[index], 0)
		s.sure[index] = s.surely(index)
	}
	c.note(sample.At, s.filter.mean[c.index])
}

// cost is the index of a filling image's cost.
func (s *servingImage) cost(filling string) int {
	index, known := s.filling[filling]
	if !known {
		index = s.filter.add(unknownCost, costVariance)
		s.filling[filling] = index
		s.sure = append(s.sure, make([]float64, index+1-len(s.sure))...)
		s.sure[index] = s.surely(index)
	}
	return index
}

// learn takes what is known of a cost.
func (s *servingImage) learn(filling string, mean, variance float64) {
	index := s.cost(filling)
	s.filter.reset(index, mean, variance)
	s.sure[index] = s.surely(index)
}

// job finds a job's estimate and lets it drift until now. Jobs that are over make room.
func (s *servingImage) job(id string, now time.Time) *calm {
	c := s.jobs[id]
	if c != nil {
		s.filter.spread(c.index, min(calmDrift*now.Sub(c.seen).Seconds(), driftMost))
		c.seen = now
		return c
	}
	for other, old := range s.jobs {
		if now.Sub(old.seen) > calmWindow {
			delete(s.jobs, other)
			s.unused = append(s.unused, old.index)
		}
	}
	c = &calm{seen: now}
	if last := len(s.unused) - 1; last >= 0 {
		c.index = s.unused[last]
		s.unused = s.unused[:last]
		s.filter.reset(c.index, unknownCalm, calmVariance)
	} else {
		c.index = s.filter.add(unknownCalm, calmVariance)
	}
	s.jobs[id] = c
	return c
}

// Set takes a weight that was learned elsewhere as certain.
func (p *Model) Set(w PairCost) {
	s := p.of(w.LatencyCritical)
	s.learn(w.BestEffort, w.Cost, costDrift)
}

// Estimate is all that is known of a pair, to be kept and learned again.
type Estimate struct {
	Pair
	Mean      float64 `json:"m"` // headroom for each core
	Deviation float64 `json:"d"` // standard deviation of the mean's error
}

// Estimates lists what is known of at most so many pairs, the surest first.
func (p *Model) Estimates(most int) []Estimate {
	var known []Estimate
	for image, s := range p.serving {
		for filling, index := range s.filling {
			known = append(known, Estimate{Pair{image, filling}, s.filter.mean[index], math.Sqrt(max(s.filter.cov[index][index], 0))})
		}
	}
	slices.SortFunc(known, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(a.Deviation, b.Deviation), cmp.Compare(a.LatencyCritical, b.LatencyCritical), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	return known[:min(len(known), most)]
}

// Restore takes estimates that were made before, of pairs of which nothing is known yet.
func (p *Model) Restore(estimates []Estimate) {
	for _, e := range estimates {
		s := p.of(e.LatencyCritical)
		if _, known := s.filling[e.BestEffort]; !known {
			s.learn(e.BestEffort, e.Mean, min(e.Deviation*e.Deviation, costVariance))
		}
	}
}

// Costs lists the weights known of serving images, in order.
func (p *Model) Costs(serving []string) []PairCost {
	var weights []PairCost
	for image, s := range p.serving {
		if !slices.Contains(serving, image) {
			continue
		}
		for filling, index := range s.filling {
			weights = append(weights, PairCost{Pair{image, filling}, s.sure[index]})
		}
	}
	slices.SortFunc(weights, func(a, b PairCost) int {
		return cmp.Or(cmp.Compare(a.LatencyCritical, b.LatencyCritical), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	return weights
}
