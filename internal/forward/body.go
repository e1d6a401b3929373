package forward

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Body is a request body that records how far it was read. One goroutine may read it
// while others call the other methods.
type Body struct {
	source  io.ReadCloser
	touched atomic.Bool
	ended   atomic.Bool
	broken  atomic.Bool
}

// Track wraps the body of a request that a server has received.
func Track(r *http.Request) *Body {
	b := &Body{source: r.Body}
	if r.ContentLength == 0 {
		b.ended.Store(true)
	}
	return b
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.touched.Store(true)
	n, err := b.source.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended.Store(true)
	case err != nil:
		b.broken.Store(true)
	}
	return n, err
}

// Close does nothing: the server that received the request closes its body.
func (b *Body) Close() error { return nil }

// Touched reports whether Read was called at least once.
func (b *Body) Touched() bool { return b.touched.Load() }

// Broken reports whether a read failed with an error other than io.EOF, such as for a
// body shorter than announced.
func (b *Body) Broken() bool { return b.broken.Load() }

// Duplex allows the response to start before the body was read to its end. Without it,
// Go's server discards the rest of the body once the response has started.
//
// A connection whose body was not read to its end must not be reused: Go's server would
// read the rest of the body and the next request at the same time. The response to such
// a request must therefore close the connection; see CloseUnlessEnded.
func (b *Body) Duplex(w http.ResponseWriter) error {
	if b.ended.Load() {
		return nil
	}
	return errors.Wrap(http.NewResponseController(w).EnableFullDuplex(), "enable a response before the end of the request body")
}

// CloseUnlessEnded sets the response header "Connection: close" if the body was not read
// to its end. It must be called before the header is written.
func (b *Body) CloseUnlessEnded(w http.ResponseWriter) {
	if !b.ended.Load() {
		w.Header().Set("Connection", "close")
	}
}
