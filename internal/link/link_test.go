package link

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/metrics"
)

func ignoreCalls(context.Context, string, json.RawMessage) (any, error) { return struct{}{}, nil }

// A peer that accepts a connection and reads nothing, as a frozen process does once its
// buffers are full, must block neither the caller nor those that wait for the link to close.
func TestAPeerThatReadsNothingIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		conn := New(t.Context(), near, "frozen", metrics.New(), ignoreCalls)
		called := make(chan error, 1)
		go func() { called <- conn.Call(t.Context(), MethodHeartbeat, Heartbeat{Sequence: 1}, nil) }()
		time.Sleep(WriteTimeout + CallTimeout)
		select {
		case err := <-called:
			if err == nil {
				t.Error("a call that nobody read has succeeded")
			}
		default:
			t.Error("the call still waits")
		}
		select {
		case <-conn.Done():
		default:
			t.Error("the link is still open")
		}
		conn.Close()
		_ = far.Close() // only ends the test
	})
}
