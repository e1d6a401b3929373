// Package entry is the agent's side towards entries: the gate that their requests
// come through and the links on which it announces itself and beats.
package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/admission"
	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/forward"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/internal/upstream"
	"go.uber.org/zap"
)

// Headers between entry and agent. They are removed before the upstream sees the
// request.
const (
	HeaderAttempt     = "Apricotwind-Attempt"
	HeaderIncarnation = "Apricotwind-Incarnation"
	HeaderTimeout     = "Apricotwind-Timeout" // milliseconds left
	HeaderTarget      = "Apricotwind-Target"  // milliseconds left until it is late
	HeaderWorkspace   = "Apricotwind-Workspace"
	HeaderClass       = "Apricotwind-Class"
)

// HeaderLoad carries the load of the instance with every answer: requests that run,
// requests that wait, and the microseconds this one was worked on (0: not at all).
const HeaderLoad = "Apricotwind-Load"

// retryAfter is what a refused entry is told to wait before it comes back.
const retryAfter = time.Second

// Gate is the only way to the instance: it admits requests of entries and
// forwards them to the upstream.
type Gate struct {
	name     string
	loop     *loop.Loop
	gate     *admission.Controller // owned by the loop
	waiting  map[string]chan admission.Verdict
	upstream *upstream.Client
	log      *zap.Logger
	metrics  *metrics.Registry
	observe  func(class string, took time.Duration)
	busy     atomic.Int64 // copies of the gate's counts, for any goroutine
	queued   atomic.Int64
}

// NewGate makes the handler of the instance named. Observe is called on the loop
// with the service time of each request.
func NewGate(name string, l *loop.Loop, gate *admission.Controller, to *upstream.Client, log *zap.Logger, set *metrics.Registry, observe func(class string, took time.Duration)) *Gate {
	return &Gate{
		name: name, loop: l, gate: gate, waiting: map[string]chan admission.Verdict{},
		upstream: to, log: log, metrics: set, observe: observe,
	}
}

// ServeHTTP admits one request and forwards it.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	attempt, ok := readAttempt(arrived, r)
	if !ok {
		g.refuse(w, http.StatusBadRequest, "attempt", "attempt, incarnation or timeout header is missing")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), attempt.Deadline)
	defer cancel()
	verdict := g.admit(ctx, attempt)
	g.metrics.Add("gate-"+verdict.String(), 1)
	if verdict != admission.Admit {
		w.Header().Set("Connection", "close")
		g.turnAway(w, attempt, verdict)
		return
	}
	g.metrics.Observe("gate-wait", time.Since(arrived))
	defer g.loop.Post(func() { g.finish(attempt) })
	body := forward.Track(r)
	if err := body.Duplex(w); err != nil {
		g.refuse(w, http.StatusInternalServerError, "duplex", err.Error())
		return
	}
	g.forward(ctx, w, r, body, attempt)
}

func readAttempt(now time.Time, r *http.Request) (admission.Attempt, bool) {
	left, err := strconv.Atoi(r.Header.Get(HeaderTimeout))
	attempt := admission.Attempt{
		ID:          r.Header.Get(HeaderAttempt),
		Workspace:   r.Header.Get(HeaderWorkspace),
		Incarnation: r.Header.Get(HeaderIncarnation),
		Deadline:    now.Add(time.Duration(left) * time.Millisecond),
	}
	if ms, targetErr := strconv.Atoi(r.Header.Get(HeaderTarget)); targetErr == nil {
		attempt.TargetDeadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return attempt, err == nil && attempt.ID != "" && attempt.Incarnation != ""
}

// admit asks the gate, and waits in its queue if it says so.
func (g *Gate) admit(ctx context.Context, attempt admission.Attempt) admission.Verdict {
	var verdict admission.Verdict
	ready := make(chan admission.Verdict, 1)
	err := g.loop.Do(func() {
		verdict = g.gate.Admit(time.Now(), attempt)
		for _, id := range g.gate.Displaced() {
			g.tell(id, admission.Full)
		}
		g.copyCounts()
		if verdict == admission.Queue {
			g.waiting[attempt.ID] = ready
		}
	})
	if err != nil {
		return admission.Draining
	}
	if verdict != admission.Queue {
		return verdict
	}
	select {
	case verdict = <-ready:
		return verdict
	case <-ctx.Done():
	}
	return g.leaveQueue(ready, attempt)
}

// tell lets a waiting attempt know its verdict. It runs on the loop.
func (g *Gate) tell(id string, verdict admission.Verdict) {
	if ready, ok := g.waiting[id]; ok {
		ready <- verdict
		delete(g.waiting, id)
	}
}

// leaveQueue takes an attempt out of the queue, unless it was admitted just now.
func (g *Gate) leaveQueue(ready chan admission.Verdict, attempt admission.Attempt) admission.Verdict {
	verdict := admission.Expired
	err := g.loop.Do(func() {
		if !g.gate.Drop(time.Now(), attempt.ID) {
			verdict = g.afterQueue(ready)
		}
		delete(g.waiting, attempt.ID)
	})
	if err != nil {
		return admission.Draining
	}
	return verdict
}

// afterQueue tells why an attempt is not in the queue any more.
func (g *Gate) afterQueue(ready chan admission.Verdict) admission.Verdict {
	select {
	case verdict := <-ready:
		return verdict
	default:
		return admission.Revoked
	}
}

// copyCounts publishes the gate's counts. It runs on the loop.
func (g *Gate) copyCounts() {
	g.busy.Store(int64(g.gate.Busy()))
	g.queued.Store(int64(g.gate.Queued()))
}

// stamp puts the load into an answer's header.
func (g *Gate) stamp(w http.ResponseWriter, served time.Duration) {
	w.Header().Set(HeaderLoad, fmt.Sprintf("%d %d %d", g.busy.Load(), g.queued.Load(), served.Microseconds()))
}

// ReadLoad reads and removes the load from an answer's header.
func ReadLoad(header http.Header) (load routing.Load, served time.Duration, ok bool) {
	var us int64
	_, err := fmt.Sscanf(header.Get(HeaderLoad), "%d %d %d", &load.Busy, &load.Queued, &us)
	header.Del(HeaderLoad)
	return load, time.Duration(us) * time.Microsecond, err == nil
}

func (g *Gate) finish(attempt admission.Attempt) {
	defer g.copyCounts()
	for _, id := range g.gate.Finish(time.Now(), attempt) {
		g.tell(id, admission.Admit)
	}
}

// Revoke answers an entry's question where an attempt stands. It runs on the loop.
func (g *Gate) Revoke(id string) admission.State {
	standing := g.gate.Revoke(time.Now(), id)
	g.log.Info("revoke", zap.String("attempt", id), zap.Stringer("standing", standing))
	return standing
}

func (g *Gate) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, body *forward.Body, attempt admission.Attempt) {
	class := r.Header.Get(HeaderClass)
	for _, name := range []string{HeaderAttempt, HeaderIncarnation, HeaderTimeout, HeaderTarget} {
		r.Header.Del(name)
	}
	w.Header().Set(problem.HeaderPeer, g.name)
	started := time.Now()
	failed, broken := g.upstream.Forward(ctx, w, r, body, func() { g.stamp(w, time.Since(started)) })
	took := time.Since(started)
	g.metrics.Observe("upstream", took)
	switch {
	case failed != nil:
		g.metrics.Add("upstream-failed", 1)
		g.log.Warn("request-failed", zap.String("attempt", attempt.ID), logs.Error(failed))
		body.CloseUnlessEnded(w)
		failed.Write(w)
	case broken != nil:
		g.metrics.Add("upstream-broken", 1)
		g.log.Warn("request-broken", zap.String("attempt", attempt.ID), logs.Error(broken))
		panic(http.ErrAbortHandler)
	default:
		g.loop.Post(func() { g.observe(class, took) })
	}
}

// turnAway answers an attempt that does not run. Only a duplicate may be running.
func (g *Gate) turnAway(w http.ResponseWriter, attempt admission.Attempt, verdict admission.Verdict) {
	g.log.Info("request-refused", zap.String("attempt", attempt.ID), zap.String("workspace", attempt.Workspace), zap.Stringer("why", verdict))
	if verdict == admission.Duplicate {
		problem.New(http.StatusConflict, problem.Unknown, "admit", verdict.String()).WithPeer(g.name).Write(w)
		return
	}
	g.refuse(w, http.StatusServiceUnavailable, "admit", verdict.String())
}

func (g *Gate) refuse(w http.ResponseWriter, status int, step, why string) {
	g.stamp(w, 0)
	problem.New(status, problem.Refused, step, why).WithPeer(g.name).WithRetryAfter(retryAfter).Write(w)
}
