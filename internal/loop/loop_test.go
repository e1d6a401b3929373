package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestDoNeverLeavesItsFunctionRunning ends the loop while a function runs: Do must
// wait for it, since its caller reads what it writes.
func TestDoNeverLeavesItsFunctionRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := New(ctx)
		written := 0
		begun := make(chan struct{})
		go func() {
			<-begun
			cancel()
		}()
		err := l.Do(func() {
			close(begun)
			time.Sleep(time.Second)
			written = 1
		})
		if err != nil || written != 1 {
			t.Errorf("got %v with %d written, want the function whole", err, written)
		}
		if err := l.Do(func() { written = 2 }); err == nil || written != 1 {
			t.Errorf("after the end: %v, %d written", err, written)
		}
		l.Wait()
	})
}
