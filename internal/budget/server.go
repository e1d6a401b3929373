package budget

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxTimeout is the longest limit of a configuration that is applied.
	maxTimeout = 10 * time.Minute
	// lastRequestTime is how long a connection of a stopping server still waits for a request, so that
	// one that was on its way as the server was told to stop is answered.
	lastRequestTime = 100 * time.Millisecond
	// lastLookTime is the time for one more read after that. The process may have stood still while
	// the request came.
	lastLookTime = 20 * time.Millisecond
	// stopCheckInterval is the interval of the checks for what a stopping server waits for.
	stopCheckInterval = time.Millisecond
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Server is an HTTP server for listeners of a budget. Unlike that of package http, it stops without
// breaking off a request of which it has read a byte.
type Server struct {
	http     *http.Server
	stopping atomic.Bool
	serving  sync.WaitGroup // one for each call of Serve

	mu        sync.Mutex
	listeners []*listener
}

// Server returns a server for a listener of this budget. held bounds the bytes of a body that the
// handler holds in memory at a time, for handlers that pass a body on; 0 means that it holds all.
func (b *Budget) Server(handler http.Handler, held int64) *Server {
	s := &Server{}
	s.http = &http.Server{
		Handler:           &bounded{server: s, budget: b, handler: handler, held: held},
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: maxTimeout, // a Conn applies the limits in force
		IdleTimeout:       maxTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*Conn); ok && state == http.StateIdle {
				conn.next()
			}
		},
	}
	return s
}

// Serve serves the requests on a listener that Budget.Listener has returned. It returns
// http.ErrServerClosed after Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	bounded, ok := l.(*listener)
	if !ok {
		return errors.Newf("a %T is not bounded by a budget", l)
	}
	if !s.add(bounded) {
		return errors.CombineErrors(http.ErrServerClosed, l.Close())
	}
	defer s.serving.Done()
	err := s.http.Serve(l)
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// add records a listener to be served. It reports false if the server is stopping.
func (s *Server) add(l *listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.serving.Add(1)
	return true
}

// stop marks that the server is stopping, and returns its listeners.
func (s *Server) stop() []*listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping.Store(true)
	return s.listeners
}

// Shutdown stops the server without breaking off a request. The answer to each request that begins from
// now on closes its connection. Connections that the kernel has accepted are served, and then no more;
// one on which no request has begun after lastRequestTime is closed. Shutdown returns when all
// connections have ended, or with the error of ctx.
//
// Shutdown of package http comes last here: it closes, without an answer, the connections whose request
// is being read at its call.
func (s *Server) Shutdown(ctx context.Context) error {
	listeners := s.stop()
	for _, l := range listeners {
		l.closeEmpty(ctx)
	}
	s.serving.Wait() // every accepted connection is known
	for _, l := range listeners {
		if err := l.awaitEnds(ctx); err != nil {
			return err
		}
	}
	return s.http.Shutdown(ctx)
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() error {
	s.stop()
	return s.http.Close()
}

// bounded serves requests within the budget.
type bounded struct {
	server  *Server
	budget  *Budget
	handler http.Handler
	held    int64
}

// ServeHTTP implements http.Handler.
func (h *bounded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		h.handler.ServeHTTP(w, r)
		return
	}
	if h.server.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	conn.begin()
	defer conn.releaseHead()
	if r.ContentLength == 0 {
		h.handler.ServeHTTP(w, r)
		return
	}
	read := &body{ReadCloser: r.Body, conn: conn, budget: h.budget, most: h.held, began: time.Now()}
	r.Body = read
	defer read.finish()
	h.handler.ServeHTTP(w, r)
}
