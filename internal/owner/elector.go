package owner

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// alivePeriod is the longest time without a confirmation of the epoch after which the
	// owner writes the alive row on its own.
	alivePeriod = 300 * time.Millisecond
	// watchPeriod is the time between two reads of the alive row by each entry.
	watchPeriod = 300 * time.Millisecond
	// ownerTimeout is how long the alive row must stay unchanged until the owner is
	// considered failed, while reads are fast. readLatencyFactor times the duration of a
	// read is added to it, and yieldDelay in a process that yields to a better suited one.
	ownerTimeout = 1100 * time.Millisecond
	// A gap between two answered reads counts as an outage of the table if it exceeds the
	// sum of watchPeriod, the duration of a read and outageThreshold.
	// postOutageGrace is added to ownerTimeout after an outage, because a call of the owner
	// that got no answer may delay its next renewal.
	outageThreshold = 700 * time.Millisecond
	postOutageGrace = 700 * time.Millisecond
	// yieldDelay is the additional time that a process waits before it claims while
	// another process is better suited to be the owner. initialClaimDelay is the time from
	// its start that each process waits before it claims a shard that never had an owner:
	// before that, it does not know yet which other processes run.
	yieldDelay        = 900 * time.Millisecond
	initialClaimDelay = 600 * time.Millisecond
	// readLatencyFactor is the factor for the duration of a read in the bound described at
	// ownerTimeout.
	readLatencyFactor = 8
	// A call to the table may take minCallTimeout plus callLatencyFactor times the recent
	// read latency, but no longer than maxCallTimeout.
	minCallTimeout    = time.Second
	callLatencyFactor = 12
	maxCallTimeout    = 4 * time.Second
)

// Settings configure an Elector.
type Settings struct {
	Name      string        // of this process, unique among the running processes
	Address   string        // of this process's link, host:port
	Retention time.Duration // how long the rows of a finished job stay in the table
	MaxLease  time.Duration // longest lease that a worker accepts, on its own clock
	// Outranked reports whether another process is clearly better suited to be the owner.
	// nil means that none is.
	Outranked func() bool
	// Suspended returns for how long the machine has been suspended in all. nil means never.
	Suspended func() time.Duration
	// Standby marks a process that owns the shard only while no other kind of process does. It
	// claims later than they do, and they claim from it.
	Standby bool
	// Served reports whether the process is served by another owner, so that it need not watch
	// the alive row. nil means that it always watches.
	Served func() bool
	// Evacuations are the requests to evacuate failure domains.
	Evacuations Evacuations
}

// Elector watches which process owns the shard, claims the ownership when the owner has
// failed or handed over, and runs the term of this process while it is the owner. The
// fields from holder on belong to the loop; the others never change. The exported methods may
// be called from any goroutine other than the loop's.
type Elector struct {
	settings      Settings
	store         *table.Store
	health        *table.Health
	loop          *loop.Loop
	log           *zap.Logger
	registry      *metrics.Registry
	nowMillis     func() int64
	onOwnerChange func(Holder)

	holder         Holder    // as last read
	aliveRevision  uint64    // revision of the alive row
	holderSince    time.Time // when holder became the owner, as seen by this process
	changedAt      time.Time // from when on the row counts as unchanged
	unchangedReads int       // reads since the alive row changed; 2 are needed before the owner counts as failed
	lastReadAt     time.Time // when the last successful read returned
	claiming       bool
	resigning      bool
	standbyDelay   time.Duration // of a standby, see minStandbyDelay
	term           *term
	readFailures   *logs.FailureLogger
	room           atomic.Pointer[room] // see gaugeRoom
}

// New returns an Elector. nowMillis returns the Unix time in ms. onOwnerChange is called on
// the loop at each change of the owner.
func New(settings Settings, store *table.Store, health *table.Health, l *loop.Loop, log *zap.Logger, registry *metrics.Registry, nowMillis func() int64, onOwnerChange func(Holder)) *Elector {
	e := &Elector{
		settings: settings, store: store, health: health, loop: l, log: log, registry: registry, nowMillis: nowMillis, onOwnerChange: onOwnerChange,
		changedAt: time.Now(), holderSince: time.Now(), standbyDelay: newStandbyDelay(), readFailures: logs.NewFailureLogger(log, "watch-owner-failed"),
	}
	registry.Gauge("room", func() any { return e.room.Load() })
	return e
}

// Run starts to read the alive row periodically, until the loop ends. It returns at once.
func (e *Elector) Run() {
	e.loop.GoEvery(e.watchPeriod(), e.readAliveRow)
}

// readAliveRow reads the alive row once and handles the result on the loop.
func (e *Elector) readAliveRow(ctx context.Context) {
	if e.settings.Served != nil && e.settings.Served() {
		return
	}
	callCtx, cancel := e.withCallTimeout(ctx)
	defer cancel()
	began := time.Now()
	rows, _, err := e.store.Read(callCtx, table.Range{Table: tableAlive, Partition: shardPartition})
	took := time.Since(began)
	e.loop.Post(func() {
		e.readFailures.Note(err)
		if err == nil {
			e.handleRead(rows, took)
		}
	})
}

// handleRead updates the known owner from a read that took the given time, and claims the
// ownership if the owner has failed, has handed over or never existed.
func (e *Elector) handleRead(rows []table.Record, took time.Duration) {
	now := time.Now()
	if now.Sub(e.lastReadAt) > e.watchPeriod()+outageThreshold+max(took, e.health.ReadLatency()) && e.aliveRevision > 0 {
		// The row may have stayed unchanged only because of the outage: the owner could not
		// write it, or this process could not read it. So the silence is counted anew,
		// postOutageGrace later.
		e.changedAt, e.unchangedReads = now.Add(postOutageGrace), 0
	}
	e.lastReadAt = now
	if len(rows) == 0 {
		if time.Since(e.changedAt) >= initialClaimDelay+e.yield() {
			e.claim("no owner yet")
		}
		return
	}
	if rows[0].Revision < e.aliveRevision {
		return
	}
	if rows[0].Revision > e.aliveRevision {
		e.updateHolder(rows[0])
	} else {
		e.unchangedReads++
	}
	silent := time.Since(e.changedAt)
	bound := ownerTimeout + readLatencyFactor*max(took, e.health.ReadLatency()) + e.yield()
	switch {
	case e.holder.Name == "" && silent >= e.yield():
		e.claim("handed over")
	case e.term == nil && e.holder.Name == e.settings.Name:
		// The reply to a claim of this process was lost, or an earlier incarnation of it
		// was the owner.
		e.claim("own earlier claim")
	case e.term == nil && e.outranksOwner():
		e.claim("the owner is a standby")
	case e.term == nil && e.holder.Name != "" && e.unchangedReads >= 2 && silent > bound:
		e.claim("owner silent", zap.Duration("silent", silent), zap.Uint64("epoch", e.holder.Epoch))
	}
}

// yield returns how long this process waits so that a better suited one can claim first.
func (e *Elector) yield() time.Duration {
	if e.settings.Standby {
		return e.standbyDelay + readLatencyFactor*e.health.ReadLatency()
	}
	if e.settings.Outranked != nil && e.settings.Outranked() {
		return yieldDelay
	}
	return 0
}

func (e *Elector) updateHolder(row table.Record) {
	holder, err := ReadHolder(row)
	if err != nil {
		e.log.Warn("row-ignored", logs.Error(err))
		return
	}
	e.aliveRevision, e.changedAt, e.unchangedReads = row.Revision, time.Now(), 0
	changed := holder.OwnerRevision != e.holder.OwnerRevision
	e.holder = holder
	if changed {
		e.holderSince = time.Now()
		e.log.Info("owner", zap.String("owner", holder.Name), zap.Uint64("epoch", holder.Epoch), zap.Uint64("version", holder.OwnerRevision))
		e.onOwnerChange(holder)
	}
	if e.term != nil && holder.OwnerRevision > e.term.ownerRevision {
		e.stepDown("another owner was seen")
	}
}

// claim tries to become the owner with a transaction whose precondition is that the owner's
// row is at the last known revision. It does nothing while this process is the owner, is
// claiming or has resigned.
func (e *Elector) claim(why string, fields ...zap.Field) {
	if e.claiming || e.resigning || e.term != nil {
		return
	}
	e.claiming = true
	e.log.Info("claim", append(fields, zap.String("reason", why), zap.Uint64("version", e.holder.OwnerRevision))...)
	next := e.self(e.holder.Epoch + 1)
	txn, err := handoverTxn(e.holder.OwnerRevision, next)
	if err != nil {
		e.log.Error("claim-failed", logs.Error(err))
		return
	}
	sent := e.now()
	e.loop.Go(func() {
		applied, err := e.apply(txn)
		e.loop.Post(func() {
			e.claiming = false
			if applied.Outcome != table.Committed {
				e.log.Info("claim-lost", zap.Stringer("outcome", applied.Outcome), logs.Error(err))
				return
			}
			next.OwnerRevision = applied.Revision
			e.startTerm(next, sent)
		})
	})
}

// self returns this process as the owner with the given epoch.
func (e *Elector) self(epoch uint64) Holder {
	return Holder{Epoch: epoch, Name: e.settings.Name, Address: e.settings.Address, Standby: e.settings.Standby}
}

// handoverTxn returns the transaction that makes next the owner if the owner's row is at
// ownerRevision.
func handoverTxn(ownerRevision uint64, next Holder) (table.Txn, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return table.Txn{}, errors.Wrap(err, "encode owner row")
	}
	return table.Txn{
		Preconditions: []table.Precondition{{RowKey: ownerRowKey(), Revision: ownerRevision}},
		Puts:          []table.Put{{RowKey: ownerRowKey(), Value: value}, {RowKey: aliveRowKey(), Value: value}},
	}, nil
}

// withCallTimeout returns a context with the timeout of one call to the table, which grows
// with the recent read latency.
func (e *Elector) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, min(minCallTimeout+callLatencyFactor*e.health.ReadLatency(), maxCallTimeout))
}

func (e *Elector) apply(txn table.Txn) (table.TxnResult, error) {
	callCtx, cancel := e.withCallTimeout(e.loop.Context())
	defer cancel()
	return e.store.Apply(callCtx, txn)
}

// startTerm starts a term of this process after a successful claim, which was sent at the
// instant claimed.
func (e *Elector) startTerm(holder Holder, claimed instant) {
	e.aliveRevision, e.holder, e.changedAt, e.unchangedReads = holder.OwnerRevision, holder, time.Now(), 0
	e.holderSince = time.Now()
	e.term = newTerm(e, holder, claimed)
	e.registry.Add("terms", 1)
	e.onOwnerChange(holder)
	e.term.load()
}

// stepDown ends the term of this process, if there is one. The table is not written.
func (e *Elector) stepDown(why string) {
	if e.term == nil {
		return
	}
	e.log.Warn("ownership-lost", zap.String("reason", why), zap.Uint64("epoch", e.term.epoch))
	e.term.end()
	e.term = nil
}

// Resign gives up the ownership if this process has it, and makes no further claims. It
// returns when the ownership has been given up or ctx is done.
func (e *Elector) Resign(ctx context.Context) {
	done := make(chan struct{})
	err := e.loop.Do(func() {
		e.resigning = true
		if e.term == nil {
			close(done)
			return
		}
		e.term.handOver(func() { close(done) })
	})
	if err != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Serve handles a call that arrived on conn, which is nil for calls of this process. ok is
// false if the method is not one of those below. Every process answers MethodWhoOwns and MethodEvacuated. For the
// other methods err is ErrNotOwner if this process is not the owner or has not loaded its
// state yet.
func (e *Elector) Serve(ctx context.Context, conn *Conn, method string, params []byte) (result any, ok bool, err error) {
	switch method {
	case link.MethodWhoOwns:
		var owns link.OwnerReply
		err = e.loop.Do(func() { owns = link.OwnerReply{Address: e.holder.Address, OwnerRevision: e.holder.OwnerRevision} })
		return owns, true, err
	case link.MethodEvacuated:
		result, err = e.handleEvacuated(params)
		return result, true, err
	case link.MethodAttach, link.MethodReport, link.MethodAccepted, link.MethodCancelled, link.MethodBacklog, link.MethodKnown, link.MethodExplain:
		return e.serveTerm(ctx, conn, method, params)
	}
	return nil, false, nil
}

// ErrNotOwner is returned for a call to the owner if the called process is not the owner or
// has not loaded its state yet, or if no owner is known.
var ErrNotOwner = errors.New("not the owner")

func (e *Elector) serveTerm(_ context.Context, conn *Conn, method string, params []byte) (result any, ok bool, err error) {
	loopErr := e.loop.Do(func() {
		if e.term == nil || !e.term.loaded {
			err = ErrNotOwner
			return
		}
		result, err = e.term.handleCall(conn, method, params)
	})
	return result, true, errors.CombineErrors(err, loopErr)
}
