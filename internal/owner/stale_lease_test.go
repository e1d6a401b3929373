package owner

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
)

// Guards against tasks that start elsewhere while a restarted worker may hold a lease that no owner has
// granted: the owner waits as long as the agent says, or as long as any lease of which nobody knows.
func TestAnOwnerWaitsForStaleLeases(t *testing.T) {
	const remaining = 9 * time.Second
	incarnation := dispatch.Incarnation{ID: "a", StartedAt: 1}
	cases := []struct {
		name  string
		do    func(current *term)
		wants time.Duration
	}{
		{"none", func(*term) {}, leaseExpiryWait},
		{"one", func(current *term) { current.extendStaleLease("a", remaining) }, remaining},
		{"one that is nearly over", func(current *term) { current.extendStaleLease("a", time.Second) }, leaseExpiryWait},
		{"a shorter one after it", func(current *term) {
			current.extendStaleLease("a", remaining)
			current.extendStaleLease("a", 0)
		}, remaining},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			current := newTestTerm(nil)
			current.staleLeaseUntil, current.leaseExpiry = map[string]time.Time{}, map[string]time.Time{}
			s := &session{incarnation: incarnation, leaseCountedFrom: now}
			current.sessions = map[string]*session{"a": s}
			c.do(current)
			current.disconnected("a", s)
			if got := current.leaseExpiry["a"].Sub(now).Round(100 * time.Millisecond); got != c.wants.Round(100*time.Millisecond) {
				t.Errorf("waits for %v, want %v", got, c.wants)
			}
		})
	}
}

// A new owner waits until leases that were granted, and stale ones of the longest duration, are over.
func TestTakeoverWait(t *testing.T) {
	for _, maxLease := range []time.Duration{time.Second, 6 * time.Second, 10 * time.Second, 20 * time.Second} {
		current := newTestTerm(nil)
		current.elector.settings.MaxLease = maxLease
		if wait := current.takeoverWait(); wait < grantedLeaseWait || wait < maxLease*100/98 {
			t.Errorf("a new owner waits for %v with a longest lease of %v", wait, maxLease)
		}
	}
}

// A later agent process does not know of the stale leases of a worker that had restarted before.
func TestALaterAgentDoesNotKnowOfStaleLeases(t *testing.T) {
	before := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "a", StartedAt: 1}, Agent: "p", AgentIncarnation: "p1", Service: "s"}
	for _, restarted := range []bool{false, true} {
		current := newTestTerm(nil)
		current.leaseExpiry = map[string]time.Time{"a": time.Now().Add(current.takeoverWait())}
		row := before
		row.Restarted = restarted
		current.scheduler.RestoreInstance(row)
		if current.awaitsStaleLease("a", "p1") {
			t.Error("the agent process that knows is not believed")
		}
		if got := current.awaitsStaleLease("a", "p2"); got != restarted {
			t.Errorf("restarted %v: the owner waits: %v", restarted, got)
		}
	}
}

// Each session has a higher fencing token than all sessions before it.
func TestFencesIncrease(t *testing.T) {
	last := uint64(0)
	for _, session := range []struct{ epoch, attach uint64 }{{1, 1}, {1, 2}, {2, 1}, {2, 999_999}, {3, 1}, {3, 1_500_000}, {4, 0}} {
		fence := link.Fence(session.epoch, session.attach)
		if fence <= last {
			t.Errorf("token %d of epoch %d, attach %d, after %d", fence, session.epoch, session.attach, last)
		}
		last = fence
	}
}
