package dispatch

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
)

const (
	// minHeadroom is the headroom that placements leave a latency-critical task at the peak of
	// its load. Headroom is the target divided by the tail latency. With less, the agent would
	// pause the best-effort tasks soon after their start.
	minHeadroom = interference.GoalHeadroom
	// negligibleLoss is the loss of headroom that placements ignore as long as the
	// latency-critical task has a headroom of at least criticalHeadroom.
	negligibleLoss   = 0.08
	criticalHeadroom = 1.05
	// minRate is the share of full speed below which a best-effort task is not placed.
	minRate = 0.75
	// slowPlacementDelay is how long nothing of a job's occurrence must have run before one of
	// its best-effort tasks is placed where it runs slowly.
	slowPlacementDelay = 1500 * time.Millisecond
	// unknownExclusionShare is the share of the best-effort images for which a
	// latency-critical image is assumed to close an instance while no interference costs are
	// known.
	unknownExclusionShare = 0.4
)

// neighbor describes, within a plan, the tasks of one latency-critical job on an instance.
type neighbor struct {
	image    string
	slack    float64 // headroom above minHeadroom at the peak of their load; can be negative
	critical bool    // their headroom is below criticalHeadroom now
}

// neighborsOn returns the latency-critical jobs on an instance. The result is cached for the
// plan.
func (p *planner) neighborsOn(in *instance) []neighbor {
	if known, ok := p.neighbors[in]; ok {
		return known
	}
	var neighbors []neighbor
	index := map[string]int{} // by job
	for name, placed := range in.reservations {
		if !placed.latencyCritical {
			continue
		}
		headroom, measured := in.headrooms[name]
		critical := measured && headroom < criticalHeadroom
		if i, known := index[name.Job]; known {
			neighbors[i].critical = neighbors[i].critical || critical
			continue
		}
		index[name.Job] = len(neighbors)
		neighbors = append(neighbors, neighbor{image: placed.step.Image, slack: p.scheduler.slack(in, name, placed), critical: critical})
	}
	p.neighbors[in] = neighbors
	return neighbors
}

// updateCaches updates the caches of the plan after a task was placed on an instance or
// removed from it.
func (p *planner) updateCaches(in *instance, step *Step, placed bool) {
	if !step.BestEffort || !placed {
		delete(p.neighbors, in)
		delete(p.openShares, in)
		delete(p.excludedShares, in)
		return
	}
	neighbors := p.neighbors[in]
	for i := range neighbors {
		neighbors[i].slack -= p.scheduler.headroomLoss(neighbors[i].image, step)
	}
}

// rate returns the share of full speed, 0 to 1, at which a best-effort task of a step is
// expected to run on an instance. It is limited by the processors left and by the pace that the
// agent will set for the headroom of the latency-critical tasks there.
func (p *planner) rate(step *Step, in *instance) float64 {
	return max(min(p.processorRate(step, in), p.neighborRate(step, in)), 0)
}

// neighborRate returns the share of full speed at the pace that the agent will set for the headroom of
// the latency-critical tasks there.
func (p *planner) neighborRate(step *Step, in *instance) float64 {
	rate := 1.0
	for _, neighbor := range p.neighborsOn(in) {
		loss := p.scheduler.headroomLoss(neighbor.image, step)
		if loss <= negligibleLoss && !neighbor.critical {
			continue
		}
		expected := p.scheduler.costModel.MeanCost(neighbor.image, step.Image) * float64(step.Need.Processors) / 1000
		rate = min(rate, interference.PredictPace(minHeadroom+neighbor.slack, max(loss, negligibleLoss), expected))
	}
	return rate
}

// processorRate returns the share of full speed for which processors are left.
func (p *planner) processorRate(step *Step, in *instance) float64 {
	if need := step.Need.Processors; need > 0 {
		return min(float64(in.bestEffortRoom())/float64(need), 1)
	}
	return 1
}

// headroomLoss returns the headroom that one task of a best-effort step takes from a
// latency-critical image.
func (s *Scheduler) headroomLoss(latencyCritical string, bestEffort *Step) float64 {
	return s.costModel.Cost(latencyCritical, bestEffort.Image) * float64(bestEffort.Need.Processors) / 1000
}

// slack returns the headroom that a latency-critical task can lose before it falls below
// minHeadroom, with the best-effort tasks beside it at full speed and its own load at its peak.
// It can be negative.
func (s *Scheduler) slack(in *instance, name TaskName, p *reservation) float64 {
	slack := s.costModel.MinHeadroom(p.step.Image, name.Job) - minHeadroom
	for _, other := range in.reservations {
		if other.bestEffort {
			slack -= s.headroomLoss(p.step.Image, other.step)
		}
	}
	return slack
}

// interference returns the largest share of its slack that a best-effort task would take from
// a latency-critical one on an instance, 1 at most.
func (p *planner) interference(step *Step, in *instance) float64 {
	highest := 0.0
	for _, neighbor := range p.neighborsOn(in) {
		loss := p.scheduler.headroomLoss(neighbor.image, step)
		highest = max(highest, min(1, loss/max(neighbor.slack, loss, negligibleLoss)))
	}
	return highest
}

// latencyCriticalImages returns the set of latency-critical images on an instance.
func (in *instance) latencyCriticalImages() map[string]bool {
	images := map[string]bool{}
	for _, placed := range in.reservations {
		if placed.latencyCritical {
			images[placed.step.Image] = true
		}
	}
	return images
}

// openShare returns the share of the known best-effort images that interfere with nothing on
// an instance.
func (p *planner) openShare(in *instance) float64 {
	open, known := p.openShares[in]
	if !known {
		open = p.openShareFor(in.latencyCriticalImages())
		p.openShares[in] = open
	}
	return open
}

// openShareFor returns the share of the known best-effort images that interfere with none of a
// set of latency-critical images.
func (p *planner) openShareFor(latencyCritical map[string]bool) float64 {
	if len(latencyCritical) == 0 {
		return 1
	}
	open := 0
	for _, bestEffort := range p.bestEffortImages {
		if p.scheduler.harmlessToAll(bestEffort, latencyCritical) {
			open++
		}
	}
	return float64(open) / float64(max(len(p.bestEffortImages), 1))
}

// harmlessToAll reports whether a best-effort image is known to be harmless, as
// interference.Model.Harmless defines it, to each of a set of latency-critical images. Images
// interfere unless they are known to be harmless.
func (s *Scheduler) harmlessToAll(bestEffort string, latencyCritical map[string]bool) bool {
	for image := range latencyCritical {
		if !s.costModel.Harmless(image, bestEffort) {
			return false
		}
	}
	return true
}

// newlyExcludedShare returns the share of the best-effort images that interfere with nothing
// on an instance now, but would if a latency-critical image were placed there. While no costs
// are known, it is unknownExclusionShare for each other latency-critical image there, 1 at most.
func (p *planner) newlyExcludedShare(image string, in *instance) float64 {
	share, known := p.excludedShares[in][image]
	if !known {
		share = p.computeNewlyExcludedShare(image, in)
		if p.excludedShares[in] == nil {
			p.excludedShares[in] = map[string]float64{}
		}
		p.excludedShares[in][image] = share
	}
	return share
}

func (p *planner) computeNewlyExcludedShare(image string, in *instance) float64 {
	latencyCritical := in.latencyCriticalImages()
	if len(p.bestEffortImages) == 0 {
		delete(latencyCritical, image)
		return min(unknownExclusionShare*float64(len(latencyCritical)), 1)
	}
	before := p.openShareFor(latencyCritical)
	latencyCritical[image] = true
	return before - p.openShareFor(latencyCritical)
}
