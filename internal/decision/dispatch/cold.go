package dispatch

import "time"

const (
	// maxColdStarts bounds how many tasks start on a cold instance within coldStartPeriod.
	maxColdStarts   = 2
	coldStartPeriod = 500 * time.Millisecond
	// penaltyCold is the penalty of an instance that is slow after its start.
	penaltyCold = 200
)

// updateCold sets until when the instance is cold, from its registration.
func (in *instance) updateCold(now time.Time) {
	in.coldUntil = now.Add(time.Duration(in.registration.ColdRemaining) * time.Millisecond)
}

// collect adds an instance on which tasks may be placed.
func (p *planner) collect(in *instance) {
	in.cold = p.now.Before(in.coldUntil)
	p.someWarm = p.someWarm || !in.cold
	p.usable = append(p.usable, in)
}

// startsSlowly reports whether a cold instance has so many recent starts that no task starts there
// now. If all usable instances are cold, none does.
func (p *planner) startsSlowly(in *instance) bool {
	return in.cold && p.someWarm && in.startsSince(p.now.Add(-coldStartPeriod)) >= maxColdStarts
}

// startsSince returns the number of runs that were ordered on the instance after a time.
func (in *instance) startsSince(after time.Time) int {
	starts := 0
	for _, placed := range in.reservations {
		if placed.startedAt.After(after) {
			starts++
		}
	}
	return starts
}

// coldPenalty returns the penalty of a task on the instance for being cold.
func (in *instance) coldPenalty() int {
	if in.cold {
		return penaltyCold
	}
	return 0
}
