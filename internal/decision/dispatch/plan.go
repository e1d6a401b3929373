package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Start is an order to run a task.
type Start struct {
	Instance string
	Task     TaskName
	Run      int64
	Step     *Step
	Payload  string
	Saved    string
}

// Points that a placement costs. The instance with the fewest points is taken.
//
// Serving tasks are packed onto few instances, so that filling tasks find others on
// which they disturb nobody.
const (
	pointsFar     = 1000 // away from the rack of the data, where tasks take longer
	pointsLoad    = 100  // an instance whose processors are all taken
	pointsServing = 200  // a filling task beside one that serves
	pointsApart   = 300  // a serving task where none serves yet
	pointsFilled  = 100  // a serving task beside an instance full of filling ones
)

// quietAt is the share of its target up to which a serving task's tail may be expected
// to rise when a filling task is placed beside it.
const quietAt = 0.75

// Plan decides what starts now. The room is taken at once; what turns out not to
// have started gives it back by its end.
func (b *Book) Plan(now time.Time) []Start {
	b.evacuate(now)
	p := planner{book: b, now: now}
	for _, in := range b.instances {
		if in.usable(now) {
			p.usable = append(p.usable, in)
		}
	}
	if len(p.usable) == 0 {
		return nil
	}
	slices.SortFunc(p.usable, func(a, c *instance) int { return cmp.Compare(a.offer.Life.ID, c.offer.Life.ID) })
	for _, w := range b.byUrgency(now) {
		for _, o := range w.occurrences {
			if o.left > 0 {
				p.occurrence(w, o)
			}
		}
	}
	return p.starts
}

// evacuate stops what a leaving instance would cut off, so that it goes on elsewhere.
func (b *Book) evacuate(now time.Time) {
	for _, in := range b.instances {
		if !in.offer.Leaving {
			continue
		}
		for _, p := range in.placements {
			if p.step == nil || p.stopping {
				continue
			}
			left := time.Duration(p.step.Estimate)*time.Millisecond - now.Sub(p.since)
			if p.step.Lasting || now.Add(left).After(in.leaveAt) {
				b.stop(in, p)
			}
		}
	}
}

// byUrgency orders the open jobs: what can be worth something first, then by
// priority, then by the time at which it should be done.
func (b *Book) byUrgency(now time.Time) []*work {
	open := make([]*work, 0, len(b.jobs))
	for _, w := range b.jobs {
		if !w.state.Final() {
			open = append(open, w)
		}
	}
	hopeless := func(w *work) int {
		if !w.job.Lasts() && now.Sub(w.accepted) > lateLimit*w.objective {
			return 1
		}
		return 0
	}
	slices.SortFunc(open, func(a, c *work) int {
		return cmp.Or(
			cmp.Compare(hopeless(a), hopeless(c)),
			cmp.Compare(a.job.Policy.Priority, c.job.Policy.Priority),
			a.accepted.Add(a.objective).Compare(c.accepted.Add(c.objective)),
			cmp.Compare(a.job.ID, c.job.ID),
		)
	})
	return open
}

// planner is one call of Plan.
type planner struct {
	book   *Book
	now    time.Time
	usable []*instance
	starts []Start
}

func (p *planner) occurrence(w *work, o *occurrence) {
	for s := range o.steps {
		step := &w.job.Steps[s]
		if o.stepDone(s) || !o.ready(step) {
			continue
		}
		if step.Gang {
			p.gang(w, step, o.steps[s])
			continue
		}
		for _, t := range o.steps[s] {
			if !p.startable(t) {
				continue
			}
			in := p.choose(w, t, "")
			if in == nil && step.Fills && !o.runs() {
				in = p.squeeze(w, t)
			}
			if in == nil {
				break // the tasks of a step are alike
			}
			p.place(w, t, in, t.lastRun+1)
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
		if rack != "" && in.offer.Rack != rack || !p.book.suits(w, t, in) {
			continue
		}
		if points := pointsOf(t.step, in); best == nil || points < least {
			best, least = in, points
		}
	}
	return best
}

// squeeze finds the instance with the most left for a filling task, however little that
// is, so that each job goes on.
func (p *planner) squeeze(w *work, t *task) *instance {
	var best *instance
	for _, in := range p.usable {
		if fits(w, t, in) && (best == nil || p.book.roomier(t.step, in, best)) {
			best = in
		}
	}
	return best
}

// roomier tells whether a filling task disturbs less, or has more left, on one instance
// than on another.
func (b *Book) roomier(step *Step, one, other *instance) bool {
	if quiet := b.quiet(step, one); quiet != b.quiet(step, other) {
		return quiet
	}
	return one.fillRoom() > other.fillRoom()
}

// quiet tells whether the serving tasks on an instance are expected to stay well below
// their targets beside one more filling task.
func (b *Book) quiet(step *Step, in *instance) bool {
	if in.serving == 0 {
		return true
	}
	for name, p := range in.placements {
		if !p.serves {
			continue
		}
		tail, measured := in.tails[name]
		if !measured {
			tail = b.pairs.Tail(p.step.Image)
		}
		more := b.pairs.Cost(p.step.Image, step.Image) * float64(step.Need.Processors) / 1000
		if tail+more > quietAt*float64(p.step.Target) {
			return false
		}
	}
	return true
}

// suits tells whether a task may run on an instance, fits there and, if it fills, is
// left enough to run at its speed without disturbing others.
func (b *Book) suits(w *work, t *task, in *instance) bool {
	if !fits(w, t, in) {
		return false
	}
	return !t.step.Fills || in.fillRoom() >= t.step.Need.Processors && b.quiet(t.step, in)
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
	if step.Fills {
		need.Processors = 0
	}
	if !need.fitsIn(in.free()) {
		return false
	}
	if _, there := in.placements[t.name]; there {
		return false
	}
	return step.MostOnOne == 0 || in.of(t.name) < step.MostOnOne
}

func pointsOf(step *Step, in *instance) int {
	capacity := max(in.offer.Capacity.Processors, 1)
	points := pointsLoad * (in.used.Processors + in.filled) / capacity
	if step.Rack != "" && !in.has(step.Rack) {
		points += pointsFar
	}
	if step.Fills && in.serving > 0 {
		points += pointsServing
	}
	if step.Target > 0 {
		points += pointsFilled * in.filled / capacity
		points -= 2 * pointsLoad * in.used.Processors / capacity // the fullest that has room
		if in.serving == 0 {
			points += pointsApart
		}
	}
	return points
}

func (p *planner) place(w *work, t *task, in *instance, run int64) {
	t.instance, t.run, t.lastRun, t.since = in.offer.Life.ID, run, run, p.now
	w.started = true
	placed := &placement{name: t.name, run: run, since: p.now, process: in.offer.Process}
	placed.of(t.step)
	in.add(placed)
	p.starts = append(p.starts, Start{
		Instance: in.offer.Life.ID, Task: t.name, Run: run, Step: t.step,
		Payload: w.job.Payload, Saved: t.saved,
	})
}
