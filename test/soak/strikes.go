package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// In mode reborn, faults come in strikes. A strike crashes half of the workers at once. They start again
// under their IDs, carry out calls that were meant for their former incarnations, and are cut off.
const (
	// firstStrike is the time before the first strike. The clocks of the workers are then so far ahead that
	// a lease on the clock of the former incarnation ends far in the future of the next one.
	firstStrike = 10 * time.Second
	// minStrikePause and maxStrikePause bound the time from the end of all cuts to the next strike.
	minStrikePause = 3 * time.Second
	maxStrikePause = 6 * time.Second
	// minDownFor and maxDownFor bound how long a worker is down.
	minDownFor = 300 * time.Millisecond
	maxDownFor = 2 * time.Second
	// maxHoldLead bounds how long before the crash calls to the worker begin to be held back.
	maxHoldLead = time.Second
	// minHeldBack and maxHeldBack bound how long a call is held back. Workers of the platform carry out no call later than
	// 15 s after it was sent.
	minHeldBack = 20 * time.Millisecond
	maxHeldBack = 14 * time.Second
	// heldBackCycle is the number of calls after which the times of the held-back calls repeat.
	heldBackCycle = 16
	// A cut begins at most cutLead before the worker is back and at most cutLag after it, and lasts from
	// minCutFor to maxCutFor.
	cutLead   = time.Second
	cutLag    = 3 * time.Second
	minCutFor = 10 * time.Second
	maxCutFor = 16 * time.Second
	// minCutAfter is the least time from the crash to the cut.
	minCutAfter = 50 * time.Millisecond
	// A process is hit from hitLead before the crash to hitLag after it, or, one in four, later in the cut.
	hitLead = 300 * time.Millisecond
	hitLag  = 3 * time.Second
	// minHitFor and maxHitFor bound how long a process is down or paused.
	minHitFor = 200 * time.Millisecond
	maxHitFor = 5 * time.Second
)

// cutKind is what a worker or its agent is cut off from.
type cutKind int

const (
	cutWorker  cutKind = iota // the worker from its agent
	cutMachine                // the agent from the store and from all other processes
	cutBoth
	cutKindCount // number of kinds
)

// cutKindNames are the names of the kinds in faults.log.
var cutKindNames = [cutKindCount]string{"worker", "machine", "machine and worker"}

// hitKind is what happens to a process.
type hitKind int

const (
	hitKill hitKind = iota
	hitTerminate
	hitPause
	hitKindCount // number of kinds
)

// hitKindNames are the names of the kinds in faults.log.
var hitKindNames = [hitKindCount]string{"kill", "terminate", "pause"}

// hit is a fault of one process. Times count from the crash.
type hit struct {
	kind     hitKind
	at       time.Duration
	lastsFor time.Duration
}

// String describes the hit.
func (h hit) String() string {
	return fmt.Sprintf("%s at %v for %v", hitKindNames[h.kind], h.at, h.lastsFor)
}

// victim is a worker of a strike. Times count from the crash.
type victim struct {
	worker     int
	downFor    time.Duration
	holdLead   time.Duration   // calls are held back from that long before the crash until the worker is back
	heldBack   []time.Duration // for how long, by call, in turn; 0: delivered at once
	cut        cutKind
	cutAt      time.Duration
	cutFor     time.Duration
	registered bool // the worker still reaches its agent with registrations
	agentHit   *hit // of its agent, or nil
}

// String describes the victim.
func (v victim) String() string {
	text := fmt.Sprintf("w%d down for %v, calls held back from %v before for %v, %s cut at %v for %v", v.worker, v.downFor, v.holdLead, v.heldBack, cutKindNames[v.cut], v.cutAt, v.cutFor)
	if v.registered {
		text += ", registers"
	}
	if v.agentHit != nil {
		text += ", agent: " + v.agentHit.String()
	}
	return text
}

// strike is one crash of half of the workers. at counts from the start of the faults.
type strike struct {
	at       time.Duration
	victims  []victim
	ownerHit *hit // of the process that is the owner then, or nil
}

// String describes the strike, a victim a line.
func (s strike) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "strike at %v", s.at)
	if s.ownerHit != nil {
		fmt.Fprintf(&text, ", owner: %v", s.ownerHit)
	}
	for _, v := range s.victims {
		fmt.Fprintf(&text, "\n        %v", v)
	}
	return text.String()
}

// end returns when the last cut is over.
func (s strike) end() time.Duration {
	last := time.Duration(0)
	for _, v := range s.victims {
		last = max(last, v.cutAt+v.cutFor)
	}
	return s.at + last
}

// randomStrikes returns the strikes that begin within length.
func randomStrikes(random *rand.Rand, workers int, length time.Duration) []strike {
	var strikes []strike
	for at := firstStrike; at < length; {
		next := randomStrike(random, workers, at)
		strikes = append(strikes, next)
		at = next.end() + between(random, minStrikePause, maxStrikePause)
	}
	return strikes
}

// randomStrike returns a strike of a failure domain or of any half of the workers.
func randomStrike(random *rand.Rand, workers int, at time.Duration) strike {
	s := strike{at: at}
	for _, worker := range randomHalf(random, workers) {
		s.victims = append(s.victims, randomVictim(random, worker))
	}
	if random.IntN(2) == 0 {
		s.ownerHit = randomHit(random)
	}
	return s
}

// randomHalf returns the workers of a failure domain, or any half of all.
func randomHalf(random *rand.Rand, workers int) []int {
	if random.IntN(2) == 0 {
		return random.Perm(workers)[:(workers+1)/2]
	}
	domain := domainOf(random.IntN(domains))
	var half []int
	for i := range workers {
		if domainOf(i) == domain {
			half = append(half, i)
		}
	}
	return half
}

// randomVictim returns what happens to one worker of a strike.
func randomVictim(random *rand.Rand, worker int) victim {
	v := victim{
		worker: worker, downFor: between(random, minDownFor, maxDownFor), holdLead: between(random, 0, maxHoldLead),
		cut: cutKind(random.IntN(int(cutKindCount))), cutFor: between(random, minCutFor, maxCutFor), registered: random.IntN(2) == 0,
	}
	v.cutAt = max(minCutAfter, v.downFor+between(random, -cutLead, cutLag))
	if random.IntN(2) == 0 {
		v.cutAt = max(minCutAfter, v.downFor-between(random, 0, cutLead))
	}
	longest := between(random, 0, maxHeldBack)
	for range heldBackCycle {
		delay := max(minHeldBack, between(random, 0, max(longest, minHeldBack)))
		if random.IntN(3) == 0 {
			delay = 0
		}
		v.heldBack = append(v.heldBack, delay)
	}
	if random.IntN(2) == 0 {
		v.agentHit = randomHit(random)
	}
	return v
}

// randomHit returns a fault of one process.
func randomHit(random *rand.Rand) *hit {
	h := &hit{kind: hitKind(random.IntN(int(hitKindCount))), at: between(random, -hitLead, hitLag), lastsFor: between(random, minHitFor, maxHitFor)}
	if random.IntN(4) == 0 {
		h.at = between(random, hitLag, minCutFor)
	}
	return h
}

// between returns a random time of full milliseconds, at least least and below most.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return (least + time.Duration(random.Int64N(int64(most-least)))).Truncate(time.Millisecond)
}
