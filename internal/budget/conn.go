package budget

import (
	"bytes"
	"container/list"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultHeaderBytes and maxHeaderBytes bound the head of a request, in bytes: without a limit of
	// the configuration, and with any.
	defaultHeaderBytes = 64 << 10
	maxHeaderBytes     = 1 << 20
	// headSlack is what a connection may send beyond the limit of a head: what is read at once may
	// contain the start of a body.
	headSlack = 4 << 10
	// defaultHeaderTimeout bounds how long a client may take to send a head.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is how long an idle connection stays open.
	defaultIdleTimeout = 60 * time.Second
	// limitSlack is how much longer than a limit of the configuration the process waits, so that
	// a request that keeps to the limit arrives.
	limitSlack = time.Second
	// writeTimeout bounds one write of an answer to a client that does not read it. The deadline is
	// set again after writeInterval, not at each write.
	writeTimeout  = 15 * time.Second
	writeInterval = 5 * time.Second
	// markInterval is the least time between two marks of a link's messages.
	markInterval = time.Second
	// unreadBodyTimeout bounds how long the rest of a body may take to come that no handler reads.
	unreadBodyTimeout = 5 * time.Second
)

// phase is what a connection waits for.
type phase int32

const (
	waiting phase = iota // for the first byte of a request
	inHead
	inRequest
)

// Conn is an accepted connection within the budget. While no request runs on it, it counts the bytes
// and the lines that arrive as those of a head.
type Conn struct {
	net.Conn
	budget   *Budget
	listener *listener
	phase    atomic.Int32
	reading  atomic.Bool // a handler or the server waits for the body
	closed   sync.Once

	// Accessed by the goroutine that reads a head.
	bytes, lines int

	writeDeadline atomic.Int64 // of the last write, in ns since the budget began: the time of day may jump

	mu   sync.Mutex // held also while a read deadline is chosen and set
	held int64      // of the share of heads

	// Guarded by the listener's mutex.
	list    *list.List
	element *list.Element
	since   time.Time // when it came to its list
}

// place moves the connection to the end of a list; nil takes it out. The caller holds the mutex of
// the listener.
func (c *Conn) place(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list = to
	if to != nil {
		c.element, c.since = to.PushBack(c), time.Now()
	}
}

func (c *Conn) readsBody() bool { return c.reading.Load() }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && c.endsWaiting(err) {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastLookTime)) // the read fails as well
		n, err = c.Conn.Read(p)
	}
	if n == 0 || c.listener.class == Links || phase(c.phase.Load()) == inRequest {
		return n, err
	}
	if c.phase.CompareAndSwap(int32(waiting), int32(inHead)) {
		_ = c.SetReadDeadline(time.Time{}) // that of a head; the next read fails as well
	}
	if refused := c.countHead(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// countHead counts bytes of a head. It answers the client and returns an error if they are too many.
func (c *Conn) countHead(p []byte) error {
	c.bytes += len(p)
	c.lines += bytes.Count(p, []byte{'\n'})
	if c.bytes > c.budget.limits.Load().HeaderBytes+headSlack {
		return c.refuse(HeadTooLarge, http.StatusRequestHeaderFieldsTooLarge)
	}
	cost := int64(c.bytes)*byteCost + int64(c.lines)*lineCost - freeHead
	c.mu.Lock()
	more := cost - c.held
	c.mu.Unlock()
	if more <= 0 {
		return nil
	}
	if ok, _ := c.budget.heads.take(more, 0); !ok {
		return c.refuse(HeadsFull, http.StatusServiceUnavailable)
	}
	c.mu.Lock()
	c.held += more
	c.mu.Unlock()
	return nil
}

// refuse answers a request whose head is not complete, and returns the error that ends the
// connection.
func (c *Conn) refuse(reason Reason, status int) error {
	c.budget.note(reason)
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: 1\r\n"
	}
	_, _ = c.Write([]byte(text + "\r\n")) // the client may be gone
	return errors.CombineErrors(net.ErrClosed, c.Close())
}

// Write implements net.Conn. A client that reads nothing for writeTimeout-writeInterval to
// writeTimeout loses its connection.
func (c *Conn) Write(p []byte) (int, error) {
	if c.listener.class == Links { // a link bounds its writes itself
		return c.Conn.Write(p)
	}
	if now := time.Since(c.budget.began); int64(now+writeTimeout-writeInterval) >= c.writeDeadline.Load() {
		c.writeDeadline.Store(int64(now + writeTimeout))
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // the write fails as well
	}
	n, err := c.Conn.Write(p)
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		c.budget.note(AnswerUnread)
		_ = c.Close() // its end shows in the error
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The limits of the configuration apply to the deadlines of
// the server.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := c.budget.limits.Load()
	latest := time.Time{}
	switch phase(c.phase.Load()) {
	case waiting:
		wait := limits.IdleTimeout + limitSlack
		if c.listener.stopping.Load() {
			wait = min(wait, lastRequestTime)
		}
		latest = time.Now().Add(wait)
	case inHead:
		latest = time.Now().Add(limits.HeaderTimeout + limitSlack)
	case inRequest:
	}
	if !latest.IsZero() && (t.IsZero() || t.After(latest)) {
		t = latest
	}
	return c.Conn.SetReadDeadline(t)
}

// boundWait bounds the wait for the next request if the connection waits for one. The listener is
// stopping, so that each later wait is bounded when it begins.
func (c *Conn) boundWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if phase(c.phase.Load()) == waiting {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastRequestTime)) // the next read fails as well
	}
}

// endsWaiting reports whether a read has failed because a stopping server waits for no other request.
func (c *Conn) endsWaiting(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && c.listener.stopping.Load() && phase(c.phase.Load()) == waiting
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.leave()
	return c.Conn.Close()
}

// leave gives back what the connection holds.
func (c *Conn) leave() {
	c.closed.Do(func() {
		c.releaseHead()
		c.listener.leave(c)
	})
}

// releaseHead releases what the head of a request holds.
func (c *Conn) releaseHead() {
	c.mu.Lock()
	held := c.held
	c.held = 0
	c.mu.Unlock()
	c.budget.heads.release(held)
}

// begin marks the start of a request whose head is complete.
func (c *Conn) begin() {
	c.phase.Store(int32(inRequest))
	c.reading.Store(false)
	_ = c.Conn.SetReadDeadline(time.Time{}) // that of the head is over; a read fails as well
	c.listener.move(c, &c.listener.busy)
}

// next marks that the server waits for the next request.
func (c *Conn) next() {
	c.bytes, c.lines = 0, 0
	c.phase.Store(int32(waiting))
	c.listener.move(c, &c.listener.idle)
}

// MarkMessage marks that a link has received a whole message.
func (c *Conn) MarkMessage() {
	if c.listener.heardWithin(c, markInterval) {
		return
	}
	c.listener.move(c, &c.listener.idle)
}
