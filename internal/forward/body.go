package forward

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Body is a request's body that tells how far it was read.
type Body struct {
	from    io.ReadCloser
	touched atomic.Bool
	ended   atomic.Bool
	broken  atomic.Bool
}

// Track wraps the body of a request that a server received.
func Track(r *http.Request) *Body {
	b := &Body{from: r.Body}
	if r.ContentLength == 0 {
		b.ended.Store(true)
	}
	return b
}

// Read reads on.
func (b *Body) Read(p []byte) (int, error) {
	b.touched.Store(true)
	n, err := b.from.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended.Store(true)
	case err != nil:
		b.broken.Store(true)
	}
	return n, err
}

// Close leaves the body to the server it came from, which closes it itself.
func (b *Body) Close() error { return nil }

// Touched tells whether any of it was read.
func (b *Body) Touched() bool { return b.touched.Load() }

// Broken tells whether it ended before its time.
func (b *Body) Broken() bool { return b.broken.Load() }

// Duplex prepares an answer that may begin before the body has ended. Without it,
// Go drops the rest of a body once the answer has begun.
//
// A connection whose body was not read to its end must not be used again: Go's
// server would read the rest and the next request at the same time. So the answer
// of such a request says that the connection closes.
func (b *Body) Duplex(w http.ResponseWriter) error {
	if b.ended.Load() {
		return nil
	}
	return errors.Wrap(http.NewResponseController(w).EnableFullDuplex(), "answer before the body's end")
}

// CloseUnlessEnded says in the answer that the connection closes, if the body was
// not read to its end.
func (b *Body) CloseUnlessEnded(w http.ResponseWriter) {
	if !b.ended.Load() {
		w.Header().Set("Connection", "close")
	}
}
