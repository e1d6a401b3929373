// Package problem writes and reads RFC 9457 problem documents. Besides the standard
// members, a document states the outcome of the request, the step that failed and the peer
// at which it failed.
package problem

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Outcome -linecomment

// Outcome is the outcome of a request.
type Outcome int

// The outcomes. Refused is used only if the request provably was not run.
const (
	Unknown Outcome = iota // unknown
	Refused                // refused
	Done                   // done
)

// Reserved response headers; docs/CALLERS.md lists all. The gate sets HeaderPeer also on
// responses of an upstream, where it names the instance.
const (
	HeaderOutcome = "Apricotwind-Outcome"
	HeaderStep    = "Apricotwind-Step"
	HeaderPeer    = "Apricotwind-Peer"
)

// mediaType is the media type of RFC 9457 documents in JSON.
const mediaType = "application/problem+json"

// Problem is a problem document about one refused or failed request. It implements error.
type Problem struct {
	Status     int    `json:"status"`
	Title      string `json:"title"`
	Detail     string `json:"detail,omitempty"`
	Outcome    string `json:"outcome"`
	Step       string `json:"step"`
	Peer       string `json:"peer,omitempty"`
	RetryAfter int    `json:"retry,omitempty"` // seconds, also sent as Retry-After
}

// New returns a problem with an HTTP status. Step names the step that failed, and detail
// explains the failure.
func New(status int, outcome Outcome, step, detail string) Problem {
	return Problem{
		Status:  status,
		Title:   http.StatusText(status),
		Detail:  detail,
		Outcome: outcome.String(),
		Step:    step,
	}
}

// WithPeer returns a copy of the problem with the peer at which it arose.
func (p Problem) WithPeer(peer string) Problem {
	p.Peer = peer
	return p
}

// WithRetryAfter returns a copy of the problem with the delay after which a retry may
// succeed, rounded up to seconds.
func (p Problem) WithRetryAfter(d time.Duration) Problem {
	p.RetryAfter = int((d + time.Second - 1) / time.Second)
	return p
}

// Error returns the problem as one line of text.
func (p Problem) Error() string {
	text := p.Step + ": " + p.Detail + " (outcome " + p.Outcome + ")"
	if p.Peer != "" {
		text = "peer " + p.Peer + ": " + text
	}
	return text
}

// Write sends the problem as the response, headers included.
func (p Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", mediaType)
	header.Set(HeaderOutcome, p.Outcome)
	header.Set(HeaderStep, p.Step)
	if p.Peer != "" {
		header.Set(HeaderPeer, p.Peer)
	}
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	// The status is sent; an error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(p)
}

// maxBodyBytes bounds, in bytes, how much of an error response is read.
const maxBodyBytes = 1 << 20

// Read returns nil for a 2xx response. For a response other than 2xx it returns the Problem
// in the body, or an error with the status if the body is not a problem document. It does not close the body.
func Read(response *http.Response, peer string) error {
	if response.StatusCode/100 == 2 {
		return nil
	}
	var p Problem
	err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&p)
	if err != nil || p.Step == "" {
		return errors.Newf("peer %s responded %s", peer, response.Status)
	}
	return p
}
