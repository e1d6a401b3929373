package process

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/apricotwind/apricotwind/internal/budget"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/owner"
)

// callHandler handles a call that arrived on conn.
type callHandler func(ctx context.Context, conn *owner.Conn, method string, params []byte) (any, error)

// serveLinks accepts links from agents and entries and serves their calls until the loop ends.
func serveLinks(inner net.Listener, bounds *budget.Budget, l *loop.Loop, registry *metrics.Registry, handle callHandler) {
	listener := bounds.Listener(inner, budget.Links)
	l.Go(func() {
		<-l.Context().Done()
		// The loop has ended, so an error has no receiver.
		_ = listener.Close()
	})
	for l.Context().Err() == nil {
		stream, err := listener.Accept()
		if err != nil {
			loop.Sleep(l.Context(), 10*time.Millisecond) // so that a lasting error does not spin
			continue
		}
		conn := owner.NewConn()
		bound := make(chan struct{}) // closed once Bind was called: calls are served only after that
		conn.Bind(link.NewBounded(l.Context(), stream, stream.RemoteAddr().String(), registry, bounds.Link(), func(ctx context.Context, method string, params json.RawMessage) (any, error) {
			<-bound
			return handle(ctx, conn, method, params)
		}))
		close(bound)
	}
}

// serveElector passes a call to the elector. Methods that the elector does not serve are unknown.
func serveElector(ctx context.Context, elector *owner.Elector, conn *owner.Conn, method string, params []byte) (any, error) {
	result, ok, err := elector.Serve(ctx, conn, method, params)
	if !ok {
		return nil, link.UnknownMethod(method)
	}
	return result, err
}
