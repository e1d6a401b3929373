package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/backfill"
)

// unlearnedDoubtPercent is how long a task without a learned tail may take, in percent of its
// estimate, and count as certainly gone.
const unlearnedDoubtPercent = 125

// windows is the part of the Scheduler that holds room for tasks that need it. A new owner makes it anew.
type windows struct {
	holds             []*hold
	windowsSearchedAt time.Time
	windowSearches    int
	servedByEnds      map[pool]backfill.Room // tasks up to this size have no need of windows, see makeHolds
	packUntil         map[string]time.Time   // by service: tasks that reserve processors are packed until then
	windowChanges     []WindowChange
}

// windowPlanner is the part of the planner that does so.
type windowPlanner struct {
	turn         turn          // of the job whose tasks are being placed
	held         []*instance   // instances that are held
	wasWithheld  bool          // a window has kept the task off an instance, see withheld
	blockedSteps []blockedStep // steps of on-time jobs of which tasks wait for room
	lateSteps    []blockedStep // the same of late jobs, see blockedLate
	postponing   []pool        // of which on-time jobs wait that are postponed
	packing      map[string]bool
	refused      map[schedulingClass][]refusal
}

// refusal is a task that no held instance takes, in a plan in which free room only shrinks.
type refusal struct {
	need     Resources
	longest  time.Duration // see longest
	withheld bool
}

func newWindowPlanner(s *Scheduler, now time.Time) windowPlanner {
	w := windowPlanner{turn: turn{rank: worthless + 1}}
	for service, until := range s.packUntil {
		if !now.Before(until) {
			continue
		}
		if w.packing == nil {
			w.packing = map[string]bool{}
		}
		w.packing[service] = true
	}
	return w
}

// packs reports whether a task of a step goes to the fullest instance that has room, so that large
// tasks find room elsewhere. Best-effort tasks are never packed: they take no room that others reserve,
// and would be slower.
func (p *planner) packs(step *Step, in *instance) bool {
	return p.packing != nil && !step.BestEffort && step.Target == 0 && !step.LongRunning && p.packing[in.registration.Service]
}

// hold is the window that one step of a job has. While it lasts, smaller tasks start on its
// instances only if the window admits them.
type hold struct {
	job              *jobState
	occurrence, step int
	service          string
	turn             turn
	count            int // tasks that it has room for: all of a gang, or one
	window           backfill.Window
	madeAt           time.Time
	limit            time.Time // when it ends if it is not used
	late             bool      // see blockedLate
}

// holds reports whether the window is for a task.
func (h *hold) holds(t *task) bool {
	return h.job == t.job && h.occurrence == t.name.Occurrence && h.step == t.name.Step
}

// bestEffort reports whether the window is for best-effort tasks.
func (h *hold) bestEffort() bool { return h.job.spec.Steps[h.step].BestEffort }

// heldShare is the part of a hold on one instance.
type heldShare struct {
	hold  *hold
	share *backfill.Share
}

// turn is what decides whose tasks come first, see compareUrgency.
type turn struct {
	rank, priority   int
	first, postponed bool
	objective        time.Time
}

func turnOf(j ranked) turn {
	return turn{j.rank, j.spec.Policy.Priority, j.first, j.postponed, j.objective}
}

// before reports whether jobs of turn a come before those of turn b.
func (a turn) before(b turn) bool {
	switch {
	case a.rank != b.rank:
		return a.rank < b.rank
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.postponed != b.postponed:
		return b.postponed
	}
	if a.first != b.first {
		return a.first
	}
	return a.objective.Before(b.objective)
}

// needOf returns the room that a task of a step needs to start.
func needOf(step *Step) backfill.Room {
	need := backfill.Room{Processors: step.Need.Processors, Memory: step.Need.Memory, Accelerators: step.Need.Accelerators}
	if step.BestEffort {
		need.Processors, need.Leftover = 0, int(minRate*float64(step.Need.Processors))
	}
	return need
}

// takeOf returns the room that a task of a step takes once it runs.
func takeOf(step *Step) backfill.Room {
	take := backfill.Room{Processors: step.Need.Processors, Leftover: step.Need.Processors, Memory: step.Need.Memory, Accelerators: step.Need.Accelerators}
	switch {
	case step.BestEffort:
		take.Processors = 0
	case step.Target > 0:
		take.Leftover = step.Need.Processors * latencyCriticalUsePercent / 100
	}
	return take
}

// freeRoom returns what is free on the instance.
func (in *instance) freeRoom() backfill.Room {
	free := in.free()
	return backfill.Room{Processors: free.Processors, Leftover: in.bestEffortRoom(), Memory: free.Memory, Accelerators: free.Accelerators}
}

// expectedRest returns how much longer a run is expected to take. One that has taken longer than all
// expectation, or of which there is none, is expected to go on for a time in proportion to its age.
func (s *Scheduler) expectedRest(in *instance, run *reservation, now time.Time) time.Duration {
	elapsed := max(now.Sub(run.startedAt), 0)
	job := s.findJob(run.name.Job)
	if run.stopping || run.step == nil || job == nil {
		return 0
	}
	prediction := s.predict(job, run.step)
	if prediction.Median <= 0 {
		return max(elapsed, time.Second)
	}
	speed := s.speed(in, now)
	if rest := prediction.Remaining(s.worked(in, run, now)); rest > 0 {
		return time.Duration(float64(rest) / speed)
	}
	return elapsed / 2
}

// longest returns how long a task of the step takes at most, with the doubt counted.
func (s *Scheduler) longest(j *Job, step *Step) time.Duration {
	prediction := s.predict(j, step)
	if prediction.Median <= 0 || step.LongRunning {
		return math.MaxInt64
	}
	return max(prediction.Tail, prediction.Median*unlearnedDoubtPercent/100)
}

// certainlyGone returns when a task that starts now on an instance will have ended, with the doubt
// counted; zero if nothing is known.
func (p *planner) certainlyGone(j *Job, step *Step, in *instance) time.Time {
	longest := p.scheduler.longest(j, step)
	if longest == math.MaxInt64 {
		return time.Time{}
	}
	return p.now.Add(time.Duration(float64(longest) / p.scheduler.speed(in, p.now)))
}

// bestHeld returns the best of the held instances for a task that suits no other instance, or nil.
func (p *planner) bestHeld(j *jobState, t *task, class schedulingClass) *instance {
	if len(p.held) == 0 {
		return nil
	}
	alike := j.hold == nil && !t.step.LongRunning && t.step.MaxPerInstance == 0
	longest := p.scheduler.longest(j.spec, t.step)
	if alike {
		for _, r := range p.refused[class] {
			if r.need.fitsIn(t.step.Need) && r.longest <= longest {
				p.wasWithheld = r.withheld
				return nil
			}
		}
	}
	in := p.bestOf(p.held, j, t, "")
	if in == nil && alike {
		if p.refused == nil {
			p.refused = map[schedulingClass][]refusal{}
		}
		p.refused[class] = append(p.refused[class], refusal{t.step.Need, longest, p.wasWithheld})
	}
	return in
}

// host returns an instance with the ends that are expected there.
func (p *planner) host(in *instance) *backfill.Host {
	h := &backfill.Host{ID: in.registration.Incarnation.ID, Rack: in.registration.Rack, Free: in.freeRoom()}
	for _, run := range in.reservations {
		if run.step == nil || run.step.LongRunning && !run.stopping {
			continue
		}
		h.Ends = append(h.Ends, backfill.End{At: p.now.Add(p.scheduler.expectedRest(in, run, p.now)), Frees: takeOf(run.step)})
	}
	h.SortEnds()
	return h
}

// renewHolds brings the holds up to date with what is expected now, drops those that nobody needs or
// that have lasted too long, and marks the instances of the others.
func (p *planner) renewHolds() {
	for _, h := range slices.Clone(p.scheduler.holds) {
		if cause, dropped := p.renew(h); dropped {
			p.drop(h, cause)
			continue
		}
		p.mark(h)
	}
}

// renew reports whether a hold is to be dropped, and why.
func (p *planner) renew(h *hold) (cause WindowCause, dropped bool) {
	switch {
	case h.job.state.Final() || p.scheduler.jobs[h.job.spec.ID] != h.job || !p.wanted(h):
		return WindowNotNeeded, true
	case !h.job.alwaysOnTime() && p.now.Sub(h.job.acceptedAt) > worthlessFactor*h.job.objective:
		return WindowNotNeeded, true
	case !p.now.Before(h.limit):
		h.job.noHoldBefore = p.now.Add(p.now.Sub(h.madeAt))
		return WindowExpired, true
	}
	var hosts []*backfill.Host
	for _, share := range h.window.Shares {
		in := p.scheduler.instances[share.Host]
		if in == nil || !in.usable(p.now) {
			return WindowInstanceGone, true
		}
		hosts = append(hosts, p.host(in))
	}
	return WindowNoRoom, !h.window.Renew(p.now, hosts)
}

// wanted reports whether the tasks that a hold is for still wait.
func (p *planner) wanted(h *hold) bool {
	waiting := 0
	for _, t := range h.job.occurrences[h.occurrence].steps[h.step] {
		if t.waiting() {
			waiting++
		}
	}
	return waiting >= h.count
}

// mark marks the instances of a hold.
func (p *planner) mark(h *hold) {
	for i := range h.window.Shares {
		in := p.scheduler.instances[h.window.Shares[i].Host]
		in.held = &heldShare{h, &h.window.Shares[i]}
		p.held = append(p.held, in)
	}
}

// drop ends a hold.
func (p *planner) drop(h *hold, cause WindowCause) {
	for _, share := range h.window.Shares {
		if in := p.scheduler.instances[share.Host]; in != nil && in.held != nil && in.held.hold == h {
			in.held = nil
		}
	}
	p.held = slices.DeleteFunc(p.held, func(in *instance) bool { return in.held == nil })
	p.scheduler.holds = slices.DeleteFunc(p.scheduler.holds, func(other *hold) bool { return other == h })
	h.job.hold = nil
	p.noteWindow(h, cause)
}

// withheld reports whether the window of another step keeps a task off an instance on which it would
// fit. It keeps off no latency-critical or long-running task and none of a job that comes before,
// and that of a best-effort step only best-effort tasks.
func (p *planner) withheld(j *jobState, t *task, in *instance) bool {
	if in.held == nil || t.step.Target > 0 || t.step.LongRunning || in.held.hold.bestEffort() && !t.step.BestEffort || in.held.hold.holds(t) || p.turn.before(in.held.hold.turn) {
		return false
	}
	if in.held.hold.window.Admits(in.held.share, takeOf(t.step), p.certainlyGone(j.spec, t.step, in)) {
		return false
	}
	p.wasWithheld = true
	return true
}

// backfilled accounts for a task that starts on a held instance.
func (p *planner) backfilled(j *jobState, t *task, in *instance) {
	if in.held != nil && !in.held.hold.holds(t) {
		in.held.hold.window.Start(in.held.share, takeOf(t.step), p.certainlyGone(j.spec, t.step, in))
	}
}

// takeBack undoes backfilled for a task whose start is undone in the same plan.
func (p *planner) takeBack(t *task, in *instance) {
	if in.held != nil && !in.held.hold.holds(t) {
		in.held.hold.window.TakeBack(in.held.share, takeOf(t.step), p.certainlyGone(t.job.spec, t.step, in))
	}
}

// endHold ends the hold of a step of which the tasks have just been placed.
func (p *planner) endHold(t *task) {
	if h := t.job.hold; h != nil && h.holds(t) {
		p.drop(h, WindowUsed)
	}
}
