package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestDoNeverLeavesItsFunctionRunning ends the loop while a function of Do runs. Do must
// wait for the function, since the caller of Do reads the variables that it writes.
func TestDoNeverLeavesItsFunctionRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := New(ctx)
		written := 0
		started := make(chan struct{})
		go func() {
			<-started
			cancel()
		}()
		err := l.Do(func() {
			close(started)
			time.Sleep(time.Second)
			written = 1
		})
		if err != nil || written != 1 {
			t.Errorf("Do returned %v with written = %d, want nil and 1", err, written)
		}
		if err := l.Do(func() { written = 2 }); err == nil || written != 1 {
			t.Errorf("after the loop ended: Do returned %v with written = %d, want an error and 1", err, written)
		}
		l.Wait()
	})
}

// A goroutine that does not end keeps the process from ending only for the time given.
func TestWaitForIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(t.Context())
		release := make(chan struct{})
		l.Go(func() { <-release })
		l.Stop()
		if err := l.WaitFor(time.Second); err == nil {
			t.Error("no error while a goroutine runs")
		}
		close(release)
		if err := l.WaitFor(time.Second); err != nil {
			t.Error(err)
		}
	})
}
