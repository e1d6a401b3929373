package placement

import "testing"

func TestNothingIsPlacedInAnEvacuatedDomain(t *testing.T) {
	h := newHarness(t, oneTask(true))
	h.owner.SetEvacuated([]string{"d0", ""})
	h.owner.Announce(h.now, Instance{Name: "a", Domain: "d0", Capacity: Resources{Processors: 8, Memory: 1000}})
	h.owner.Heartbeat(h.now, Heartbeat{Instance: "a", Incarnation: "a1", WorkerIncarnation: "a1", Epoch: 1, Session: h.session("a", "a1"), Sequence: 1}, true)
	h.wantDecisions()
	h.heartbeat("b", "b1") // without a domain
	h.wantDecisions("place 0.1 b placed")
	h.owner.SetEvacuated(nil)
	if eligible := h.owner.eligibleInstances(h.now); len(eligible) != 2 {
		t.Errorf("%d instances are eligible when the domain is taken back, want 2", len(eligible))
	}
}
