package budget

import (
	"context"
	"net"
	"net/http"
	"time"
)

// maxTimeout is the longest limit of a configuration that is applied.
const maxTimeout = 10 * time.Minute

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Server returns a server for a listener of this budget. held bounds the bytes of a body that the
// handler holds in memory at a time, for handlers that pass a body on; 0 means that it holds all.
func (b *Budget) Server(handler http.Handler, held int64) *http.Server {
	return &http.Server{
		Handler:           &bounded{budget: b, handler: handler, held: held},
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
}

// bounded serves requests within the budget.
type bounded struct {
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
