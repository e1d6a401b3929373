package queue

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
	// tableEntries has a row for each entry: key name, value its address.
	tableEntries = "entries"
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
	name, address string
	store         *table.Store
	dial          func(ctx context.Context, address string) (net.Conn, error)
	loop          *loop.Loop
	log           *zap.Logger
	set           *metrics.Set

	mu        sync.Mutex
	addresses map[string]string // by name
	conns     map[string]*link.Conn
}

// NewPeers makes the peers of the entry with a name and a link address.
func NewPeers(name, address string, store *table.Store, dial func(ctx context.Context, address string) (net.Conn, error), l *loop.Loop, log *zap.Logger, set *metrics.Set) *Peers {
	return &Peers{
		name: name, address: address, store: store, dial: dial, loop: l, log: log, set: set,
		addresses: map[string]string{}, conns: map[string]*link.Conn{},
	}
}

// Run makes the entry known and follows the others until the loop ends.
func (p *Peers) Run() {
	announced := false
	trouble := logs.NewTrouble(p.log, "peers-unread")
	p.loop.Repeat(peersPeriod, func(ctx context.Context) {
		bounded, cancel := context.WithTimeout(ctx, writeBound)
		defer cancel()
		if !announced {
			announced = p.announce(bounded)
		}
		trouble.Note(p.look(bounded))
	})
}

func (p *Peers) announce(ctx context.Context) bool {
	value, err := json.Marshal(p.address)
	if err != nil {
		return false
	}
	place := table.Place{Table: tableEntries, Key: p.name}
	applied, err := p.store.Apply(ctx, table.Change{Sets: []table.Set{{Place: place, Value: value}}})
	if err != nil {
		p.log.Warn("announce-failed", logs.Error(err))
	}
	return applied.Outcome == table.Committed
}

func (p *Peers) look(ctx context.Context) error {
	rows, _, err := p.store.Read(ctx, table.Range{Table: tableEntries})
	if err != nil {
		return err
	}
	addresses := map[string]string{}
	for _, row := range rows {
		var address string
		if err := json.Unmarshal(row.Value, &address); err != nil {
			p.log.Warn("row-ignored", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		if row.Key != p.name {
			addresses[row.Key] = address
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
	return nil
}

// order lists the addresses to ask: the owner's first, then others by chance.
func (p *Peers) order(first string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []string
	for _, address := range p.addresses {
		if address != first {
			others = append(others, address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if first != "" && first != p.address {
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
