// Package problem writes and reads RFC 9457 problem documents that carry the
// outcome of the request, the step and the peer.
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

// Outcome says what became of a request.
type Outcome int

// The outcomes. Refused is said only when the request provably was not run.
const (
	Unknown Outcome = iota // unknown
	Refused                // refused
	Done                   // done
)

// Names of reserved headers; docs/CALLERS.md lists them all.
const (
	HeaderOutcome = "Apricotwind-Outcome"
	HeaderStep    = "Apricotwind-Step"
	HeaderPeer    = "Apricotwind-Peer"
)

// mediaType is that of RFC 9457.
const mediaType = "application/problem+json"

// Problem is one refusal or failure.
type Problem struct {
	Status  int    `json:"status"`
	Title   string `json:"title"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Step    string `json:"step"`
	Peer    string `json:"peer,omitempty"`
	Retry   int    `json:"retry,omitempty"` // seconds, also in Retry-After
}

// New makes a problem; step is where it arose and detail what to know.
func New(status int, outcome Outcome, step, detail string) Problem {
	return Problem{
		Status:  status,
		Title:   http.StatusText(status),
		Detail:  detail,
		Outcome: outcome.String(),
		Step:    step,
	}
}

// WithPeer names the peer at which the problem arose.
func (p Problem) WithPeer(peer string) Problem {
	p.Peer = peer
	return p
}

// WithRetryAfter says when a new try may help.
func (p Problem) WithRetryAfter(d time.Duration) Problem {
	p.Retry = int((d + time.Second - 1) / time.Second)
	return p
}

// Error shows the problem in one line.
func (p Problem) Error() string {
	text := p.Step + ": " + p.Detail + " (outcome " + p.Outcome + ")"
	if p.Peer != "" {
		text = "peer " + p.Peer + ": " + text
	}
	return text
}

// Write answers a request with the problem.
func (p Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", mediaType)
	header.Set(HeaderOutcome, p.Outcome)
	header.Set(HeaderStep, p.Step)
	if p.Peer != "" {
		header.Set(HeaderPeer, p.Peer)
	}
	if p.Retry > 0 {
		header.Set("Retry-After", strconv.Itoa(p.Retry))
	}
	w.WriteHeader(p.Status)
	// The status is out; a caller that is gone cannot be told more.
	_ = json.NewEncoder(w).Encode(p)
}

// bodyMost bounds what is read of an answer that is not as expected.
const bodyMost = 1 << 20

// Read turns an answer other than 2xx into an error; nil for 2xx.
func Read(response *http.Response, peer string) error {
	if response.StatusCode/100 == 2 {
		return nil
	}
	var p Problem
	err := json.NewDecoder(io.LimitReader(response.Body, bodyMost)).Decode(&p)
	if err != nil || p.Step == "" {
		return errors.Newf("peer %s answered %s", peer, response.Status)
	}
	return p
}
