package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rebalancePeriod is the minimum time between two rebalancings: the instance that the last
	// one opened has to fill first.
	rebalancePeriod = 1500 * time.Millisecond
	// rebalanceCheckPeriod is the minimum time between two checks whether to rebalance.
	rebalanceCheckPeriod = 250 * time.Millisecond
	// maxRebalanceMoves bounds how many latency-critical tasks are moved at a time.
	maxRebalanceMoves = 3
	// minCoresPerMove is the number of cores that each moved task must at least open for
	// waiting tasks. The cores beyond that, over rebalanceHorizon, must outweigh the work that
	// the moves discard.
	minCoresPerMove  = 3
	rebalanceHorizon = 10 * time.Second
	// minAgeToMove is how long a latency-critical task must run before it may be moved.
	minAgeToMove = 3 * time.Second
)

// rebalance stops latency-critical tasks on one instance if best-effort tasks wait because of
// them, so that the best-effort tasks can run there. It does so only if the stopped tasks fit on
// instances that are closed to the same best-effort images already, where a later Plan is
// expected to place them. Tasks of steps that limit how many of them may be unavailable are not
// moved.
//
//	in:  image f waits and interferes with image s; a has tasks of s and t, b of s
//	out: the tasks of s on a are stopped, and start on b
func (p *planner) rebalance() {
	if len(p.unmetDemand) == 0 || p.now.Sub(p.scheduler.rebalancedAt) < rebalancePeriod || p.now.Sub(p.scheduler.rebalanceCheckedAt) < rebalanceCheckPeriod {
		return
	}
	p.scheduler.rebalanceCheckedAt = p.now
	if p.scheduler.movesPending() {
		return
	}
	var best []*reservation
	var source *instance
	highest := 0.0
	for _, in := range p.usable {
		moves, gain := p.movesToOpen(in)
		if gain > highest && p.placeable(in, moves) {
			best, source, highest = moves, in, gain
		}
	}
	for _, move := range best {
		p.scheduler.rebalancedAt = p.now
		p.scheduler.stop(source, move, StopRebalanced)
	}
}

// movesPending reports whether a task of a long-running job waits for an instance, or a
// latency-critical task is being stopped.
func (s *Scheduler) movesPending() bool {
	for _, j := range s.jobs {
		if !j.spec.LongRunning() || j.state.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for _, tasks := range o.steps {
				for _, t := range tasks {
					if t.waiting() {
						return true
					}
				}
			}
		}
	}
	for _, in := range s.byID {
		for _, placed := range in.reservations {
			if placed.latencyCritical && placed.stopping {
				return true
			}
		}
	}
	return false
}

// movesToOpen returns the latency-critical tasks to move off an instance to open it to a
// waiting best-effort image, and the net gain in core-seconds: the work that can run within
// rebalanceHorizon on the cores beyond minCoresPerMove for each moved task, less the work
// discarded. The gain is 0 if nothing is to be moved.
func (p *planner) movesToOpen(in *instance) (moves []*reservation, gain float64) {
	for image := range p.unmetDemand {
		var candidates []*reservation
		remaining := map[string]bool{}
		movable := true
		lostWork := 0.0
		for _, placed := range in.reservations {
			switch {
			case !placed.latencyCritical:
			case p.scheduler.costModel.Harmless(placed.step.Image, image):
				remaining[placed.step.Image] = true
			default:
				candidates = append(candidates, placed)
				age := p.now.Sub(placed.startedAt)
				lostWork += float64(placed.need.Processors) / 1000 * age.Seconds()
				movable = movable && !placed.stopping && placed.step.MaxUnavailable == 0 && age >= minAgeToMove
			}
		}
		if !movable || len(candidates) == 0 || len(candidates) > maxRebalanceMoves {
			continue
		}
		opened := float64(min(p.openDemand(remaining), p.roomWithout(in, candidates)))/1000 - minCoresPerMove*float64(len(candidates))
		if net := opened*rebalanceHorizon.Seconds() - lostWork; net > gain {
			moves, gain = candidates, net
		}
	}
	return moves, gain
}

// openDemand returns the unmet demand, in thousandths of a core, of the best-effort images that
// interfere with none of a set of latency-critical images.
func (p *planner) openDemand(latencyCritical map[string]bool) int {
	sum := 0
	for image, processors := range p.unmetDemand {
		if p.scheduler.harmlessToAll(image, latencyCritical) {
			sum += processors
		}
	}
	return sum
}

// roomWithout returns the processors left for best-effort tasks, in thousandths of a core, on
// an instance without some of its latency-critical tasks.
func (p *planner) roomWithout(in *instance, moved []*reservation) int {
	room := in.bestEffortRoom()
	for _, placed := range moved {
		room += placed.need.Processors * latencyCriticalUsePercent / 100
	}
	return room
}

// placeable reports whether tasks fit on other instances without closing them to any
// best-effort image.
func (p *planner) placeable(from *instance, tasks []*reservation) bool {
	reserved := map[*instance]Resources{}
	sorted := slices.Clone(tasks)
	slices.SortFunc(sorted, func(a, b *reservation) int { return cmp.Compare(b.need.Processors, a.need.Processors) })
	for _, placed := range sorted {
		t := p.scheduler.findTask(placed.name)
		if t == nil {
			return false
		}
		index := slices.IndexFunc(p.usable, func(in *instance) bool {
			return in != from && p.fits(t.job, t, in) && placed.need.plus(reserved[in]).fitsIn(in.free()) && p.newlyExcludedShare(placed.step.Image, in) == 0
		})
		if index < 0 {
			return false
		}
		in := p.usable[index]
		reserved[in] = reserved[in].plus(placed.need)
	}
	return true
}
