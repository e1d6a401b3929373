package budget

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// acceptRetryDelay is the delay after an accept that failed, such as for want of descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// minSlowAge is the time after which a connection that is in a request may be closed for a new one.
	minSlowAge = time.Second
	// minSilence is the time without a message after which a link may be closed for a new one.
	minSilence = 15 * time.Second
)

// Class is what a listener is for. Each listener has connections of its own, so that a crowd at one
// address leaves the others as they are.
type Class int

const (
	// Clients is the class of listeners that take requests of clients.
	Clients Class = iota
	// Side is the class of listeners for metrics and checks.
	Side
	// Links is the class of listeners that take links.
	Links
)

// listener accepts at most capacity connections. When all are in use, it closes the one that has
// waited longest for its next request, those that have never sent one first.
type listener struct {
	net.Listener
	budget   *Budget
	class    Class
	capacity int

	mu    sync.Mutex
	open  int
	fresh list.List // of *Conn: no complete request yet
	idle  list.List // of *Conn: between two requests
	busy  list.List // of *Conn: in a request
	freed chan struct{}
	ended chan struct{}

	once   sync.Once // the listener closes
	failed error     // of the close

	stopping atomic.Bool // connections wait for a request for lastRequestTime at most
}

// Listener returns a listener that accepts the connections of inner within the budget.
func (b *Budget) Listener(inner net.Listener, class Class) net.Listener {
	l := &listener{Listener: inner, budget: b, class: class, freed: make(chan struct{}, 1), ended: make(chan struct{})}
	buffer := receiveBuffer
	switch class {
	case Clients:
		l.capacity = b.connectionCap()
	case Side:
		l.capacity = b.sideCap()
	case Links:
		l.capacity, buffer = b.linkCap(), linkReceiveBuffer
	}
	boundReceiveBuffer(inner, buffer)
	return l
}

// boundReceiveBuffer bounds the bytes that the kernel holds for each connection that is accepted.
func boundReceiveBuffer(l net.Listener, bytes int) {
	raw, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	// A system that does not take the option keeps its own bound.
	_ = control.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
}

// Accept implements net.Listener. It retries when the process or the machine has no descriptor left.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			var temporary interface{ Temporary() bool }
			if errors.Is(err, net.ErrClosed) || !errors.As(err, &temporary) || !temporary.Temporary() {
				return nil, err
			}
			l.budget.note(AcceptFailed)
			select {
			case <-time.After(acceptRetryDelay):
				continue
			case <-l.ended:
				return nil, net.ErrClosed
			}
		}
		conn := &Conn{Conn: accepted, budget: l.budget, listener: l}
		if !l.admit(conn) {
			return nil, errors.CombineErrors(net.ErrClosed, accepted.Close())
		}
		return conn, nil
	}
}

// Close implements net.Listener. Later calls return the error of the first.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.ended)
		l.failed = l.Listener.Close()
	})
	return l.failed
}

// pending reports whether a connection waits to be accepted. It reports false where the system can't
// tell.
func (l *listener) pending() bool {
	raw, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	err = control.Control(func(fd uintptr) {
		waiting, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // 0 after an error
	})
	return err == nil && waiting > 0
}

// closeEmpty bounds how long connections wait for a request from now on, and closes the listener once
// no connection waits to be accepted, since the kernel resets those that do.
func (l *listener) closeEmpty(ctx context.Context) {
	l.stopping.Store(true)
	for _, conn := range l.connections() {
		conn.boundWait()
	}
	for deadline := time.Now().Add(lastRequestTime); l.pending() && time.Now().Before(deadline); {
		if !sleep(ctx, stopCheckInterval) {
			break
		}
	}
	_ = l.Close() // the next accept fails as well
}

// awaitEnds waits until all connections have ended.
func (l *listener) awaitEnds(ctx context.Context) error {
	for l.openCount() > 0 {
		if !sleep(ctx, stopCheckInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// sleep reports whether ctx lasted for a time.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// connections returns the open connections.
func (l *listener) connections() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []*Conn
	for _, of := range []*list.List{&l.fresh, &l.idle, &l.busy} {
		for e := of.Front(); e != nil; e = e.Next() {
			open = append(open, e.Value.(*Conn))
		}
	}
	return open
}

// admit adds a connection, and waits until there is room for it. It reports false if the listener
// is closed meanwhile.
func (l *listener) admit(conn *Conn) bool {
	for {
		l.mu.Lock()
		if l.open < l.capacity {
			l.open++
			conn.place(&l.fresh)
			l.mu.Unlock()
			return true
		}
		victim, wait := l.victim()
		l.mu.Unlock()
		if victim != nil {
			l.budget.note(l.fullReason())
			victim.leave()
			go func() { _ = victim.Conn.Close() }() // it is given up; closing TLS may take seconds
			continue
		}
		select {
		case <-l.freed:
		case <-time.After(wait):
		case <-l.ended:
			return false
		}
	}
}

func (l *listener) fullReason() Reason {
	if l.class == Links {
		return TooManyLinks
	}
	return TooManyConnections
}

// victim returns the connection to close for a new one, or how long to wait for one.
func (l *listener) victim() (*Conn, time.Duration) {
	if front := l.fresh.Front(); front != nil {
		return front.Value.(*Conn), 0
	}
	if front := l.idle.Front(); front != nil {
		conn := front.Value.(*Conn)
		if l.class != Links || time.Since(conn.since) >= minSilence {
			return conn, 0
		}
	}
	for e := l.busy.Front(); e != nil; e = e.Next() {
		if conn := e.Value.(*Conn); conn.readsBody() {
			if age := time.Since(conn.since); age < minSlowAge {
				return nil, minSlowAge - age
			}
			return conn, 0
		}
	}
	return nil, minSlowAge
}

// leave removes a connection that has closed.
func (l *listener) leave(conn *Conn) {
	l.mu.Lock()
	l.open--
	conn.place(nil)
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// move moves an open connection to another list.
func (l *listener) move(conn *Conn, to *list.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn.list != nil {
		conn.place(to)
	}
}

// heardWithin reports whether a link is in the list of those that were heard, and came to it within
// the given time.
func (l *listener) heardWithin(conn *Conn, within time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return conn.list == &l.idle && time.Since(conn.since) < within
}
