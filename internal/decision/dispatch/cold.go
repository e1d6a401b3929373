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

func (in *instance) cold(now time.Time) bool { return now.Before(in.coldUntil) }

// startsSlowly reports whether a cold instance has so many recent starts that no task starts there
// now. If all usable instances are cold, none does.
func (p *planner) startsSlowly(in *instance) bool {
	if !p.someWarm || !in.cold(p.now) {
		return false
	}
	recent := 0
	for _, placed := range in.reservations {
		if p.now.Sub(placed.startedAt) < coldStartPeriod {
			recent++
		}
	}
	return recent >= maxColdStarts
}

func (in *instance) coldPenalty(now time.Time) int {
	if in.cold(now) {
		return penaltyCold
	}
	return 0
}
