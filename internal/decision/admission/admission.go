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
	// recordsMost bounds the attempts remembered; beyond it the gate refuses.
	recordsMost = 200_000
)

//go:generate stringer -type=Verdict -linecomment

// Verdict is the gate's answer to an attempt.
type Verdict int

// The verdicts.
const (
	Admit       Verdict = iota // admit
	Queue                      // queue
	Full                       // no slot free in time
	Leaving                    // instance is leaving
	Duplicate                  // attempt seen before
	Revoked                    // attempt was revoked
	Late                       // deadline passed
	Incarnation                // another incarnation was meant
)

//go:generate stringer -type=Standing -linecomment

// Standing is where an attempt stands.
type Standing int

// The standings. Never and Refused mean that the upstream saw no byte of it.
const (
	Never   Standing = iota // never
	Waiting                 // waiting
	Started                 // started
	Ended                   // ended
	Refuse                  // refused
)

// Attempt is one try of a request at this instance.
type Attempt struct {
	ID          string
	Workspace   string
	Incarnation string
	Deadline    time.Time
}

// Limits of the instance, counted in requests.
type Limits struct {
	Slots       int // requests that run at a time
	Connections int // requests that run or wait
}

type record struct {
	standing Standing
	at       time.Time
}

// Gate is the state of one instance's admission.
type Gate struct {
	incarnation string
	limits      Limits
	busy        int
	waiting     []Attempt
	running     map[string]int // by workspace
	records     map[string]record
	swept       time.Time
	leaving     bool
}

// New makes a gate with limits for the agent incarnation named.
func New(incarnation string, limits Limits) *Gate {
	return &Gate{
		incarnation: incarnation,
		limits:      limits,
		running:     map[string]int{},
		records:     map[string]record{},
	}
}

// Busy is the number of requests that run, Queued of those that wait.
func (g *Gate) Busy() int { return g.busy }

// Queued is the number of requests that wait for a slot.
func (g *Gate) Queued() int { return len(g.waiting) }

// Leave refuses all that is new from now on.
func (g *Gate) Leave() { g.leaving = true }

// Arrive decides on a new attempt. With Admit the caller runs it and calls
// Finish; with Queue it waits until Next names it or Drop removes it.
func (g *Gate) Arrive(now time.Time, attempt Attempt) Verdict {
	g.sweep(now)
	verdict := g.judge(now, attempt)
	switch verdict {
	case Admit:
		g.start(now, attempt)
	case Queue:
		g.enqueue(attempt)
		g.records[attempt.ID] = record{standing: Waiting, at: now}
	case Full, Leaving, Late, Incarnation:
		g.records[attempt.ID] = record{standing: Refuse, at: now}
	case Duplicate, Revoked:
	}
	return verdict
}

func (g *Gate) judge(now time.Time, attempt Attempt) Verdict {
	if known, seen := g.records[attempt.ID]; seen {
		if known.standing == Refuse {
			return Revoked
		}
		return Duplicate
	}
	switch {
	case attempt.Incarnation != g.incarnation:
		return Incarnation
	case g.leaving:
		return Leaving
	case !now.Before(attempt.Deadline):
		return Late
	case len(g.records) >= recordsMost:
		return Full
	case g.busy < g.limits.Slots:
		return Admit
	case g.busy+len(g.waiting) < g.limits.Connections:
		return Queue
	}
	return Full
}

func (g *Gate) start(now time.Time, attempt Attempt) {
	g.busy++
	g.running[attempt.Workspace]++
	g.records[attempt.ID] = record{standing: Started, at: now}
}

// enqueue keeps the queue in order of deadline.
func (g *Gate) enqueue(attempt Attempt) {
	at, _ := slices.BinarySearchFunc(g.waiting, attempt, func(a, b Attempt) int {
		return a.Deadline.Compare(b.Deadline)
	})
	g.waiting = slices.Insert(g.waiting, at, attempt)
}

// Finish ends a running attempt and names those that may run now.
func (g *Gate) Finish(now time.Time, attempt Attempt) []string {
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
func (g *Gate) Drop(now time.Time, id string) bool {
	at := slices.IndexFunc(g.waiting, func(a Attempt) bool { return a.ID == id })
	if at < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	g.records[id] = record{standing: Refuse, at: now}
	return true
}

// Revoke tells where an attempt stands and makes sure that one which has not
// started never will.
func (g *Gate) Revoke(now time.Time, id string) Standing {
	known, seen := g.records[id]
	switch {
	case !seen:
		g.records[id] = record{standing: Refuse, at: now}
		return Never
	case known.standing == Waiting:
		g.Drop(now, id)
		return Never
	}
	return known.standing
}

// admitWaiting starts waiting attempts while slots are free: first those of the
// workspace with the fewest running, among them the earliest deadline.
func (g *Gate) admitWaiting(now time.Time) []string {
	var started []string
	for g.busy < g.limits.Slots && len(g.waiting) > 0 {
		best := 0
		for i, attempt := range g.waiting {
			if g.running[attempt.Workspace] < g.running[g.waiting[best].Workspace] {
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

// sweep forgets ended attempts after recordLife, once a second at most.
func (g *Gate) sweep(now time.Time) {
	if now.Sub(g.swept) < time.Second {
		return
	}
	g.swept = now
	for id, known := range g.records {
		over := known.standing == Ended || known.standing == Refuse
		if over && now.Sub(known.at) > recordLife {
			delete(g.records, id)
		}
	}
}
