// Package admission decides whether an instance takes a request.
//
// The gate keeps a record of each attempt it has seen. An attempt that was
// refused or revoked is a tombstone: a late or second copy of it is refused too.
package admission

import (
	"slices"
	"time"
)

const (
	// recordLife is how long an ended attempt is remembered. It is longer than
	// any copy of the request may be under way.
	recordLife = 2 * time.Minute
	// smoothing is the weight of the newest service time in the moving average.
	smoothing = 0.1
	// recordsMost bounds the attempts remembered; beyond it the gate refuses.
	recordsMost = 200_000
)

//go:generate stringer -type=Verdict -linecomment

// Verdict is the gate's answer to an attempt.
type Verdict int

// The verdicts.
const (
	Admit            Verdict = iota // admit
	Queue                           // queue
	Full                            // no slot free in time
	Draining                        // instance is leaving
	Duplicate                       // attempt seen before
	Revoked                         // attempt was revoked
	Expired                         // deadline passed
	StaleIncarnation                // another incarnation was meant
)

//go:generate stringer -type=State -linecomment

// State is where an attempt stands.
type State int

// The standings. Never and Refused mean that the upstream saw no byte of it.
const (
	NeverStarted State = iota // never
	Waiting                   // waiting
	Started                   // started
	Ended                     // ended
	Rejected                  // refused
)

// Attempt is one try of a request at this instance.
type Attempt struct {
	ID             string
	Workspace      string
	Incarnation    string
	Deadline       time.Time // its caller has no use for an answer after it
	TargetDeadline time.Time // an answer after it is late; zero for none
}

// Limits of the instance, counted in requests.
type Limits struct {
	Slots       int // requests that run at a time
	MaxInFlight int // requests that run or wait
}

type record struct {
	standing State
	at       time.Time
}

// Controller is the state of one instance's admission.
type Controller struct {
	incarnation string
	limits      Limits
	busy        int
	waiting     []Attempt
	service     time.Duration  // recent time a request takes, as a moving average
	displaced   []string       // attempts that lost their place to another
	running     map[string]int // by workspace
	records     map[string]record
	swept       time.Time
	leaving     bool
}

// New makes a gate with limits for the agent incarnation named.
func New(incarnation string, limits Limits) *Controller {
	return &Controller{
		incarnation: incarnation,
		limits:      limits,
		running:     map[string]int{},
		records:     map[string]record{},
	}
}

// Busy is the number of requests that run, Queued of those that wait.
func (g *Controller) Busy() int { return g.busy }

// Queued is the number of requests that wait for a slot.
func (g *Controller) Queued() int { return len(g.waiting) }

// Drain refuses all that is new from now on.
func (g *Controller) Drain() { g.leaving = true }

// Admit decides on a new attempt. With Admit the caller runs it and calls
// Finish; with Queue it waits until Next names it or Drop removes it.
func (g *Controller) Admit(now time.Time, attempt Attempt) Verdict {
	g.sweep(now)
	verdict := g.judge(now, attempt)
	switch verdict {
	case Admit:
		g.start(now, attempt)
	case Queue:
		g.makeRoom(now)
		g.waiting = append(g.waiting, attempt)
		g.records[attempt.ID] = record{standing: Waiting, at: now}
	case Full, Draining, Expired, StaleIncarnation:
		g.records[attempt.ID] = record{standing: Rejected, at: now}
	case Duplicate, Revoked:
	}
	return verdict
}

func (g *Controller) judge(now time.Time, attempt Attempt) Verdict {
	if known, seen := g.records[attempt.ID]; seen {
		if known.standing == Rejected {
			return Revoked
		}
		return Duplicate
	}
	switch {
	case attempt.Incarnation != g.incarnation:
		return StaleIncarnation
	case g.leaving:
		return Draining
	case !now.Before(attempt.Deadline):
		return Expired
	case len(g.records) >= recordsMost:
		return Full
	case g.busy < g.limits.Slots:
		return Admit
	case g.busy+len(g.waiting) < g.limits.MaxInFlight, g.oldestLate(now) >= 0:
		return Queue
	}
	return Full
}

// late tells whether an attempt that starts now is not expected to meet its target.
func (g *Controller) late(now time.Time, attempt Attempt) bool {
	return !attempt.TargetDeadline.IsZero() && now.Add(g.service).After(attempt.TargetDeadline)
}

// oldestLate finds the waiting attempt that is late the longest; -1 if none is.
func (g *Controller) oldestLate(now time.Time) int {
	oldest := -1
	for i, attempt := range g.waiting {
		if g.late(now, attempt) && (oldest < 0 || attempt.TargetDeadline.Before(g.waiting[oldest].TargetDeadline)) {
			oldest = i
		}
	}
	return oldest
}

// makeRoom takes the place of the oldest late attempt when the queue is full: what
// can still meet its target goes before what cannot.
func (g *Controller) makeRoom(now time.Time) {
	if g.busy+len(g.waiting) < g.limits.MaxInFlight {
		return
	}
	at := g.oldestLate(now)
	g.displaced = append(g.displaced, g.waiting[at].ID)
	g.records[g.waiting[at].ID] = record{standing: Rejected, at: now}
	g.waiting = slices.Delete(g.waiting, at, at+1)
}

// Displaced returns and clears the attempts that lost their place in the queue.
func (g *Controller) Displaced() []string {
	ids := g.displaced
	g.displaced = nil
	return ids
}

func (g *Controller) start(now time.Time, attempt Attempt) {
	g.busy++
	g.running[attempt.Workspace]++
	g.records[attempt.ID] = record{standing: Started, at: now}
}

// Finish ends a running attempt and names those that may run now.
func (g *Controller) Finish(now time.Time, attempt Attempt) []string {
	if begun := g.records[attempt.ID]; begun.standing == Started {
		g.service += time.Duration(smoothing * float64(now.Sub(begun.at)-g.service))
	}
	g.records[attempt.ID] = record{standing: Ended, at: now}
	g.busy--
	g.running[attempt.Workspace]--
	if g.running[attempt.Workspace] == 0 {
		delete(g.running, attempt.Workspace)
	}
	return g.admitWaiting(now)
}

// Drop removes a waiting attempt whose caller gave up or whose deadline passed.
// It tells false when the attempt was already started.
func (g *Controller) Drop(now time.Time, id string) bool {
	at := slices.IndexFunc(g.waiting, func(a Attempt) bool { return a.ID == id })
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	g.records[id] = record{standing: Rejected, at: now}
	return true
}

// Revoke tells where an attempt stands and makes sure that one which has not
// started never will.
func (g *Controller) Revoke(now time.Time, id string) State {
	known, seen := g.records[id]
	switch {
	case !seen:
		g.records[id] = record{standing: Rejected, at: now}
		return NeverStarted
	case known.standing == Waiting:
		g.Drop(now, id)
		return NeverStarted
	}
	return known.standing
}

// admitWaiting starts waiting attempts while slots are free.
func (g *Controller) admitWaiting(now time.Time) []string {
	var started []string
	for g.busy < g.limits.Slots && len(g.waiting) > 0 {
		best := 0
		for i := range g.waiting {
			if g.before(now, g.waiting[i], g.waiting[best]) {
				best = i
			}
		}
		attempt := g.waiting[best]
		g.waiting = slices.Delete(g.waiting, best, best+1)
		g.start(now, attempt)
		started = append(started, attempt.ID)
	}
	return started
}

// before tells whether a goes before b: one that can still meet its target, then one
// of the workspace with fewer running, then the earlier target.
func (g *Controller) before(now time.Time, a, b Attempt) bool {
	if late := g.late(now, a); late != g.late(now, b) {
		return !late
	}
	if x, y := g.running[a.Workspace], g.running[b.Workspace]; x != y {
		return x < y
	}
	return a.TargetDeadline.Before(b.TargetDeadline)
}

// sweep forgets ended attempts after recordLife, once a second at most.
func (g *Controller) sweep(now time.Time) {
	if now.Sub(g.swept) < time.Second {
		return
	}
	g.swept = now
	for id, known := range g.records {
		over := known.standing == Ended || known.standing == Rejected
		if over && now.Sub(known.at) > recordLife {
			delete(g.records, id)
		}
	}
}
