package routing

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pool makes a state that knows n instances in two domains, past their slow start.
func pool(chooser Strategy, n int) (*Router, time.Time) {
	s := New("a", chooser, 1)
	for i := range n {
		domain := []string{"a", "b"}[i%2]
		s.Announce(start, Instance{Name: fmt.Sprintf("i%02d", i), Domain: domain, Incarnation: "1", Slots: 8})
	}
	now := start.Add(slowStart)
	for i := range n {
		s.Observe(now, fmt.Sprintf("i%02d", i), Load{})
	}
	return s, now
}

func TestInstancesThatGetNoWork(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *Router, now time.Time) time.Time
	}{
		{"leaving", func(s *Router, now time.Time) time.Time { s.Drain("i00"); return now }},
		{"removed", func(s *Router, now time.Time) time.Time { s.Remove("i00", "1"); return now }},
		{"silent", func(s *Router, now time.Time) time.Time {
			later := now.Add(silenceBound + time.Second)
			s.Observe(later, "i01", Load{})
			return later
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, now := pool(LeastWait, 2)
			now = c.change(s, now)
			for range 50 {
				choice, ok := s.Pick(now, nil)
				if !ok || choice.Instance != "i01" {
					t.Fatalf("got %+v, %v", choice, ok)
				}
			}
		})
	}
}

func TestOldIncarnationDoesNotRemoveTheNew(t *testing.T) {
	s, now := pool(LeastWait, 1)
	s.Announce(now, Instance{Name: "i00", Incarnation: "2", Slots: 8})
	s.Remove("i00", "1")
	if choice, ok := s.Pick(now, nil); !ok || choice.Incarnation != "2" {
		t.Fatalf("got %+v, %v", choice, ok)
	}
}

func TestInstanceThatFailsFastAttractsNoLoad(t *testing.T) {
	s, now := pool(LeastWait, 10)
	for range ejectAfter {
		s.Finish(now, "i00", "1", Failed, time.Millisecond)
	}
	for range 200 {
		if choice, _ := s.Pick(now, nil); choice.Instance == "i00" {
			t.Fatal("an instance that is set aside got work")
		}
	}
	if s.asideCount(now) != 1 {
		t.Fatal("it is not set aside")
	}
}

func TestAtMostAShareIsSetAside(t *testing.T) {
	s, now := pool(LeastWait, 10)
	for i := range 10 {
		for range ejectAfter {
			s.Finish(now, fmt.Sprintf("i%02d", i), "1", Failed, time.Millisecond)
		}
	}
	if got := s.asideCount(now); got > int(ejectShare*10) {
		t.Fatalf("%d of 10 are set aside", got)
	}
}

func TestBusyAndFarInstancesAreAvoided(t *testing.T) {
	s, now := pool(LeastWait, 4)
	s.Observe(now, "i00", Load{Busy: 8, Queued: 20})
	got := map[string]int{}
	for range 100 {
		choice, _ := s.Pick(now, nil)
		got[choice.Instance]++
		s.Finish(now, choice.Instance, "1", Answered, firstService)
	}
	if got["i02"] != 100 {
		t.Fatalf("work went elsewhere than to the idle instance nearby: %v", got)
	}
}
