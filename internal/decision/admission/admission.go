// Package admission decides whether an instance runs a request, queues it or refuses it.
//
// A Controller keeps a record of each attempt that it has seen. The record of an attempt
// that was refused or revoked serves as a tombstone: a late or duplicate copy of the
// attempt is refused too. The package runs nothing itself: the caller runs the attempts
// and enforces the deadlines of waiting ones.
package admission

import (
	"slices"
	"time"
)

const (
	// recordTTL is how long the record of an ended or refused attempt is kept. No copy of
	// a request can stay in transit that long.
	recordTTL = 2 * time.Minute
	// smoothing is the weight of the newest service time in the exponential moving average.
	smoothing = 0.1
	// maxRecords bounds the records. While there are so many, new attempts are refused without a
	// record, and an attempt that is not recorded cannot be revoked.
	maxRecords = 200_000
)

//go:generate stringer -type=Verdict -linecomment

// Verdict is the decision on a new attempt.
type Verdict int

// The verdicts. Admit means that the attempt runs at once, Queue that it waits for a slot;
// all others refuse it. Revoked is also the verdict on a copy of an attempt that was
// refused, dropped or displaced.
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

// State is the state of an attempt.
type State int

// The states. Refused is that of an attempt that was refused, dropped, displaced or revoked
// before it started. NeverStarted is never recorded: Revoke returns it for an attempt that
// was unknown or waiting. Both mean that the upstream received no byte of the attempt and
// never will. Unrecorded is not recorded either: Revoke returns it for an unknown attempt of which
// no record can be made, so that the attempt may still start.
const (
	NeverStarted State = iota // never
	Waiting                   // waiting
	Started                   // started
	Ended                     // ended
	Refused                   // refused
	Unrecorded                // unrecorded
)

// Attempt is one attempt to serve a request on this instance. Its ID is unique among all
// attempts, and Incarnation is the incarnation of the agent that it is meant for.
type Attempt struct {
	ID             string
	Workspace      string
	Incarnation    string
	Deadline       time.Time // an answer after it is of no use to the caller
	TargetDeadline time.Time // an answer after it misses the latency target; zero if there is none
}

// Limits are the limits of the instance, in requests.
type Limits struct {
	Slots       int // most requests that run at a time
	MaxInFlight int // most requests that run or wait
}

// record is the state of an attempt and when it was entered.
type record struct {
	state State
	since time.Time
}

// Controller controls the admission of requests to one instance. It isn't safe for
// concurrent use.
type Controller struct {
	incarnation        string
	limits             Limits
	busy               int
	waiting            []Attempt
	serviceTime        time.Duration  // exponential moving average of the service time
	displaced          []string       // attempts removed from the queue for others
	runningByWorkspace map[string]int // number of running attempts
	records            map[string]record
	lastSweep          time.Time
	draining           bool
}

// New returns a Controller with the given limits for the given incarnation of the agent.
func New(incarnation string, limits Limits) *Controller {
	return &Controller{
		incarnation:        incarnation,
		limits:             limits,
		runningByWorkspace: map[string]int{},
		records:            map[string]record{},
	}
}

// Busy returns the number of requests that run.
func (c *Controller) Busy() int { return c.busy }

// Queued returns the number of requests that wait for a slot.
func (c *Controller) Queued() int { return len(c.waiting) }

// Drain makes the controller refuse all new attempts from now on. Waiting ones still run.
func (c *Controller) Drain() { c.draining = true }

// Admit decides on a new attempt. With the verdict Admit, the caller runs the attempt and
// then calls Finish. With Queue, the attempt waits until Finish returns its ID, Displaced
// returns its ID, or Drop or Revoke removes it.
func (c *Controller) Admit(now time.Time, attempt Attempt) Verdict {
	c.sweep(now)
	verdict := c.decide(now, attempt)
	switch verdict {
	case Admit:
		c.start(now, attempt)
	case Queue:
		c.makeRoom(now)
		c.waiting = append(c.waiting, attempt)
		c.records[attempt.ID] = record{state: Waiting, since: now}
	case Full, Draining, Expired, StaleIncarnation:
		c.refuse(now, attempt.ID)
	case Duplicate, Revoked:
	}
	return verdict
}

// refuse records that a new attempt never starts. It reports false if there are too many records.
func (c *Controller) refuse(now time.Time, id string) bool {
	if len(c.records) >= maxRecords {
		return false
	}
	c.records[id] = record{state: Refused, since: now}
	return true
}

// decide returns the verdict on a new attempt without changing the state.
func (c *Controller) decide(now time.Time, attempt Attempt) Verdict {
	if rec, seen := c.records[attempt.ID]; seen {
		if rec.state == Refused {
			return Revoked
		}
		return Duplicate
	}
	switch {
	case attempt.Incarnation != c.incarnation:
		return StaleIncarnation
	case c.draining:
		return Draining
	case !now.Before(attempt.Deadline):
		return Expired
	case len(c.records) >= maxRecords:
		return Full
	case c.busy < c.limits.Slots:
		return Admit
	case c.busy+len(c.waiting) < c.limits.MaxInFlight, c.earliestMiss(now) >= 0:
		return Queue
	}
	return Full
}

// missesTarget reports whether an attempt that starts now is expected to miss its latency
// target.
func (c *Controller) missesTarget(now time.Time, attempt Attempt) bool {
	return !attempt.TargetDeadline.IsZero() && now.Add(c.serviceTime).After(attempt.TargetDeadline)
}

// earliestMiss returns the index of the waiting attempt with the earliest target deadline
// among those that are expected to miss it; -1 if there is none.
func (c *Controller) earliestMiss(now time.Time) int {
	earliest := -1
	for i, attempt := range c.waiting {
		if c.missesTarget(now, attempt) && (earliest < 0 || attempt.TargetDeadline.Before(c.waiting[earliest].TargetDeadline)) {
			earliest = i
		}
	}
	return earliest
}

// makeRoom removes the attempt that earliestMiss returns if the queue is full: it is expected
// to miss its target, and attempts that can still meet theirs have priority. The new attempt
// takes its place even if it is expected to miss its own.
func (c *Controller) makeRoom(now time.Time) {
	if c.busy+len(c.waiting) < c.limits.MaxInFlight {
		return
	}
	index := c.earliestMiss(now)
	c.displaced = append(c.displaced, c.waiting[index].ID)
	c.records[c.waiting[index].ID] = record{state: Refused, since: now}
	c.waiting = slices.Delete(c.waiting, index, index+1)
}

// Displaced returns and clears the IDs of the attempts that were removed from the queue to
// make room for others. They are refused; the caller must answer them.
func (c *Controller) Displaced() []string {
	ids := c.displaced
	c.displaced = nil
	return ids
}

// start records that an attempt runs in a slot.
func (c *Controller) start(now time.Time, attempt Attempt) {
	c.busy++
	c.runningByWorkspace[attempt.Workspace]++
	c.records[attempt.ID] = record{state: Started, since: now}
}

// Finish records the end of a running attempt and returns the IDs of the waiting attempts
// that the caller must run now.
func (c *Controller) Finish(now time.Time, attempt Attempt) []string {
	if rec := c.records[attempt.ID]; rec.state == Started {
		c.serviceTime += time.Duration(smoothing * float64(now.Sub(rec.since)-c.serviceTime))
	}
	c.records[attempt.ID] = record{state: Ended, since: now}
	c.busy--
	c.runningByWorkspace[attempt.Workspace]--
	if c.runningByWorkspace[attempt.Workspace] == 0 {
		delete(c.runningByWorkspace, attempt.Workspace)
	}
	return c.startWaiting(now)
}

// Drop removes a waiting attempt after its caller gave up or its deadline passed. It
// returns false if the attempt isn't waiting, such as when it has already started.
func (c *Controller) Drop(now time.Time, id string) bool {
	index := slices.IndexFunc(c.waiting, func(a Attempt) bool { return a.ID == id })
	if index < 0 {
		return false
	}
	c.waiting = slices.Delete(c.waiting, index, index+1)
	c.records[id] = record{state: Refused, since: now}
	return true
}

// Revoke returns the state of an attempt and makes sure that an attempt that hasn't started
// never will, even if a copy of it arrives later.
func (c *Controller) Revoke(now time.Time, id string) State {
	rec, seen := c.records[id]
	switch {
	case !seen && !c.refuse(now, id):
		return Unrecorded
	case !seen:
		return NeverStarted
	case rec.state == Waiting:
		c.Drop(now, id)
		return NeverStarted
	}
	return rec.state
}

// startWaiting starts waiting attempts while slots are free and returns their IDs.
func (c *Controller) startWaiting(now time.Time) []string {
	var started []string
	for c.busy < c.limits.Slots && len(c.waiting) > 0 {
		first := 0
		for i := range c.waiting {
			if c.before(now, c.waiting[i], c.waiting[first]) {
				first = i
			}
		}
		attempt := c.waiting[first]
		c.waiting = slices.Delete(c.waiting, first, first+1)
		c.start(now, attempt)
		started = append(started, attempt.ID)
	}
	return started
}

// before reports whether a starts before b. Attempts that can still meet their target come
// first, then those of the workspace with fewer running attempts, then those with the
// earlier target deadline.
func (c *Controller) before(now time.Time, a, b Attempt) bool {
	if misses := c.missesTarget(now, a); misses != c.missesTarget(now, b) {
		return !misses
	}
	if runningA, runningB := c.runningByWorkspace[a.Workspace], c.runningByWorkspace[b.Workspace]; runningA != runningB {
		return runningA < runningB
	}
	return a.TargetDeadline.Before(b.TargetDeadline)
}

// sweep removes the records of ended and refused attempts after recordTTL. It does so at
// most once per second.
func (c *Controller) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < time.Second {
		return
	}
	c.lastSweep = now
	for id, rec := range c.records {
		done := rec.state == Ended || rec.state == Refused
		if done && now.Sub(rec.since) > recordTTL {
			delete(c.records, id)
		}
	}
}
