package durations

import (
	"math"
	"slices"
	"time"
)

// maxRuns bounds the runs of a step that are held. Once there are more, every second one is held, then
// every fourth, and so on: the last to end alone would be the longest.
const maxRuns = 16

// Runs holds what runs of one step have taken at full speed. Its zero value holds none.
type Runs struct {
	logs    []float64
	skipped int // runs that are not held between two that are
	added   int
	running int // other runs of the step at the last end
}

// Count returns the number of runs that have ended.
func (r *Runs) Count() int {
	if r == nil {
		return 0
	}
	return r.added
}

// Add records what a run took, and the number of runs of the step that started no later and go on.
func (r *Runs) Add(took time.Duration, running int) {
	if r.added%(r.skipped+1) == 0 {
		if len(r.logs) == maxRuns {
			r.thin()
		}
		r.logs = append(r.logs, toLog(took))
	}
	r.added++
	r.running = running
}

// thin drops every second run that is held.
func (r *Runs) thin() {
	for i := range maxRuns / 2 {
		r.logs[i] = r.logs[2*i]
	}
	r.logs = r.logs[:maxRuns/2]
	r.skipped = 2*r.skipped + 1
}

// Median returns the median of the runs that have ended, 0 if none has.
func (r *Runs) Median() time.Duration {
	if r.Count() == 0 {
		return 0
	}
	return fromLog(r.middle())
}

// middle returns the log of the median of the runs that have ended.
func (r *Runs) middle() float64 {
	sorted := slices.Clone(r.logs)
	slices.Sort(sorted)
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// center returns the median of all runs, of which those that go on are longer than those that have
// ended. variance is that of runs in their step.
func (r *Runs) center(variance float64) float64 {
	share := float64(r.added+1) / 2 / float64(r.added+r.running+1) // of all runs, up to the middle of those that have ended
	return r.middle() - math.Sqrt2*math.Erfinv(2*share-1)*math.Sqrt(variance)
}
