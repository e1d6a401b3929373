package owner

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// dialBound is how long a connection to another process may take.
	dialBound = 500 * time.Millisecond
	// askBound is how long a question to the owner may take.
	askBound = 300 * time.Millisecond
	// tellDepth is how many messages to the owner may wait; later ones are left out,
	// and the owner finds the job in the table.
	tellDepth = 256
)

// Dial opens a connection to a process of the system.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Client is an entry's way to the owner, which may be the entry itself.
type Client struct {
	seat  *Elector
	dial  Dial
	loop  *loop.Loop
	log   *zap.Logger
	set   *metrics.Registry
	queue chan message

	mu      sync.Mutex
	holder  Holder
	conn    *link.Conn
	address string // of conn
}

// message is something to tell the owner.
type message struct {
	method string
	params any
}

// NewClient makes an entry's way to the owner. Elector is set by Start.
func NewClient(dial Dial, l *loop.Loop, log *zap.Logger, set *metrics.Registry) *Client {
	return &Client{dial: dial, loop: l, log: log, set: set, queue: make(chan message, tellDepth)}
}

// Start names the entry's own seat and begins to tell.
func (l *Client) Start(seat *Elector) {
	l.seat = seat
	l.loop.Go(l.run)
}

// Holder is the owner as last seen.
func (l *Client) Holder() Holder {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// SetHolder takes who owns the shard.
func (l *Client) SetHolder(holder Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holder.OwnerVersion >= l.holder.OwnerVersion {
		l.holder = holder
	}
}

// Notify hands a message for the owner over, without waiting.
func (l *Client) Notify(method string, params any) {
	select {
	case l.queue <- message{method, params}:
	default:
		l.set.Add("told-owner-left-out", 1)
	}
}

func (l *Client) run() {
	for {
		select {
		case <-l.loop.Context().Done():
			return
		case m := <-l.queue:
			if err := l.Ask(l.loop.Context(), m.method, m.params, nil); err != nil {
				// The owner finds the job in the table a little later.
				l.log.Debug("tell-owner-failed", zap.String("method", m.method), logs.Error(err))
				l.set.Add("told-owner-failed", 1)
			}
		}
	}
}

// Ask calls the owner and waits for its answer.
func (l *Client) Ask(ctx context.Context, method string, params, result any) error {
	holder := l.Holder()
	if holder.Name == l.seat.settings.Name {
		return l.askSelf(ctx, method, params, result)
	}
	if holder.Address == "" {
		return ErrNotOwner
	}
	bounded, cancel := context.WithTimeout(ctx, askBound)
	defer cancel()
	conn, err := l.connect(bounded, holder.Address)
	if err != nil {
		return err
	}
	if err := conn.Call(bounded, method, params, result); err != nil {
		l.drop(conn)
		return err
	}
	return nil
}

// Owns tells whether this entry is the owner, as far as is known.
func (l *Client) Owns() bool { return l.Holder().Name == l.seat.settings.Name }

// Submit has the seat of this process take a job in.
func (l *Client) Submit(ctx context.Context, job dispatch.Job) error { return l.seat.Submit(ctx, job) }

// askSelf calls the seat of this process.
func (l *Client) askSelf(ctx context.Context, method string, params, result any) error {
	text, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, "write parameters")
	}
	answer, _, err := l.seat.Serve(ctx, nil, method, text)
	if err != nil || result == nil {
		return err
	}
	text, err = json.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "write answer")
	}
	return errors.Wrap(json.Unmarshal(text, result), "read answer")
}

func (l *Client) connect(ctx context.Context, address string) (*link.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.address == address {
		select {
		case <-l.conn.Done():
		default:
			return l.conn, nil
		}
	}
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
	stream, err := l.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial owner %s", address)
	}
	l.conn = link.New(l.loop.Context(), stream, address, l.set, noCalls)
	l.address = address
	return l.conn, nil
}

// drop has the next call use another connection. This one may have gone silent; it is
// closed when the calls that still wait on it are over.
func (l *Client) drop(conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
		time.AfterFunc(askBound, conn.Close)
	}
}

// noCalls answers calls that nobody should make.
func noCalls(_ context.Context, method string, _ json.RawMessage) (any, error) {
	return nil, link.ErrMethod(method)
}
