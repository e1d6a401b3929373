package caller

import (
	"bytes"
	"io"
	"net/http"

	"github.com/apricotwind/apricotwind/internal/forward"
	"github.com/cockroachdb/errors"
)

// keepMost is the longest body that is read whole before the first attempt, in
// bytes, so that it can be sent again. A longer one, or one of unknown length, is
// streamed: it is not touched before a gate has admitted the request.
const keepMost = 64 << 10

// body is a request body that can be sent again as long as it is kept whole or no
// attempt has read from it.
type body struct {
	*forward.Body
	kept  []byte
	whole bool
}

// newBody takes a request's body, and reads it if it is short.
func newBody(r *http.Request) (*body, error) {
	b := &body{Body: forward.Track(r)}
	if r.ContentLength < 0 || r.ContentLength > keepMost {
		return b, nil
	}
	kept, err := io.ReadAll(b.Body)
	b.kept, b.whole = kept, true
	return b, errors.Wrap(err, "read body")
}

// again tells whether the body can be sent once more.
func (b *body) again() bool { return b.whole || !b.Touched() }

// reader gives the body from its start.
func (b *body) reader() io.ReadCloser {
	if b.whole {
		return io.NopCloser(bytes.NewReader(b.kept))
	}
	return b.Body
}
