package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// domainsOf returns two instances of 8 cores in each of the domains d0 and d1.
func domainsOf() *Scheduler {
	s := New(1, 7)
	for i := range 4 {
		registration := registrationOf(fmt.Sprint("i", i), 8)
		registration.Domain = fmt.Sprint("d", i%2)
		registerOn(s, registration)
	}
	return s
}

// startsIn returns the number of starts in a domain.
func startsIn(s *Scheduler, starts []Start, domain string) int {
	count := 0
	for _, start := range starts {
		if s.instances[start.Instance].registration.Domain == domain {
			count++
		}
	}
	return count
}

func TestNothingIsPlacedInAnEvacuatedDomain(t *testing.T) {
	gang, lasting, bestEffort := stepOf(4, 8), stepOf(4, 8), stepOf(4, 8)
	gang.Gang, lasting.LongRunning, bestEffort.BestEffort = true, true, true
	for _, c := range []struct {
		name   string
		step   Step
		placed int // while d0 is evacuated
	}{{"independent tasks", stepOf(4, 8), 2}, {"a gang", gang, 0}, {"long-running tasks", lasting, 2}, {"best-effort tasks", bestEffort, 2}} {
		t.Run(c.name, func(t *testing.T) {
			s := domainsOf()
			s.SetEvacuated([]string{"d0", "unknown"})
			s.Accept(at(0), jobOf("j", c.step), nil)
			starts := s.Plan(at(0))
			expect(t, "starts in d0", startsIn(s, starts, "d0"), 0)
			expect(t, "starts in d1", startsIn(s, starts, "d1"), c.placed)
			expect(t, "evacuated", s.LongRunningWaits(at(0)).Evacuated, 2)
			registration := registrationOf("new", 8)
			registration.Domain = "d0"
			registerOn(s, registration)
			s.Plan(at(0.1))
			expect(t, "runs on a new instance of the domain", len(s.Runs("new")), 0)
			expect(t, "stops", len(s.TakeStops()), 0)
			s.SetEvacuated(nil)
			expect(t, "starts when it is taken back", len(starts)+len(s.Plan(at(0.2))), 4)
		})
	}
}

// The free processors of an evacuated domain do not count.
func TestAvailableLeavesOutEvacuatedDomains(t *testing.T) {
	for _, c := range []struct {
		domains []string
		want    int
	}{{nil, 32_000}, {[]string{"d0"}, 16_000}, {[]string{"d0", "d1"}, 0}, {[]string{""}, 32_000}} {
		s := domainsOf()
		s.SetEvacuated(c.domains)
		p := newPlanner(s, at(0))
		p.collectInstances()
		expect(t, fmt.Sprint("available without ", c.domains), p.available()[pool{"s", false}], c.want)
	}
}

// A cold instance gets work after the warm ones, and few tasks at a time.
func TestAColdInstanceStartsSlowly(t *testing.T) {
	cold := func(id string, remaining time.Duration) Registration {
		registration := registrationOf(id, 8)
		registration.ColdRemaining = remaining.Milliseconds()
		return registration
	}
	count := func(starts []Start, id string) (n int) {
		for _, start := range starts {
			if start.Instance == id {
				n++
			}
		}
		return n
	}
	s := schedulerWith(cold("a", 2*time.Second), registrationOf("b", 8))
	s.Accept(at(0), jobOf("few", stepOf(4, 1)), nil)
	expect(t, "starts while the warm instance has room", count(s.Plan(at(0)), "a"), 0)
	s.Accept(at(0), jobOf("many", stepOf(12, 1)), nil)
	expect(t, "starts on the cold instance", count(s.Plan(at(0.1)), "a"), maxColdStarts)
	expect(t, "starts on it shortly after", count(s.Plan(at(0.2)), "a"), 0)
	expect(t, "starts on it later", count(s.Plan(at(0.7)), "a"), maxColdStarts)
	expect(t, "starts on it once it is warm", count(s.Plan(at(2.1)), "a"), 8-2*maxColdStarts)

	s = schedulerWith(cold("a", time.Minute), cold("b", time.Minute))
	s.Accept(at(0), jobOf("j", stepOf(16, 1)), nil)
	expect(t, "starts if all instances are cold", len(s.Plan(at(0))), 16)
}

// An agent refuses what is in flight when its domain is evacuated. That says nothing of its instance.
func TestRefusalsOfAnEvacuatedDomainAreNotHeldAgainstInstances(t *testing.T) {
	s := domainsOf()
	s.Accept(at(0), jobOf("j", stepOf(16, 2)), nil)
	starts := s.Plan(at(0))
	s.SetEvacuated([]string{"d0"})
	refused := 0
	for _, start := range starts {
		if start.Instance == "i0" {
			s.Ended(at(0.1), Incarnation{"i0", 1}, []End{{Task: start.Task, Run: start.Run, Reason: EndNotStarted}})
			refused++
		}
	}
	expect(t, "refused", refused, 4)
	expect(t, "held", s.instances["i0"].record.Held(at(0.1)), false)
	expect(t, "changes", len(s.TakeSpeedChanges()), 0)
}
