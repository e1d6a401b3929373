// Package process assembles the long-running roles of apricotwind.
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
	// headerMost bounds the header of a request, in bytes.
	headerMost = 64 << 10
	// headerBound is how long a client may take to send a header.
	headerBound = 10 * time.Second
	// idleBound is how long an idle connection is kept.
	idleBound = 60 * time.Second
)

// Network is how a process reaches others, so that tests can bring their own.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewNetwork is the network of the machine, over TCP.
func NewNetwork() Network {
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   (&net.Dialer{Timeout: time.Second}).DialContext,
	}
}

// listen opens a listener for the setting named, with TLS when secured.
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

// client makes an HTTP client over the network.
func (n Network) client(bound time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial}, Timeout: bound}
}

// newServer makes a server with the limits that every listener has.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    headerMost,
		ReadHeaderTimeout: headerBound,
		IdleTimeout:       idleBound,
	}
}

// newIncarnation names one run of a process.
func newIncarnation() string {
	var raw [8]byte
	// crypto/rand.Read never fails on the systems Go supports.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// addHealth adds the pages every process has: metrics, alive, ready.
func addHealth(router *httprouter.Router, set *metrics.Registry, ready func() error) {
	router.Handler(http.MethodGet, "/debug/vars", set)
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		answer(w, http.StatusOK, "alive")
	})
	router.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if err := ready(); err != nil {
			answer(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		answer(w, http.StatusOK, "ready")
	})
}

func answer(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A reader that is gone cannot be told more.
	_, _ = w.Write([]byte(text + "\n"))
}

// secure dials a peer, with TLS when the process has an identity.
func secure(ctx context.Context, network Network, of *identity.Identity, address string) (net.Conn, error) {
	conn, err := network.Dial(ctx, "tcp", address)
	if err != nil || of == nil {
		return conn, err
	}
	secured := tls.Client(conn, of.Client())
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "secure link to %s", address), conn.Close())
	}
	return secured, nil
}
