package runner

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/link"
	"go.uber.org/zap"
)

const (
	// leaseExpiryMargin is the time by which a lease may last longer than granted, beside the drift of
	// the worker's clock.
	leaseExpiryMargin = 100 * time.Millisecond
	// initialLeaseBound bounds the remaining time of a lease that an earlier agent process
	// granted to the worker.
	initialLeaseBound = 4 * time.Second
	// stopMargin is how long before the end of the granted leases the runs on a worker with a stale
	// lease are stopped, so that they have ended by then.
	stopMargin = time.Second
)

// leases bounds what the worker may run, and until when. All times are on the clock of this process.
type leases struct {
	longest time.Duration // that the worker accepts, on its own clock
	// grantDeadline is until when the owner has granted the lease, and grantedUntil when each lease that
	// was given to the worker under a grant has certainly expired.
	grantDeadline time.Time
	grantedUntil  time.Time
	// staleUntil is when each stale lease of the worker has certainly expired, see
	// link.MaxStaleLease. It is the zero time if the worker can have none.
	staleUntil time.Time
	// fenced says that the worker's incarnation has answered a call with the fencing token of a
	// session that began after the last call to an earlier one. None of those has an effect any more.
	fenced bool
}

// newLeases returns the bounds for a worker that an earlier agent process may have called.
func newLeases(longest time.Duration) leases {
	return leases{longest: longest, grantedUntil: time.Now().Add(initialLeaseBound)}
}

// restarted records that another incarnation of the worker runs under an ID to which calls were sent
// until now. Calls that it may still carry out give it stale leases.
func (l *leases) restarted() {
	l.staleUntil, l.fenced = time.Now().Add(link.MaxUnfencedLease(l.longest)), false
}

// learnRestarted records that the owner knows of an earlier incarnation, which this process has not met:
// calls of an earlier agent process may give the worker stale leases.
func (l *leases) learnRestarted() {
	if !l.fenced && l.staleUntil.IsZero() {
		l.restarted()
	}
}

// replaced records that a worker with another ID runs. It rejects all calls that were not meant for it.
func (l *leases) replaced() { l.staleUntil, l.fenced = time.Time{}, true }

// fence records that the worker answered a call of the current session at the time got.
func (l *leases) fence(got time.Time) {
	if l.fenced {
		return
	}
	l.fenced = true
	if until := got.Add(link.MaxStaleLease(l.longest)); until.Before(l.staleUntil) {
		l.staleUntil = until
	}
}

// staleFor returns for how long the worker may still hold a stale lease.
func (l *leases) staleFor() time.Duration { return max(time.Until(l.staleUntil), 0) }

// expired reports whether all leases of the worker have expired.
func (l *leases) expired() bool {
	return time.Now().After(l.grantedUntil) && l.staleFor() == 0
}

// extendGrant records a lease of duration ttl that the owner granted for a report that was sent
// at the time sent.
func (l *leases) extendGrant(sent time.Time, ttl time.Duration) {
	if ttl <= 0 {
		return
	}
	if deadline := sent.Add(ttl); deadline.After(l.grantDeadline) {
		l.grantDeadline = deadline
	}
}

// grantLease returns the granted lease deadline on the worker's clock, for a call that is about
// to be sent, or 0 if there is no lease to give. The lease of a silent worker is not
// extended, so that it can expire. The worker reads its clock before its answer arrives, so
// the result is never later than the granted deadline. grantLease also moves grantedUntil, so
// it is only called for a call that is sent. The drift counts from the reading of the clock.
func (r *Runner) grantLease() int64 {
	if r.silent || r.clockReadAt.IsZero() || !time.Now().Before(r.leases.grantDeadline) {
		return 0
	}
	counted := r.leases.grantDeadline.Sub(r.clockReadAt)
	r.leases.grantedUntil = latest(r.leases.grantedUntil, r.leases.grantDeadline.Add(counted/link.ClockDriftDivisor+leaseExpiryMargin))
	return r.workerClock + counted.Milliseconds()
}

// leastClock returns what the clock of the worker's known incarnation has reached by now at least, in ms; 0 if no
// reading of it is known.
func (r *Runner) leastClock() int64 {
	if r.clockReadAt.IsZero() {
		return 0
	}
	elapsed := time.Since(r.clockReadAt)
	return r.workerClock + (elapsed - elapsed/link.ClockDriftDivisor).Milliseconds()
}

// leasesExpired reports whether the worker is silent and all leases given to it have expired. A worker
// that is silent after it has deregistered has ended, and nothing runs there whatever its leases.
func (r *Runner) leasesExpired() bool { return r.silent && (r.left || r.leases.expired()) }

// declareLeasesExpired returns leasesExpired for a message to the owner. Since the owner starts the
// tasks elsewhere then, the last grant is void: a worker that answers again gets no lease, with which
// it would carry out a late start, before the next session has earned one.
func (r *Runner) declareLeasesExpired() bool {
	expired := r.leasesExpired()
	if expired {
		r.leases.grantDeadline = time.Time{}
	}
	return expired
}

// stopUngranted stops all runs of a worker with a stale lease before the granted leases expire. The stale
// lease would not end them then, and no owner has granted it.
func (r *Runner) stopUngranted() {
	if r.registration == nil || r.silent || r.leases.staleFor() == 0 || time.Until(r.leases.grantedUntil) > stopMargin {
		return
	}
	for name, known := range r.runs {
		if known.stopping {
			continue
		}
		r.log.Warn("stop-ungranted", zap.Stringer("task", name), zap.Int64("run", known.number), zap.Duration("stale", r.leases.staleFor()))
		r.settleByStop(known, name)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
