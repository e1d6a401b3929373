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
	// idleConnTimeout is how long the transport keeps an idle connection to a gate.
	idleConnTimeout = 30 * time.Second
	// maxIdleConnsPerGate bounds the idle connections that the transport keeps to one gate.
	maxIdleConnsPerGate = 64
	// continueTimeout bounds how long a request whose body is held back waits for the
	// gate to admit it. It must be at least maxTimeout of package caller, which bounds
	// the wait in any queue: otherwise the transport would send the body before the gate
	// has admitted the request.
	continueTimeout = time.Hour
)

// Attempt is one attempt to run a request on one instance.
type Attempt struct {
	ID            string
	Instance      string
	Incarnation   string
	GateAddress   string // host:port
	Workspace     string
	Class         string
	Timeout       time.Duration // until the deadline
	TargetTimeout time.Duration // until the latency target is missed; negative once it is missed
}

// Gates sends attempts to the gates of agents. It is safe for concurrent use.
type Gates struct {
	transport *http.Transport
	scheme    string
}

// NewGates returns a client of the gates that opens connections with dial. With a nil
// tlsConfig it uses plain HTTP.
func NewGates(dial func(ctx context.Context, network, address string) (net.Conn, error), tlsConfig *tls.Config) *Gates {
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
	}
	return &Gates{scheme: scheme, transport: &http.Transport{
		DialContext:           dial,
		TLSClientConfig:       tlsConfig,
		MaxIdleConnsPerHost:   maxIdleConnsPerGate,
		IdleConnTimeout:       idleConnTimeout,
		DisableCompression:    true,
		ExpectContinueTimeout: continueTimeout,
	}}
}

// Send sends one attempt of the request in, with the given body, and waits for the
// response headers. With holdBody it sends the body only after the gate has admitted
// the request. The caller must close the body of the response.
func (g *Gates) Send(ctx context.Context, in *http.Request, body io.ReadCloser, holdBody bool, attempt Attempt) forward.Result {
	out := forward.Request(ctx, in, &url.URL{Scheme: g.scheme, Host: attempt.GateAddress}, body)
	out.Header.Set(entry.HeaderAttempt, attempt.ID)
	out.Header.Set(entry.HeaderIncarnation, attempt.Incarnation)
	out.Header.Set(entry.HeaderWorkspace, attempt.Workspace)
	out.Header.Set(entry.HeaderClass, attempt.Class)
	out.Header.Set(entry.HeaderTimeout, strconv.FormatInt(attempt.Timeout.Milliseconds(), 10))
	out.Header.Set(entry.HeaderTarget, strconv.FormatInt(attempt.TargetTimeout.Milliseconds(), 10))
	if holdBody {
		out.Header.Set("Expect", "100-continue")
	}
	return forward.Send(out, g.transport)
}

// Close closes the idle connections. Attempts in flight are not affected.
func (g *Gates) Close() { g.transport.CloseIdleConnections() }
