package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/backfill"
)

const (
	// windowSearchPeriod is the minimum time between two searches for windows.
	windowSearchPeriod = 200 * time.Millisecond
	// maxWindowSearches bounds the steps for which one search looks for a window, and maxHosts the
	// instances where it looks for room for a step.
	maxWindowSearches = 8
	maxHosts          = 1000
	// maxBlockedSteps bounds the steps without room that a plan records for the search.
	maxBlockedSteps = 32
	// heldFraction is the fraction of a service's instances, one in heldFraction, that may be held.
	// A gang that needs more gets them if nothing else of its service is held.
	heldFraction = 8
	// maxHeld bounds the held instances of a service.
	maxHeld = 32
	// A window ends unused after windowLimitFactor times the wait that was expected when it was
	// made, plus windowLimitDelay.
	windowLimitFactor = 3
	windowLimitDelay  = 2 * time.Second
	// moveFraction is the fraction of the searches, one in moveFraction, that try to move a window.
	moveFraction = 4
	// minWindowGain is how much earlier a window must begin on another instance to move there.
	minWindowGain = 500 * time.Millisecond
	// hopelessDelay is how long a step for which no end makes room is left out of the search.
	hopelessDelay = time.Second
	// packingPeriod is how long after a window for tasks that reserve processors the others that do
	// are packed.
	packingPeriod = 5 * time.Second
)

// blockedStep is a step of which a task does not fit anywhere.
type blockedStep struct {
	ranked
	occurrence *occurrence
	step       int
}

func (b blockedStep) spec() *Step { return &b.ranked.spec.Steps[b.step] }

func (b blockedStep) pool() pool {
	return pool{b.ranked.spec.Policy.Service, b.spec().BestEffort}
}

// blocked records a step of which a task does not fit anywhere, unless a window keeps it off. Single
// best-effort tasks get no windows: what is short for them is mostly the headroom of latency-critical
// tasks, and the processors that a window gathers would be idle meanwhile.
func (p *planner) blocked(j ranked, o *occurrence, step int) {
	if spec := &j.spec.Steps[step]; spec.BestEffort && !spec.Gang {
		return
	}
	if h := j.hold; h != nil {
		if h.occurrence == o.number && h.step == step && !h.late {
			h.turn = turnOf(j)
		}
		return
	}
	b := blockedStep{j, o, step}
	if j.postponed {
		p.postponing = append(p.postponing, b.pool())
	}
	if p.wasWithheld || j.rank == worthless || p.now.Before(j.noHoldBefore) {
		return
	}
	if j.rank == late {
		p.blockedLate(b)
		return
	}
	if len(p.blockedSteps) >= maxBlockedSteps {
		return
	}
	if largest, known := p.scheduler.servedByEnds[b.pool()]; known && !b.spec().Gang && needOf(b.spec()).FitsIn(largest) {
		return
	}
	p.blockedSteps = append(p.blockedSteps, b)
}

// blockedLate records the step of a late job, the first of its service, unless jobs of its pool are
// postponed: then the order of urgency decides who is served. Without that, on-time jobs would always
// come before it, so that its window keeps these off too.
func (p *planner) blockedLate(b blockedStep) {
	service := b.pool().service
	sameService := func(other blockedStep) bool { return other.pool().service == service }
	lateHold := func(h *hold) bool { return h.late && h.service == service }
	if slices.ContainsFunc(p.lateSteps, sameService) || slices.Contains(p.postponing, b.pool()) || slices.ContainsFunc(p.scheduler.holds, lateHold) {
		return
	}
	p.lateSteps = append(p.lateSteps, b)
}

// windowSearch looks for windows for the steps that a plan has found blocked.
type windowSearch struct {
	*planner
	hosts  map[*instance]*backfill.Host
	taken  map[*instance]bool // held, or a step that comes before waits for an end there
	held   map[string]int     // held instances, by service
	usable map[string]int     // by service
}

// makeHolds makes windows for the first of the steps that the plan has found blocked.
func (p *planner) makeHolds() {
	s := p.scheduler
	if p.now.Sub(s.windowsSearchedAt) < windowSearchPeriod {
		return
	}
	if len(p.blockedSteps)+len(p.lateSteps)+len(s.holds) == 0 {
		s.servedByEnds = nil // it may be why no step is blocked, and the runs may have changed since
		return
	}
	s.windowsSearchedAt = p.now
	s.windowSearches++
	w := windowSearch{p, map[*instance]*backfill.Host{}, map[*instance]bool{}, map[string]int{}, map[string]int{}}
	for _, in := range p.usable {
		w.usable[in.registration.Service]++
		if in.held != nil {
			w.taken[in] = true
			w.held[in.registration.Service]++
		}
	}
	w.moveHold()
	w.pack()
	made := false
	served := map[pool]backfill.Room{}
	searches := min(len(p.blockedSteps), maxWindowSearches, max(maxWindowSearches*maxHosts/max(len(p.usable), 1)/2, 1))
	for _, b := range slices.Concat(p.lateSteps, p.blockedSteps[:searches]) {
		if w.held[b.pool().service] >= w.limit(b.pool().service) {
			continue
		}
		switch window, found := w.find(b); {
		case !found:
			b.noHoldBefore = p.now.Add(hopelessDelay)
		case !window.Gathered:
			w.taken[s.instances[window.Shares[0].Host]] = true
			if need := needOf(b.spec()); served[b.pool()].FitsIn(need) {
				served[b.pool()] = need
			}
		default:
			made = w.makeHold(b, window) || made
		}
	}
	s.servedByEnds = nil
	if !made && len(p.blockedSteps) > searches {
		s.servedByEnds = served // what comes first has no need of windows; the next search looks further
	}
}

// pack lets the tasks that reserve processors be packed for a while, in the services that have windows
// for such tasks.
func (w *windowSearch) pack() {
	maps.DeleteFunc(w.scheduler.packUntil, func(_ string, until time.Time) bool { return !w.now.Before(until) })
	for _, h := range w.scheduler.holds {
		if h.window.Shares[0].Need.Processors == 0 {
			continue
		}
		if w.scheduler.packUntil == nil {
			w.scheduler.packUntil = map[string]time.Time{}
		}
		w.scheduler.packUntil[h.service] = w.now.Add(packingPeriod)
	}
}

// find returns the window of a step that begins first. ok is false if no expected end makes room.
func (w *windowSearch) find(b blockedStep) (window backfill.Window, ok bool) {
	t, count := b.waiting()
	if count == 0 {
		return backfill.Window{}, false
	}
	var hosts []*backfill.Host
	first := 0
	if len(w.planner.usable) > maxHosts {
		first = w.scheduler.windowSearches * maxHosts % len(w.planner.usable) // others than in the last search
	}
	for i := range min(len(w.planner.usable), maxHosts) {
		in := w.planner.usable[(first+i)%len(w.planner.usable)]
		if limit := w.tasksOn(b, t, count, in); limit > 0 {
			if w.hosts[in] == nil {
				w.hosts[in] = w.host(in)
			}
			w.hosts[in].Limit = limit
			hosts = append(hosts, w.hosts[in])
		}
	}
	need := needOf(b.spec())
	window, ok = backfill.Find(w.now, hosts, need, count)
	if ok && b.spec().PreferOneRack {
		delay := w.scheduler.predict(b.ranked.spec, b.spec()).Median / 2
		window = backfill.FindInOneRack(w.now, hosts, need, count, window, delay)
	}
	return window, ok
}

// waiting returns the first waiting task of the step and the number of tasks that a window is to have
// room for: all of a gang, or one.
func (b blockedStep) waiting() (first *task, count int) {
	for _, t := range b.occurrence.steps[b.step] {
		if !t.waiting() {
			continue
		}
		if !b.spec().Gang {
			return t, 1
		}
		if count == 0 {
			first = t
		}
		count++
	}
	return first, count
}

// tasksOn returns how many of count tasks of the step may run on an instance, apart from the room that
// they need.
func (w *windowSearch) tasksOn(b blockedStep, t *task, count int, in *instance) int {
	step := b.spec()
	switch {
	case in.registration.Service != b.ranked.spec.Policy.Service || w.taken[in] || in.isolated:
		return 0
	case step.Label != "" && !in.hasLabel(step.Label) || !step.Need.fitsIn(in.registration.Capacity):
		return 0
	case step.BestEffort && w.neighborRate(step, in) < minRate:
		return 0 // not for want of room
	}
	if _, placed := in.reservations[t.name]; placed {
		return 0
	}
	if step.MaxPerInstance > 0 {
		return min(step.MaxPerInstance-in.countStep(t.name), count)
	}
	return count
}

// limit returns how many instances of a service may be held.
func (w *windowSearch) limit(service string) int {
	return min(max(w.usable[service]/heldFraction, 1), maxHeld)
}

// makeHold gives a step its window, unless too many instances are held. It reports whether it did.
func (w *windowSearch) makeHold(b blockedStep, window backfill.Window) bool {
	service := b.ranked.spec.Policy.Service
	if held := w.held[service]; held > 0 && held+len(window.Shares) > w.limit(service) {
		return false
	}
	_, count := b.waiting()
	h := &hold{
		job: b.jobState, occurrence: b.occurrence.number, step: b.step, service: service, turn: turnOf(b.ranked),
		count: count, window: window, madeAt: w.now,
	}
	if b.rank == late {
		h.late, h.turn = true, turn{rank: onTime, priority: h.turn.priority}
	}
	h.limit = w.now.Add(windowLimitFactor*window.From.Sub(w.now) + windowLimitDelay)
	b.hold = h
	w.scheduler.holds = append(w.scheduler.holds, h)
	w.mark(h)
	for _, share := range window.Shares {
		w.taken[w.scheduler.instances[share.Host]] = true
		w.held[service]++
	}
	w.noteWindow(h, WindowMade)
	return true
}

// moveHold moves the window of a single task if it would begin much earlier on another instance. It
// looks at one window at a time, in turn.
func (w *windowSearch) moveHold() {
	s := w.scheduler
	if len(s.holds) == 0 || s.windowSearches%moveFraction != 0 {
		return
	}
	h := s.holds[s.windowSearches/moveFraction%len(s.holds)]
	if h.count > 1 || h.window.Expected.Sub(w.now) < minWindowGain {
		return
	}
	window, ok := w.find(blockedStep{ranked{jobState: h.job}, h.job.occurrences[h.occurrence], h.step})
	if !ok || h.window.Expected.Sub(window.From) < minWindowGain {
		return
	}
	from := s.instances[h.window.Shares[0].Host]
	from.held, w.taken[from] = nil, false
	h.window = window
	w.mark(h)
	w.taken[s.instances[window.Shares[0].Host]] = true
	w.noteWindow(h, WindowMoved)
}
