package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Ranks of jobs by the value that finishing them still has.
const (
	onTime    = iota // its objective can be met
	late             // its objective will probably be missed; finishing it has part of its value
	worthless        // finishing it has no value
)

// A job counts as late once this fraction of the estimate of its remaining steps no longer
// fits before its objective. It is a fraction since estimates are often too long.
const (
	remainingNumerator   = 2
	remainingDenominator = 3
)

// remainingEstimate returns the estimate of the longest chain of unfinished steps of the job's
// last occurrence.
func (j *jobState) remainingEstimate() time.Duration {
	if len(j.occurrences) == 0 {
		return 0
	}
	o := j.occurrences[len(j.occurrences)-1]
	longest := make([]int64, len(j.spec.Steps))
	var chain int64
	for stepIndex := range j.spec.Steps {
		step := &j.spec.Steps[stepIndex]
		for _, before := range step.After {
			if before < stepIndex {
				longest[stepIndex] = max(longest[stepIndex], longest[before])
			}
		}
		if !o.stepDone(stepIndex) {
			longest[stepIndex] += step.Estimate
		}
		chain = max(chain, longest[stepIndex])
	}
	return time.Duration(chain) * time.Millisecond
}

// rank returns the value that finishing the job still has. Long-running jobs and jobs with a
// FirstDue are always on time.
func (j *jobState) rank(now time.Time) int {
	elapsed := now.Sub(j.acceptedAt)
	switch {
	case j.spec.LongRunning() || j.spec.FirstDue > 0:
		return onTime
	case elapsed > worthlessFactor*j.objective:
		return worthless
	case elapsed+j.remainingEstimate()*remainingNumerator/remainingDenominator > j.objective:
		return late
	}
	return onTime
}

// ranked is an unfinished job with its rank and the time of its objective.
type ranked struct {
	*jobState
	rank int
	due  time.Time
}

// byUrgency returns the unfinished jobs ordered by rank, then priority, then the time of their
// objective.
func (s *Scheduler) byUrgency(now time.Time) []ranked {
	unfinished := make([]ranked, 0, len(s.jobs))
	for _, j := range s.jobs {
		if !j.state.Final() {
			unfinished = append(unfinished, ranked{j, j.rank(now), j.acceptedAt.Add(j.objective)})
		}
	}
	slices.SortFunc(unfinished, func(a, c ranked) int {
		return cmp.Or(
			cmp.Compare(a.rank, c.rank),
			cmp.Compare(a.spec.Policy.Priority, c.spec.Policy.Priority),
			a.due.Compare(c.due),
			cmp.Compare(a.spec.ID, c.spec.ID),
		)
	})
	return unfinished
}
