// Package process builds the long-running processes of apricotwind from their components:
// Entry and Agent, which serve requests and run batch tasks, and JobEntry and JobAgent,
// which run jobs with steps. It opens the listeners, starts and stops the components and
// serves the health endpoints. It leaves all decisions about requests and tasks to the
// components.
package process

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/http"
	"time"

	"github.com/apricotwind/apricotwind/internal/identity"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"golang.org/x/net/netutil"
)

const (
	// heldBody bounds the bytes of a body that are in memory at a time when it is passed on. A caller's
	// body is sent again if it is no longer.
	heldBody = 64 << 10
)

// Network opens listeners and connections. Tests substitute an in-memory network.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewNetwork returns the TCP network of the machine. A dial times out after one second.
func NewNetwork() Network {
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   (&net.Dialer{Timeout: time.Second}).DialContext,
	}
}

// listen opens a listener on address; errors name the setting. It uses TLS if secured is
// not nil, and limits the open connections if connections is positive.
func (n Network) listen(setting, address string, secured *tls.Config, connections int) (net.Listener, error) {
	listener, err := n.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "setting %s: cannot listen on %s", setting, address)
	}
	if connections > 0 {
		listener = netutil.LimitListener(listener, connections)
	}
	if secured != nil {
		listener = tls.NewListener(listener, secured)
	}
	return listener, nil
}

// client returns an HTTP client over the network whose calls time out after timeout.
func (n Network) client(timeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial}, Timeout: timeout}
}

// newIncarnation returns a random ID for one run of a process.
func newIncarnation() string {
	var raw [8]byte
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// addHealthRoutes adds the metrics, liveness and readiness endpoints.
func addHealthRoutes(router *httprouter.Router, registry *metrics.Registry, ready func() error) {
	router.Handler(http.MethodGet, "/debug/vars", registry)
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeText(w, http.StatusOK, "alive")
	})
	router.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if err := ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = w.Write([]byte(text + "\n"))
}

// dialPeer dials a peer. It uses TLS if the process has an identity.
func dialPeer(ctx context.Context, network Network, id *identity.Identity, address string) (net.Conn, error) {
	conn, err := network.Dial(ctx, "tcp", address)
	if err != nil || id == nil {
		return conn, err
	}
	secured := tls.Client(conn, id.Client())
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "secure link to %s", address), conn.Close())
	}
	return secured, nil
}
