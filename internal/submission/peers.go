package submission

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
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
	// tableEntries has a row for each entry, by name.
	tableEntries = "entries"
	// announcePause is the time after which entries that start together have announced
	// themselves.
	announcePause = 400 * time.Millisecond
	// muchMore is from how many times the processors on another entry is better suited to
	// own.
	muchMore = 1.5
	// peersPeriod is the time between two looks at the other entries.
	peersPeriod = 5 * time.Second
	// peerBound is how long another entry may take to do a call for this one.
	peerBound = submitBound + 100*time.Millisecond
	// peerTries is how many other entries are asked.
	peerTries = 2
)

// errNoPeer says that no other entry could be asked.
var errNoPeer = errors.New("no other entry")

// Peers are the other entries, which do calls for this one while the table turns it
// away.
type Peers struct {
	self  Member
	store *table.Store
	dial  func(ctx context.Context, address string) (net.Conn, error)
	loop  *loop.Loop
	log   *zap.Logger
	set   *metrics.Registry

	mu     sync.Mutex
	others map[string]entryRow // by name
	conns  map[string]*link.Conn
}

// Member is what an entry says of itself.
type Member struct {
	Name       string
	Address    string  // of its link, host:port
	Processors float64 // the share of a core that it may use
}

// entryRow is the value of an entry's row.
type entryRow struct {
	Address    string  `json:"address"`
	Processors float64 `json:"cpu,omitempty"`
}

// NewPeers makes the peers of an entry.
func NewPeers(self Member, store *table.Store, dial func(ctx context.Context, address string) (net.Conn, error), l *loop.Loop, log *zap.Logger, set *metrics.Registry) *Peers {
	return &Peers{
		self: self, store: store, dial: dial, loop: l, log: log, set: set,
		others: map[string]entryRow{}, conns: map[string]*link.Conn{},
	}
}

// Run makes the entry known and follows the others until the loop ends.
func (p *Peers) Run() {
	announced := false
	trouble := logs.NewFailureLogger(p.log, "peers-unread")
	p.loop.GoEvery(peersPeriod, func(ctx context.Context) {
		trouble.Note(p.look(ctx))
		if announced {
			return
		}
		if announced = p.announce(ctx); announced {
			loop.Sleep(ctx, announcePause)
			trouble.Note(p.look(ctx))
		}
	})
}

func (p *Peers) announce(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, writeBound)
	defer cancel()
	value, err := json.Marshal(entryRow{p.self.Address, p.self.Processors})
	if err != nil {
		p.log.Error("announce-failed", logs.Error(err))
		return false
	}
	place := table.RowKey{Table: tableEntries, Key: p.self.Name}
	applied, err := p.store.Apply(bounded, table.Txn{Puts: []table.Put{{RowKey: place, Value: value}}})
	if err != nil {
		p.log.Warn("announce-failed", logs.Error(err))
	}
	return applied.Outcome == table.Committed
}

func (p *Peers) look(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, writeBound)
	defer cancel()
	rows, _, err := p.store.Read(bounded, table.Range{Table: tableEntries})
	if err != nil {
		return err
	}
	p.take(rows)
	return nil
}

// take takes the rows of all entries.
func (p *Peers) take(rows []table.Record) {
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

// Outranked tells whether another entry has so many more processors that it should own
// rather than this one.
func (p *Peers) Outranked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.others {
		if other.Processors >= muchMore*p.self.Processors && other.Processors > 0 {
			return true
		}
	}
	return false
}

// order lists the addresses to ask: the owner's first, then others by chance.
func (p *Peers) order(first string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []string
	for _, other := range p.others {
		if other.Address != first {
			others = append(others, other.Address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if first != "" && first != p.self.Address {
		others = append([]string{first}, others...)
	}
	return others[:min(len(others), peerTries)]
}

// Ask has one other entry do a call, the one at the address first if that is another.
// With errNoPeer nobody was asked; with any other error the call may have been done.
func (p *Peers) Ask(ctx context.Context, first, method string, params, result any) error {
	for _, address := range p.order(first) {
		bounded, cancel := context.WithTimeout(ctx, peerBound)
		conn, dialErr := p.connect(bounded, address)
		if dialErr != nil {
			cancel()
			continue
		}
		err := conn.Call(bounded, method, params, result)
		cancel()
		p.set.Add("peer-asked", 1)
		if err != nil {
			p.drop(address, conn)
		}
		return err
	}
	return errNoPeer
}

func (p *Peers) connect(ctx context.Context, address string) (*link.Conn, error) {
	p.mu.Lock()
	conn := p.conns[address]
	p.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Done():
		default:
			return conn, nil
		}
	}
	stream, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial entry %s", address)
	}
	conn = link.New(p.loop.Context(), stream, address, p.set, func(_ context.Context, method string, _ json.RawMessage) (any, error) {
		return nil, link.ErrMethod(method)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[address] = conn
	return conn, nil
}

// drop has the next call use another connection. This one may have gone silent; it is
// closed when the calls that still wait on it are over.
func (p *Peers) drop(address string, conn *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
		time.AfterFunc(peerBound, conn.Close)
	}
}
