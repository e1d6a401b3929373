package durations

import "math"

const (
	// binWidth is the width of a histogram's bins, in logs, and bins their number.
	binWidth = 0.15
	bins     = 20
	// tailShare is the share of the values that do not exceed a tail, and normalTail the tail of the
	// normal distribution, in standard deviations.
	tailShare  = 0.9
	normalTail = 1.28
	// tailShrinkage is the number of steps after which half of a measured tail is believed.
	tailShrinkage = 4
)

// histogram holds deviations of logs, decayed by their age. Those below 0 are in the first bin, those
// above the others in the last.
type histogram struct {
	weight float64
	square float64 // sum of the squares, of values clipped to the width of the histogram
	bins   [bins]float64
}

// add adds a value that counts as share of a step.
func (h *histogram) add(value, share float64) {
	decay := 1 - (1-memory)*share
	h.weight = h.weight*decay + share
	for i := range h.bins {
		h.bins[i] *= decay
	}
	clipped := min(max(value, -minClip), minClip)
	h.square = h.square*decay + share*clipped*clipped
	if value < 0 {
		h.bins[0] += share
		return
	}
	h.bins[min(1+int(value/binWidth), bins-1)] += share
}

// variance returns the variance of the values, shrunk towards a prior one.
func (h *histogram) variance(prior float64) float64 {
	return (h.square + priorWeight*prior) / (h.weight + priorWeight)
}

// tail returns the value that tailShare of the values do not exceed, at least 0, shrunk towards that
// of a normal distribution with a prior variance.
func (h *histogram) tail(prior float64) float64 {
	normal := normalTail * math.Sqrt(prior)
	return (h.weight*h.quantile() + tailShrinkage*normal) / (h.weight + tailShrinkage)
}

// quantile returns the value that tailShare of the values do not exceed, at least 0.
func (h *histogram) quantile() float64 {
	missing := tailShare*h.weight - h.bins[0]
	if missing <= 0 {
		return 0
	}
	for i := 1; i < bins; i++ {
		if missing <= h.bins[i] {
			return (float64(i-1) + missing/h.bins[i]) * binWidth
		}
		missing -= h.bins[i]
	}
	return (bins - 1) * binWidth
}
