package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// fullPace is the pace of a task that isn't slowed, in percent.
	fullPace = 100
	// GoalHeadroom is the headroom that latency-critical tasks are to have beside best-effort
	// ones: placements leave it and the Pacer restores it.
	GoalHeadroom = 1.35
	// lowerHeadroom is the headroom at and below which best-effort tasks are slowed, until
	// the predicted headroom is GoalHeadroom. Above a headroom of raiseHeadroom their pace
	// is raised, as long as the predicted headroom stays above GoalHeadroom.
	lowerHeadroom = 1.15
	raiseHeadroom = 1.45
	// tailVariation is the factor by which a tail latency is soon longer than expected.
	tailVariation = 1.1
	// maxTimeOverTarget is how long the lowest headroom of the latency-critical tasks may
	// stay at or below 1 before all best-effort tasks are paused, whatever the model says
	// of their images.
	maxTimeOverTarget = 1200 * time.Millisecond
	// settleTime is how long a change of pace takes to show in the measurements. No other
	// change is made until then, except that all tasks may be paused, or get full pace if
	// there is no latency-critical task.
	settleTime = 550 * time.Millisecond
	// maxRaise is the largest raise of a pace at a time, in percentage points, for an
	// image with a cost of harmlessCost or more.
	maxRaise = 50
	// minRaise is the smallest raise of a pace, in percentage points: a smaller one isn't
	// worth a message.
	minRaise = 4
	// harmlessCost is the cost below which an image counts as harmless, in headroom per
	// core.
	harmlessCost = 0.02
)

// TaskHeadroom is the measured headroom of one latency-critical task.
type TaskHeadroom struct {
	Image    string
	Headroom float64 // in the last measuring interval
}

// ImageUsage is the CPU use and request of all best-effort tasks of one image, in cores.
type ImageUsage struct {
	Cores     float64 // used in the last measuring interval
	Requested float64 // requested, at full pace
}

// Pacer sets the pace of the best-effort tasks on one instance, by image, so that the
// latency-critical tasks on it meet their targets. A pace is a percentage of the CPU
// request. It isn't safe for concurrent use.
type Pacer struct {
	model           *Model
	paces           map[string]int // in percent, of slowed images only
	lastChange      time.Time
	overTargetSince time.Time // since when the lowest headroom is at most 1; zero if it is above 1
}

// NewPacer returns a pacer with all images at full pace. Each call of Observe reads the
// current costs from the model.
func NewPacer(model *Model) *Pacer { return &Pacer{model: model, paces: map[string]int{}} }

// Pace returns the pace of an image in percent, from 0 (paused) to 100.
func (p *Pacer) Pace(image string) int {
	if pace, slowed := p.paces[image]; slowed {
		return pace
	}
	return fullPace
}

// Observe adjusts the paces to the state of the latency-critical tasks and of the
// best-effort images on the instance. It reports whether any pace has changed. Without a
// latency-critical task, all images get full pace.
func (p *Pacer) Observe(now time.Time, critical []TaskHeadroom, bestEffort map[string]ImageUsage) bool {
	worst := Worst(critical)
	if worst > 1 {
		p.overTargetSince = time.Time{}
	} else if p.overTargetSince.IsZero() {
		p.overTargetSince = now
	}
	switch {
	case len(critical) == 0:
		changed := len(p.paces) > 0
		clear(p.paces)
		return changed
	case !p.overTargetSince.IsZero() && now.Sub(p.overTargetSince) > maxTimeOverTarget:
		return p.pauseAll(now, bestEffort)
	case now.Sub(p.lastChange) < settleTime:
		return false
	case worst <= lowerHeadroom:
		return p.lower(now, critical, bestEffort)
	case worst > raiseHeadroom:
		return p.raise(now, critical, bestEffort)
	}
	return false
}

// Worst returns the lowest headroom of the given tasks, +Inf if there are none.
func Worst(critical []TaskHeadroom) float64 {
	worst := math.Inf(1)
	for _, task := range critical {
		worst = min(worst, task.Headroom)
	}
	return worst
}

// PredictPace returns the share of full speed, negative for none, at which a Pacer will let a
// best-effort task run beside a latency-critical one that has the given headroom without it. loss is
// the lower bound of the headroom that the task takes at full speed, expected its mean. A task that
// leaves less than GoalHeadroom keeps the pace that leaves it, unless it would be slowed as soon as
// the tail latency varies.
func PredictPace(headroom, loss, expected float64) float64 {
	switch {
	case headroom-loss >= GoalHeadroom:
		return 1
	case (headroom-expected)/tailVariation > lowerHeadroom:
		return (headroom - GoalHeadroom) / loss
	}
	return (headroom/tailVariation - GoalHeadroom) / loss
}

// pauseAll pauses all best-effort images on the instance and reports whether a pace changed.
func (p *Pacer) pauseAll(now time.Time, bestEffort map[string]ImageUsage) bool {
	changed := false
	for image := range bestEffort {
		changed = changed || p.Pace(image) > 0
		p.paces[image] = 0
	}
	if changed {
		p.lastChange = now
	}
	return changed
}

// lower slows the images that cost the latency-critical tasks the most, until each of these
// has a predicted headroom of GoalHeadroom. It reports whether a pace changed.
func (p *Pacer) lower(now time.Time, critical []TaskHeadroom, bestEffort map[string]ImageUsage) bool {
	changed := false
	for _, task := range critical {
		if task.Headroom > lowerHeadroom {
			continue
		}
		deficit := GoalHeadroom - task.Headroom
		for _, image := range p.byLoss(task.Image, bestEffort) {
			pace := p.Pace(image)
			loss := p.model.Cost(task.Image, image) * bestEffort[image].Cores // in headroom; a cost is in headroom per core
			if deficit <= 0 || loss <= 0 || pace == 0 {
				continue
			}
			newPace := 0
			if loss > deficit {
				newPace = int(float64(pace) * (1 - deficit/loss))
			}
			p.paces[image] = newPace
			deficit -= loss
			changed = true
		}
	}
	if changed {
		p.lastChange = now
	}
	return changed
}

// byLoss returns the images sorted by the headroom that a latency-critical image loses to
// them now, the highest loss first.
func (p *Pacer) byLoss(critical string, bestEffort map[string]ImageUsage) []string {
	var images []string
	for image := range bestEffort {
		images = append(images, image)
	}
	slices.SortFunc(images, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.model.Cost(critical, b)*bestEffort[b].Cores, p.model.Cost(critical, a)*bestEffort[a].Cores),
			cmp.Compare(a, b),
		)
	})
	return images
}

// raise raises the pace of slowed images and reports whether a pace changed. All harmless
// images that run get full pace at once. If there are none, the image that would take the
// least headroom at full pace is raised, by at most maxRaise, as far as the predicted
// headroom of all latency-critical tasks stays above GoalHeadroom.
func (p *Pacer) raise(now time.Time, critical []TaskHeadroom, bestEffort map[string]ImageUsage) bool {
	cheapest, lowestLoss := "", 0.0
	changed := false
	for image, pace := range p.paces {
		usage, running := bestEffort[image]
		switch {
		case pace >= fullPace:
			delete(p.paces, image)
			continue
		case !running:
			continue // keep the pace for the image's next task
		}
		cost := 0.0
		for _, task := range critical {
			cost = max(cost, p.model.Cost(task.Image, image))
		}
		if cost < harmlessCost {
			delete(p.paces, image)
			changed = true
			continue
		}
		if cheapest == "" || cost*usage.Requested < lowestLoss || cost*usage.Requested == lowestLoss && image < cheapest {
			cheapest, lowestLoss = image, cost*usage.Requested
		}
	}
	if cheapest != "" && !changed {
		if step := p.raiseStep(cheapest, critical, bestEffort[cheapest].Requested); step > 0 {
			p.paces[cheapest] = min(p.paces[cheapest]+step, fullPace)
			changed = true
		}
	}
	if changed {
		p.lastChange = now
	}
	return changed
}

// raiseStep returns by how many percentage points, at most maxRaise, an image's pace can
// rise until the predicted headroom of a latency-critical task is down to GoalHeadroom; 0
// if that is less than minRaise.
func (p *Pacer) raiseStep(image string, critical []TaskHeadroom, requested float64) int {
	step := float64(maxRaise)
	for _, task := range critical {
		if loss := p.model.Cost(task.Image, image) * requested; loss > 0 {
			step = min(step, 100*(task.Headroom-GoalHeadroom)/loss)
		}
	}
	if step < minRaise {
		return 0
	}
	return int(step)
}
