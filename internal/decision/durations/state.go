package durations

import (
	"cmp"
	"math"
	"slices"
)

// State is what a model has learned, to be stored and passed to Restore. Its numbers are rounded.
type State struct {
	Queues []QueueState `json:"queues"`
}

// QueueState is what was learned of a queue: the fields of fit, in their order, and the two
// histograms, each as its weight, its sum of squares and its bins.
type QueueState struct {
	Name  string    `json:"queue"`
	Fit   []float64 `json:"fit"`
	Steps []float64 `json:"steps"`
	Tasks []float64 `json:"tasks"`

	Images []ImageState `json:"images,omitempty"`
}

// ImageState is what was learned of an image in a queue.
type ImageState struct {
	Name   string  `json:"image"`
	Weight float64 `json:"n"`
	Mean   float64 `json:"m"`
}

// precision is the reciprocal of the step to which stored numbers are rounded.
const precision = 1000

func round(values []float64) []float64 {
	for i, value := range values {
		values[i] = math.Round(value*precision) / precision
	}
	return values
}

// State returns what was learned, sorted by name.
func (m *Model) State() State {
	state := State{}
	images := map[string][]ImageState{}
	for class, o := range m.images {
		stored := round([]float64{o.weight, o.mean})
		images[class.Queue] = append(images[class.Queue], ImageState{class.Image, stored[0], stored[1]})
	}
	for name, q := range m.queues {
		slices.SortFunc(images[name], func(a, b ImageState) int { return cmp.Compare(a.Name, b.Name) })
		state.Queues = append(state.Queues, QueueState{name, round(q.fit.values()), round(q.steps.values()), round(q.tasks.values()), images[name]})
	}
	slices.SortFunc(state.Queues, func(a, b QueueState) int { return cmp.Compare(a.Name, b.Name) })
	return state
}

// Restore adds what was stored. Queues that the model knows already are left unchanged, and entries
// that cannot be true are ignored. It returns the number of queues that were added.
func (m *Model) Restore(state State) int {
	m.revision++
	restored := 0
	for _, stored := range state.Queues {
		q, ok := readQueue(stored)
		if !ok || m.queues[stored.Name] != nil || len(m.queues) >= maxQueues {
			continue
		}
		q.learned = m.revision
		m.queues[stored.Name] = q
		m.restoreImages(stored)
		restored++
	}
	return restored
}

func (m *Model) restoreImages(q QueueState) {
	for _, stored := range q.Images {
		ok := validName(stored.Name) && plausible([]float64{stored.Weight, stored.Mean}) && stored.Weight >= 0
		if ok && len(m.images) < maxClasses {
			m.images[Class{q.Name, stored.Name}] = &offset{weight: stored.Weight, mean: stored.Mean, learned: m.revision}
		}
	}
}

func validName(name string) bool { return name != "" && len(name) <= maxNameLength }

// readQueue decodes a stored queue; ok is false if it cannot be true.
func readQueue(stored QueueState) (q *queue, ok bool) {
	q = &queue{}
	ok = validName(stored.Name) && q.fit.read(stored.Fit) && q.steps.read(stored.Steps) && q.tasks.read(stored.Tasks)
	return q, ok
}

// maxStored bounds the stored numbers: with forgetting, no sum grows further.
const maxStored = 1e5

// plausible reports whether numbers can be stored ones.
func plausible(values []float64) bool {
	return !slices.ContainsFunc(values, func(value float64) bool { return math.IsNaN(value) || math.Abs(value) > maxStored })
}

func (f *fit) values() []float64 {
	return []float64{f.weight, f.estimate, f.ratio, f.spread, f.covariance, f.errors, f.allWeight, f.center}
}

func (f *fit) read(values []float64) bool {
	if len(values) != len(f.values()) || !plausible(values) {
		return false
	}
	*f = fit{values[0], values[1], values[2], values[3], values[4], values[5], values[6], values[7]}
	return min(f.weight, f.spread, f.errors, f.allWeight) >= 0
}

func (h *histogram) values() []float64 { return append([]float64{h.weight, h.square}, h.bins[:]...) }

func (h *histogram) read(values []float64) bool {
	if len(values) != bins+2 || !plausible(values) || slices.Min(values) < 0 {
		return false
	}
	h.weight, h.square = values[0], values[1]
	copy(h.bins[:], values[2:])
	return true
}
