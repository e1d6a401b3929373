package caller

import (
	"bytes"
	"io"
	"net/http"

	"github.com/apricotwind/apricotwind/internal/forward"
	"github.com/cockroachdb/errors"
)

// maxBufferedBody bounds, in bytes, the body that is read into memory before the first
// attempt, so that it can be sent again. A longer body, or one of unknown length, is
// streamed: it is not read before a gate has admitted the request.
const maxBufferedBody = 64 << 10

// body is a request body. It can be sent again if it is buffered or if no attempt has
// read from it.
type body struct {
	*forward.Body
	buffered   []byte
	isBuffered bool
}

// newBody wraps the body of a request and buffers it if its length is at most
// maxBufferedBody.
func newBody(r *http.Request) (*body, error) {
	b := &body{Body: forward.Track(r)}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return b, nil
	}
	buffered, err := io.ReadAll(b.Body)
	b.buffered, b.isBuffered = buffered, true
	return b, errors.Wrap(err, "read body")
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool { return b.isBuffered || !b.Touched() }

// reader returns a reader from the start of the body.
func (b *body) reader() io.ReadCloser {
	if b.isBuffered {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return b.Body
}
