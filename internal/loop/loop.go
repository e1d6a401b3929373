// Package loop provides the event loop that owns the control state of a process. Other
// goroutines access that state by posting functions, which the loop runs one at a time.
package loop

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// queueLength is the number of functions that may wait for the loop before Post blocks.
const queueLength = 4096

// ErrEnded is returned by Do if the loop has ended.
var ErrEnded = errors.New("control loop has ended")

// Loop runs functions one after another on one goroutine. Its methods are safe for
// concurrent use, but Do must not be called on the loop itself.
type Loop struct {
	ctx       context.Context
	cancel    context.CancelFunc
	functions chan func()
	ended     chan struct{} // closed when the loop runs no more functions
	group     conc.WaitGroup
}

// New starts a loop that ends when ctx ends or Stop is called.
func New(ctx context.Context) *Loop {
	bounded, cancel := context.WithCancel(ctx)
	l := &Loop{ctx: bounded, cancel: cancel, functions: make(chan func(), queueLength), ended: make(chan struct{})}
	l.Go(l.run)
	return l
}

// Stop ends the loop without waiting for it; see Wait.
func (l *Loop) Stop() { l.cancel() }

func (l *Loop) run() {
	defer close(l.ended)
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.functions:
			f()
		}
	}
}

// Post queues f to run on the loop. It blocks only while the queue is full. If the loop
// ends first, f does not run.
func (l *Loop) Post(f func()) {
	select {
	case <-l.ctx.Done():
	case l.functions <- f:
	}
}

// Do runs f on the loop and waits until f has returned. If the loop ends first, it returns
// ErrEnded; then f has not run and never will, so the caller may safely read the variables
// that f would have written.
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

// Every runs f on the loop once per period until the loop ends.
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

// GoEvery starts a goroutine that runs f, waits for period, and repeats until the loop
// ends. It is meant for I/O, which must not block the loop.
func (l *Loop) GoEvery(period time.Duration, f func(context.Context)) {
	l.Go(func() {
		for l.ctx.Err() == nil {
			f(l.ctx)
			Sleep(l.ctx, period)
		}
	})
}

// Go runs f on a new goroutine, which Wait waits for. A panic in f ends the loop, and Wait
// then panics as well: a process must not continue after one of its goroutines has failed.
func (l *Loop) Go(f func()) {
	l.group.Go(func() {
		returned := false
		defer func() {
			if !returned {
				l.cancel()
			}
		}()
		f()
		returned = true
	})
}

// Wait waits until the loop and all its goroutines have ended. It panics if one of them
// panicked.
func (l *Loop) Wait() { l.group.Wait() }

// WaitFor is Wait for at most d. The error says that goroutines still run after that.
func (l *Loop) WaitFor(d time.Duration) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Wait()
	}()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ended:
		return nil
	case <-timer.C:
		return errors.Newf("goroutines of the control loop still run %v after its end", d)
	}
}

// Context returns a context that ends when the loop ends.
func (l *Loop) Context() context.Context { return l.ctx }

// Sleep waits for d or until ctx ends, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
