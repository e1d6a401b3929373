package agent

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/apricotwind/apricotwind/internal/entry"
	"github.com/apricotwind/apricotwind/internal/forward"
)

const (
	// gateIdle is how long an unused connection to a gate is kept.
	gateIdle = 30 * time.Second
	// gateConnections bounds the connections kept to one gate.
	gateConnections = 64
	// continueBound is how long a request with a body waits for the gate to admit
	// it. It is longer than any queue: the body is not sent before.
	continueBound = time.Hour
)

// Attempt is one try of a request at one instance.
type Attempt struct {
	ID            string
	Instance      string
	Incarnation   string
	GateAddress   string // host:port
	Workspace     string
	Class         string
	Timeout       time.Duration // until the deadline
	TargetTimeout time.Duration // until it is late; negative when it is
}

// Gates sends attempts to the gates of agents.
type Gates struct {
	transport *http.Transport
	scheme    string
}

// NewGates makes the way to the gates; secured is nil for no TLS.
func NewGates(dial func(ctx context.Context, network, address string) (net.Conn, error), secured *tls.Config) *Gates {
	scheme := "http"
	if secured != nil {
		scheme = "https"
	}
	return &Gates{scheme: scheme, transport: &http.Transport{
		DialContext:           dial,
		TLSClientConfig:       secured,
		MaxIdleConnsPerHost:   gateConnections,
		IdleConnTimeout:       gateIdle,
		DisableCompression:    true,
		ExpectContinueTimeout: continueBound,
	}}
}

// Send sends one attempt of request in with body. With late, the body is held
// back until the gate has admitted the request.
func (g *Gates) Send(ctx context.Context, in *http.Request, body io.ReadCloser, late bool, attempt Attempt) forward.Result {
	out := forward.Request(ctx, in, &url.URL{Scheme: g.scheme, Host: attempt.GateAddress}, body)
	out.Header.Set(entry.HeaderAttempt, attempt.ID)
	out.Header.Set(entry.HeaderIncarnation, attempt.Incarnation)
	out.Header.Set(entry.HeaderWorkspace, attempt.Workspace)
	out.Header.Set(entry.HeaderClass, attempt.Class)
	out.Header.Set(entry.HeaderTimeout, strconv.FormatInt(attempt.Timeout.Milliseconds(), 10))
	out.Header.Set(entry.HeaderTarget, strconv.FormatInt(attempt.TargetTimeout.Milliseconds(), 10))
	if late {
		out.Header.Set("Expect", "100-continue")
	}
	return forward.Send(out, g.transport)
}

// Close closes idle connections.
func (g *Gates) Close() { g.transport.CloseIdleConnections() }
