package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// lateCallTimeout bounds how long a late call waits for a worker that is down.
const lateCallTimeout = time.Second

// heldCalls passes the calls for a worker to it, some of them late and without an answer, as a network does
// that holds messages back. The methods may be called concurrently.
type heldCalls struct {
	worker http.Handler
	mu     sync.Mutex
	delays []time.Duration // of the next calls, in turn; empty: no call is held back
	calls  int             // since hold
}

// hold sets for how long the next calls are held back, in turn; 0 means not at all. Without delays no further
// call is held back.
func (h *heldCalls) hold(delays []time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delays, h.calls = delays, 0
}

// nextDelay returns for how long the next call is held back.
func (h *heldCalls) nextDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.delays) == 0 {
		return 0
	}
	delay := h.delays[h.calls%len(h.delays)]
	h.calls++
	return delay
}

// ServeHTTP implements http.Handler.
func (h *heldCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has given the call up while it sent it
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if acknowledges(body) {
		h.worker.ServeHTTP(w, r)
		return
	}
	delay := h.nextDelay()
	if delay == 0 {
		h.worker.ServeHTTP(w, r)
		return
	}
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(delay, func() { h.deliver(late) })
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// deliver passes a call to the worker and drops the answer.
func (h *heldCalls) deliver(r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), lateCallTimeout)
	defer cancel()
	defer func() {
		if reason := recover(); reason != nil && reason != http.ErrAbortHandler {
			panic(reason)
		}
	}()
	h.worker.ServeHTTP(droppedAnswer{}, r.WithContext(ctx))
}

// acknowledges reports whether a call is a poll that lets the worker forget ends. Such a call is not held back:
// the next incarnation, which numbers its ends from the start again, would forget ends that no process has seen,
// and no scheduler could know that these tasks are done.
func acknowledges(body []byte) bool {
	var call struct {
		Acked int64 `json:"last_seen"`
	}
	return json.Unmarshal(body, &call) == nil && call.Acked > 0
}

// droppedAnswer is a response that nobody reads.
type droppedAnswer struct{}

// Header implements http.ResponseWriter.
func (droppedAnswer) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (droppedAnswer) Write(text []byte) (int, error) { return len(text), nil }

// WriteHeader implements http.ResponseWriter.
func (droppedAnswer) WriteHeader(int) {}
