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

// A job counts as late once this fraction of what its remaining steps take no longer fits before
// its objective. It is a fraction since predictions are often too long.
const (
	remainingNumerator   = 2
	remainingDenominator = 3
)

// remainingChain returns how long the longest chain of unfinished steps of the job's last occurrence
// takes.
func (j *jobState) remainingChain() time.Duration {
	if len(j.occurrences) == 0 {
		return 0
	}
	o := j.occurrences[len(j.occurrences)-1]
	return j.spec.longestChain(func(stepIndex int) time.Duration {
		if o.stepDone(stepIndex) {
			return 0
		}
		return j.durations[stepIndex].prediction.Median
	})
}

// alwaysOnTime reports whether the job has no objective that it could miss.
func (j *jobState) alwaysOnTime() bool { return j.spec.LongRunning() || j.spec.FirstDue > 0 }

// lateAt returns when the job counts as late unless more of it is done by then.
func (j *jobState) lateAt() time.Time {
	return j.acceptedAt.Add(j.objective - j.remainingChain()*remainingNumerator/remainingDenominator)
}

// work returns the work of a number of tasks of a step, in thousandths of a core times seconds.
func (j *jobState) work(stepIndex, tasks int) float64 {
	return float64(tasks) * float64(j.spec.Steps[stepIndex].Need.Processors) * j.durations[stepIndex].prediction.Median.Seconds()
}

// remainingWork returns the work that is left of the job, and wholeWork that of all its due
// occurrences, both in thousandths of a core times seconds.
func (j *jobState) remainingWork() float64 {
	work := 0.0
	for _, o := range j.occurrences {
		for stepIndex, undone := range o.undone {
			work += j.work(stepIndex, undone)
		}
	}
	return work
}

func (j *jobState) wholeWork() float64 {
	work := 0.0
	for stepIndex := range j.spec.Steps {
		work += j.work(stepIndex, j.spec.Steps[stepIndex].Count*len(j.occurrences))
	}
	return work
}

// hasOnly reports whether all steps of the job are best-effort, or none is.
func (j *jobState) hasOnly(bestEffort bool) bool {
	return !slices.ContainsFunc(j.spec.Steps, func(step Step) bool { return step.BestEffort != bestEffort })
}

// ranked is an unfinished job with what decides its place in the queue.
type ranked struct {
	*jobState
	rank      int       // value that finishing it still has
	objective time.Time // when it should be finished
	lateAt    time.Time // when it counts as late
	work      float64   // as returned by remainingWork
	first     bool      // in a deep overload, it is placed before the other on-time jobs of its priority
	postponed bool      // the processors do not suffice for it, see postpone
}

// rankOf returns the job with its rank. Jobs that have no objective are always on time.
func rankOf(j *jobState, now time.Time) ranked {
	r := ranked{jobState: j, objective: j.acceptedAt.Add(j.objective), lateAt: j.lateAt(), work: j.remainingWork()}
	switch {
	case j.alwaysOnTime():
	case now.Sub(j.acceptedAt) > worthlessFactor*j.objective:
		r.rank = worthless
	case now.After(r.lateAt):
		r.rank = late
	}
	return r
}

// byUrgency returns the unfinished jobs ordered by rank, then priority, then the time of their
// objective. The jobs for which the available processors of their pool do not suffice come after
// the others of their rank and priority, and those that go first before them.
func (s *Scheduler) byUrgency(now time.Time, available map[pool]int) []ranked {
	unfinished := make([]ranked, 0, len(s.jobs))
	for _, j := range s.jobs {
		if !j.state.Final() {
			s.refreshPredictions(j)
			unfinished = append(unfinished, rankOf(j, now))
		}
	}
	slices.SortFunc(unfinished, compareUrgency)
	postpone(now, unfinished, available)
	s.notePostponed(unfinished, available)
	slices.SortFunc(unfinished, compareUrgency)
	return unfinished
}

func compareUrgency(a, c ranked) int {
	order := cmp.Or(cmp.Compare(a.rank, c.rank), cmp.Compare(a.spec.Policy.Priority, c.spec.Policy.Priority))
	switch {
	case order != 0:
		return order
	case a.postponed && !c.postponed:
		return 1
	case c.postponed && !a.postponed:
		return -1
	case a.first && !c.first:
		return -1
	case c.first && !a.first:
		return 1
	}
	return cmp.Or(a.objective.Compare(c.objective), cmp.Compare(a.spec.ID, c.spec.ID))
}
