package owner

import (
	"context"
	"encoding/json"
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
	// callTimeout bounds a call to the owner, including the opening of the connection.
	callTimeout = 300 * time.Millisecond
	// notifyQueueSize bounds the notifications that wait to be sent to the owner. Further
	// ones are dropped; the owner then finds the job when it polls the table.
	notifyQueueSize = 256
)

// Client sends an entry's calls and notifications to the owner, which may be the same
// process. Its methods are safe for concurrent use after Start.
type Client struct {
	elector  *Elector
	pool     *link.Pool
	loop     *loop.Loop
	log      *zap.Logger
	registry *metrics.Registry
	queue    chan notification

	mu     sync.Mutex
	holder Holder
}

// notification is a call to the owner that waits to be sent. Its reply is ignored.
type notification struct {
	method string
	params any
}

// NewClient returns a client without an elector. Owns, Call and Submit must not be called
// before Start. Notifications are queued until then.
func NewClient(pool *link.Pool, l *loop.Loop, log *zap.Logger, registry *metrics.Registry) *Client {
	return &Client{pool: pool, loop: l, log: log, registry: registry, queue: make(chan notification, notifyQueueSize)}
}

// Start sets the elector of this process and starts to send queued notifications.
func (c *Client) Start(elector *Elector) {
	c.elector = elector
	c.loop.Go(c.run)
}

// Holder returns the last known owner.
func (c *Client) Holder() Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder
}

// SetHolder records the owner of the shard. It ignores a holder with a lower OwnerRevision
// than the last known one.
func (c *Client) SetHolder(holder Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if holder.OwnerRevision >= c.holder.OwnerRevision {
		c.holder = holder
	}
}

// Notify queues a notification to the owner and returns at once. It drops the notification
// if the queue is full.
func (c *Client) Notify(method string, params any) {
	select {
	case c.queue <- notification{method, params}:
	default:
		c.registry.Add("told-owner-left-out", 1)
	}
}

func (c *Client) run() {
	for {
		select {
		case <-c.loop.Context().Done():
			return
		case m := <-c.queue:
			if err := c.Call(c.loop.Context(), m.method, m.params, nil); err != nil {
				// Not retried: the owner finds the job at its next poll of the table.
				c.log.Debug("notify-owner-failed", zap.String("method", m.method), logs.Error(err))
				c.registry.Add("told-owner-failed", 1)
			}
		}
	}
}

// Call calls the owner and decodes its reply into result, which may be nil. It returns
// ErrNotOwner if no owner is known. After any other error of a remote call the owner may
// have handled the call.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	holder := c.Holder()
	if holder.Name == c.elector.settings.Name {
		return c.callLocal(ctx, method, params, result)
	}
	if holder.Address == "" {
		return ErrNotOwner
	}
	return c.pool.Call(ctx, holder.Address, callTimeout, method, params, result)
}

// Owns reports whether this process is the last known owner.
func (c *Client) Owns() bool { return c.Holder().Name == c.elector.settings.Name }

// Submit passes a job to the elector of this process; see Elector.Submit.
func (c *Client) Submit(ctx context.Context, job dispatch.Job) error {
	return c.elector.Submit(ctx, job)
}

// callLocal calls the elector of this process. It encodes parameters and reply as JSON, as
// a link does.
func (c *Client) callLocal(ctx context.Context, method string, params, result any) error {
	text, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, "encode parameters")
	}
	answer, _, err := c.elector.Serve(ctx, nil, method, text)
	if err != nil || result == nil {
		return err
	}
	text, err = json.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "encode reply")
	}
	return errors.Wrap(json.Unmarshal(text, result), "decode reply")
}
