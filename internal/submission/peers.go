package submission

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
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
	loop     *loop.Loop
	log      *zap.Logger
	registry *metrics.Registry

	mu     sync.Mutex
	others map[string]entryRow // by entry name
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

// NewPeers returns the peers of the entry self. It calls them through pool.
func NewPeers(self EntryInfo, store *table.Store, pool *link.Pool, l *loop.Loop, log *zap.Logger, registry *metrics.Registry) *Peers {
	return &Peers{self: self, store: store, pool: pool, loop: l, log: log, registry: registry, others: map[string]entryRow{}}
}

// Run starts to write this entry's row, until one write succeeds, and to read the rows of the
// other entries every peersReadPeriod. It returns at once; the work ends with the loop.
func (p *Peers) Run() {
	announced := false
	readFailures := logs.NewFailureLogger(p.log, "peers-unread")
	p.loop.GoEvery(peersReadPeriod, func(ctx context.Context) {
		readFailures.Note(p.readPeers(ctx))
		if announced {
			return
		}
		if announced = p.announce(ctx); announced {
			loop.Sleep(ctx, announceSettleTime)
			readFailures.Note(p.readPeers(ctx))
		}
	})
}

func (p *Peers) announce(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, maxServiceCallTimeout)
	defer cancel()
	value, err := json.Marshal(entryRow{p.self.Address, p.self.Cores})
	if err != nil {
		p.log.Error("announce-failed", logs.Error(err))
		return false
	}
	rowKey := table.RowKey{Table: tableEntries, Key: p.self.Name}
	result, err := p.store.Apply(callCtx, table.Txn{Puts: []table.Put{{RowKey: rowKey, Value: value}}})
	if err != nil {
		p.log.Warn("announce-failed", logs.Error(err))
	}
	return result.Outcome == table.Committed
}

func (p *Peers) readPeers(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, maxServiceCallTimeout)
	defer cancel()
	rows, _, err := p.store.Read(callCtx, table.Range{Table: tableEntries})
	if err != nil {
		return err
	}
	p.setPeers(rows)
	return nil
}

// setPeers replaces the known entries by those in rows, except this entry itself.
func (p *Peers) setPeers(rows []table.Record) {
	others := map[string]entryRow{}
	for _, row := range rows {
		var other entryRow
		if err := json.Unmarshal(row.Value, &other); err != nil {
			p.log.Warn("row-ignored", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		if row.Key != p.self.Name {
			others[row.Key] = other
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others = others
}

// Outranked reports whether another entry has so many more cores than this one that it
// should be the owner instead.
func (p *Peers) Outranked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.others {
		if other.Cores >= outrankFactor*p.self.Cores && other.Cores > 0 {
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
		if other.Address != preferred {
			others = append(others, other.Address)
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
// order, at most maxForwardPeers in all, until one can be connected to. errNoPeer means that the
// call was not sent. After any other error the call may have taken effect.
func (p *Peers) Forward(ctx context.Context, preferred, method string, params, result any) error {
	for _, address := range p.candidates(preferred) {
		err := p.pool.Call(ctx, address, forwardTimeout, method, params, result)
		if !errors.Is(err, link.ErrNotConnected) {
			p.registry.Add("peer-asked", 1)
			return err
		}
	}
	return errNoPeer
}
