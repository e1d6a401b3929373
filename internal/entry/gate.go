// Package entry runs in the agent, not in the entry. It is the part of an agent that
// communicates with entries: the gate, which receives their requests, and the links, on
// which the agent announces its instance and sends heartbeats. Package agent is the
// counterpart, which runs in the entry. Admission decisions are made by package
// admission, and the message types are those of package link.
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

// Headers of requests from an entry to an agent. Callers may send the timeout, workspace
// and class headers to an entry as well. The gate removes the attempt, incarnation,
// timeout and target headers before it forwards a request to the upstream.
const (
	HeaderAttempt     = "Apricotwind-Attempt"
	HeaderIncarnation = "Apricotwind-Incarnation"
	HeaderTimeout     = "Apricotwind-Timeout" // milliseconds until the deadline
	HeaderTarget      = "Apricotwind-Target"  // milliseconds until the latency target is missed; negative once it is missed
	HeaderWorkspace   = "Apricotwind-Workspace"
	HeaderClass       = "Apricotwind-Class"
)

// HeaderLoad reports the load of the instance in a response: the number of running
// requests, the number of queued requests, and the service time of this request in
// microseconds (0 if the upstream did not run it).
const HeaderLoad = "Apricotwind-Load"

// retryAfter is the Retry-After value of a refusal. The entry passes it on to the caller
// if no other instance takes the request.
const retryAfter = time.Second

// Gate is the HTTP handler through which all requests reach the instance. It admits,
// queues or rejects requests from entries and forwards the admitted ones to the
// upstream. ServeHTTP is safe for concurrent use.
type Gate struct {
	name       string
	loop       *loop.Loop
	controller *admission.Controller             // owned by the loop
	waiting    map[string]chan admission.Verdict // verdict channels of queued attempts, by attempt ID; owned by the loop
	upstream   *upstream.Client
	log        *zap.Logger
	metrics    *metrics.Registry
	observe    func(class string, serviceTime time.Duration)
	busy       atomic.Int64 // copies of the controller's counts that any goroutine may read
	queued     atomic.Int64
}

// NewGate returns the gate of the named instance. The controller must be used on the
// loop only. The gate calls observe on the loop with the class and the service time of
// each request that got a complete response from the upstream.
func NewGate(name string, l *loop.Loop, controller *admission.Controller, client *upstream.Client, log *zap.Logger, registry *metrics.Registry, observe func(class string, serviceTime time.Duration)) *Gate {
	return &Gate{
		name: name, loop: l, controller: controller, waiting: map[string]chan admission.Verdict{},
		upstream: client, log: log, metrics: registry, observe: observe,
	}
}

// ServeHTTP passes one request to the admission controller and, once it is admitted,
// forwards it to the upstream. It refuses requests without an attempt ID, incarnation
// or timeout.
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
		g.reject(w, attempt, verdict)
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
	timeoutMillis, err := strconv.Atoi(r.Header.Get(HeaderTimeout))
	attempt := admission.Attempt{
		ID:          r.Header.Get(HeaderAttempt),
		Workspace:   r.Header.Get(HeaderWorkspace),
		Incarnation: r.Header.Get(HeaderIncarnation),
		Deadline:    now.Add(time.Duration(timeoutMillis) * time.Millisecond),
	}
	if ms, targetErr := strconv.Atoi(r.Header.Get(HeaderTarget)); targetErr == nil {
		attempt.TargetDeadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return attempt, err == nil && attempt.ID != "" && attempt.Incarnation != ""
}

// admit asks the controller to admit the attempt. If the controller queues the
// attempt, admit waits for the verdict or the end of ctx. It returns Draining after
// the loop has ended.
func (g *Gate) admit(ctx context.Context, attempt admission.Attempt) admission.Verdict {
	var verdict admission.Verdict
	ready := make(chan admission.Verdict, 1)
	err := g.loop.Do(func() {
		verdict = g.controller.Admit(time.Now(), attempt)
		for _, id := range g.controller.Displaced() {
			g.deliverVerdict(id, admission.Full)
		}
		g.publishCounts()
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

// deliverVerdict sends the verdict to the goroutine of a queued attempt. It must run
// on the loop.
func (g *Gate) deliverVerdict(id string, verdict admission.Verdict) {
	if ready, ok := g.waiting[id]; ok {
		ready <- verdict
		delete(g.waiting, id)
	}
}

// leaveQueue removes an attempt whose context has ended from the queue and returns
// Expired. If the attempt has left the queue before, leaveQueue returns the verdict with
// which it left.
func (g *Gate) leaveQueue(ready chan admission.Verdict, attempt admission.Attempt) admission.Verdict {
	verdict := admission.Expired
	err := g.loop.Do(func() {
		if !g.controller.Drop(time.Now(), attempt.ID) {
			verdict = g.dequeuedVerdict(ready)
		}
		delete(g.waiting, attempt.ID)
	})
	if err != nil {
		return admission.Draining
	}
	return verdict
}

// dequeuedVerdict returns the verdict of an attempt that has left the queue. Without
// a verdict the attempt was revoked.
func (g *Gate) dequeuedVerdict(ready chan admission.Verdict) admission.Verdict {
	select {
	case verdict := <-ready:
		return verdict
	default:
		return admission.Revoked
	}
}

// publishCounts copies the controller's counts for other goroutines. It must run on
// the loop.
func (g *Gate) publishCounts() {
	g.busy.Store(int64(g.controller.Busy()))
	g.queued.Store(int64(g.controller.Queued()))
}

// setLoadHeader writes the current load into the response header.
func (g *Gate) setLoadHeader(w http.ResponseWriter, serviceTime time.Duration) {
	w.Header().Set(HeaderLoad, fmt.Sprintf("%d %d %d", g.busy.Load(), g.queued.Load(), serviceTime.Microseconds()))
}

// ReadLoad reads HeaderLoad from a response header and removes it. It reports false
// if the header is missing or malformed.
func ReadLoad(header http.Header) (load routing.Load, serviceTime time.Duration, ok bool) {
	var us int64
	_, err := fmt.Sscanf(header.Get(HeaderLoad), "%d %d %d", &load.Busy, &load.Queued, &us)
	header.Del(HeaderLoad)
	return load, time.Duration(us) * time.Microsecond, err == nil
}

func (g *Gate) finish(attempt admission.Attempt) {
	defer g.publishCounts()
	for _, id := range g.controller.Finish(time.Now(), attempt) {
		g.deliverVerdict(id, admission.Admit)
	}
}

// Revoke prevents an attempt that has not started from starting, and returns the
// state of the attempt. It must run on the loop.
func (g *Gate) Revoke(id string) admission.State {
	state := g.controller.Revoke(time.Now(), id)
	g.log.Info("revoke", zap.String("attempt", id), zap.Stringer("standing", state))
	return state
}

func (g *Gate) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, body *forward.Body, attempt admission.Attempt) {
	class := r.Header.Get(HeaderClass)
	for _, name := range []string{HeaderAttempt, HeaderIncarnation, HeaderTimeout, HeaderTarget} {
		r.Header.Del(name)
	}
	w.Header().Set(problem.HeaderPeer, g.name)
	started := time.Now()
	failed, broken := g.upstream.Forward(ctx, w, r, body, func() { g.setLoadHeader(w, time.Since(started)) })
	serviceTime := time.Since(started)
	g.metrics.Observe("upstream", serviceTime)
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
		g.loop.Post(func() { g.observe(class, serviceTime) })
	}
}

// reject responds to an attempt that was not admitted. A duplicate gets the outcome
// unknown, since the first copy of the attempt may be running; all others get refused.
func (g *Gate) reject(w http.ResponseWriter, attempt admission.Attempt, verdict admission.Verdict) {
	g.log.Info("request-refused", zap.String("attempt", attempt.ID), zap.String("workspace", attempt.Workspace), zap.Stringer("why", verdict))
	if verdict == admission.Duplicate {
		problem.New(http.StatusConflict, problem.Unknown, "admit", verdict.String()).WithPeer(g.name).Write(w)
		return
	}
	g.refuse(w, http.StatusServiceUnavailable, "admit", verdict.String())
}

func (g *Gate) refuse(w http.ResponseWriter, status int, step, reason string) {
	g.setLoadHeader(w, 0)
	problem.New(status, problem.Refused, step, reason).WithPeer(g.name).WithRetryAfter(retryAfter).Write(w)
}
