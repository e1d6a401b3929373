package caller

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// keepMost is the longest body that is read whole before the first attempt, in
// bytes, so that it can be sent again. A longer one, or one of unknown length, is
// streamed: it is not touched before a gate has admitted the request.
const keepMost = 64 << 10

// body is a request body that can be sent again while no more than its kept head
// was read.
type body struct {
	head   []byte
	whole  bool // head is all of it
	rest   io.Reader
	tapped atomic.Bool // the rest was read from
	broken atomic.Bool // the caller did not send all of it
}

// newBody takes a request's body, and reads it if it is short.
func newBody(r *http.Request) (*body, error) {
	if r.ContentLength < 0 || r.ContentLength > keepMost {
		return &body{rest: r.Body}, nil
	}
	head := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, head); err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return &body{head: head, whole: true}, nil
}

// again tells whether the body can be sent once more.
func (b *body) again() bool { return !b.tapped.Load() }

// reader gives the body from its start.
func (b *body) reader() io.ReadCloser {
	if b.whole {
		return io.NopCloser(bytes.NewReader(b.head))
	}
	return io.NopCloser(tap{b})
}

// tap notes that the rest was read, and whether it ended before its time.
type tap struct{ of *body }

// Read reads the rest of the body.
func (t tap) Read(p []byte) (int, error) {
	t.of.tapped.Store(true)
	n, err := t.of.rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		t.of.broken.Store(true)
	}
	return n, err
}
