package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/agent"
	"github.com/apricotwind/apricotwind/internal/decision/admission"
	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/entry"
	"github.com/apricotwind/apricotwind/internal/forward"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// maxAttempts bounds the attempts of one request, the first one included.
	maxAttempts = 4
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.2
	// maxRetryBudget bounds the retries in the budget; initialRetryBudget is the number
	// of retries in it at start.
	maxRetryBudget     = 50.0
	initialRetryBudget = 10.0
	// retryAfter is the Retry-After value of a refusal by the entry. While the table does
	// not reply to a claim of an idempotency key, the value is 5 s instead.
	retryAfter = time.Second
	// backoff is the wait before the second attempt; it doubles with each further one.
	backoff = 2 * time.Millisecond
)

// retryBudget limits retries to a share of the requests, which prevents retry storms.
// It is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: initialRetryBudget} }

func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, maxRetryBudget)
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// failedEnd is the problem and the ledger cause of an attempt without a complete
// response. That of the last attempt becomes the result of the request.
type failedEnd struct {
	problem problem.Problem
	cause   string
}

func (e failedEnd) outcome() ledger.Outcome {
	if e.problem.Outcome == problem.Refused.String() {
		return ledger.Refused
	}
	return ledger.Unknown
}

// after returns the end of a request whose attempt with the end e followed one with the end
// earlier. A request that may have run in an earlier attempt is not refused, although a later one
// was.
func (e failedEnd) after(earlier failedEnd) failedEnd {
	if earlier.outcome() == ledger.Unknown && e.outcome() == ledger.Refused {
		return earlier
	}
	return e
}

// run attempts the request until an upstream has responded or no further attempt is
// allowed. It reports whether a response was passed on, and the status sent to the
// caller.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, req *request) (answered bool, status int) {
	h.budget.earn()
	var tried []string
	last := failedEnd{
		problem: problem.New(http.StatusServiceUnavailable, problem.Refused, "route", "no instance can take the request").WithRetryAfter(retryAfter),
		cause:   "no capacity",
	}
	for n := 0; n < maxAttempts; n++ {
		if n > 0 && !h.awaitRetry(ctx, req, n) {
			break
		}
		choice, ok := h.hooks.Pick(tried)
		if !ok {
			break
		}
		tried = append(tried, choice.Instance)
		h.logChoice(req, choice, n)
		fwd, attempt := h.attempt(ctx, req, choice)
		if result, complete := h.passOn(w, req, choice, fwd); complete {
			return result.complete, result.status
		}
		failed, retry := h.handleFailure(ctx, req, choice, attempt, fwd)
		last = failed.after(last)
		if !retry {
			break
		}
	}
	h.count(req, last.outcome(), last.cause, last.problem.Error())
	h.log.Info("request-ended", zap.String("workspace", req.workspace), zap.String("class", req.class.Name),
		zap.String("outcome", last.problem.Outcome), zap.String("why", last.problem.Detail), zap.Int("attempts", len(tried)))
	req.body.CloseUnlessEnded(w)
	last.problem.Write(w)
	return false, last.problem.Status
}

// awaitRetry takes a retry from the budget and waits for the backoff before another
// attempt. It reports false if the body, the budget or the deadline does not allow the
// attempt.
func (h *Handler) awaitRetry(ctx context.Context, req *request, n int) bool {
	if !req.body.replayable() || ctx.Err() != nil || !h.budget.spend() {
		return false
	}
	h.metrics.Add("retries", 1)
	timer := time.NewTimer(backoff << (n - 1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (h *Handler) logChoice(req *request, choice Choice, n int) {
	if pass, omitted := h.sampler.Pass(); pass {
		h.log.Info("route", zap.String("workspace", req.workspace), zap.String("class", req.class.Name),
			zap.String("instance", choice.Instance), zap.Int("over", choice.Candidates), zap.Duration("wait", choice.ExpectedTime),
			zap.String("why", choice.Reason), zap.Int("attempt", n+1), zap.Int("unlogged", omitted))
	}
}

func (h *Handler) attempt(ctx context.Context, req *request, choice Choice) (forward.Result, string) {
	id := h.newID()
	started := time.Now()
	defer func() { h.metrics.Observe("attempt", time.Since(started)) }()
	fwd := h.gates.Send(ctx, req.r, req.body.reader(), !req.body.isBuffered, agent.Attempt{
		ID: id, Instance: choice.Instance, Incarnation: choice.Incarnation, GateAddress: choice.GateAddress,
		Workspace: req.workspace, Class: req.class.Name, Timeout: time.Until(req.deadline), TargetTimeout: time.Until(req.startedAt.Add(req.class.Latency)),
	})
	return fwd, id
}

// sentResponse describes a response that was passed on to the caller.
type sentResponse struct {
	complete bool
	status   int
}

// passOn writes a response of the upstream to the caller. It reports false if there is
// none. A refusal or failure of the gate itself, which carries HeaderOutcome, is not a
// response of the upstream. If the response breaks off, passOn aborts the connection.
func (h *Handler) passOn(w http.ResponseWriter, req *request, choice Choice, fwd forward.Result) (sentResponse, bool) {
	if fwd.Err != nil || fwd.Response.Header.Get(problem.HeaderOutcome) != "" {
		return sentResponse{}, false
	}
	status := fwd.Response.StatusCode
	reported := attemptResultOf(fwd.Response.Header)
	req.body.CloseUnlessEnded(w)
	err := forward.WriteResponse(w, fwd.Response)
	if err != nil {
		h.hooks.Finish(choice, reported.with(routing.Aborted))
		h.count(req, ledger.Unknown, "answer cut short", "peer "+choice.Instance+": "+err.Error())
		h.log.Warn("response-broken", zap.String("instance", choice.Instance), logs.Error(err))
		panic(http.ErrAbortHandler)
	}
	outcome := routing.Answered
	if status >= http.StatusInternalServerError {
		outcome = routing.Failed
	}
	h.hooks.Finish(choice, reported.with(outcome))
	if status >= http.StatusInternalServerError {
		h.count(req, ledger.Failed, "upstream answered "+strconv.Itoa(status), "peer "+choice.Instance)
	} else {
		h.count(req, ledger.Delivered, "", "peer "+choice.Instance)
	}
	return sentResponse{complete: true, status: status}, true
}

// attemptResultOf reads the load that the instance reported in a response.
func attemptResultOf(header http.Header) AttemptResult {
	load, serviceTime, ok := entry.ReadLoad(header)
	if !ok {
		return AttemptResult{}
	}
	return AttemptResult{Load: &load, ServiceTime: serviceTime}
}

// with returns the attempt result with the outcome set.
func (r AttemptResult) with(outcome routing.Outcome) AttemptResult {
	r.Outcome = outcome
	return r
}

// handleFailure determines the outcome of an attempt without an upstream response and
// reports whether the request may be attempted again.
func (h *Handler) handleFailure(ctx context.Context, req *request, choice Choice, attempt string, fwd forward.Result) (failedEnd, bool) {
	if fwd.Err == nil {
		return h.handleGateResponse(choice, fwd.Response, req)
	}
	h.log.Warn("attempt-failed", zap.String("attempt", attempt), zap.String("instance", choice.Instance), logs.Error(fwd.Err))
	if ctx.Err() != nil {
		return h.contextEnded(ctx, choice)
	}
	if req.body.Broken() {
		h.hooks.Finish(choice, AttemptResult{Outcome: routing.Aborted})
		return failedEnd{problem.New(http.StatusBadRequest, problem.Unknown, "body", "the body was cut short or is over the limit").WithPeer(h.name), "caller's body broken"}, false
	}
	h.hooks.Finish(choice, AttemptResult{Outcome: routing.Failed})
	unknown := problem.New(http.StatusBadGateway, problem.Unknown, "exchange", "the link to the instance broke: "+fwd.Err.Error()).WithPeer(choice.Instance)
	refused := problem.New(http.StatusServiceUnavailable, problem.Refused, "exchange", "the instance was lost before it ran the request").WithPeer(choice.Instance).WithRetryAfter(retryAfter)
	if !fwd.Connected {
		return failedEnd{refused, "instance failed"}, true
	}
	if req.idempotent {
		return failedEnd{unknown, "instance failed"}, true
	}
	state, err := h.hooks.Revoke(ctx, choice, attempt)
	h.log.Info("revoked", zap.String("attempt", attempt), zap.String("instance", choice.Instance), zap.String("standing", state), logs.Error(err))
	if err == nil && notRun(state) {
		return failedEnd{refused, "instance failed"}, true
	}
	return failedEnd{unknown, "instance failed"}, false
}

func notRun(state string) bool {
	return state == admission.NeverStarted.String() || state == admission.Refused.String()
}

// contextEnded ends an attempt whose caller has disconnected or whose deadline has passed.
func (h *Handler) contextEnded(ctx context.Context, choice Choice) (failedEnd, bool) {
	h.hooks.Finish(choice, AttemptResult{Outcome: routing.Aborted})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failedEnd{problem.New(http.StatusGatewayTimeout, problem.Unknown, "await", "no answer in time").WithPeer(choice.Instance), "no answer in time"}, false
	}
	return failedEnd{problem.New(http.StatusBadGateway, problem.Unknown, "await", "the caller is gone").WithPeer(choice.Instance), "caller gone"}, false
}

// handleGateResponse handles a response of the gate itself. A refused request was not
// run and may be attempted on another instance. One with an unknown outcome may be
// attempted again only if it is idempotent.
func (h *Handler) handleGateResponse(choice Choice, response *http.Response, req *request) (failedEnd, bool) {
	defer func() { _ = response.Body.Close() }()
	reported := attemptResultOf(response.Header)
	gateErr := problem.Read(response, choice.Instance)
	var p problem.Problem
	if !errors.As(gateErr, &p) {
		p = problem.New(http.StatusBadGateway, problem.Unknown, "exchange", "the gate answered "+response.Status).WithPeer(choice.Instance)
	}
	if p.Outcome == problem.Refused.String() && p.Step == "admit" {
		h.hooks.Finish(choice, reported.with(routing.Refused))
		return failedEnd{p, "no capacity"}, true
	}
	h.hooks.Finish(choice, reported.with(routing.Failed))
	return failedEnd{p, "instance failed"}, p.Outcome == problem.Refused.String() || req.idempotent
}
