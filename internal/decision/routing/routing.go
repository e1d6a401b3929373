// Package routing chooses the instance for each request.
//
// A Router holds one entry's view of the instances, from announcements, load reports and
// the outcomes of its own attempts. The view may be out of date and reserves nothing: only
// the agent of an instance decides whether to admit a request. The package does no I/O;
// the caller sends the requests and reports their outcomes.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// reportTimeout is the time since the last report or announcement of an instance after
	// which it gets no new requests.
	reportTimeout = 3 * time.Second
	// crossDomainPenalty is added to the expected time to an answer of an instance in
	// another failure domain.
	crossDomainPenalty = 10 * time.Millisecond
	// initialServiceTime is the service time assumed for an instance that has answered no
	// request yet.
	initialServiceTime = 20 * time.Millisecond
	// smoothing is the weight of the newest sample in the exponential moving average of an
	// instance's service time.
	smoothing = 0.2
	// ejectAfter is the number of consecutive failures after which an instance is ejected:
	// it gets no requests for a time.
	ejectAfter = 3
	// minEjection is the length of an instance's first ejection. Each further one without
	// an answered request in between is twice as long, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// maxEjectedShare is the largest share of the instances that may be ejected at a time.
	maxEjectedShare = 0.3
	// tieWeight is added to the expected time to an answer, in service times, for each
	// request on an instance. Of two instances with free slots, it makes the less busy one
	// preferred.
	tieWeight = 0.1
	// slowStart is how long half of a new instance's slots count as in use.
	slowStart = 2 * time.Second
	// sampleSize is the number of randomly chosen instances that LeastWait compares, so
	// that entries with the same outdated view don't all choose the same instance.
	sampleSize = 16
)

//go:generate stringer -type=Strategy -linecomment

// Strategy is the rule by which an instance is chosen.
type Strategy int

// The strategies. LeastWait picks, from a random sample of the instances, the one with the
// shortest expected time to an answer. The others are baselines for comparison: LeastLoaded
// picks the instance with the fewest outstanding requests of this entry.
const (
	LeastWait   Strategy = iota // least-wait
	Random                      // random
	RoundRobin                  // round-robin
	LeastLoaded                 // least-loaded
)

// Strategies returns all strategies.
func Strategies() []Strategy { return []Strategy{LeastWait, Random, RoundRobin, LeastLoaded} }

// Instance is the description of an instance that its agent announces. Slots is the number
// of requests that it runs at a time.
type Instance struct {
	Name        string
	Domain      string
	Incarnation string
	Slots       int
}

// Load is the load that an instance reports: the number of slots in use and of requests
// that wait for one.
type Load struct {
	Busy   int
	Queued int
}

// Choice is the instance chosen for one request.
type Choice struct {
	Instance     string
	Incarnation  string
	Candidates   int           // number of instances that could have been chosen
	ExpectedTime time.Duration // expected time to the answer of one more request after this one
	Reason       string        // name of the strategy
}

//go:generate stringer -type=Outcome -linecomment

// Outcome is how an attempt to serve a request on an instance ended.
type Outcome int

// The outcomes. Refused means that the agent didn't admit the request. Aborted means that
// the caller gave up or failed, or that the time ran out, which says nothing about the
// instance.
const (
	Answered Outcome = iota // answered
	Refused                 // refused
	Failed                  // failed
	Aborted                 // gone
)

// instance is the router's state of one instance.
type instance struct {
	Instance
	otherRequests       int // requests of other entries, in its last report
	outstanding         int // requests of this entry without an outcome yet
	serviceTime         time.Duration
	lastReport          time.Time
	addedAt             time.Time
	draining            bool
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// Router chooses instances by one entry's view of them. It isn't safe for concurrent use.
type Router struct {
	domain          string
	strategy        Strategy
	random          *rand.Rand
	instances       map[string]*instance
	names           []string
	roundRobinCount int
	evacuated       map[string]bool // failure domains whose instances get no new requests
}

// New returns a Router without instances for an entry in the given failure domain. The
// seed makes the random choices reproducible.
func New(domain string, strategy Strategy, seed uint64) *Router {
	return &Router{
		domain:    domain,
		strategy:  strategy,
		random:    rand.New(rand.NewPCG(seed, seed)),
		instances: map[string]*instance{},
	}
}

// Announce adds an instance. For a new incarnation of a known instance, it resets the
// state; for a known incarnation, it only updates the time of the last report.
func (r *Router) Announce(now time.Time, announced Instance) {
	inst, ok := r.instances[announced.Name]
	if ok && inst.Incarnation == announced.Incarnation {
		inst.lastReport = now
		return
	}
	r.instances[announced.Name] = &instance{Instance: announced, serviceTime: initialServiceTime, lastReport: now, addedAt: now}
	if !ok {
		pos, _ := slices.BinarySearch(r.names, announced.Name)
		r.names = slices.Insert(r.names, pos, announced.Name)
	}
}

// Observe records the load of an instance, as reported in a heartbeat or with a response.
// Requests in excess of this entry's outstanding ones are attributed to other entries.
func (r *Router) Observe(now time.Time, name string, load Load) {
	if inst, ok := r.instances[name]; ok {
		inst.otherRequests = max(load.Busy+load.Queued-inst.outstanding, 0)
		inst.lastReport = now
	}
}

// Drain stops new requests to an instance that has announced that it is draining.
func (r *Router) Drain(name string) {
	if inst, ok := r.instances[name]; ok {
		inst.draining = true
	}
}

// Remove removes an instance after its link was closed, unless it has another incarnation
// by now.
func (r *Router) Remove(name, incarnation string) {
	inst, ok := r.instances[name]
	if !ok || inst.Incarnation != incarnation {
		return
	}
	delete(r.instances, name)
	if pos, found := slices.BinarySearch(r.names, name); found {
		r.names = slices.Delete(r.names, pos, pos+1)
	}
}

// Names returns the names of all known instances, sorted.
func (r *Router) Names() []string { return slices.Clone(r.names) }

// Slots returns the total number of slots of the instances that may get requests now,
// whether the slots are free or in use.
func (r *Router) Slots(now time.Time) int {
	total := 0
	for _, name := range r.names {
		if r.usable(now, r.instances[name]) {
			total += r.instances[name].Slots
		}
	}
	return total
}

// Pick chooses an instance that isn't in tried, and counts the request as outstanding there
// until Finish. It returns false if there is no usable instance.
func (r *Router) Pick(now time.Time, tried []string) (Choice, bool) {
	candidates := r.candidates(now, tried)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	chosen := r.choose(now, candidates)
	chosen.outstanding++
	return Choice{
		Instance:     chosen.Name,
		Incarnation:  chosen.Incarnation,
		Candidates:   len(candidates),
		ExpectedTime: r.expectedTime(now, chosen),
		Reason:       r.strategy.String(),
	}, true
}

// Finish records the outcome of an attempt that Pick started. The service time is how long
// the instance worked on it, without queueing; 0 if that is unknown. An outcome of another
// incarnation is ignored.
func (r *Router) Finish(now time.Time, name, incarnation string, outcome Outcome, serviceTime time.Duration) {
	inst, ok := r.instances[name]
	if !ok || inst.Incarnation != incarnation {
		return
	}
	inst.outstanding--
	switch outcome {
	case Answered:
		inst.consecutiveFailures = 0
		inst.ejections = 0
		if serviceTime > 0 {
			inst.serviceTime += time.Duration(smoothing * float64(serviceTime-inst.serviceTime))
		}
	case Failed:
		r.recordFailure(now, inst)
	case Refused, Aborted:
	}
}

// recordFailure counts a failure and ejects the instance after ejectAfter consecutive ones,
// unless more than maxEjectedShare of the instances would be ejected then. An instance that
// fails all requests fast would look idle and attract load.
func (r *Router) recordFailure(now time.Time, inst *instance) {
	inst.consecutiveFailures++
	if inst.consecutiveFailures < ejectAfter {
		return
	}
	if float64(r.ejectedCount(now)+1) > maxEjectedShare*float64(len(r.instances)) {
		return
	}
	inst.ejectedUntil = now.Add(min(minEjection<<min(inst.ejections, 5), maxEjection))
	inst.ejections++
	inst.consecutiveFailures = 0
}

// ejectedCount returns the number of ejected instances.
func (r *Router) ejectedCount(now time.Time) int {
	ejected := 0
	for _, inst := range r.instances {
		if now.Before(inst.ejectedUntil) {
			ejected++
		}
	}
	return ejected
}

// usable reports whether an instance may get new requests.
func (r *Router) usable(now time.Time, inst *instance) bool {
	return !inst.draining && !r.evacuated[inst.Domain] && now.Sub(inst.lastReport) <= reportTimeout && !now.Before(inst.ejectedUntil)
}

// candidates returns the usable instances that aren't in tried.
func (r *Router) candidates(now time.Time, tried []string) []*instance {
	var usable []*instance
	for _, name := range r.names {
		inst := r.instances[name]
		if r.usable(now, inst) && !slices.Contains(tried, name) {
			usable = append(usable, inst)
		}
	}
	return usable
}

// choose applies the strategy. It may reorder candidates.
func (r *Router) choose(now time.Time, candidates []*instance) *instance {
	switch r.strategy {
	case Random:
		return candidates[r.random.IntN(len(candidates))]
	case RoundRobin:
		r.roundRobinCount++
		return candidates[r.roundRobinCount%len(candidates)]
	case LeastLoaded:
		return slices.MinFunc(candidates, func(a, b *instance) int { return a.outstanding - b.outstanding })
	case LeastWait:
	}
	r.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	sampled := candidates[:min(sampleSize, len(candidates))]
	return slices.MinFunc(sampled, func(a, b *instance) int {
		return int(r.expectedTime(now, a) - r.expectedTime(now, b))
	})
}

// expectedTime returns the expected time to an answer of a new request. This is the average
// service time times 1 + w/slots + tieWeight per request ahead, plus crossDomainPenalty for
// another failure domain. w is the number of requests, the new one included, that find no
// free slot. Requests ahead are the outstanding ones of this entry, those of others in the
// last report, and half of the slots during slowStart.
func (r *Router) expectedTime(now time.Time, inst *instance) time.Duration {
	ahead := inst.outstanding + inst.otherRequests
	if now.Sub(inst.addedAt) < slowStart {
		ahead += inst.Slots / 2
	}
	rounds := 1 + max(float64(ahead-inst.Slots+1), 0)/float64(max(inst.Slots, 1)) + tieWeight*float64(ahead)
	expected := time.Duration(rounds * float64(inst.serviceTime))
	if inst.Domain != r.domain {
		expected += crossDomainPenalty
	}
	return expected
}
