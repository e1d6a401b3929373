package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Headroom returns the latency target of a latency-critical task divided by its tail
// latency, both in ms: 1 at the target, 2 where the tail latency is half of it. As in a
// queue with a response time of 1/(1-load), it falls by the same amount with each core
// that a best-effort image uses, so costs are additive.
//
//	in:  target 18 ms, tail 9 ms
//	out: headroom 2
func Headroom(target, tail float64) float64 { return target / max(tail, minTail) }

// minTail is the lower bound of a tail latency in Headroom, in ms: a shorter one can't be
// distinguished from 0.
const minTail = 0.5

const (
	// priorCost is the prior mean of a pair's cost, in headroom per core, and
	// priorCostVariance is its prior variance.
	priorCost         = 0.06
	priorCostVariance = 0.15 * 0.15
	// priorBaseline is the prior mean of a job's baseline, the headroom of a
	// latency-critical job without best-effort tasks, and priorBaselineVariance is its
	// prior variance.
	priorBaseline         = 2.2
	priorBaselineVariance = 0.8 * 0.8
	// baselineDrift is the process noise of a job's baseline, in variance per second: the
	// baseline changes with the load. maxBaselineDrift bounds the variance added after a
	// longer time without samples.
	baselineDrift    = 0.15
	maxBaselineDrift = priorBaselineVariance
	// costDrift is the process noise of a cost, in variance per sample. Set also uses it, as
	// the variance of a cost that it takes as nearly certain.
	costDrift = 1e-5
	// sampleNoise is the variance of one sample's error, in addition to that of its
	// resolution: measurements are coarse and late.
	sampleNoise = 0.03
	// roundingDivisor is the square of a rounding step divided by the variance of the
	// rounding error.
	roundingDivisor = 12
	// maxDeviations is the number of standard deviations to which a sample's deviation is
	// clipped: tail latencies rise for other reasons too, such as an instance that hangs.
	maxDeviations = 3
	// saturatedHeadroom is the headroom at and below which a sample shows only that the
	// headroom is low, and not how low. A sample is ignored if both it and its predicted
	// value are that low.
	saturatedHeadroom = 0.2
	// minCores is the number of cores that a best-effort image must use for a sample to
	// contribute to the estimate of its cost.
	minCores = 0.3
	// baselineWindow is the length of the sliding window over which the minimum of a job's
	// baseline is taken, as loads rise and fall. The window has baselineBuckets buckets.
	baselineWindow  = 14 * time.Second
	baselineBuckets = 7
	// priorMinHeadroom is the upper bound of a job's minimum baseline until the whole
	// window has samples.
	priorMinHeadroom = 1.6
	// minHeadroomBound is the lower bound of a job's minimum baseline: a target is assumed
	// to be reachable on an instance without best-effort tasks.
	minHeadroomBound = 1.2
)

// Pair is a latency-critical and a best-effort image that run on the same instance.
type Pair struct {
	LatencyCritical string `json:"s"`
	BestEffort      string `json:"f"`
}

// PairCost is the headroom that the latency-critical image of a pair loses for each core
// that the best-effort image uses.
type PairCost struct {
	Pair
	Cost float64 `json:"w"`
}

// Sample is the headroom of a latency-critical job's tasks on one instance in one
// measuring interval, with the cores that each best-effort image on the instance used.
type Sample struct {
	At              time.Time
	LatencyCritical string // image
	Job             string
	Headroom        float64
	// Resolution is the change of the headroom if the tail latency changes by 1 ms, the
	// unit to which it is rounded.
	Resolution float64
	Cores      map[string]float64 // by best-effort image
}

// Model learns the costs of image pairs. The tasks of one latency-critical job share a
// load that varies, so the differences between instances show the costs: one Kalman
// filter per latency-critical image estimates the costs of all best-effort images together
// with the baseline of each job. It isn't safe for concurrent use.
type Model struct {
	images     map[string]*imageModel
	bestEffort []string // images with an estimated cost, sorted
}

// imageModel holds the estimates for one latency-critical image.
type imageModel struct {
	filter      filter
	lowerBounds []float64      // by filter index of a cost: its lower bound
	costs       map[string]int // filter index of the cost of each best-effort image
	jobs        map[string]*baseline
	freeIndexes []int // filter indexes of jobs that were removed
}

// baseline is the headroom of a latency-critical job without best-effort tasks.
type baseline struct {
	index   int
	began   time.Time // of the first record; buckets are numbered from it
	updated time.Time
	buckets [baselineBuckets]average // ring buffer: bucket n is at n modulo baselineBuckets
	newest  int64                    // number of the newest bucket
}

// average accumulates values for their arithmetic mean.
type average struct {
	sum   float64
	count int
}

func (a average) value() float64 { return a.sum / float64(a.count) }

// record adds the estimated baseline at now to its bucket of the window, and clears the
// buckets that have left the window since the last call.
func (b *baseline) record(now time.Time, headroom float64) {
	if b.began.IsZero() {
		b.began = now
	}
	bucket := int64(max(now.Sub(b.began), 0) / (baselineWindow / baselineBuckets))
	for ; b.newest < bucket; b.newest++ {
		if bucket-b.newest > baselineBuckets {
			b.newest = bucket - baselineBuckets
		}
		b.buckets[(b.newest+1)%baselineBuckets] = average{}
	}
	current := &b.buckets[bucket%baselineBuckets]
	current.sum += headroom
	current.count++
}

// minimum returns the lowest mean of the buckets, at most priorMinHeadroom while a
// bucket is empty.
func (b *baseline) minimum() float64 {
	lowest := math.Inf(1)
	for _, bucket := range b.buckets {
		if bucket.count == 0 {
			lowest = min(lowest, priorMinHeadroom)
			continue
		}
		lowest = min(lowest, bucket.value())
	}
	return max(lowest, minHeadroomBound)
}

// NewModel returns a model that has learned nothing.
func NewModel() *Model { return &Model{images: map[string]*imageModel{}} }

// image returns the estimates for a latency-critical image and adds them if they are
// missing.
func (m *Model) image(critical string) *imageModel {
	im := m.images[critical]
	if im == nil {
		im = &imageModel{costs: map[string]int{}, jobs: map[string]*baseline{}}
		m.images[critical] = im
	}
	return im
}

// addBestEffort adds a best-effort image to the known ones.
func (m *Model) addBestEffort(image string) {
	index, known := slices.BinarySearch(m.bestEffort, image)
	if !known {
		m.bestEffort = slices.Insert(m.bestEffort, index, image)
	}
}

// Cost returns the cost of a pair in headroom per core. Once it has been learned, this is
// a lower bound, since most pairs cost nothing; before, it is the prior mean.
func (m *Model) Cost(critical, bestEffort string) float64 {
	if im := m.images[critical]; im != nil {
		if index, known := im.costs[bestEffort]; known {
			return im.lowerBounds[index]
		}
	}
	return priorCost
}

// MeanCost returns the mean of the estimated cost of a pair in headroom per core, the prior mean
// before it has been learned.
func (m *Model) MeanCost(critical, bestEffort string) float64 {
	if im := m.images[critical]; im != nil {
		if index, known := im.costs[bestEffort]; known {
			return im.filter.mean[index]
		}
	}
	return priorCost
}

// Harmless reports whether a best-effort image is known to cost a latency-critical one
// less than harmlessCost.
func (m *Model) Harmless(critical, bestEffort string) bool {
	return m.Cost(critical, bestEffort) < harmlessCost
}

// BestEffortImages returns the best-effort images with an estimated cost, sorted. The caller must
// not change the result.
func (m *Model) BestEffortImages() []string { return m.bestEffort }

// lowerBound returns the lower bound of a cost, at least 0: its mean less its standard
// deviation times the certainty. The certainty is 0 at the prior variance and approaches 1
// as the variance approaches 0.
func (im *imageModel) lowerBound(index int) float64 {
	variance := im.filter.cov[index][index]
	certainty := max(1-variance/priorCostVariance, 0)
	return max(im.filter.mean[index]-certainty*math.Sqrt(variance), 0)
}

// MinHeadroom returns the lowest headroom that a latency-critical job is expected to have
// without best-effort tasks in the next seconds.
func (m *Model) MinHeadroom(critical, job string) float64 {
	if im := m.images[critical]; im != nil {
		if b := im.jobs[job]; b != nil {
			return b.minimum()
		}
	}
	return priorMinHeadroom
}

// Observe updates the estimates from a sample.
func (m *Model) Observe(sample Sample) {
	im := m.image(sample.LatencyCritical)
	b := im.jobBaseline(sample.Job, sample.At)
	terms := []term{{b.index, 1}}
	for bestEffort, cores := range sample.Cores {
		if cores >= minCores {
			m.addBestEffort(bestEffort)
			index := im.costIndex(bestEffort)
			im.filter.addVariance(index, costDrift)
			terms = append(terms, term{index, -cores})
		}
	}
	expected := im.filter.predict(terms)
	if sample.Headroom > saturatedHeadroom || expected > saturatedHeadroom {
		im.filter.observe(terms, sample.Headroom, sampleNoise+sample.Resolution*sample.Resolution/roundingDivisor, maxDeviations)
	}
	for _, index := range im.costs {
		im.filter.mean[index] = max(im.filter.mean[index], 0)
		im.lowerBounds[index] = im.lowerBound(index)
	}
	b.record(sample.At, im.filter.mean[b.index])
}

// costIndex returns the filter index of a best-effort image's cost and adds the cost with
// its prior if it is missing.
func (im *imageModel) costIndex(bestEffort string) int {
	index, known := im.costs[bestEffort]
	if !known {
		index = im.filter.add(priorCost, priorCostVariance)
		im.costs[bestEffort] = index
		im.lowerBounds = append(im.lowerBounds, make([]float64, index+1-len(im.lowerBounds))...)
		im.lowerBounds[index] = im.lowerBound(index)
	}
	return index
}

// setCost replaces the estimate of a cost.
func (im *imageModel) setCost(bestEffort string, mean, variance float64) {
	index := im.costIndex(bestEffort)
	im.filter.reset(index, mean, variance)
	im.lowerBounds[index] = im.lowerBound(index)
}

// jobBaseline returns the baseline of a job after adding the process noise since its last
// sample. For a new job, it first removes the jobs without a sample for baselineWindow and
// reuses their filter indexes.
func (im *imageModel) jobBaseline(id string, now time.Time) *baseline {
	b := im.jobs[id]
	if b != nil {
		im.filter.addVariance(b.index, min(baselineDrift*now.Sub(b.updated).Seconds(), maxBaselineDrift))
		b.updated = now
		return b
	}
	for other, old := range im.jobs {
		if now.Sub(old.updated) > baselineWindow {
			delete(im.jobs, other)
			im.freeIndexes = append(im.freeIndexes, old.index)
		}
	}
	b = &baseline{updated: now}
	if last := len(im.freeIndexes) - 1; last >= 0 {
		b.index = im.freeIndexes[last]
		im.freeIndexes = im.freeIndexes[:last]
		im.filter.reset(b.index, priorBaseline, priorBaselineVariance)
	} else {
		b.index = im.filter.add(priorBaseline, priorBaselineVariance)
	}
	im.jobs[id] = b
	return b
}

// Set replaces the cost of a pair by one that was learned elsewhere, and treats it as
// nearly certain.
func (m *Model) Set(pairCost PairCost) {
	im := m.image(pairCost.LatencyCritical)
	m.addBestEffort(pairCost.BestEffort)
	im.setCost(pairCost.BestEffort, pairCost.Cost, costDrift)
}

// Estimate is the state of a pair's estimated cost, to be stored and passed to Restore.
type Estimate struct {
	Pair
	Mean      float64 `json:"m"` // headroom per core
	Deviation float64 `json:"d"` // standard deviation of the mean's error
}

// Estimates returns at most the given number of estimates, those with the smallest
// standard deviation first.
func (m *Model) Estimates(limit int) []Estimate {
	var known []Estimate
	for image, im := range m.images {
		for bestEffort, index := range im.costs {
			known = append(known, Estimate{Pair{image, bestEffort}, im.filter.mean[index], math.Sqrt(max(im.filter.cov[index][index], 0))})
		}
	}
	slices.SortFunc(known, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(a.Deviation, b.Deviation), cmp.Compare(a.LatencyCritical, b.LatencyCritical), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	return known[:min(len(known), limit)]
}

// maxCost bounds a cost that is restored, in headroom per core. A larger one is no measurement.
const maxCost = 1000

// Restore adds stored estimates. Pairs that already have an estimate are left unchanged.
func (m *Model) Restore(estimates []Estimate) {
	for _, e := range estimates {
		if math.Abs(e.Mean) > maxCost {
			continue
		}
		im := m.image(e.LatencyCritical)
		if _, known := im.costs[e.BestEffort]; !known {
			m.addBestEffort(e.BestEffort)
			im.setCost(e.BestEffort, e.Mean, min(e.Deviation*e.Deviation, priorCostVariance))
		}
	}
}

// Costs returns the costs of all known pairs of the given latency-critical images, sorted
// by pair.
func (m *Model) Costs(critical []string) []PairCost {
	var costs []PairCost
	for image, im := range m.images {
		if !slices.Contains(critical, image) {
			continue
		}
		for bestEffort, index := range im.costs {
			costs = append(costs, PairCost{Pair{image, bestEffort}, im.lowerBounds[index]})
		}
	}
	slices.SortFunc(costs, func(a, b PairCost) int {
		return cmp.Or(cmp.Compare(a.LatencyCritical, b.LatencyCritical), cmp.Compare(a.BestEffort, b.BestEffort))
	})
	return costs
}
