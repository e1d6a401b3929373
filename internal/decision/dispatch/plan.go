package dispatch

import (
	"slices"
	"time"
)

// Start is an order to run a task on an instance.
type Start struct {
	Instance   string
	Task       TaskName
	Run        int64
	Step       *Step
	Payload    string // opaque to the scheduler
	Checkpoint string // checkpoint to resume from; "" if none
}

// Penalties of a placement. A task is placed on the instance with the lowest sum. Where a
// penalty is proportional to a share, such as a load, the constant applies to a share of 1.
//
// Latency-critical tasks are packed onto few instances, and beside tasks that suffer
// interference from the same best-effort images. That leaves instances open to each best-effort
// image. An instance is open to an image that interferes with no latency-critical task there.
//
// The reserved processors and those that best-effort tasks request are charged separately, each
// with penaltyLoad. For a latency-critical task the reserved ones count -2 times instead.
const (
	penaltyRemoteData           = 1000 // not in the rack of the data, where tasks take longer
	penaltyFailedBefore         = 600  // the task has failed there before
	penaltyRecentStart          = 300  // a suspect where another task has just started
	penaltyLoad                 = 100  // all processors of the instance are reserved, or best-effort tasks request as many
	penaltyInterference         = 300  // a best-effort task that takes all the slack of a latency-critical one
	penaltyOpenInstance         = 100  // a best-effort task on an instance open to all best-effort images
	penaltySlow                 = 400  // a best-effort task that would make no progress
	penaltyFirstLatencyCritical = 60   // a latency-critical task where no other one runs
	penaltyExclusion            = 400  // a latency-critical task that closes the instance to all best-effort images
)

// Plan decides what starts now and reserves the resources at once. A run that turns out not to
// have started releases them when its end is reported. Plan also decides stops; TakeStops
// returns them.
func (s *Scheduler) Plan(now time.Time) []Start {
	s.drain(now)
	s.reviewSpeeds(now)
	s.clearProbed(now)
	s.dropExpiredLateStarts(now)
	p := newPlanner(s, now)
	p.collectInstances()
	if len(p.usable)+len(p.quarantined) == 0 {
		return nil
	}
	p.updateSuspects()
	p.bestEffortImages = s.costModel.BestEffortImages()
	p.moveStalled()
	jobs := s.byUrgency(now, p.available())
	p.renewHolds()
	for _, j := range jobs {
		for _, o := range j.occurrences {
			if o.remaining > 0 {
				p.planOccurrence(j, o)
			}
		}
	}
	s.bestEffortWaits = p.waits
	p.makeHolds()
	p.rebalance()
	return p.starts
}

// collectInstances collects the instances on which tasks may be placed.
func (p *planner) collectInstances() {
	for _, in := range p.scheduler.byID {
		switch {
		case in.usable(p.now):
			p.collect(in)
		case in.ready():
			p.quarantined = append(p.quarantined, in)
		}
	}
}

// available returns the processors of each pool that the usable instances offer, in thousandths of
// a core. Where best-effort tasks waited after the last plan, they can use no more than they use
// now: the rest of the processors is left free for the tasks that they disturb.
func (p *planner) available() map[pool]int {
	sum := map[pool]int{}
	for _, in := range p.usable {
		service := in.registration.Service
		bestEffort := in.bestEffortProcessors
		if !p.scheduler.bestEffortWaits[service] {
			bestEffort += max(in.bestEffortRoom(), 0)
		}
		sum[pool{service, true}] += bestEffort
		sum[pool{service, false}] += in.registration.Capacity.Processors - in.latencyCriticalProcessors
	}
	return sum
}

// planner holds the state of one call of Plan.
type planner struct {
	scheduler   *Scheduler
	now         time.Time
	usable      []*instance
	quarantined []*instance // usable but for the quarantine
	someWarm    bool        // not all usable instances are cold
	starts      []Start
	// isolatedCount is the number of instances that suspects have to themselves.
	isolatedCount int
	// bestEffortImages are the known best-effort images. openShares, excludedShares and neighbors
	// cache, by instance, the results of openShare, newlyExcludedShare and neighborsOn.
	bestEffortImages []string
	openShares       map[*instance]float64
	excludedShares   map[*instance]map[string]float64
	neighbors        map[*instance][]neighbor
	// unplaceable lists, by scheduling class, the resource requests for which no
	// instance is suitable.
	unplaceable map[schedulingClass][]Resources
	// unmetDemand is, by best-effort image, the processors, in thousandths of a core, that
	// startable tasks of on-time jobs request and for which this plan found no instance.
	unmetDemand map[string]int
	waits       map[string]bool // services of which such tasks wait
	windowPlanner
}

func newPlanner(s *Scheduler, now time.Time) *planner {
	return &planner{
		scheduler: s, now: now, openShares: map[*instance]float64{}, excludedShares: map[*instance]map[string]float64{}, neighbors: map[*instance][]neighbor{},
		unplaceable: map[schedulingClass][]Resources{}, unmetDemand: map[string]int{}, waits: map[string]bool{},
		windowPlanner: newWindowPlanner(s, now),
	}
}

// schedulingClass is what determines, apart from the requested resources, on which instances a
// task may run.
type schedulingClass struct {
	service, label, rack, image string
	bestEffort, latencyCritical bool
}

// schedulingClassOf returns the class of the tasks of a step.
func schedulingClassOf(j *jobState, step *Step) schedulingClass {
	return schedulingClass{j.spec.Policy.Service, step.Label, step.DataRack, step.Image, step.BestEffort, step.Target > 0}
}

// isUnplaceable reports whether a task of the same class that requests no more than need could
// not be placed earlier in this plan, in which free resources only shrink. It may still fit on a held
// instance.
func (p *planner) isUnplaceable(class schedulingClass, need Resources) bool {
	return slices.ContainsFunc(p.unplaceable[class], func(unplaced Resources) bool { return unplaced.fitsIn(need) })
}

// planOccurrence places the tasks of an occurrence whose steps are ready.
func (p *planner) planOccurrence(j ranked, o *occurrence) {
	p.turn = turnOf(j)
	for stepIndex := range o.steps {
		step := &j.spec.Steps[stepIndex]
		if o.stepDone(stepIndex) || !o.ready(step) {
			continue
		}
		if step.Gang {
			if p.placeGang(j.jobState, step, o.steps[stepIndex]) {
				p.blocked(j, o, stepIndex)
			}
			continue
		}
		for _, t := range o.steps[stepIndex] {
			if !p.startable(t) {
				continue
			}
			in := p.findInstance(j, t, o)
			if in == nil && p.pinned(t) {
				continue // the others may start elsewhere
			}
			if in == nil {
				p.blocked(j, o, stepIndex)
				p.addUnmetDemand(j, step, o.steps[stepIndex])
				p.planQuarantined(j, step, o.steps[stepIndex])
				break // the tasks of a step are identical
			}
			p.place(j.jobState, t, in, t.lastRun+1)
			p.endHold(t)
		}
	}
}

// findInstance returns the best suitable instance for a task, or nil. If there is none for a
// best-effort task, and nothing of its occurrence has run for slowPlacementDelay, it returns the
// instance on which the task runs fastest.
func (p *planner) findInstance(j ranked, t *task, o *occurrence) *instance {
	class := schedulingClassOf(j.jobState, t.step)
	var in *instance
	p.wasWithheld = false
	if p.isUnplaceable(class, t.step.Need) {
		in = p.bestHeld(j.jobState, t, class)
	} else {
		in = p.bestInstance(j.jobState, t, "")
		if in == nil && t.step.MaxPerInstance == 0 && !p.pinned(t) {
			p.unplaceable[class] = append(p.unplaceable[class], t.step.Need)
		}
	}
	if in == nil && t.step.BestEffort && o.idleFor(p.now) >= slowPlacementDelay {
		in = p.fastestInstance(j.jobState, t)
	}
	return in
}

// addUnmetDemand records that the waiting tasks of a step cannot be placed.
func (p *planner) addUnmetDemand(j ranked, step *Step, tasks []*task) {
	if !step.BestEffort || j.rank != onTime {
		return
	}
	for _, t := range tasks {
		if p.startable(t) {
			p.unmetDemand[step.Image] += step.Need.Processors
			p.waits[j.spec.Policy.Service] = true
		}
	}
}

// startable reports whether a task waits and may start now.
func (p *planner) startable(t *task) bool {
	return t.waiting() && !t.unconfirmed && !p.now.Before(t.notBefore) && !p.scheduler.lateStarts.forbids(t.name) && !p.awaitsIsolation(t)
}

// bestInstance returns the suitable usable instance with the lowest penalty for a task, or nil.
// Unless rack is "", only instances in that rack count.
func (p *planner) bestInstance(j *jobState, t *task, rack string) *instance {
	return p.bestOf(p.usable, j, t, rack)
}

// bestOf is bestInstance among the given instances.
func (p *planner) bestOf(instances []*instance, j *jobState, t *task, rack string) *instance {
	var best *instance
	var lowest int
	for _, in := range instances {
		if rack != "" && in.registration.Rack != rack || !p.suitable(j, t, in) {
			continue
		}
		penalty := p.placementPenalty(t, in)
		if best == nil || penalty < lowest {
			best, lowest = in, penalty
		}
	}
	return best
}

// placementPenalty returns the penalty of placing a task on an instance.
func (p *planner) placementPenalty(t *task, in *instance) int {
	penalty := p.penalty(t.step, in) + in.coldPenalty()
	if slices.Contains(t.failedOn, in.registration.Incarnation.ID) {
		penalty += penaltyFailedBefore
	}
	if t.isolated(p.now) && p.now.Sub(in.lastStartAt) < isolationPeriod {
		penalty += penaltyRecentStart
	}
	return penalty
}

// fastestInstance returns the instance on which a best-effort task is expected to run fastest,
// however slowly, so that each job makes progress. It returns nil if the task fits on none.
func (p *planner) fastestInstance(j *jobState, t *task) *instance {
	var best *instance
	var highest float64
	for _, in := range p.usable {
		if !p.fits(j, t, in) || p.startsSlowly(in) || !p.mayProbe(t.step, in) || p.withheld(j, t, in) {
			continue
		}
		rate := p.rate(t.step, in)
		if best == nil || rate > highest || rate == highest && in.bestEffortRoom() > best.bestEffortRoom() {
			best, highest = in, rate
		}
	}
	return best
}

// suitable reports whether a task fits on an instance and, if it is best-effort, is expected
// to run there at minRate at least.
func (p *planner) suitable(j *jobState, t *task, in *instance) bool {
	if !allows(j, t.step, in) {
		return false
	}
	if t.step.BestEffort && (p.processorRate(t.step, in) < minRate || p.rate(t.step, in) < minRate) {
		return false
	}
	return !in.excludes(t) && !p.pinnedElsewhere(t, in) && !p.startsSlowly(in) && p.mayProbe(t.step, in) && !p.withheld(j, t, in)
}

// fits reports whether the constraints of a task allow an instance and its resources are free
// there.
func (p *planner) fits(j *jobState, t *task, in *instance) bool {
	return allows(j, t.step, in) && !in.excludes(t) && !p.pinnedElsewhere(t, in)
}

// pinned reports whether late starts allow a task one instance at most.
func (p *planner) pinned(t *task) bool { return len(p.scheduler.lateStarts[t.name]) > 0 }

// pinnedElsewhere reports whether late starts of a task keep it off an instance.
func (p *planner) pinnedElsewhere(t *task, in *instance) bool {
	return p.scheduler.lateStarts.pinsElsewhere(t.name, in.registration.Incarnation.ID)
}

// allows reports whether the service, label and resources of a step allow an instance.
func allows(j *jobState, step *Step, in *instance) bool {
	if in.registration.Service != j.spec.Policy.Service {
		return false
	}
	if step.Label != "" && !in.hasLabel(step.Label) {
		return false
	}
	need := step.Need
	if step.BestEffort {
		need.Processors = 0
	}
	return need.fitsIn(in.free())
}

// penalty returns the penalty of placing a task of a step on an instance.
func (p *planner) penalty(step *Step, in *instance) int {
	capacity := max(in.registration.Capacity.Processors, 1)
	load := penaltyLoad * in.used.Processors / capacity
	penalty := penaltyLoad * in.bestEffortProcessors / capacity
	if p.packs(step, in) {
		load = -load
	}
	if step.DataRack != "" && !in.hasLabel(step.DataRack) {
		penalty += penaltyRemoteData
	}
	switch {
	case step.BestEffort:
		penalty += load + int(penaltySlow*(1-p.expectedRate(step, in)))
		penalty += int(penaltyInterference*p.interference(step, in) + penaltyOpenInstance*p.openShare(in))
	case step.Target > 0:
		penalty -= 2 * load // the fullest instance that has room
		if in.latencyCriticalCount == 0 {
			penalty += penaltyFirstLatencyCritical
		}
		penalty += int(penaltyExclusion*p.newlyExcludedShare(step.Image, in)) + p.speedPenalty(in)
	default:
		penalty += load + p.speedPenalty(in)
	}
	return penalty
}

// place starts a run of a task on an instance and reserves its resources.
func (p *planner) place(j *jobState, t *task, in *instance, run int64) {
	t.instance, t.run, t.lastRun, t.startedAt = in.registration.Incarnation.ID, run, run, p.now
	placed := &reservation{name: t.name, run: run, startedAt: p.now, agentIncarnation: in.registration.AgentIncarnation, orderedThrough: in.registration.AgentIncarnation, fromStart: t.checkpoint == "", saved: t.saved}
	placed.setStep(t.step)
	p.backfilled(j, t, in)
	in.add(placed)
	p.scheduler.unsettled[placed] = in
	p.updateCaches(in, t.step, true)
	in.lastStartAt = p.now
	if t.isolated(p.now) {
		p.isolate(in)
	}
	p.starts = append(p.starts, Start{
		Instance: in.registration.Incarnation.ID, Task: t.name, Run: run, Step: t.step,
		Payload: j.spec.Payload, Checkpoint: t.checkpoint,
	})
}
