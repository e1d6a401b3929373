package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Start is an order to run a task.
type Start struct {
	Instance   string
	Task       TaskName
	Run        int64
	Step       *Step
	Payload    string
	Checkpoint string
}

// Points that a placement costs. The instance with the fewest points is taken.
//
// Serving tasks are packed onto few instances, and beside those that the same filling
// images disturb, so that each filling image finds instances on which it disturbs nobody.
const (
	pointsFar     = 1000 // away from the rack of the data, where tasks take longer
	pointsFailed  = 600  // where the task has failed before
	pointsLoad    = 100  // an instance whose processors are all taken
	pointsDisturb = 300  // a filling task that takes all the headroom of a serving one
	pointsOpen    = 100  // a filling task where any other would disturb nobody either
	pointsSlow    = 400  // a filling task that would stand still
	pointsApart   = 60   // a serving task where none serves yet
	pointsCloses  = 400  // a serving task that closes an instance to all filling images
)

// Plan decides what starts now. The room is taken at once; what turns out not to
// have started gives it back by its end.
func (b *Scheduler) Plan(now time.Time) []Start {
	b.evacuate(now)
	p := newPlanner(b, now)
	for _, in := range b.instances {
		if in.usable(now) {
			p.usable = append(p.usable, in)
		}
	}
	if len(p.usable) == 0 {
		return nil
	}
	slices.SortFunc(p.usable, func(a, c *instance) int { return cmp.Compare(a.offer.Incarnation.ID, c.offer.Incarnation.ID) })
	p.filling = b.pairs.BestEffortImages()
	p.rescue()
	for _, w := range b.byUrgency(now) {
		for _, o := range w.occurrences {
			if o.left > 0 {
				p.occurrence(w, o)
			}
		}
	}
	p.regroup()
	return p.starts
}

// planner is one call of Plan.
type planner struct {
	book   *Scheduler
	now    time.Time
	usable []*instance
	starts []Start
	// filling are the filling images known, and open the share of them that disturbs
	// nothing on an instance.
	filling []string
	open    map[*instance]float64
	beside  map[*instance][]beside
	// refused are needs that found no place, by what else decides over a place.
	refused map[kind][]Resources
	// starving is what the tasks ask for, by filling image, that are in time and find no
	// place, in thousandths of a core.
	starving map[string]int
}

func newPlanner(b *Scheduler, now time.Time) *planner {
	return &planner{
		book: b, now: now, open: map[*instance]float64{}, beside: map[*instance][]beside{},
		refused: map[kind][]Resources{}, starving: map[string]int{},
	}
}

// kind is what tasks have in common that may run at the same places, but for their needs.
type kind struct {
	service, label, rack, image string
	fills, serves               bool
}

func kindOf(w *work, step *Step) kind {
	return kind{w.job.Policy.Service, step.Label, step.DataRack, step.Image, step.BestEffort, step.Target > 0}
}

// refuses tells whether a task of the same kind that needs no more has found no place in
// this plan, in which room only shrinks.
func (p *planner) refuses(of kind, need Resources) bool {
	return slices.ContainsFunc(p.refused[of], func(refused Resources) bool { return refused.fitsIn(need) })
}

func (p *planner) occurrence(w ranked, o *occurrence) {
	for s := range o.steps {
		step := &w.job.Steps[s]
		if o.stepDone(s) || !o.ready(step) {
			continue
		}
		if step.Gang {
			p.gang(w.work, step, o.steps[s])
			continue
		}
		for _, t := range o.steps[s] {
			if !p.startable(t) {
				continue
			}
			in := p.find(w, t, o)
			if in == nil {
				p.noteStarving(w, step, o.steps[s])
				break // the tasks of a step are alike
			}
			p.place(w.work, t, in, t.lastRun+1)
		}
	}
}

// find finds the place of a task, also a slow one if nothing else of its job runs.
func (p *planner) find(w ranked, t *task, o *occurrence) *instance {
	of := kindOf(w.work, t.step)
	var in *instance
	if !p.refuses(of, t.step.Need) {
		in = p.choose(w.work, t, "")
		if in == nil && t.step.MaxPerInstance == 0 {
			p.refused[of] = append(p.refused[of], t.step.Need)
		}
	}
	if in == nil && t.step.BestEffort && o.idleFor(p.now) >= squeezeAfter {
		in = p.squeeze(w.work, t)
	}
	return in
}

// noteStarving takes that the tasks of a step find no place.
func (p *planner) noteStarving(w ranked, step *Step, tasks []*task) {
	if !step.BestEffort || w.rank != inTime {
		return
	}
	for _, t := range tasks {
		if p.startable(t) {
			p.starving[step.Image] += step.Need.Processors
		}
	}
}

func (p *planner) startable(t *task) bool {
	return t.waits() && !t.doubted && !p.now.Before(t.notBefore)
}

// gang places all members of a step or none.
func (p *planner) gang(w *work, step *Step, members []*task) {
	run := int64(0)
	for _, t := range members {
		if !p.startable(t) {
			return
		}
		run = max(run, t.lastRun+1)
	}
	racks := []string{""}
	if step.OneRack {
		racks = append(p.racks(), "")
	}
	for _, rack := range racks {
		if p.tryGang(w, members, rack, run) {
			return
		}
	}
}

func (p *planner) racks() []string {
	var racks []string
	for _, in := range p.usable {
		if !slices.Contains(racks, in.offer.Rack) {
			racks = append(racks, in.offer.Rack)
		}
	}
	return racks
}

func (p *planner) tryGang(w *work, members []*task, rack string, run int64) bool {
	before := len(p.starts)
	for _, t := range members {
		in := p.choose(w, t, rack)
		if in == nil {
			p.undo(before)
			return false
		}
		p.place(w, t, in, run)
	}
	return true
}

// undo takes back the placements after the first so many.
func (p *planner) undo(before int) {
	for _, start := range p.starts[before:] {
		in := p.book.instances[start.Instance]
		in.remove(in.placements[start.Task])
		p.changed(in, start.Step, false)
		t := p.book.find(start.Task)
		t.instance, t.run = "", 0
	}
	p.starts = p.starts[:before]
}

// choose finds the best instance with room for a task, in a rack unless that is "".
func (p *planner) choose(w *work, t *task, rack string) *instance {
	var best *instance
	var least int
	for _, in := range p.usable {
		if rack != "" && in.offer.Rack != rack || !p.suits(w, t, in) {
			continue
		}
		points := p.points(t.step, in)
		if slices.Contains(t.failedOn, in.offer.Incarnation.ID) {
			points += pointsFailed
		}
		if best == nil || points < least {
			best, least = in, points
		}
	}
	return best
}

// squeeze finds the instance on which a filling task gets on best, however slowly, so
// that each job goes on.
func (p *planner) squeeze(w *work, t *task) *instance {
	var best *instance
	var most float64
	for _, in := range p.usable {
		if !fits(w, t, in) {
			continue
		}
		rate := p.rate(t.step, in)
		if best == nil || rate > most || rate == most && in.fillRoom() > best.fillRoom() {
			best, most = in, rate
		}
	}
	return best
}

// suits tells whether a task may run on an instance, fits there and, if it fills, is
// expected to get on there.
func (p *planner) suits(w *work, t *task, in *instance) bool {
	if !fits(w, t, in) {
		return false
	}
	return !t.step.BestEffort || p.roomRate(t.step, in) >= rateLeast && p.rate(t.step, in) >= rateLeast
}

// fits tells whether a task may run on an instance and fits there.
func fits(w *work, t *task, in *instance) bool {
	step := t.step
	if in.offer.Service != w.job.Policy.Service {
		return false
	}
	if step.Label != "" && !in.has(step.Label) {
		return false
	}
	need := step.Need
	if step.BestEffort {
		need.Processors = 0
	}
	if !need.fitsIn(in.free()) {
		return false
	}
	if _, there := in.placements[t.name]; there {
		return false
	}
	return step.MaxPerInstance == 0 || in.of(t.name) < step.MaxPerInstance
}

func (p *planner) points(step *Step, in *instance) int {
	capacity := max(in.offer.Capacity.Processors, 1)
	load := pointsLoad * in.used.Processors / capacity
	points := pointsLoad * in.filled / capacity
	if step.DataRack != "" && !in.has(step.DataRack) {
		points += pointsFar
	}
	switch {
	case step.BestEffort:
		points += load + int(pointsSlow*(1-p.rate(step, in)))
		points += int(pointsDisturb*p.disturbance(step, in) + pointsOpen*p.openTo(in))
	case step.Target > 0:
		points -= 2 * load // the fullest that has room
		if in.serving == 0 {
			points += pointsApart
		}
		points += int(pointsCloses * p.closes(step.Image, in))
	default:
		points += load
	}
	return points
}

func (p *planner) place(w *work, t *task, in *instance, run int64) {
	t.instance, t.run, t.lastRun, t.since = in.offer.Incarnation.ID, run, run, p.now
	w.started = true
	placed := &placement{name: t.name, run: run, since: p.now, process: in.offer.AgentIncarnation}
	placed.of(t.step)
	in.add(placed)
	p.changed(in, t.step, true)
	p.starts = append(p.starts, Start{
		Instance: in.offer.Incarnation.ID, Task: t.name, Run: run, Step: t.step,
		Payload: w.job.Payload, Checkpoint: t.saved,
	})
}
