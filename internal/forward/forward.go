// Package forward forwards one HTTP request to the next hop and copies the complete
// response back. A body shorter than announced is an error, never a truncated success.
// Retries and the choice of the next hop are left to packages caller and upstream.
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

// hopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyBufferBytes is the size of the buffer that response bodies are copied with, in bytes.
const copyBufferBytes = 32 << 10

// Request returns the request to the next hop at base. It has the method, path, query,
// headers and trailers of in, without hop-by-hop headers and Expect, and the given body.
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

// Result is the result of a round trip to the next hop. Exactly one of Response and Err
// is set.
type Result struct {
	Connected bool // a connection was obtained; if false, the next hop received nothing
	Response  *http.Response
	Err       error
}

// Send sends the request out and waits for the response headers. On success the caller
// must close the response body.
func Send(out *http.Request, transport http.RoundTripper) Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	traced := out.WithContext(httptrace.WithClientTrace(out.Context(), trace))
	response, err := transport.RoundTrip(traced)
	return Result{Connected: connected.Load(), Response: response, Err: err}
}

// WriteResponse writes the complete response to w and closes its body. On an error the
// caller must abort the connection (panic with http.ErrAbortHandler); otherwise a
// truncated response would look complete.
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

// copyFlushing copies a body and flushes after each read, so that each part of a streamed
// response is sent on as it arrives.
func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "write response")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if flushErr := controller.Flush(); flushErr != nil {
			return errors.Wrap(flushErr, "flush response")
		}
	}
}
