package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// leaseTTL is the duration of the lease granted for a report, from the time at which the
	// agent sent it. After the session of an instance has ended, its tasks start elsewhere no
	// earlier than leaseExpiryWait after the instance's last grant or attach, unless its
	// agent reports that the leases have expired or a later incarnation replaces it.
	leaseTTL = 3500 * time.Millisecond
	// leaseExpiryWait is the time on the owner's clock after which a lease has certainly
	// expired: the clocks may run at rates that differ by 2 %, so a fortieth (2.5 %) of
	// leaseTTL is added, and 50 ms.
	leaseExpiryWait = leaseTTL + leaseTTL/40 + 50*time.Millisecond
	// epochConfirmationTTL is how long the owner grants leases after the table last
	// confirmed its epoch. Tasks therefore continue during a short outage of the table.
	epochConfirmationTTL = 4500 * time.Millisecond
	// sessionTimeout is the time without a report after which a session ends, although its link
	// is open: a link may turn silent without a close. An agent that reports has by then given
	// the session up itself, since it waits for at most one second for a reply.
	sessionTimeout = 2500 * time.Millisecond
	// takeoverWait is the time from a claim until every lease that an earlier owner granted
	// has expired. A fortieth of epochConfirmationTTL is added for the clocks' rates too.
	takeoverWait = epochConfirmationTTL + epochConfirmationTTL/40 + leaseExpiryWait
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

// Conn identifies the link on which a call of another process arrives.
type Conn struct {
	link *link.Conn
}

// NewConn returns a Conn without a link. Bind sets the link.
func NewConn() *Conn { return &Conn{} }

// Bind sets the link. It must be called before the first call is served.
func (c *Conn) Bind(conn *link.Conn) { c.link = conn }

// session is an agent's session with the owner.
type session struct {
	conn             *Conn
	number           uint64
	incarnation      dispatch.Incarnation
	full             bool      // the agent has sent its full run list
	silent           bool      // the worker did not answer its agent at the last report
	lastSeenEnd      int64     // highest sequence number of an end that the scheduler has recorded
	lastCommittedEnd int64     // highest sequence number of an end that is in the table
	lastSentCommit   int64     // lastCommittedEnd as last sent to the agent
	ackDue           time.Time // when a lastCommittedEnd that was not sent yet is sent on its own
	// leaseCountedFrom is the time of the last grant, or of the attach before the first one:
	// leases of the previous session were granted before the attach.
	leaseCountedFrom time.Time
	lastReportAt     time.Time                     // of the last report, or of the attach before the first one
	sentCost         map[interference.Pair]float64 // costs that the agent was last sent
}

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

	leaseExpiry      map[string]time.Time      // of instances without a session: when their last lease expires
	revisions        map[table.RowKey]uint64   // last known revision per row
	changes          []dispatch.InstanceChange // instance rows to be committed
	staleLeaseUntil  map[string]time.Time      // until when an order to the previous incarnation may still give a restarted instance a lease
	removing         map[string]bool           // by instance ID: a removal of its row is in flight
	removalUncertain map[string]bool           // instances whose row an unanswered removal may still remove
	finished         []finishedJob             // in the order in which they finished

	pendingJobs []*pendingJob

	committing      bool
	commitScheduled bool // the timer for the next commit is running
	commitRetryAt   time.Time
	epochConfirmed  instant // when the last call that confirmed the epoch was sent
	planScheduled   bool
	lastPlanAt      time.Time     // when the last plan ended
	planDuration    time.Duration // how long the last plan took
	// commitFailures logs commits that were refused or not answered.
	commitFailures  *logs.FailureLogger
	costs           []interference.Estimate // as last written to the costs row
	costsComparedAt time.Time               // when costs was last compared with the scheduler's estimates
	jobsRevision    uint64
	heartbeat       uint64
	stop            context.CancelFunc
	ctx             context.Context
	onEnd           func() // set by handOver: the handover is in progress; called when the term ends
}

// finishedJob is a finished job and the time at which its rows are to be removed.
type finishedJob struct {
	id     string
	remove time.Time
}

func newTerm(e *Elector, holder Holder, claimed instant) *term {
	ctx, stop := context.WithCancel(e.loop.Context())
	log := e.log.With(zap.Uint64("epoch", holder.Epoch))
	return &term{
		elector: e, log: log, commitFailures: logs.NewFailureLogger(log, "commit-unanswered"),
		epoch: holder.Epoch, ownerRevision: holder.OwnerRevision, claimed: claimed.at, epochConfirmed: claimed,
		scheduler: dispatch.New(holder.Epoch, holder.OwnerRevision), sessions: map[string]*session{},
		leaseExpiry: map[string]time.Time{}, revisions: map[table.RowKey]uint64{}, removing: map[string]bool{}, removalUncertain: map[string]bool{}, staleLeaseUntil: map[string]time.Time{},
		ctx: ctx, stop: stop,
	}
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
	t.endSubmissions()
	for _, s := range t.sessions {
		s.conn.link.Close()
	}
	if t.onEnd != nil {
		t.onEnd()
	}
}

// load starts the renewal of the alive row and reads the state of earlier owners from the
// table, with retries until that succeeds.
func (t *term) load() {
	t.run(alivePeriod, t.renewAliveRow)
	t.elector.loop.Go(func() {
		for t.ctx.Err() == nil {
			persisted, err := t.read()
			if err == nil {
				t.post(func() { t.open(persisted) })
				return
			}
			t.log.Warn("load-failed", logs.Error(err))
			sleep(t.ctx, commitRetryDelay)
		}
	})
}

// persistedRows are the rows that earlier owners left in the table.
type persistedRows struct {
	instances, costs, jobs []table.Record
	jobsRevision           uint64 // revision at which the jobs were read
}

func (t *term) read() (persisted persistedRows, err error) {
	callCtx, cancel := context.WithTimeout(t.ctx, maxCallTimeout)
	defer cancel()
	read := func(name string) (rows []table.Record, revision uint64) {
		if err == nil {
			rows, revision, err = t.elector.store.Read(callCtx, table.Range{Table: name, Partition: shardPartition})
		}
		return rows, revision
	}
	persisted.instances, _ = read(tableInstances)
	persisted.costs, _ = read(tableCosts)
	persisted.jobs, persisted.jobsRevision = read(tableJobs)
	return persisted, err
}

// open gives the scheduler the state found in the table and starts the periodic work of the
// term.
func (t *term) open(persisted persistedRows) {
	t.restore(persisted)
	t.log.Info("term", zap.Int("instances", len(persisted.instances)), zap.Int("rows", len(persisted.jobs)), zap.Duration("took", time.Since(t.claimed)))
	t.run(jobsPollPeriod, t.pollJobs)
	t.run(tickPeriod, t.tick)
	t.schedulePlan()
}

// restore gives the scheduler the state found in the table. It leaves epochConfirmed as it
// is, since the read did not look at the owner's row.
func (t *term) restore(persisted persistedRows) {
	for _, row := range persisted.instances {
		var registration dispatch.Registration
		if err := json.Unmarshal(row.Value, &registration); err != nil {
			t.log.Warn("row-ignored", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		t.revisions[row.RowKey] = row.Revision
		t.scheduler.RestoreInstance(registration)
		t.leaseExpiry[registration.Incarnation.ID] = t.claimed.Add(takeoverWait)
	}
	t.restoreCosts(persisted.costs)
	t.applyRows(persisted.jobs)
	t.jobsRevision, t.loaded = persisted.jobsRevision, true
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

// applyRows passes jobs and cancellations from rows of the jobs table to the scheduler.
func (t *term) applyRows(rows []table.Record) {
	jobs := gatherJobs(rows, func(key string, err error) {
		t.log.Warn("row-ignored", zap.String("key", key), logs.Error(err))
	})
	for id, stored := range jobs {
		if t.ended {
			return
		}
		if stored.job != nil {
			if _, known := t.revisions[jobRowKey(id, suffixProgress)]; !known {
				t.revisions[jobRowKey(id, suffixProgress)] = stored.progressRevision
			}
			t.accept(stored.job, stored.progress)
		}
		if stored.cancelled {
			t.cancel(id)
		}
	}
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
		t.finished = append(t.finished, finishedJob{job.ID, time.Now().Add(t.elector.settings.Retention)})
	}
	t.schedulePlan()
}

func (t *term) cancel(id string) {
	if t.scheduler.Cancel(id) {
		t.log.Info("cancel", zap.String("job", id))
		t.schedulePlan()
	}
}

// handleCall handles a call to the owner. It runs on the loop.
func (t *term) handleCall(conn *Conn, method string, params []byte) (any, error) {
	switch method {
	case link.MethodAttach:
		attach, err := link.Decode[link.Attach](params)
		if err != nil {
			return nil, err
		}
		return t.handleAttach(conn, attach), nil
	case link.MethodReport:
		report, err := link.Decode[link.Report](params)
		if err != nil {
			return nil, err
		}
		return t.handleReport(conn, report)
	case link.MethodAccepted:
		accepted, err := link.Decode[link.Accepted](params)
		if err == nil && accepted.Job.OwnerRevision == t.ownerRevision {
			t.accept(&accepted.Job, nil)
		}
		return nil, err
	case link.MethodCancelled:
		cancelled, err := link.Decode[link.Cancelled](params)
		if err == nil {
			t.cancel(cancelled.ID)
		}
		return nil, err
	case link.MethodKnown:
		job, err := link.Decode[link.JobID](params)
		if err != nil {
			return nil, err
		}
		return t.known(job.ID), nil
	case link.MethodBacklog:
		return link.Backlog{Counts: t.scheduler.Backlog()}, nil
	}
	return nil, errors.Newf("unknown method %s", method)
}

// known returns what the scheduler knows of a job. It reports a final state only if that
// state is in the table, and Running for every other known job, started or not.
func (t *term) known(id string) link.Known {
	if state, done := t.scheduler.Finished(id); done {
		return link.Known{Known: true, State: state}
	}
	return link.Known{Known: t.scheduler.Active(id), State: dispatch.Running}
}

// schedulePlan schedules the next plan. It leaves a pause after the last plan of
// planIdleFactor times that plan's duration, but waits at most tickPeriod.
func (t *term) schedulePlan() {
	if t.planScheduled || !t.loaded {
		return
	}
	t.planScheduled = true
	plan := func() {
		t.post(func() {
			t.planScheduled = false
			t.dispatch()
		})
	}
	if rest := time.Until(t.lastPlanAt.Add(planIdleFactor * t.planDuration)); rest > 0 {
		time.AfterFunc(min(rest, tickPeriod), plan)
		return
	}
	plan()
}

// tick does the work that depends on the time alone: recurring jobs that are due, silent
// sessions, expired leases, a new plan and acknowledgements.
func (t *term) tick() {
	t.scheduler.Trigger(t.elector.nowMillis())
	t.endSilentSessions(time.Now())
	t.removeExpired()
	t.dispatch()
	t.sendAcks(time.Now())
}

// dispatch makes a plan, sends the resulting orders to the agents and schedules a commit of
// the scheduler's changes. Starts are not stored, neither before they are sent nor by that
// commit: a later owner learns which runs exist on an instance from its full report, and from
// the instance rows for which instances it must wait.
func (t *term) dispatch() {
	orders := map[string]*link.Orders{}
	ordersFor := func(id string) *link.Orders {
		if orders[id] == nil {
			orders[id] = &link.Orders{}
		}
		return orders[id]
	}
	now := time.Now()
	starts := t.scheduler.Plan(now)
	t.lastPlanAt = time.Now()
	t.planDuration = t.lastPlanAt.Sub(now)
	t.elector.registry.Observe("plan", t.planDuration)
	for _, start := range starts {
		t.log.Info("start", zap.Stringer("task", start.Task), zap.Int64("run", start.Run), zap.String("instance", start.Instance))
		ordersFor(start.Instance).Starts = append(ordersFor(start.Instance).Starts, startOrder(start))
	}
	for _, stop := range t.scheduler.TakeStops() {
		t.log.Info("stop", zap.Stringer("task", stop.Task), zap.Int64("run", stop.Run), zap.String("instance", stop.Instance))
		ordersFor(stop.Instance).Stops = append(ordersFor(stop.Instance).Stops, link.StopOrder{Task: stop.Task, Run: stop.Run})
	}
	for id, order := range orders {
		t.send(id, order)
	}
	t.collectInstanceChanges()
	t.scheduleCommit()
}

// collectInstanceChanges queues the instance rows that the scheduler wants written or
// removed. The lease of a removed instance is no longer waited for.
func (t *term) collectInstanceChanges() {
	for _, change := range t.scheduler.TakeInstanceChanges() {
		t.changes = append(t.changes, change)
		if change.Gone {
			delete(t.leaseExpiry, change.Registration.Incarnation.ID)
		}
	}
}

// send sends orders to the agent of an instance. If the call fails, the session ends; the
// full run list of the agent's next session shows which orders were carried out.
func (t *term) send(id string, orders *link.Orders) {
	s := t.sessions[id]
	if s == nil {
		return
	}
	orders.Session, orders.Committed = s.number, s.lastCommittedEnd
	s.lastSentCommit = s.lastCommittedEnd
	t.elector.loop.Go(func() {
		callCtx, cancel := context.WithTimeout(t.ctx, ordersTimeout)
		defer cancel()
		var done struct{}
		if err := s.conn.link.Call(callCtx, link.MethodOrders, orders, &done); err != nil && t.ctx.Err() == nil {
			t.log.Warn("orders-failed", zap.String("instance", id), logs.Error(err))
			s.conn.link.Close()
		}
	})
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
