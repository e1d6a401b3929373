// Package loop is the one thread that owns a process's control state. All other
// goroutines reach that state by handing the loop a function to run.
package loop

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// depth is how many functions may wait for the loop before senders wait too.
const depth = 4096

// ErrEnded marks calls to a loop whose context is over.
var ErrEnded = errors.New("control loop has ended")

// Loop runs functions one after another.
type Loop struct {
	ctx    context.Context
	cancel context.CancelFunc
	work   chan func()
	ended  chan struct{} // closed when no function runs any more
	group  conc.WaitGroup
}

// New starts a loop that ends with ctx or with Stop.
func New(ctx context.Context) *Loop {
	bounded, cancel := context.WithCancel(ctx)
	l := &Loop{ctx: bounded, cancel: cancel, work: make(chan func(), depth), ended: make(chan struct{})}
	l.Go(l.run)
	return l
}

// Stop ends the loop.
func (l *Loop) Stop() { l.cancel() }

func (l *Loop) run() {
	defer close(l.ended)
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.work:
			f()
		}
	}
}

// Post hands f to the loop without waiting for it to run.
func (l *Loop) Post(f func()) {
	select {
	case <-l.ctx.Done():
	case l.work <- f:
	}
}

// Do runs f on the loop and waits until it ran. Its error is ErrEnded; then f has not
// run and never will, so that what f would have written can be read.
func (l *Loop) Do(f func()) error {
	done := make(chan struct{})
	l.Post(func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-l.ended:
	}
	select {
	case <-done:
		return nil
	default:
		return ErrEnded
	}
}

// Every runs f on the loop each period until the loop ends.
func (l *Loop) Every(period time.Duration, f func()) {
	l.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-l.ctx.Done():
				return
			case <-ticker.C:
				l.Post(f)
			}
		}
	})
}

// GoEvery runs f on a goroutine of its own, then waits period, until the loop
// ends. It is for I/O, which must not hold the loop up.
func (l *Loop) GoEvery(period time.Duration, f func(context.Context)) {
	l.Go(func() {
		for l.ctx.Err() == nil {
			f(l.ctx)
			Sleep(l.ctx, period)
		}
	})
}

// Go runs f on a goroutine of its own; Wait waits for it. A panic in f ends the
// loop, so that Wait returns and panics too: a process never goes on without a
// part of itself.
func (l *Loop) Go(f func()) {
	l.group.Go(func() {
		whole := false
		defer func() {
			if !whole {
				l.cancel()
			}
		}()
		f()
		whole = true
	})
}

// Wait waits until the loop and all its goroutines have ended.
func (l *Loop) Wait() { l.group.Wait() }

// Context ends when the loop does.
func (l *Loop) Context() context.Context { return l.ctx }

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
