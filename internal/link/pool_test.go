package link

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
)

// withPool runs a test on a pool with the given dial function in a bubble of its own.
func withPool(t *testing.T, dial Dial, test func(t *testing.T, p *Pool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := loop.New(ctx)
		test(t, NewPool(dial, l, metrics.New()))
		cancel()
		l.Wait()
		time.Sleep(CallTimeout) // lets discarded links close
	})
}

// While an address does not answer, as after the loss of the owner's machine, all callers learn so
// at once, and the pool opens one connection for all of them.
func TestCallersWaitForADarkAddressTogether(t *testing.T) {
	var dials atomic.Int32
	dark := func(ctx context.Context, _ string) (net.Conn, error) {
		dials.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	withPool(t, dark, func(t *testing.T, p *Pool) {
		began := time.Now()
		failures := make(chan error, 50)
		for range cap(failures) {
			go func() { failures <- p.Call(t.Context(), "a", time.Second, MethodWhoOwns, nil, nil) }()
		}
		for range cap(failures) {
			if err := <-failures; !errors.Is(err, ErrNotConnected) {
				t.Errorf("call of a dark address: %v", err)
			}
		}
		if took := time.Since(began); took > dialTimeout {
			t.Errorf("the calls took %v, one attempt %v", took, dialTimeout)
		}
		if dials.Load() != 1 {
			t.Errorf("%d connections for calls at the same time", dials.Load())
		}
	})
}

// A link on which a call got no answer is replaced, and the old one closes.
func TestALinkThatDoesNotAnswerIsReplaced(t *testing.T) {
	var far []net.Conn
	dial := func(context.Context, string) (net.Conn, error) {
		near, peer := net.Pipe()
		far = append(far, peer)
		return near, nil
	}
	withPool(t, dial, func(t *testing.T, p *Pool) {
		for range 2 {
			if err := p.Call(t.Context(), "a", time.Second, MethodWhoOwns, nil, nil); err == nil || errors.Is(err, ErrNotConnected) {
				t.Errorf("call without an answer: %v", err)
			}
		}
		if len(far) != 2 {
			t.Errorf("%d connections, want a new one after the failure", len(far))
		}
		time.Sleep(CallTimeout + WriteTimeout)
		for i, conn := range far {
			if _, err := conn.Write([]byte("{}")); err == nil {
				t.Errorf("connection %d is still open", i)
			}
		}
	})
}

// A call that takes longer than another on the same link, which got no answer in its time, is
// answered all the same.
func TestACallOutlivesTheFailureOfAnother(t *testing.T) {
	const took, timeout = 2500 * time.Millisecond, 2700 * time.Millisecond
	dial := func(_ context.Context, address string) (net.Conn, error) {
		near, peer := net.Pipe()
		answer := func(context.Context, string, json.RawMessage) (any, error) {
			time.Sleep(took)
			return ForwardReply{Outcome: 1}, nil
		}
		New(context.Background(), peer, address, metrics.New(), answer)
		return near, nil
	}
	withPool(t, dial, func(t *testing.T, p *Pool) {
		failed := make(chan error, 1)
		go func() { failed <- p.Call(t.Context(), "a", 100*time.Millisecond, MethodWhoOwns, nil, nil) }()
		var reply ForwardReply
		if err := p.Call(t.Context(), "a", timeout, MethodSubmit, nil, &reply); err != nil || reply.Outcome != 1 {
			t.Errorf("call that was answered after %v, with a timeout of %v: %v", took, timeout, err)
		}
		if err := <-failed; err == nil {
			t.Error("the other call was answered")
		}
	})
}

// brokenConn is a connection whose peer is gone: a write fails after a number of bytes.
type brokenConn struct {
	net.Conn
	written int
}

func (c brokenConn) Write([]byte) (int, error) { return c.written, syscall.ECONNRESET }

// A call on a link that broke unnoticed is sent on another one. If that fails too, the caller learns
// that the call was not sent, unless the peer may have received it.
func TestACallOnABrokenLink(t *testing.T) {
	cases := []struct {
		what     string
		broken   int // links that are broken, of those opened
		written  int // bytes that reach a broken one
		answered bool
		notSent  bool
	}{
		{"works on a new link", 1, 0, true, false},
		{"not sent", 2, 0, false, true},
		{"may be received", 1, 7, false, false},
	}
	for _, c := range cases {
		t.Run(c.what, func(t *testing.T) {
			dials := 0
			dial := func(_ context.Context, address string) (net.Conn, error) {
				near, peer := net.Pipe()
				if dials++; dials <= c.broken {
					return brokenConn{near, c.written}, nil
				}
				New(context.Background(), peer, address, metrics.New(), func(context.Context, string, json.RawMessage) (any, error) { return ForwardReply{Outcome: 1}, nil })
				return near, nil
			}
			withPool(t, dial, func(t *testing.T, p *Pool) {
				var reply ForwardReply
				err := p.Call(t.Context(), "a", time.Second, MethodSubmit, nil, &reply)
				if (err == nil) != c.answered || errors.Is(err, ErrNotConnected) != c.notSent {
					t.Errorf("call: %v, not sent: %v", err, errors.Is(err, ErrNotConnected))
				}
			})
		})
	}
}
