package owner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

const (
	// leaseTTL is the duration of the lease granted for a report, from the time at which the
	// agent sent it. After the session of an instance has ended, its tasks start elsewhere no
	// earlier than leaseExpiryWait after the instance's last grant or attach, unless its
	// agent reports that the leases have expired or a later incarnation replaces it.
	leaseTTL = 3500 * time.Millisecond
	// leaseExpiryWait is the time on the owner's clock after which a lease has certainly
	// expired: the drift of the clocks is added, and 50 ms.
	leaseExpiryWait = leaseTTL + leaseTTL/link.ClockDriftDivisor + 50*time.Millisecond
	// epochConfirmationTTL is how long the owner grants leases after the table last
	// confirmed its epoch. Tasks therefore continue during a short outage of the table.
	epochConfirmationTTL = 4500 * time.Millisecond
	// sessionTimeout is the time without a report after which a session ends, although its link
	// is open: a link may turn silent without a close. An agent that reports has by then given
	// the session up itself, since it waits for at most one second for a reply.
	sessionTimeout = 2500 * time.Millisecond
	// grantedLeaseWait is the time from a claim until every lease that an earlier owner granted
	// has expired.
	grantedLeaseWait = epochConfirmationTTL + epochConfirmationTTL/link.ClockDriftDivisor + leaseExpiryWait
	// tickPeriod is the time between two calls of term.tick.
	tickPeriod = 50 * time.Millisecond
	// planIdleFactor times the duration of a plan is the pause before a plan that
	// schedulePlan schedules, so that the loop has time for other work. tick plans
	// regardless of it.
	planIdleFactor = 7
	// commitDelay is the delay of a commit for which no caller waits.
	commitDelay = 40 * time.Millisecond
	// commitRetryDelay is the delay after a commit that the table refused or did not answer,
	// and after a failed load.
	commitRetryDelay = 100 * time.Millisecond
	// jobsPollPeriod is the time between two polls of the table for jobs and cancellations
	// of which no entry has notified the owner.
	jobsPollPeriod = 500 * time.Millisecond
	// ordersTimeout bounds the time in which an agent must confirm orders.
	ordersTimeout = time.Second
)

// term is one period of ownership of the shard by this process. Its fields belong to the
// loop. Its methods run on the loop, except read and post.
type term struct {
	elector       *Elector
	log           *zap.Logger
	epoch         uint64
	ownerRevision uint64
	claimed       time.Time
	loaded        bool
	ended         bool
	scheduler     *dispatch.Scheduler
	sessions      map[string]*session // by ID of the worker's incarnation
	attached      map[string]bool     // instances that have had a session in this term

	leaseExpiry      map[string]time.Time      // of instances without a session: when their last lease expires
	grantsEnd        map[string]time.Time      // of the same: when the last lease that an owner granted expires; no start is sent after that
	revisions        map[table.RowKey]uint64   // last known revision per row
	changes          []dispatch.InstanceChange // instance rows to be committed
	attaches         uint64                    // how often an agent has attached in this term, whichever it was, see link.Fence
	staleLeaseUntil  map[string]time.Time      // until when the worker of an instance may hold a stale lease, as its agent says
	removing         map[string]bool           // by instance ID: a removal of its row is in flight
	removalUncertain map[string]bool           // instances whose row an unanswered removal may still remove
	finished         []finishedJob             // in the order in which they finished
	expiring         map[string]bool           // the IDs in finished

	pendingJobs []*pendingJob

	committing      bool
	commitScheduled bool // the timer for the next commit is running
	commitRetryAt   time.Time
	epochConfirmed  instant // when the last call that confirmed the epoch was sent
	planScheduled   bool
	lastPlanAt      time.Time     // when the last plan ended
	planDuration    time.Duration // how long the last plan took
	// commitFailures logs commits that were refused or not answered.
	commitFailures *logs.FailureLogger
	// progressFailures logs progress that fits into no row.
	progressFailures    *logs.FailureLogger
	costs               []interference.Estimate // as last written to the costs row
	costsComparedAt     time.Time               // when costs was last compared with the scheduler's estimates
	starts              []byte                  // the starts row, as last committed
	startsOrdered       bool                    // starts were ordered since the last write of the starts row
	durations           []byte                  // the durations row, as last committed
	durationsComparedAt time.Time               // the same for durations
	jobsRevision        uint64
	heartbeat           uint64
	waitsLoggedAt       time.Time       // when logWaits last counted the waiting tasks
	roomGaugedAt        time.Time       // when gaugeRoom last set its gauge
	inForce             map[string]bool // evacuated domains whose agents all refuse starts, or that have no instance
	stop                context.CancelFunc
	ctx                 context.Context
	onEnd               func() // set by handOver: the handover is in progress; called when the term ends
	commitsLeft         int    // of unsaved progress, before the handover
}

// finishedJob is a finished job, or a tombstone, and the time at which its rows are to be removed.
type finishedJob struct {
	id     string
	remove time.Time
}

func newTerm(e *Elector, holder Holder, claimed instant) *term {
	ctx, stop := context.WithCancel(e.loop.Context())
	log := e.log.With(zap.Uint64("epoch", holder.Epoch))
	t := &term{
		elector: e, log: log, ctx: ctx, stop: stop,
		commitFailures:   logs.NewFailureLogger(log, "commit-unanswered"),
		progressFailures: logs.NewFailureLogger(log, "progress-not-stored"),
		epoch:            holder.Epoch,
		ownerRevision:    holder.OwnerRevision,
		claimed:          claimed.at,
		epochConfirmed:   claimed,
		scheduler:        dispatch.New(holder.Epoch, holder.OwnerRevision),
		sessions:         map[string]*session{},
		attached:         map[string]bool{},
		leaseExpiry:      map[string]time.Time{},
		grantsEnd:        map[string]time.Time{},
		revisions:        map[table.RowKey]uint64{},
		removing:         map[string]bool{},
		removalUncertain: map[string]bool{},
		staleLeaseUntil:  map[string]time.Time{},
		inForce:          map[string]bool{},
		expiring:         map[string]bool{},
	}
	t.scheduler.SetLongestLease(link.MaxStaleLease(e.settings.MaxLease))
	return t
}

// post runs f on the loop, unless the term has ended by then.
func (t *term) post(f func()) {
	t.elector.loop.Post(func() {
		if !t.ended {
			f()
		}
	})
}

func (t *term) end() {
	t.ended = true
	t.stop()
	t.elector.room.Store(nil)
	t.endSubmissions()
	for _, s := range t.sessions {
		s.conn.link.Close()
	}
	if t.onEnd != nil {
		t.onEnd()
	}
}

// run calls f on the loop once per period until the term ends.
func (t *term) run(period time.Duration, f func()) {
	t.elector.loop.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-t.ctx.Done():
				return
			case <-ticker.C:
				t.post(f)
			}
		}
	})
}

func (t *term) accept(job *dispatch.Job, progress *dispatch.Progress) {
	if job.OwnerRevision > t.ownerRevision {
		// Only that later owner may start the job.
		t.elector.stepDown("a job was accepted under a later owner")
		return
	}
	if err := job.Validate(); err != nil {
		t.log.Warn("job-ignored", zap.String("job", job.ID), logs.Error(err))
		return
	}
	if t.scheduler.Accept(time.Now(), job, progress) {
		t.log.Info("job", zap.String("job", job.ID), zap.String("queue", job.Queue), zap.Int("steps", len(job.Steps)), zap.Uint64("under", job.OwnerRevision))
	} else if state, done := t.scheduler.Finished(job.ID); done && progress != nil && progress.State == state {
		t.expire(job.ID)
	}
	t.schedulePlan()
}

func (t *term) cancel(id string) {
	if t.scheduler.Cancel(id) {
		t.log.Info("cancel", zap.String("job", id))
		t.schedulePlan()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
