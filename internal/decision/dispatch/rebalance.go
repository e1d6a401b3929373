package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// regroupPeriod is the least time between two regroupings: what the last one opened
	// has to fill first.
	regroupPeriod = 1500 * time.Millisecond
	// regroupLook is the least time between two looks for one.
	regroupLook = 250 * time.Millisecond
	// regroupMost is how many serving tasks are moved at a time.
	regroupMost = 3
	// regroupWorth is how many cores a move must open to tasks that wait, over
	// regroupHorizon, beside the work that it throws away.
	regroupWorth   = 3
	regroupHorizon = 10 * time.Second
	// settledFor is how long a serving task runs until it may be moved.
	settledFor = 3 * time.Second
)

// regroup moves serving tasks off one instance, so that filling tasks which wait since they
// would disturb them get on there. They go where the same filling images are disturbing
// already. Steps that bound how many tasks may be away are left alone.
//
//	in:  image f waits, it disturbs image s; a has tasks of s and t, b of s
//	out: the tasks of s on a are stopped, and start on b
func (p *planner) regroup() {
	if len(p.starving) == 0 || p.now.Sub(p.book.regrouped) < regroupPeriod || p.now.Sub(p.book.looked) < regroupLook {
		return
	}
	p.book.looked = p.now
	if p.book.unsettled() {
		return
	}
	var best []*placement
	var on *instance
	most := 0.0
	for _, in := range p.usable {
		moves, worth := p.opening(in)
		if worth > most && p.placeable(in, moves) {
			best, on, most = moves, in, worth
		}
	}
	for _, move := range best {
		p.book.regrouped = p.now
		p.book.stop(on, move)
	}
}

// unsettled tells whether a lasting task waits for its place or is being stopped.
func (b *Scheduler) unsettled() bool {
	for _, w := range b.jobs {
		if !w.job.LongRunning() || w.state.Final() {
			continue
		}
		for _, o := range w.occurrences {
			for _, tasks := range o.steps {
				for _, t := range tasks {
					if t.waits() {
						return true
					}
				}
			}
		}
	}
	for _, in := range b.instances {
		for _, placed := range in.placements {
			if placed.serves && placed.stopping {
				return true
			}
		}
	}
	return false
}

// opening finds the serving tasks on an instance without which images that wait would
// disturb nothing there, and what moving them is worth, in core-seconds: what gets on then
// less the work thrown away. It is 0 when nothing is to be moved.
func (p *planner) opening(in *instance) (moves []*placement, worth float64) {
	for image := range p.starving {
		var away []*placement
		left := map[string]bool{}
		movable := true
		lost := 0.0
		for _, placed := range in.placements {
			switch {
			case !placed.serves:
			case p.book.pairs.Harmless(placed.step.Image, image):
				left[placed.step.Image] = true
			default:
				away = append(away, placed)
				age := p.now.Sub(placed.since)
				lost += float64(placed.need.Processors) / 1000 * age.Seconds()
				movable = movable && !placed.stopping && placed.step.MaxUnavailable == 0 && age >= settledFor
			}
		}
		if !movable || len(away) == 0 || len(away) > regroupMost {
			continue
		}
		opened := float64(min(p.waitingFor(left), p.spare(in, away)))/1000 - regroupWorth*float64(len(away))
		if gain := opened*regroupHorizon.Seconds() - lost; gain > worth {
			moves, worth = away, gain
		}
	}
	return moves, worth
}

// waitingFor is what the images that wait and disturb none of some serving images ask for.
func (p *planner) waitingFor(serving map[string]bool) int {
	sum := 0
	for image, cores := range p.starving {
		if p.book.disturbsNone(image, serving) {
			sum += cores
		}
	}
	return sum
}

// spare is what filling tasks find on an instance without some of its serving tasks.
func (p *planner) spare(in *instance, away []*placement) int {
	spare := in.fillRoom()
	for _, placed := range away {
		spare += placed.need.Processors * servingShare / 100
	}
	return spare
}

// placeable tells whether tasks fit on other instances, where they close nothing that is
// open now.
func (p *planner) placeable(from *instance, tasks []*placement) bool {
	taken := map[*instance]Resources{}
	sorted := slices.Clone(tasks)
	slices.SortFunc(sorted, func(a, b *placement) int { return cmp.Compare(b.need.Processors, a.need.Processors) })
	for _, placed := range sorted {
		t := p.book.find(placed.name)
		if t == nil {
			return false
		}
		to := slices.IndexFunc(p.usable, func(in *instance) bool {
			return in != from && fits(t.work, t, in) && placed.need.plus(taken[in]).fitsIn(in.free()) && p.closes(placed.step.Image, in) == 0
		})
		if to < 0 {
			return false
		}
		in := p.usable[to]
		taken[in] = taken[in].plus(placed.need)
	}
	return true
}
