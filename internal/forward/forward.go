// Package forward passes one HTTP request on to the next hop and its whole answer
// back. A body shorter than announced is an error, never a short success.
package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// hopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyBuffer is the size of the buffer for bodies, in bytes.
const copyBuffer = 32 << 10

// Request makes the request to the next hop at base: same method, path, query,
// headers (less those of one connection), body and trailers.
func Request(ctx context.Context, in *http.Request, base *url.URL, body io.ReadCloser) *http.Request {
	target := *in.URL
	target.Scheme = base.Scheme
	target.Host = base.Host
	out := &http.Request{
		Method:        in.Method,
		URL:           &target,
		Host:          in.Host,
		Header:        in.Header.Clone(),
		Body:          body,
		ContentLength: in.ContentLength,
		Trailer:       in.Trailer,
	}
	if in.ContentLength == 0 {
		out.Body = nil
	}
	dropHopHeaders(out.Header)
	out.Header.Del("Expect")
	return out.WithContext(ctx)
}

func dropHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// Result is how far a request came.
type Result struct {
	Connected bool // a connection was had; before that the next hop saw nothing
	Response  *http.Response
	Err       error
}

// Send sends out and waits for the head of the answer.
func Send(out *http.Request, transport http.RoundTripper) Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	traced := out.WithContext(httptrace.WithClientTrace(out.Context(), trace))
	response, err := transport.RoundTrip(traced)
	return Result{Connected: connected.Load(), Response: response, Err: err}
}

// WriteResponse writes the whole answer to w. On an error the caller must break the
// connection (panic http.ErrAbortHandler), or a part would look whole.
func WriteResponse(w http.ResponseWriter, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	dropHopHeaders(response.Header)
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(response.StatusCode)
	if err := copyFlushing(w, response.Body); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[name] = values
	}
	return nil
}

// copyFlushing copies a body and sends each part on at once, so that a stream
// reaches the caller as it is produced.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "write answer")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if flushErr := controller.Flush(); flushErr != nil {
			return errors.Wrap(flushErr, "flush answer")
		}
	}
}
