package interference

import (
	"cmp"
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
	// sampleNoise is the variance of one sample's error: figures are rough and late.
	sampleNoise = 0.08
	// wildLimit is from how many standard deviations on a sample counts no further: a
	// tail has other causes too, such as an instance that hangs.
	wildLimit = 3
	// choked is the headroom from which down samples say only that it is low.
	choked = 0.2
	// coresLeast is how much of an image must work for a sample to say something of it.
	coresLeast = 0.3
	// calmWindow is how long the lowest headroom of a job alone is remembered, in
	// calmBuckets parts; loads swing up and down.
	calmWindow  = 12 * time.Second
	calmBuckets = 6
	// unknownTrough is the lowest headroom that a job alone is expected to have until
	// some of its swing has been seen.
	unknownTrough = 1.6
)

// Pair is a serving image and a filling one that run on one instance.
type Pair struct {
	Serving string `json:"s"`
	Filling string `json:"f"`
}

// Weight is what a pair costs: the headroom that the serving image loses for each core
// that the filling image uses.
type Weight struct {
	Pair
	Cost float64 `json:"w"`
}

// Sample is the headroom of a serving job's tasks on one instance over a moment, with the
// cores that each filling image beside them used then.
type Sample struct {
	At       time.Time
	Serving  string // image
	Job      string
	Headroom float64
	Cores    map[string]float64
}

// Pairs learns what pairs of images cost. The tasks of one serving job share their load,
// which swings, so what differs between instances shows the costs: for each serving image
// a filter estimates the costs of all filling images along with what each job would have
// alone.
type Pairs struct {
	serving map[string]*servingImage
}

// servingImage is what is known of one serving image.
type servingImage struct {
	filter  filter
	filling map[string]int // index of each filling image's cost
	jobs    map[string]*calm
	unused  []int // indexes of jobs that are over
}

// calm is a job's headroom without filling tasks.
type calm struct {
	index   int
	seen    time.Time
	bucket  int64                // the newest, by its number since the epoch
	lowest  [calmBuckets]float64 // by number modulo calmBuckets
	buckets int                  // that have been seen
}

// NewPairs makes a learner that knows nothing.
func NewPairs() *Pairs { return &Pairs{serving: map[string]*servingImage{}} }

func (p *Pairs) of(serving string) *servingImage {
	s := p.serving[serving]
	if s == nil {
		s = &servingImage{filling: map[string]int{}, jobs: map[string]*calm{}}
		p.serving[serving] = s
	}
	return s
}

// Cost is what a pair costs, as far as is known.
func (p *Pairs) Cost(serving, filling string) float64 {
	if s := p.serving[serving]; s != nil {
		if i, known := s.filling[filling]; known {
			return max(s.filter.mean[i], 0)
		}
	}
	return unknownCost
}

// Trough is the lowest headroom that a serving job is expected to have alone over the
// next seconds.
func (p *Pairs) Trough(serving, job string) float64 {
	s := p.serving[serving]
	if s == nil || s.jobs[job] == nil {
		return unknownTrough
	}
	c := s.jobs[job]
	lowest := c.lowest[0]
	if c.buckets < calmBuckets {
		lowest = unknownTrough
	}
	for i, low := range c.lowest {
		if c.buckets >= calmBuckets || int64(i) <= c.bucket%calmBuckets && int64(i) > c.bucket%calmBuckets-int64(c.buckets) {
			lowest = min(lowest, low)
		}
	}
	return lowest
}

// Observe learns from a sample.
func (p *Pairs) Observe(sample Sample) {
	s := p.of(sample.Serving)
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
		s.filter.observe(parts, sample.Headroom, sampleNoise, wildLimit)
	}
	for _, index := range s.filling {
		s.filter.mean[index] = max(s.filter.mean[index], 0)
	}
	c.note(sample.At, s.filter.mean[c.index])
}

// cost is the index of a filling image's cost.
func (s *servingImage) cost(filling string) int {
	index, known := s.filling[filling]
	if !known {
		index = s.filter.add(unknownCost, costVariance)
		s.filling[filling] = index
	}
	return index
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

// note remembers the lowest headroom of each part of the window.
func (c *calm) note(now time.Time, headroom float64) {
	bucket := now.UnixNano() / int64(calmWindow/calmBuckets)
	slot := &c.lowest[bucket%calmBuckets]
	if bucket != c.bucket {
		c.bucket = bucket
		c.buckets = min(c.buckets+1, calmBuckets)
		*slot = headroom
	}
	*slot = min(*slot, headroom)
}

// Set takes a weight that was learned elsewhere as certain.
func (p *Pairs) Set(w Weight) {
	s := p.of(w.Serving)
	s.filter.reset(s.cost(w.Filling), w.Cost, costDrift)
}

// Learn takes a weight that was learned elsewhere, unless one is known.
func (p *Pairs) Learn(w Weight) {
	s := p.of(w.Serving)
	if _, known := s.filling[w.Filling]; !known {
		s.filter.reset(s.cost(w.Filling), w.Cost, costVariance/learnedTrust)
	}
}

// learnedTrust is how much less a weight learned elsewhere may be off than an unknown one.
const learnedTrust = 4

// All lists all weights, in order.
func (p *Pairs) All() []Weight {
	images := make([]string, 0, len(p.serving))
	for image := range p.serving {
		images = append(images, image)
	}
	return p.Of(images)
}

// Of lists the weights known of serving images, in order.
func (p *Pairs) Of(serving []string) []Weight {
	var weights []Weight
	for image, s := range p.serving {
		if !slices.Contains(serving, image) {
			continue
		}
		for filling, index := range s.filling {
			weights = append(weights, Weight{Pair{image, filling}, max(s.filter.mean[index], 0)})
		}
	}
	slices.SortFunc(weights, func(a, b Weight) int {
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filling, b.Filling))
	})
	return weights
}
