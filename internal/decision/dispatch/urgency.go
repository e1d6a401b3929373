package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Ranks of jobs by what they can still be worth.
const (
	inTime   = iota // its objective can be met
	late            // worth a part
	hopeless        // worth nothing more
)

// A job counts as late once this part of the estimate of what is left of it does not fit
// before its objective: estimates are often too long.
const (
	hopeNumerator   = 2
	hopeDenominator = 3
)

// remaining is the estimate of the longest chain of steps that is left of a job's last
// occurrence.
func (w *work) remaining() time.Duration {
	if len(w.occurrences) == 0 {
		return 0
	}
	o := w.occurrences[len(w.occurrences)-1]
	longest := make([]int64, len(w.job.Steps))
	var chain int64
	for s := range w.job.Steps {
		step := &w.job.Steps[s]
		for _, before := range step.After {
			if before < s {
				longest[s] = max(longest[s], longest[before])
			}
		}
		if !o.stepDone(s) {
			longest[s] += step.Estimate
		}
		chain = max(chain, longest[s])
	}
	return time.Duration(chain) * time.Millisecond
}

// rank tells what a job can still be worth.
func (w *work) rank(now time.Time) int {
	taken := now.Sub(w.accepted)
	switch {
	case w.job.LongRunning() || w.job.FirstDue > 0:
		return inTime
	case taken > lateLimit*w.objective:
		return hopeless
	case taken+w.remaining()*hopeNumerator/hopeDenominator > w.objective:
		return late
	}
	return inTime
}

// ranked is an open job with its rank.
type ranked struct {
	*work
	rank int
}

// byUrgency orders the open jobs: what can be worth most first, then by priority, then
// by the time at which it should be done.
func (b *Scheduler) byUrgency(now time.Time) []ranked {
	open := make([]ranked, 0, len(b.jobs))
	for _, w := range b.jobs {
		if !w.state.Final() {
			open = append(open, ranked{w, w.rank(now)})
		}
	}
	slices.SortFunc(open, func(a, c ranked) int {
		return cmp.Or(
			cmp.Compare(a.rank, c.rank),
			cmp.Compare(a.job.Policy.Priority, c.job.Policy.Priority),
			a.accepted.Add(a.objective).Compare(c.accepted.Add(c.objective)),
			cmp.Compare(a.job.ID, c.job.ID),
		)
	})
	return open
}
