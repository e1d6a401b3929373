package routing

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestRouter returns a router with n instances in two failure domains, after their slow
// start.
func newTestRouter(strategy Strategy, n int) (*Router, time.Time) {
	r := New("a", strategy, 1)
	for i := range n {
		domain := []string{"a", "b"}[i%2]
		r.Announce(start, Instance{Name: fmt.Sprintf("i%02d", i), Domain: domain, Incarnation: "1", Slots: 8})
	}
	now := start.Add(slowStart)
	for i := range n {
		r.Observe(now, fmt.Sprintf("i%02d", i), Load{})
	}
	return r, now
}

func TestInstancesThatGetNoWork(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *Router, now time.Time) time.Time
	}{
		{"leaving", func(r *Router, now time.Time) time.Time { r.Drain("i00"); return now }},
		{"removed", func(r *Router, now time.Time) time.Time { r.Remove("i00", "1"); return now }},
		{"evacuated", func(r *Router, now time.Time) time.Time { r.SetEvacuated([]string{"a", "c", ""}); return now }},
		{"silent", func(r *Router, now time.Time) time.Time {
			later := now.Add(reportTimeout + time.Second)
			r.Observe(later, "i01", Load{})
			return later
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, now := newTestRouter(LeastWait, 2)
			now = c.change(r, now)
			for range 50 {
				choice, ok := r.Pick(now, nil)
				if !ok || choice.Instance != "i01" {
					t.Fatalf("Pick: got %+v, %v, want i01", choice, ok)
				}
			}
		})
	}
}

func TestOldIncarnationDoesNotRemoveTheNew(t *testing.T) {
	r, now := newTestRouter(LeastWait, 1)
	r.Announce(now, Instance{Name: "i00", Incarnation: "2", Slots: 8})
	r.Remove("i00", "1")
	if choice, ok := r.Pick(now, nil); !ok || choice.Incarnation != "2" {
		t.Fatalf("Pick: got %+v, %v, want incarnation 2", choice, ok)
	}
}

func TestInstanceThatFailsFastAttractsNoLoad(t *testing.T) {
	r, now := newTestRouter(LeastWait, 10)
	for range ejectAfter {
		r.Finish(now, "i00", "1", Failed, time.Millisecond)
	}
	for range 200 {
		if choice, _ := r.Pick(now, nil); choice.Instance == "i00" {
			t.Fatal("an ejected instance was chosen")
		}
	}
	if r.ejectedCount(now) != 1 {
		t.Fatal("the failing instance is not ejected")
	}
}

func TestAtMostMaxEjectedShareIsEjected(t *testing.T) {
	r, now := newTestRouter(LeastWait, 10)
	for i := range 10 {
		for range ejectAfter {
			r.Finish(now, fmt.Sprintf("i%02d", i), "1", Failed, time.Millisecond)
		}
	}
	if got := r.ejectedCount(now); got > int(maxEjectedShare*10) {
		t.Fatalf("%d of 10 instances are ejected", got)
	}
}

func TestBusyInstancesAndOtherDomainsAreAvoided(t *testing.T) {
	r, now := newTestRouter(LeastWait, 4)
	r.Observe(now, "i00", Load{Busy: 8, Queued: 20})
	got := map[string]int{}
	for range 100 {
		choice, _ := r.Pick(now, nil)
		got[choice.Instance]++
		r.Finish(now, choice.Instance, "1", Answered, initialServiceTime)
	}
	if got["i02"] != 100 {
		t.Fatalf("choices by instance: got %v, want 100 of i02, the idle instance in the same domain", got)
	}
}
