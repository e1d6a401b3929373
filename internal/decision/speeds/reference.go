package speeds

import (
	"slices"
	"time"
)

const (
	// referenceSize is how many of the last ends of a step are kept, and minReference how many
	// are needed to say what its runs take.
	referenceSize = 9
	minReference  = 3
)

// Reference is how long the last runs of one step took. Its zero value knows none.
type Reference struct {
	taken  [referenceSize]time.Duration
	count  int
	median time.Duration
}

// Add records a run that ended as done.
func (r *Reference) Add(taken time.Duration) {
	r.taken[r.count%referenceSize] = taken
	r.count++
	sorted := r.taken
	known := sorted[:min(r.count, referenceSize)]
	slices.Sort(known)
	r.median = known[len(known)/2]
}

// Usual returns the median of the runs, or 0 if there were too few.
func (r *Reference) Usual() time.Duration {
	if r.count < minReference {
		return 0
	}
	return r.median
}
