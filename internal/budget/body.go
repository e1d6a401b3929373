package budget

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// bodyGrace is how long a client may let the process wait for its body in all, apart from the
	// time for its bytes at leastRate.
	bodyGrace = 10 * time.Second
	// leastRate is the rate below which a body is too slow, in bytes per second.
	leastRate = 8 << 10
	// permitTimeout bounds how long a body waits for memory before it is refused.
	permitTimeout = time.Second
	// smallHold is what a small body holds, in bytes. A part of the share is for these alone.
	smallHold     = 64 << 10
	smallBodyPart = 4 // a quarter
)

// body is the body of a request. It reads under a permit, and no slower than at the least rate. One
// goroutine reads it.
type body struct {
	io.ReadCloser
	conn    *Conn
	budget  *Budget
	most    int64 // bytes that the handler holds at a time; 0: all
	began   time.Time
	waited  time.Duration
	ended   bool
	read    atomic.Int64
	evicted atomic.Bool

	mu       sync.Mutex // guards held and finished; held for the start and the end of a wait, and for an eviction, with their deadlines
	held     int64      // of the share of bodies
	finished bool       // the handler has returned
}

// errFinished is returned by a read after the handler has returned, such as of a request that is passed on
// and was answered before its body had come.
var errFinished = errors.New("the request has ended")

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return b.ReadCloser.Read(p)
	}
	if err := b.permit(); err != nil {
		return 0, err
	}
	began := time.Now()
	allowed := bodyGrace + time.Duration(b.read.Load())*time.Second/leastRate - b.waited
	if err := b.beginWait(began.Add(allowed)); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.ended = errors.Is(err, io.EOF)
	b.endWait()
	b.waited += time.Since(began)
	b.read.Add(int64(n))
	var late net.Error
	switch {
	case err == nil || b.ended:
	case b.evicted.Load():
		err = errExceeded
	case errors.As(err, &late) && late.Timeout():
		b.budget.note(BodySlow)
	}
	return n, err
}

// beginWait marks that the client's bytes are awaited until a deadline. It fails if the body has given
// way or the handler has returned.
func (b *body) beginWait(deadline time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.finished:
		return errFinished
	case b.evicted.Load():
		return errExceeded
	}
	_ = b.conn.SetReadDeadline(deadline) // the read fails as well
	b.conn.reading.Store(true)
	return nil
}

// endWait marks that bytes have come, or the end of the body.
func (b *body) endWait() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished {
		return // the connection may have the next request
	}
	b.conn.reading.Store(false)
	if b.ended {
		_ = b.conn.SetReadDeadline(time.Time{}) // the next read of the connection fails as well
	}
}

// evict ends the body. It reports false if the body is not awaited any more.
func (b *body) evict() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.conn.readsBody() {
		return false
	}
	b.evicted.Store(true)
	b.budget.note(BodySlow)
	_ = b.conn.SetReadDeadline(time.Unix(1, 0)) // its read fails now
	return true
}

// permit takes memory for what the body holds. While there is none, the slowest body gives way, and
// this one waits for a while.
func (b *body) permit() error {
	holds := b.read.Load()
	if b.most > 0 {
		holds = min(holds, b.most)
	}
	held := b.holding()
	more := (holds-freeBody)*bodyCost - held
	if more <= 0 {
		return nil
	}
	reserve := int64(0)
	if held+more > smallHold {
		reserve = b.budget.bodies.capacity / smallBodyPart
	}
	deadline := time.Now().Add(permitTimeout)
	for {
		ok, freed := b.budget.bodies.take(more, reserve)
		if ok {
			return b.hold(more)
		}
		wait := time.Until(deadline)
		if wait <= 0 || b.evicted.Load() {
			b.budget.note(BodiesFull)
			return errExceeded
		}
		b.budget.holders.evictSlowest()
		select {
		case <-freed:
		case <-time.After(wait):
		}
	}
}

func (b *body) holding() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// hold records n bytes that were taken of the share, and gives them back if the handler has returned.
func (b *body) hold(n int64) error {
	b.budget.holders.add(b)
	b.mu.Lock()
	finished := b.finished
	if !finished {
		b.held += n
	}
	b.mu.Unlock() // an eviction locks the holders before a body
	if finished {
		b.budget.holders.remove(b)
		b.budget.bodies.release(n)
		return errFinished
	}
	return nil
}

// finish releases what the body holds. What the handler has not read is bounded in time.
func (b *body) finish() {
	b.mu.Lock()
	held, ended := b.held, b.ended
	b.held, b.finished = 0, true
	b.mu.Unlock()
	b.budget.holders.remove(b)
	b.budget.bodies.release(held)
	if !ended {
		b.conn.reading.Store(true)
		_ = b.conn.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // the next read fails as well
	}
}

// holders are the bodies that hold memory.
type holders struct {
	mu     sync.Mutex
	bodies map[*body]struct{}
}

func (h *holders) add(b *body) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bodies == nil {
		h.bodies = map[*body]struct{}{}
	}
	h.bodies[b] = struct{}{}
}

func (h *holders) remove(b *body) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.bodies, b)
}

// evictSlowest ends the body that has come at the lowest rate, among those that are awaited and began
// minSlowAge ago or earlier.
func (h *holders) evictSlowest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		slowest := h.slowest()
		if slowest == nil || slowest.evict() {
			return
		}
	}
}

// slowest returns the body to end, or nil. The caller holds the mutex.
func (h *holders) slowest() *body {
	var slowest *body
	lowest := 0.0
	for b := range h.bodies {
		age := time.Since(b.began)
		if age < minSlowAge || !b.conn.readsBody() || b.evicted.Load() {
			continue
		}
		if rate := float64(b.read.Load()) / age.Seconds(); slowest == nil || rate < lowest {
			slowest, lowest = b, rate
		}
	}
	return slowest
}
