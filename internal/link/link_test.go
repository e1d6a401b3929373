package link

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/budget"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"go.uber.org/zap"
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

// A peer that may be anyone gets no more memory than its bounds: its link closes, and that of another
// peer goes on.
func TestAPeerOverItsBoundsIsGivenUp(t *testing.T) {
	cases := []struct {
		name string
		text string
		wait time.Duration
		open bool
	}{
		{"ordinary call", `{"jsonrpc":"2.0","method":"beat","params":{}}`, 0, true},
		{"message of 1 MB", `{"jsonrpc":"2.0","method":"beat","params":"` + strings.Repeat("a", 1<<20) + `"}`, 0, true},
		{"message without end", `{"params":"` + strings.Repeat("a", 8<<20), 0, false},
		{"spaces without end", strings.Repeat(" ", 8<<20), 0, false},
		{"message that stops", `{"params":"`, budget.MessageTimeout, false},
		{"more calls than are served at a time", strings.Repeat(`{"jsonrpc":"2.0","method":"wait"}`, 3000), 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const memory = 96 << 20
				bounds := budget.New(budget.Settings{Memory: memory}, metrics.New(), zap.NewNop())
				ended := make(chan struct{})
				handle := func(_ context.Context, method string, _ json.RawMessage) (any, error) {
					if method == "wait" {
						<-ended
					}
					return struct{}{}, nil
				}
				near, far := net.Pipe()
				other, otherFar := net.Pipe()
				conn := NewBounded(t.Context(), near, "crowd", metrics.New(), bounds.Link(), handle)
				ordinary := NewBounded(t.Context(), other, "ordinary", metrics.New(), bounds.Link(), handle)
				caller := New(t.Context(), otherFar, "entry", metrics.New(), ignoreCalls)
				go func() { _, _ = io.Copy(io.Discard, far) }()    // the link may close
				go func() { _, _ = io.WriteString(far, c.text) }() // the link may close
				synctest.Wait()
				time.Sleep(c.wait)
				synctest.Wait()
				open := true
				select {
				case <-conn.Done():
					open = false
				default:
				}
				if open != c.open {
					t.Errorf("the link is open: %t, want %t", open, c.open)
				}
				if err := caller.Call(t.Context(), MethodHeartbeat, Heartbeat{Sequence: 1}, nil); err != nil {
					t.Errorf("a call on another link: %v", err)
				}
				close(ended)
				for _, each := range []*Conn{conn, ordinary, caller} {
					each.Close()
				}
				_ = far.Close() // only ends the test
			})
		})
	}
}

// A link that has had a large message holds no more memory for it, and decodes what came with it.
func TestALargeMessageLeavesNoMemory(t *testing.T) {
	const links, size = 32, 1 << 20
	bounds := budget.New(budget.Settings{Memory: 96 << 20}, metrics.New(), zap.NewNop())
	handle := func(_ context.Context, method string, _ json.RawMessage) (any, error) { return method, nil }
	large := `{"jsonrpc":"2.0","id":1,"method":"beat","params":"` + strings.Repeat("a", size) + `"}`
	allocated := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := allocated()
	for range links {
		near, far := net.Pipe()
		defer far.Close()
		conn := NewBounded(t.Context(), near, "crowd", metrics.New(), bounds.Link(), handle)
		defer conn.Close()
		go func() {
			for _, text := range []string{large, `{"jsonrpc":"2.0","id":2,"method":"a"}{"jsonrpc":"2.0","id":3,`, `"method":"b"}`} {
				_, _ = io.WriteString(far, text) // a failure shows in the answers
			}
		}()
		answers := json.NewDecoder(far)
		got := map[int]string{}
		for range 3 {
			var answer struct {
				ID     int
				Result string
			}
			if err := answers.Decode(&answer); err != nil {
				t.Fatal(err)
			}
			got[answer.ID] = answer.Result
		}
		if got[1] != "beat" || got[2] != "a" || got[3] != "b" {
			t.Fatalf("answers %v", got)
		}
	}
	if held := int64(allocated()) - int64(before); held > links*size/4 {
		t.Errorf("%d links hold %d bytes after messages of %d bytes", links, held, size)
	}
}
