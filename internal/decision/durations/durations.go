// Package durations learns how long tasks take, from the runs that have ended, and predicts when
// others will end. It is pure: its callers pass what they have measured.
//
// There are two layers. A Model learns, for each class of tasks, how what they take depends on what
// their users estimate. Runs holds what the runs of one step have taken: its tasks are alike, so after
// a few runs the others of the step are known far better than from any estimate.
package durations

import (
	"math"
	"time"
)

// Class identifies tasks whose durations are learned together.
type Class struct {
	Queue string `json:"queue"`
	Image string `json:"image,omitempty"`
}

// Prediction says how long one run of a task takes from its start, at full speed.
type Prediction struct {
	Median time.Duration
	Tail   time.Duration // nine of ten runs take no longer
	// Evidence is the number of runs and steps that the prediction rests on, decayed by their age;
	// 0 if it is the estimate of the user.
	Evidence float64
}

// Remaining returns how much longer a run takes that has worked for elapsed at full speed: its
// median while it is in its usual range, and after that what is left to the tail.
func (p Prediction) Remaining(elapsed time.Duration) time.Duration {
	if elapsed < p.Median {
		return p.Median - elapsed
	}
	return max(p.Tail-elapsed, 0)
}

// minOverdueEvidence is the evidence from which on a tail tells usual runs from others.
const minOverdueEvidence = 5

// Overdue reports whether a run that has worked for elapsed at full speed takes longer than nine of
// ten. It is false while too few runs are known.
func (p Prediction) Overdue(elapsed time.Duration) bool {
	return p.Evidence >= minOverdueEvidence && elapsed > p.Tail
}

const (
	// maxQueues and maxClasses bound the queues and classes that are learned; the one that was
	// learned longest ago gives way. maxNameLength bounds the names of those, in bytes.
	maxQueues     = 32
	maxClasses    = 96
	maxNameLength = 64
	// minSpreadRuns is the number of runs of a step from which on they say how much its tasks differ.
	minSpreadRuns = 3
	// negligible is the difference from an estimate, in logs, below which the estimate is taken to be
	// right, so that decisions do not follow noise.
	negligible = 0.1
)

// Model holds what was learned. It is not safe for concurrent use.
type Model struct {
	queues   map[string]*queue
	images   map[Class]*offset
	revision uint64 // grows with each change
}

// queue is what was learned of the tasks of a queue.
type queue struct {
	fit     fit
	steps   histogram // log of what a step took less that of what was predicted
	tasks   histogram // log of what a task took less that of its step
	learned uint64    // revision of the model at the last change
}

// offset is by how much the tasks of an image take longer, in logs, than their queue's.
type offset struct {
	weight, mean float64
	learned      uint64
}

// value returns the offset as far as it exceeds the error that its mean has for steps of the given
// variance: most images take as long as the others of their queue.
func (o *offset) value(variance float64) float64 {
	if o == nil || o.weight*o.mean*o.mean <= variance {
		return 0
	}
	return o.mean - variance/(o.weight*o.mean)
}

// New returns a model that has learned nothing: it predicts the estimates.
func New() *Model { return &Model{queues: map[string]*queue{}, images: map[Class]*offset{}} }

// Revision grows whenever predictions may have changed.
func (m *Model) Revision() uint64 { return m.revision }

// Predict returns how long a task of a class takes whose user estimates estimate, 0 if there is no
// estimate.
func (m *Model) Predict(class Class, estimate time.Duration) Prediction {
	return m.PredictStep(class, estimate, nil)
}

// PredictStep is Predict for a task of a step of which runs have ended. runs is nil if none has.
func (m *Model) PredictStep(class Class, estimate time.Duration, runs *Runs) Prediction {
	q := m.queues[class.Queue]
	if q == nil {
		q = &queue{}
	}
	center, known := q.fit.predict(estimate)
	count := float64(runs.Count())
	evidence := q.fit.allWeight + count
	if evidence == 0 || !known && count == 0 {
		return Prediction{Median: estimate, Tail: estimate}
	}
	center += m.images[class].value(q.fit.variance())
	doubt := q.doubt(known, count)
	if count > 0 {
		center = doubt*center + (1-doubt)*runs.center(q.tasks.variance(priorTaskVariance))
	}
	if x := toLog(estimate); estimate > 0 && math.Abs(center-x) < negligible {
		center = x
	}
	tail := math.Hypot(math.Sqrt(doubt)*q.steps.tail(priorVariance), q.tasks.tail(priorTaskVariance))
	return Prediction{Median: fromLog(center), Tail: fromLog(center + tail), Evidence: evidence}
}

// doubt returns the share of the variance of a step around its prediction that is left after count of its
// runs; 0 if there is no prediction.
func (q *queue) doubt(known bool, count float64) float64 {
	if !known {
		return 0
	}
	task := q.tasks.variance(priorTaskVariance)
	return task / (count*q.fit.variance() + task)
}

// Observe records a step whose tasks are all done.
func (m *Model) Observe(class Class, estimate time.Duration, runs *Runs) {
	if runs.Count() == 0 || len(class.Queue) > maxNameLength {
		return
	}
	m.revision++
	q := m.queue(class.Queue)
	took := runs.middle()
	if len(runs.logs) >= minSpreadRuns {
		for _, run := range runs.logs {
			q.tasks.add(run-took, 1/float64(len(runs.logs)))
		}
	}
	expected, known := q.fit.predict(estimate)
	if known {
		q.steps.add(took-expected-m.images[class].value(q.fit.variance()), 1)
	}
	q.fit.observe(estimate, took)
	m.observeImage(class, q.fit.residual(estimate, took)) // of the new fit: the old one may lag behind for all images
}

// queue returns a queue after its last change is set to now.
func (m *Model) queue(name string) *queue {
	q := m.queues[name]
	if q == nil {
		q = &queue{}
		m.queues[name] = q
		dropOldest(m.queues, maxQueues, func(q *queue) uint64 { return q.learned })
	}
	q.learned = m.revision
	return q
}

func (m *Model) observeImage(class Class, deviation float64) {
	if class.Image == "" || len(class.Image) > maxNameLength {
		return
	}
	o := m.images[class]
	if o == nil {
		o = &offset{}
		m.images[class] = o
	}
	o.learned = m.revision
	o.weight = o.weight*memory + 1
	o.mean += (deviation - o.mean) / o.weight
	dropOldest(m.images, maxClasses, func(o *offset) uint64 { return o.learned })
}

// dropOldest removes the entry that was learned longest ago if there are more than limit. An entry
// that has not been learned at all is new and stays.
func dropOldest[K comparable, V any](entries map[K]V, limit int, learned func(V) uint64) {
	if len(entries) <= limit {
		return
	}
	var oldest K
	first := uint64(math.MaxUint64)
	for key, entry := range entries {
		if at := learned(entry); at > 0 && at < first {
			oldest, first = key, at
		}
	}
	delete(entries, oldest)
}

// minDuration and maxDuration bound the durations that are learned and predicted.
const (
	minDuration = time.Millisecond
	maxDuration = 1000 * time.Hour
)

func toLog(d time.Duration) float64 { return math.Log(min(max(d, minDuration), maxDuration).Seconds()) }

func fromLog(log float64) time.Duration {
	return time.Duration(min(math.Exp(log), maxDuration.Seconds()) * float64(time.Second))
}
