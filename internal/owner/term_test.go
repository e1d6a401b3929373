package owner

import (
	"testing"
	"time"
)

// The read at the start of a term does not look at the owner's row: another process may have
// claimed the ownership before it. So it does not extend the time for which leases are granted.
func TestTheReadOfATermConfirmsNothing(t *testing.T) {
	current := newTestTerm(nil)
	now := time.Now()
	current.epochConfirmed = instant{at: now.Add(-epochConfirmationTTL - time.Second)}
	current.restore(persistedRows{})
	if ttl := current.grant(&session{}, now); ttl != 0 {
		t.Errorf("a lease of %v without a confirmed epoch", ttl)
	}
}

// While the rows of many finished jobs are removed, the owner writes the alive row as often as
// otherwise, and is not replaced. Rows whose removal was refused are removed later.
func TestRemovalsKeepTheOwnerAlive(t *testing.T) {
	current := newTestTerm(nil)
	for range maxCommitRemovals + 1 {
		current.finished = append(current.finished, finishedJob{"j", time.Now().Add(-time.Second)})
	}
	b := current.nextRemovals()
	if len(b.removed) != maxCommitRemovals || len(current.finished) != 1 {
		t.Fatalf("%d jobs in the commit, %d left", len(b.removed), len(current.finished))
	}
	alive := false
	for _, put := range b.txn.Puts {
		alive = alive || put.RowKey == aliveRowKey()
	}
	if !alive {
		t.Error("the commit confirms the epoch, which delays the next write of the alive row, and does not write it")
	}
	current.requeueChanges(b)
	if len(current.finished) != maxCommitRemovals+1 {
		t.Errorf("%d jobs wait for their removal after a refused commit", len(current.finished))
	}
}

// An owner whose machine was suspended grants nothing until the table has confirmed its epoch
// again, although the monotonic clock has stood still: another process may be the owner by then.
func TestASuspendedOwnerGrantsNothing(t *testing.T) {
	current := newTestTerm(nil)
	var suspended time.Duration
	current.elector.settings.Suspended = func() time.Duration { return suspended }
	current.confirmEpoch(current.elector.now())
	if ttl := current.grant(&session{}, time.Now()); ttl != leaseTTL {
		t.Errorf("a lease of %v right after the confirmation", ttl)
	}
	suspended = epochConfirmationTTL + time.Second
	if ttl := current.grant(&session{}, time.Now()); ttl != 0 {
		t.Errorf("a lease of %v after a suspension", ttl)
	}
	current.confirmEpoch(current.elector.now())
	if ttl := current.grant(&session{}, time.Now()); ttl != leaseTTL {
		t.Errorf("a lease of %v after the next confirmation", ttl)
	}
}

// The owner waits for leases until they have expired on clocks that run 2 % slow: that of the worker,
// and that of an earlier owner, which grants until its own wait is over.
func TestWaitsForLeasesCoverSlowClocks(t *testing.T) {
	const slowestClock = 0.98
	slow := func(d time.Duration) time.Duration { return time.Duration(float64(d) / slowestClock) }
	cases := []struct {
		name       string
		wait, need time.Duration
	}{
		{"lease of a silent instance", leaseExpiryWait, slow(leaseTTL)},
		{"leases of an earlier owner", grantedLeaseWait, slow(epochConfirmationTTL) + slow(leaseTTL)},
	}
	for _, c := range cases {
		if c.wait < c.need {
			t.Errorf("%s: waits for %v, needs %v", c.name, c.wait, c.need)
		}
	}
}
