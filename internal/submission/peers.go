package submission

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
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
	// tableEntries is the table with one row per entry; the key is the entry's name.
	tableEntries = "entries"
	// announceSettleTime is the time in which entries that start at the same time have all
	// announced themselves.
	announceSettleTime = 400 * time.Millisecond
	// outrankFactor is how many times as many cores another entry must have to be better
	// suited to be the owner.
	outrankFactor = 1.5
	// peersReadPeriod is the time between two reads of the rows of all entries.
	peersReadPeriod = 5 * time.Second
	// renewReads is the number of reads after which an entry writes its row again. An entry
	// whose row stays unchanged for maxUnchangedReads reads in a row counts as failed.
	renewReads        = 2
	maxUnchangedReads = 2*renewReads + 1
	// maxRowRemovals bounds the rows of failed entries that one transaction removes.
	maxRowRemovals = 40
	// forwardTimeout bounds a call that is forwarded to another entry.
	forwardTimeout = submitTimeout + 100*time.Millisecond
	// maxForwardPeers bounds the other entries that are tried for one call.
	maxForwardPeers = 2
)

// errNoPeer is returned if a call could not be forwarded to any other entry.
var errNoPeer = errors.New("no other entry can be reached")

// Peers tracks the other entries and forwards to them calls that this entry cannot complete. Its
// methods are safe for concurrent use.
type Peers struct {
	self     EntryInfo
	store    *table.Store
	pool     *link.Pool
	owns     func() bool
	loop     *loop.Loop
	log      *zap.Logger
	registry *metrics.Registry

	mu     sync.Mutex
	others map[string]peerState // by entry name

	// writing holds a token while this entry's row is written. It is not a sync.Mutex because
	// the wait for a write, which the store may answer late, ends with a context.
	writing     chan struct{}
	ownRevision uint64      // of this entry's row, as last written; belongs to the holder of writing
	left        atomic.Bool // the row is not written any more
}

// EntryInfo describes one entry.
type EntryInfo struct {
	Name    string
	Address string  // of the entry's link, host:port
	Cores   float64 // cores that the entry may use; may be a fraction; 0: unknown
}

// entryRow is the value of an entry's row in tableEntries.
type entryRow struct {
	Address string  `json:"address"`
	Cores   float64 `json:"cpu,omitempty"`
}

// maxCores bounds the cores that an entry states.
const maxCores = 4096

// decode decodes the value of an entry's row.
func (r *entryRow) decode(value []byte) error {
	if err := json.Unmarshal(value, r); err != nil {
		return errors.Wrap(err, "decode entry")
	}
	if err := link.ValidateAddress(r.Address); err != nil {
		return errors.Wrap(err, "entry")
	}
	if r.Cores < 0 || r.Cores > maxCores {
		return errors.Newf("an entry with %g cores", r.Cores)
	}
	return nil
}

// peerState is what an entry knows of another one from its row.
type peerState struct {
	row       entryRow
	revision  uint64
	unchanged int // reads in a row that found the same revision
}

// gone reports whether the entry has not renewed its row for so long that it counts as failed.
func (s peerState) gone() bool { return s.unchanged > maxUnchangedReads }

// NewPeers returns the peers of the entry self. It calls them through pool. owns reports whether
// this process is the owner, which removes the rows of failed entries.
func NewPeers(self EntryInfo, store *table.Store, pool *link.Pool, owns func() bool, l *loop.Loop, log *zap.Logger, registry *metrics.Registry) *Peers {
	return &Peers{self: self, store: store, pool: pool, owns: owns, loop: l, log: log, registry: registry, others: map[string]peerState{}, writing: make(chan struct{}, 1)}
}

// Run starts to renew this entry's row every renewReads reads, or at each read until the first
// write has succeeded, and to read the rows of the other entries every peersReadPeriod. It returns
// at once; the work ends with the loop.
func (p *Peers) Run() {
	reads := 0
	announced := false
	readFailures := logs.NewFailureLogger(p.log, "peers-unread")
	p.loop.GoEvery(peersReadPeriod, func(ctx context.Context) {
		readFailures.Note(p.readPeers(ctx))
		reads++
		if announced && reads%renewReads != 0 {
			return
		}
		first := !announced
		if announced = p.announce(ctx); announced && first {
			loop.Sleep(ctx, announceSettleTime)
			readFailures.Note(p.readPeers(ctx))
		}
	})
}

// announce writes this entry's row, unless the entry has left. It reports whether the row is known
// to be written.
func (p *Peers) announce(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, maxServiceCallTimeout)
	defer cancel()
	value, err := json.Marshal(entryRow{p.self.Address, p.self.Cores})
	if err != nil {
		p.log.Error("announce-failed", logs.Error(err))
		return false
	}
	release, err := p.acquireWriting(callCtx)
	if err != nil {
		p.log.Warn("announce-failed", logs.Error(err))
		return false
	}
	defer release()
	if p.left.Load() {
		return true
	}
	result, err := p.store.Apply(callCtx, table.Txn{Puts: []table.Put{{RowKey: entryRowKey(p.self.Name), Value: value}}})
	if err != nil {
		p.log.Warn("announce-failed", logs.Error(err))
	}
	if result.Outcome == table.Committed {
		p.ownRevision = result.Revision
	}
	return result.Outcome == table.Committed
}

// Leave removes this entry's row, so that the others stop using the entry at their next read. A
// failure is only logged: the row then counts as that of a failed entry.
func (p *Peers) Leave(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, maxServiceCallTimeout)
	defer cancel()
	p.left.Store(true)
	if err := p.removeOwnRow(callCtx); err != nil {
		p.log.Warn("leave-failed", logs.Error(err))
	}
}

// removeOwnRow removes this entry's row, once no write of it is in flight.
func (p *Peers) removeOwnRow(ctx context.Context) error {
	release, err := p.acquireWriting(ctx)
	if err != nil {
		return err
	}
	defer release()
	return p.remove(ctx, []table.Precondition{{RowKey: entryRowKey(p.self.Name), Revision: p.ownRevision}})
}

// acquireWriting waits until no other write of this entry's row is in flight. release must be
// called after the caller's write.
func (p *Peers) acquireWriting(ctx context.Context) (release func(), err error) {
	select {
	case p.writing <- struct{}{}:
		return func() { <-p.writing }, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for a write of the entry's row")
	}
}

// remove removes rows of entries that still are at the given revisions. An entry that has written
// its row since then has started again.
func (p *Peers) remove(ctx context.Context, rows []table.Precondition) error {
	txn := table.Txn{Preconditions: rows}
	for _, row := range rows {
		txn.Removes = append(txn.Removes, row.RowKey)
	}
	_, err := p.store.Apply(ctx, txn)
	return errors.Wrap(err, "remove rows of entries")
}

func entryRowKey(name string) table.RowKey { return table.RowKey{Table: tableEntries, Key: name} }

// readPeers reads the rows of all entries. The owner also removes those of failed ones.
func (p *Peers) readPeers(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, maxServiceCallTimeout)
	defer cancel()
	rows, _, err := p.store.Read(callCtx, table.Range{Table: tableEntries})
	if err != nil {
		return err
	}
	failed := p.setPeers(rows)
	if len(failed) == 0 || !p.owns() {
		return nil
	}
	p.log.Info("entries-failed", zap.Int("entries", len(failed)))
	return p.remove(callCtx, failed[:min(len(failed), maxRowRemovals)])
}

// setPeers replaces the known entries by those in rows, except this entry itself. It returns the
// rows of entries that count as failed.
func (p *Peers) setPeers(rows []table.Record) (failed []table.Precondition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	others := map[string]peerState{}
	for _, row := range rows {
		other := peerState{revision: row.Revision}
		if err := other.row.decode(row.Value); err != nil {
			p.log.Warn("row-ignored", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		if row.Key == p.self.Name {
			continue
		}
		if before, known := p.others[row.Key]; known && before.revision == row.Revision {
			other.unchanged = before.unchanged + 1
		}
		if other.gone() {
			failed = append(failed, table.Precondition{RowKey: entryRowKey(row.Key), Revision: row.Revision})
		}
		others[row.Key] = other
	}
	p.others = others
	return failed
}

// Count returns the number of other entries that have not failed, as far as this one knows.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, other := range p.others {
		if !other.gone() {
			count++
		}
	}
	return count
}

// Outranked reports whether another entry has so many more cores than this one that it
// should be the owner instead.
func (p *Peers) Outranked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.others {
		if !other.gone() && other.row.Cores >= outrankFactor*p.self.Cores && other.row.Cores > 0 {
			return true
		}
	}
	return false
}

// candidates returns the addresses to which a call may be forwarded: the preferred address,
// unless it is empty or this entry's, then those of other entries in random order. It returns
// at most maxForwardPeers addresses.
func (p *Peers) candidates(preferred string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []string
	for _, other := range p.others {
		if !other.gone() && other.row.Address != preferred {
			others = append(others, other.row.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if preferred != "" && preferred != p.self.Address {
		others = append([]string{preferred}, others...)
	}
	return others[:min(len(others), maxForwardPeers)]
}

// Forward forwards a call to one other entry and decodes the reply into result. It tries the
// entry at address preferred, unless that is empty or this entry's, then others in random
// order, at most maxForwardPeers in all, until one can be connected to and knows the method, which
// an agent that is the owner does not. errNoPeer means that no process has handled the call. After any other error the call may have taken effect.
func (p *Peers) Forward(ctx context.Context, preferred, method string, params, result any) error {
	for _, address := range p.candidates(preferred) {
		err := p.pool.Call(ctx, address, forwardTimeout, method, params, result)
		if !errors.Is(err, link.ErrNotConnected) && !link.IsUnknownMethod(err) {
			p.registry.Add("peer-asked", 1)
			return err
		}
	}
	return errNoPeer
}
