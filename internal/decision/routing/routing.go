// Package routing chooses the instance for each request.
//
// The state is an entry's view of the instances: hints that age, never a
// promise of room. The agent beside the instance is the only gate.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// silenceBound is how long an instance may go unheard before it gets no new work.
	silenceBound = 3 * time.Second
	// crossDomainCost is added to the wait of an instance in another failure domain.
	crossDomainCost = 10 * time.Millisecond
	// firstService is the service time assumed of an instance that has served nothing yet.
	firstService = 20 * time.Millisecond
	// smoothing is the weight of the newest sample in the service time's moving average.
	smoothing = 0.2
	// ejectAfter is how many failures in a row set an instance aside.
	ejectAfter = 3
	// ejectFirst and ejectLongest bound how long an instance is set aside.
	ejectFirst   = time.Second
	ejectLongest = 30 * time.Second
	// ejectShare is the largest share of the instances that may be set aside.
	ejectShare = 0.3
	// tieWeight makes the less busy of two instances with free slots the better.
	tieWeight = 0.1
	// slowStart is how long a new instance's load is counted higher than it is.
	slowStart = 2 * time.Second
	// sample is how many instances LeastWait compares, so that entries with
	// the same stale view do not all choose the same instance.
	sample = 16
)

//go:generate stringer -type=Strategy -linecomment

// Strategy is the rule by which an instance is chosen.
type Strategy int

// The choosers. All but LeastWait are baselines to measure against.
const (
	LeastWait   Strategy = iota // least-wait
	Random                      // random
	RoundRobin                  // round-robin
	LeastLoaded                 // least-loaded
)

// Strategies lists every chooser.
func Strategies() []Strategy { return []Strategy{LeastWait, Random, RoundRobin, LeastLoaded} }

// Instance is what an instance announces of itself.
type Instance struct {
	Name        string
	Domain      string
	Incarnation string
	Slots       int
}

// Load is what an instance reports: slots in use and requests waiting.
type Load struct {
	Busy   int
	Queued int
}

// Choice is the decision for one request.
type Choice struct {
	Instance    string
	Incarnation string
	Candidates  int           // how many instances were candidates
	Wait        time.Duration // expected time to the answer
	Reason      string
}

//go:generate stringer -type=Outcome -linecomment

// Outcome is how an attempt at an instance ended.
type Outcome int

// The endings of an attempt.
const (
	Answered Outcome = iota // answered
	Refused                 // refused
	Failed                  // failed
	Aborted                 // gone
)

type instance struct {
	Instance
	others      int // requests there that are not of this entry, when it last reported
	outstanding int
	service     time.Duration
	heard       time.Time
	since       time.Time
	leaving     bool
	failures    int
	ejections   int
	asideUntil  time.Time
}

// Router is one entry's view of the instances.
type Router struct {
	domain    string
	chooser   Strategy
	random    *rand.Rand
	instances map[string]*instance
	order     []string
	turn      int
}

// New makes the state of an entry in domain.
func New(domain string, chooser Strategy, seed uint64) *Router {
	return &Router{
		domain:    domain,
		chooser:   chooser,
		random:    rand.New(rand.NewPCG(seed, seed)),
		instances: map[string]*instance{},
	}
}

// Announce adds an instance, or replaces it when it came back as another incarnation.
func (s *Router) Announce(now time.Time, announced Instance) {
	known, ok := s.instances[announced.Name]
	if ok && known.Incarnation == announced.Incarnation {
		known.heard = now
		return
	}
	s.instances[announced.Name] = &instance{Instance: announced, service: firstService, heard: now, since: now}
	if !ok {
		at, _ := slices.BinarySearch(s.order, announced.Name)
		s.order = slices.Insert(s.order, at, announced.Name)
	}
}

// Observe takes a report of load: a beat's, or one that came with an answer. What is
// there beyond this entry's own requests is of others.
func (s *Router) Observe(now time.Time, name string, load Load) {
	if known, ok := s.instances[name]; ok {
		known.others = max(load.Busy+load.Queued-known.outstanding, 0)
		known.heard = now
	}
}

// Drain stops new work to an instance that announced its leaving.
func (s *Router) Drain(name string) {
	if known, ok := s.instances[name]; ok {
		known.leaving = true
	}
}

// Remove forgets an instance whose link is gone, if it is still the incarnation named.
func (s *Router) Remove(name, incarnation string) {
	known, ok := s.instances[name]
	if !ok || known.Incarnation != incarnation {
		return
	}
	delete(s.instances, name)
	if at, found := slices.BinarySearch(s.order, name); found {
		s.order = slices.Delete(s.order, at, at+1)
	}
}

// Names lists the instances known, in order.
func (s *Router) Names() []string { return slices.Clone(s.order) }

// Slots is the sum of the slots of the instances that may get work now.
func (s *Router) Slots(now time.Time) int {
	total := 0
	for _, name := range s.order {
		if s.usable(now, s.instances[name]) {
			total += s.instances[name].Slots
		}
	}
	return total
}

// Pick chooses an instance that is not in tried; false when there is none.
func (s *Router) Pick(now time.Time, tried []string) (Choice, bool) {
	candidates := s.candidates(now, tried)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	chosen := s.choose(now, candidates)
	chosen.outstanding++
	return Choice{
		Instance:    chosen.Name,
		Incarnation: chosen.Incarnation,
		Candidates:  len(candidates),
		Wait:        s.wait(now, chosen),
		Reason:      s.chooser.String(),
	}, true
}

// Finish takes the end of an attempt that Pick started. Served is how long the
// instance worked on it, without its queue; 0 when that is not known.
func (s *Router) Finish(now time.Time, name, incarnation string, ending Outcome, served time.Duration) {
	known, ok := s.instances[name]
	if !ok || known.Incarnation != incarnation {
		return
	}
	known.outstanding--
	switch ending {
	case Answered:
		known.failures = 0
		known.ejections = 0
		if served > 0 {
			known.service += time.Duration(smoothing * float64(served-known.service))
		}
	case Failed:
		s.fail(now, known)
	case Refused, Aborted:
	}
}

// fail counts a failure and sets the instance aside after several in a row, so
// that one which fails everything fast attracts no load.
func (s *Router) fail(now time.Time, failed *instance) {
	failed.failures++
	if failed.failures < ejectAfter {
		return
	}
	if float64(s.asideCount(now)+1) > ejectShare*float64(len(s.instances)) {
		return
	}
	failed.asideUntil = now.Add(min(ejectFirst<<min(failed.ejections, 5), ejectLongest))
	failed.ejections++
	failed.failures = 0
}

// asideCount is how many instances are set aside.
func (s *Router) asideCount(now time.Time) int {
	aside := 0
	for _, known := range s.instances {
		if now.Before(known.asideUntil) {
			aside++
		}
	}
	return aside
}

func (s *Router) usable(now time.Time, known *instance) bool {
	return !known.leaving && now.Sub(known.heard) <= silenceBound && !now.Before(known.asideUntil)
}

func (s *Router) candidates(now time.Time, tried []string) []*instance {
	var found []*instance
	for _, name := range s.order {
		known := s.instances[name]
		if s.usable(now, known) && !slices.Contains(tried, name) {
			found = append(found, known)
		}
	}
	return found
}

func (s *Router) choose(now time.Time, candidates []*instance) *instance {
	switch s.chooser {
	case Random:
		return candidates[s.random.IntN(len(candidates))]
	case RoundRobin:
		s.turn++
		return candidates[s.turn%len(candidates)]
	case LeastLoaded:
		return slices.MinFunc(candidates, func(a, b *instance) int { return a.outstanding - b.outstanding })
	case LeastWait:
	}
	s.random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	compared := candidates[:min(sample, len(candidates))]
	return slices.MinFunc(compared, func(a, b *instance) int {
		return int(s.wait(now, a) - s.wait(now, b))
	})
}

// wait is the expected time to an answer: own requests there and those of others as
// last reported, against its slots.
func (s *Router) wait(now time.Time, known *instance) time.Duration {
	ahead := known.outstanding + known.others
	if now.Sub(known.since) < slowStart {
		ahead += known.Slots / 2
	}
	rounds := 1 + max(float64(ahead-known.Slots+1), 0)/float64(max(known.Slots, 1)) + tieWeight*float64(ahead)
	wait := time.Duration(rounds * float64(known.service))
	if known.Domain != s.domain {
		wait += crossDomainCost
	}
	return wait
}
