// Package upstream is the agent's HTTP client of the upstream on its instance. It
// forwards requests that package entry has admitted and makes no retries.
package upstream

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/apricotwind/apricotwind/internal/forward"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/cockroachdb/errors"
)

const (
	// idleConnTimeout is how long an idle connection stays open. It is short, so that
	// the upstream does not close the connection while a request is sent on it.
	idleConnTimeout = 2 * time.Second
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
)

// headerLoad is HeaderLoad of package entry, which only the gate may set.
const headerLoad = "Apricotwind-Load"

// Dial opens a connection to the upstream.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to one upstream. It is safe for concurrent use.
type Client struct {
	base      *url.URL
	transport *http.Transport
}

// New returns a client of the upstream at the URL base. It opens at most maxConns
// connections. It fails if base is not a URL with a host.
func New(base string, maxConns int, dial Dial) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" {
		return nil, errors.Newf("upstream %q is not a URL such as http://127.0.0.1:9000", base)
	}
	return &Client{
		base: parsed,
		transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     maxConns,
			MaxIdleConnsPerHost: maxConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
	}, nil
}

// NewDial returns a Dial over TCP that fails after dialTimeout.
func NewDial() Dial { return (&net.Dialer{Timeout: dialTimeout}).DialContext }

// Forward sends the request in to the upstream and writes the complete response to w. It
// calls beforeResponse before it writes the first byte of the response. It returns a
// problem if it wrote nothing to w. It returns the error broken if the response broke
// off; the caller must then abort the connection to the entry.
func (c *Client) Forward(ctx context.Context, w http.ResponseWriter, in *http.Request, body *forward.Body, beforeResponse func()) (failed *problem.Problem, broken error) {
	out := forward.Request(ctx, in, c.base, body)
	sent := forward.Send(out, c.transport)
	if sent.Err != nil {
		p := c.problemOf(ctx, sent)
		return &p, nil
	}
	body.CloseUnlessEnded(w)
	beforeResponse()
	// Only the gate may set these: HeaderOutcome tells the entry a response of the gate from
	// one of the upstream.
	for _, reserved := range []string{problem.HeaderOutcome, problem.HeaderStep, problem.HeaderPeer, headerLoad} {
		sent.Response.Header.Del(reserved)
	}
	return nil, errors.Wrapf(forward.WriteResponse(w, sent.Response), "peer %s", c.base.Host)
}

// problemOf returns the problem of a failed round trip: refused if the upstream never
// received the request, otherwise unknown.
func (c *Client) problemOf(ctx context.Context, sent forward.Result) problem.Problem {
	switch {
	case !sent.Connected:
		return problem.New(http.StatusBadGateway, problem.Refused, "connect", sent.Err.Error()).WithPeer(c.base.Host)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return problem.New(http.StatusGatewayTimeout, problem.Unknown, "await", "no answer in time").WithPeer(c.base.Host)
	}
	return problem.New(http.StatusBadGateway, problem.Unknown, "exchange", sent.Err.Error()).WithPeer(c.base.Host)
}

// Close closes the idle connections. Requests in flight are not affected.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
