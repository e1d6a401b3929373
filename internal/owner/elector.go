package owner

import (
	"context"
	"encoding/json"
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
	// alivePeriod is the time between two writes of the owner's alive row.
	alivePeriod = 300 * time.Millisecond
	// watchPeriod is the time between two reads of it by the other entries.
	watchPeriod = 300 * time.Millisecond
	// silentAfter is how long the alive row stays unchanged before the owner counts as
	// gone, beyond the time that reading it takes.
	silentAfter = 1100 * time.Millisecond
	// outageFrom is how long the table leaves reads unanswered, beyond what they take, from
	// which on that was an outage; afterOutage is how much longer than silentAfter an owner
	// then has to renew, as a call that got no answer may hold it up.
	outageFrom  = 700 * time.Millisecond
	afterOutage = 700 * time.Millisecond
	// yieldFor is how much longer a process waits to claim that is outmatched, and
	// firstClaim how long after its start any waits where nobody has owned yet, since it
	// does not know the others before.
	yieldFor   = 900 * time.Millisecond
	firstClaim = 600 * time.Millisecond
	// slownessFactor adds so many times a read's duration to silentAfter.
	slownessFactor = 8
	// callLeast is how long a call to the table may take, beyond slowCalls what reads
	// take lately, and callMost at most.
	callLeast = time.Second
	slowCalls = 12
	callMost  = 4 * time.Second
)

// Settings of a seat.
type Settings struct {
	Name      string        // of the process, unique among those that run
	Address   string        // of its link, host:port
	Retention time.Duration // how long a finished job's state is kept
	// Outranked tells whether another process is clearly better suited to own; nil: none
	// is.
	Outranked func() bool
}

// Elector follows who owns the shard and owns it when that is its turn.
type Elector struct {
	settings Settings
	store    *table.Store
	health   *table.Health
	loop     *loop.Loop
	log      *zap.Logger
	set      *metrics.Registry
	unix     func() int64
	onHolder func(Holder)

	holder    Holder // as last read
	version   uint64 // of the alive row
	changedAt time.Time
	reads     int       // since the row changed
	answered  time.Time // when the last read was answered
	claiming  bool
	leaving   bool
	term      *term
	trouble   *logs.FailureLogger
}

// New makes a seat. unix is the time of day in ms; onHolder is told on the loop of each
// change of the owner.
func New(settings Settings, store *table.Store, health *table.Health, l *loop.Loop, log *zap.Logger, set *metrics.Registry, unix func() int64, onHolder func(Holder)) *Elector {
	return &Elector{
		settings: settings, store: store, health: health, loop: l, log: log, set: set, unix: unix, onHolder: onHolder,
		changedAt: time.Now(), trouble: logs.NewFailureLogger(log, "watch-owner-failed"),
	}
}

// Run follows the owner until the loop ends.
func (s *Elector) Run() {
	s.loop.GoEvery(watchPeriod, s.watch)
}

// watch reads the alive row once.
func (s *Elector) watch(ctx context.Context) {
	bounded, cancel := s.bounded(ctx)
	defer cancel()
	began := time.Now()
	rows, _, err := s.store.Read(bounded, table.Range{Table: tableAlive, Partition: shardPart})
	took := time.Since(began)
	s.loop.Post(func() {
		s.trouble.Note(err)
		if err == nil {
			s.watched(rows, took)
		}
	})
}

// watched takes what a read showed.
func (s *Elector) watched(rows []table.Record, took time.Duration) {
	now := time.Now()
	if now.Sub(s.answered) > watchPeriod+outageFrom+max(took, s.health.ReadLatency()) && s.version > 0 {
		// The row could not change meanwhile, or could not be seen to.
		s.changedAt, s.reads = now.Add(afterOutage), 0
	}
	s.answered = now
	if len(rows) == 0 {
		if time.Since(s.changedAt) >= firstClaim+s.yield() {
			s.claim("no owner yet")
		}
		return
	}
	if rows[0].Revision < s.version {
		return
	}
	if rows[0].Revision > s.version {
		s.sawHolder(rows[0])
	} else {
		s.reads++
	}
	silent := time.Since(s.changedAt)
	bound := silentAfter + slownessFactor*max(took, s.health.ReadLatency()) + s.yield()
	switch {
	case s.holder.Name == "" && silent >= s.yield():
		s.claim("handed over")
	case s.term == nil && s.holder.Name == s.settings.Name:
		// A claim whose answer was lost, or an earlier incarnation of this process.
		s.claim("own earlier claim")
	case s.term == nil && s.holder.Name != "" && s.reads >= 2 && silent > bound:
		s.claim("owner silent", zap.Duration("silent", silent), zap.Uint64("epoch", s.holder.Epoch))
	}
}

// yield is how long this process lets others claim first.
func (s *Elector) yield() time.Duration {
	if s.settings.Outranked != nil && s.settings.Outranked() {
		return yieldFor
	}
	return 0
}

func (s *Elector) sawHolder(row table.Record) {
	holder, err := ReadHolder(row)
	if err != nil {
		s.log.Warn("row-ignored", logs.Error(err))
		return
	}
	s.version, s.changedAt, s.reads = row.Revision, time.Now(), 0
	changed := holder.OwnerVersion != s.holder.OwnerVersion
	s.holder = holder
	if changed {
		s.log.Info("owner", zap.String("owner", holder.Name), zap.Uint64("epoch", holder.Epoch), zap.Uint64("version", holder.OwnerVersion))
		s.onHolder(holder)
	}
	if s.term != nil && holder.OwnerVersion > s.term.under {
		s.depose("another owner was seen")
	}
}

// claim takes the ownership by a change that holds only if the owner's row is as seen.
func (s *Elector) claim(why string, fields ...zap.Field) {
	if s.claiming || s.leaving || s.term != nil {
		return
	}
	s.claiming = true
	s.log.Info("claim", append(fields, zap.String("reason", why), zap.Uint64("version", s.holder.OwnerVersion))...)
	next := Holder{Epoch: s.holder.Epoch + 1, Name: s.settings.Name, Address: s.settings.Address}
	change, err := handChange(s.holder.OwnerVersion, next)
	if err != nil {
		s.log.Error("claim-failed", logs.Error(err))
		return
	}
	began := time.Now()
	s.loop.Go(func() {
		applied, err := s.apply(change)
		s.loop.Post(func() {
			s.claiming = false
			if applied.Outcome != table.Committed {
				s.log.Info("claim-lost", zap.Stringer("outcome", applied.Outcome), logs.Error(err))
				return
			}
			next.OwnerVersion = applied.Revision
			s.begin(next, began)
		})
	})
}

// handChange gives the ownership to next if the owner's row is at version under.
func handChange(under uint64, next Holder) (table.Txn, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return table.Txn{}, errors.Wrap(err, "write owner row")
	}
	return table.Txn{
		Preconditions: []table.Precondition{{RowKey: ownerPlace(), Revision: under}},
		Puts:          []table.Put{{RowKey: ownerPlace(), Value: value}, {RowKey: alivePlace(), Value: value}},
	}, nil
}

// bounded bounds a call of the table by how slow the table is.
func (s *Elector) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, min(callLeast+slowCalls*s.health.ReadLatency(), callMost))
}

func (s *Elector) apply(change table.Txn) (table.TxnResult, error) {
	bounded, cancel := s.bounded(s.loop.Context())
	defer cancel()
	return s.store.Apply(bounded, change)
}

// begin starts a term under a holder that is this process.
func (s *Elector) begin(holder Holder, claimed time.Time) {
	s.version, s.holder, s.changedAt, s.reads = holder.OwnerVersion, holder, time.Now(), 0
	s.term = newTerm(s, holder, claimed)
	s.set.Add("terms", 1)
	s.onHolder(holder)
	s.term.load()
}

// depose ends the term.
func (s *Elector) depose(why string) {
	if s.term == nil {
		return
	}
	s.log.Warn("owner-no-more", zap.String("reason", why), zap.Uint64("epoch", s.term.epoch))
	s.term.end()
	s.term = nil
}

// Resign hands the ownership over, if this process has it, and claims none any more.
func (s *Elector) Resign(ctx context.Context) {
	done := make(chan struct{})
	err := s.loop.Do(func() {
		s.leaving = true
		if s.term == nil {
			close(done)
			return
		}
		s.term.handOver(func() { close(done) })
	})
	if err != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Serve answers a call that arrived on a link; ok is false when it is not for the owner.
func (s *Elector) Serve(ctx context.Context, conn *Conn, method string, params []byte) (result any, ok bool, err error) {
	switch method {
	case link.MethodWhoOwns:
		var owns link.OwnerReply
		err = s.loop.Do(func() { owns = link.OwnerReply{Address: s.holder.Address, OwnerVersion: s.holder.OwnerVersion} })
		return owns, true, err
	case link.MethodAttach, link.MethodReport, link.MethodAccepted, link.MethodCancelled, link.MethodBacklog, link.MethodKnown:
		return s.serveTerm(ctx, conn, method, params)
	}
	return nil, false, nil
}

// ErrNotOwner answers calls for the owner that reach another entry.
var ErrNotOwner = errors.New("not the owner")

func (s *Elector) serveTerm(_ context.Context, conn *Conn, method string, params []byte) (result any, ok bool, err error) {
	loopErr := s.loop.Do(func() {
		if s.term == nil || !s.term.loaded {
			err = ErrNotOwner
			return
		}
		result, err = s.term.serve(conn, method, params)
	})
	return result, true, errors.CombineErrors(err, loopErr)
}
