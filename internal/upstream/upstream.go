// Package upstream forwards admitted requests to the upstream instance.
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
	// idleTime is how long an unused connection is kept. It is short, so that the
	// upstream does not close it just when a request is sent on it.
	idleTime = 2 * time.Second
	// dialBound is how long a connection may take to open.
	dialBound = time.Second
)

// headerLoad is package entry's HeaderLoad, which only the gate may set.
const headerLoad = "Apricotwind-Load"

// Dial opens connections to the upstream.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client reaches one upstream instance.
type Client struct {
	base      *url.URL
	transport *http.Transport
}

// New makes a client of the upstream at base that opens at most connections.
func New(base string, connections int, dial Dial) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" {
		return nil, errors.Newf("upstream %q is no URL such as http://127.0.0.1:9000", base)
	}
	return &Client{
		base: parsed,
		transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTime,
			DisableCompression:  true,
		},
	}, nil
}

// NewDial makes the usual dial over TCP.
func NewDial() Dial { return (&net.Dialer{Timeout: dialBound}).DialContext }

// Forward sends the request and writes the whole answer to w. A problem is
// returned when nothing was written yet; with broken the answer was cut short
// and the connection to the entry must be broken too. Answering is called before the
// first byte of an answer is written.
func (c *Client) Forward(ctx context.Context, w http.ResponseWriter, in *http.Request, body *forward.Body, answering func()) (failed *problem.Problem, broken error) {
	out := forward.Request(ctx, in, c.base, body)
	sent := forward.Send(out, c.transport)
	if sent.Err != nil {
		p := c.explain(ctx, sent)
		return &p, nil
	}
	body.CloseUnlessEnded(w)
	answering()
	// Only the gate itself may speak of outcomes.
	sent.Response.Header.Del(problem.HeaderOutcome)
	sent.Response.Header.Del(headerLoad)
	return nil, errors.Wrapf(forward.WriteResponse(w, sent.Response), "peer %s", c.base.Host)
}

// explain tells a request that the upstream never saw from one whose fate is unknown.
func (c *Client) explain(ctx context.Context, sent forward.Result) problem.Problem {
	switch {
	case !sent.Connected:
		return problem.New(http.StatusBadGateway, problem.Refused, "connect", sent.Err.Error()).WithPeer(c.base.Host)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return problem.New(http.StatusGatewayTimeout, problem.Unknown, "await", "no answer in time").WithPeer(c.base.Host)
	}
	return problem.New(http.StatusBadGateway, problem.Unknown, "exchange", sent.Err.Error()).WithPeer(c.base.Host)
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
