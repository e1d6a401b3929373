package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
)

// dialTimeout bounds the opening of a connection by a Pool.
const dialTimeout = 300 * time.Millisecond

// ErrNotConnected marks errors of calls that were not sent, because no connection could be
// opened.
var ErrNotConnected = errors.New("no connection")

// Dial opens a connection to another process of the system at address, host:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool calls other processes over at most one link to each address. It opens a link at the first
// call and opens another one once a call on it has failed. Its methods are safe for concurrent
// use.
type Pool struct {
	dial     Dial
	loop     *loop.Loop
	registry *metrics.Registry

	mu    sync.Mutex
	links map[string]*pooledLink // by address
}

// pooledLink is a link that is open or being opened. conn and err are set once ready is closed. The
// other fields are guarded by the mutex of the pool.
type pooledLink struct {
	ready chan struct{}
	conn  *Conn
	err   error

	calls     int  // in flight, or waiting for the link to open
	discarded bool // takes no further calls, and closes after the last one
}

// NewPool returns a pool without links. Its links close when the loop ends.
func NewPool(dial Dial, l *loop.Loop, registry *metrics.Registry) *Pool {
	return &Pool{dial: dial, loop: l, registry: registry, links: map[string]*pooledLink{}}
}

// maxSendAttempts bounds the links on which a call is tried: one that was open may have broken
// unnoticed.
const maxSendAttempts = 2

// Call calls the process at address and decodes its reply into result, which may be nil. It waits
// for at most timeout, which includes the opening of a link. An error that is marked with
// ErrNotConnected means that the call was not sent; after any other error it may have been
// handled.
func (p *Pool) Call(ctx context.Context, address string, timeout time.Duration, method string, params, result any) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var err error
	for range maxSendAttempts {
		if err = p.callOnce(callCtx, address, method, params, result); !errors.Is(err, errNotSent) {
			return err
		}
	}
	return errors.Mark(err, ErrNotConnected)
}

// callOnce calls the process at address on one link.
func (p *Pool) callOnce(ctx context.Context, address, method string, params, result any) error {
	l := p.acquire(address)
	defer p.release(l)
	select {
	case <-l.ready:
	case <-ctx.Done():
		return errors.Mark(errors.Wrapf(ctx.Err(), "dial %s", address), ErrNotConnected)
	}
	if l.err != nil {
		return errors.Mark(l.err, ErrNotConnected)
	}
	err := l.conn.call(ctx, method, params, result)
	if err != nil {
		p.discard(address, l)
	}
	return err
}

// acquire returns the link to address, which may still be being opened, for one call. All callers
// wait for the same attempt, so an address that does not answer delays them once and not in turn.
func (p *Pool) acquire(address string) *pooledLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.links[address]; known != nil && !known.closed() {
		known.calls++
		return known
	}
	opening := &pooledLink{ready: make(chan struct{}), calls: 1}
	p.links[address] = opening
	p.loop.Go(func() { p.open(address, opening) })
	return opening
}

// release ends the use of a link by one call.
func (p *Pool) release(l *pooledLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.calls--
	if l.discarded && l.calls == 0 {
		l.conn.Close()
	}
}

// closed reports whether the link has closed or could not be opened.
func (l *pooledLink) closed() bool {
	select {
	case <-l.ready:
	default:
		return false
	}
	if l.err != nil {
		return true
	}
	select {
	case <-l.conn.Done():
		return true
	default:
		return false
	}
}

func (p *Pool) open(address string, l *pooledLink) {
	defer close(l.ready)
	dialCtx, cancel := context.WithTimeout(p.loop.Context(), dialTimeout)
	defer cancel()
	conn, err := p.dial(dialCtx, address)
	if err != nil {
		l.err = errors.Wrapf(err, "dial %s", address)
		return
	}
	l.conn = New(p.loop.Context(), conn, address, p.registry, RejectCalls)
}

// discard makes the next call open a new link, since the peer of this one may have stopped
// answering. The calls in flight on it may still be answered, so it closes after the last of them.
func (p *Pool) discard(address string, l *pooledLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.discarded = true
	if p.links[address] == l {
		delete(p.links, address)
	}
}
