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
	// attemptsMost is how often one request is tried.
	attemptsMost = 4
	// budgetShare is how many retries a request earns for later ones.
	budgetShare = 0.2
	// budgetMost bounds the retries saved up, budgetFirst what there is at start.
	budgetMost  = 50.0
	budgetFirst = 10.0
	// retryAfter is what a refused caller is told to wait.
	retryAfter = time.Second
	// backoff is the wait before the second attempt; it doubles with each.
	backoff = 2 * time.Millisecond
)

// budget lets retries be a share of requests, so that they never grow a storm.
type budget struct {
	mu    sync.Mutex
	saved float64
}

func newBudget() *budget { return &budget{saved: budgetFirst} }

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+budgetShare, budgetMost)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// end is how a request ended that got no whole answer.
type end struct {
	problem problem.Problem
	cause   string
}

func (e end) fate() ledger.Outcome {
	if e.problem.Outcome == problem.Refused.String() {
		return ledger.Refused
	}
	return ledger.Unknown
}

// run tries the request until it is answered or nothing more may be tried.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, q *request) (answered bool, status int) {
	h.budget.earn()
	var tried []string
	last := end{
		problem: problem.New(http.StatusServiceUnavailable, problem.Refused, "route", "no instance can take the request").WithRetryAfter(retryAfter),
		cause:   "no capacity",
	}
	for n := 0; n < attemptsMost; n++ {
		if n > 0 && !h.mayRetry(ctx, q, n) {
			break
		}
		choice, ok := h.node.Pick(tried)
		if !ok {
			break
		}
		tried = append(tried, choice.Instance)
		h.logChoice(q, choice, n)
		sent, attempt := h.attempt(ctx, q, choice)
		if result, whole := h.answered(w, q, choice, sent); whole {
			return result.whole, result.status
		}
		failed, again := h.failed(ctx, q, choice, attempt, sent)
		last = failed
		if !again {
			break
		}
	}
	h.count(q, last.fate(), last.cause, last.problem.Error())
	h.log.Info("request-ended", zap.String("workspace", q.workspace), zap.String("class", q.class.Name),
		zap.String("outcome", last.problem.Outcome), zap.String("why", last.problem.Detail), zap.Int("attempts", len(tried)))
	q.body.CloseUnlessEnded(w)
	last.problem.Write(w)
	return false, last.problem.Status
}

// mayRetry waits before another attempt, if the budget and the deadline allow one.
func (h *Handler) mayRetry(ctx context.Context, q *request, n int) bool {
	if !q.body.again() || ctx.Err() != nil || !h.budget.spend() {
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

func (h *Handler) logChoice(q *request, choice Choice, n int) {
	if pass, left := h.sampler.Pass(); pass {
		h.log.Info("route", zap.String("workspace", q.workspace), zap.String("class", q.class.Name),
			zap.String("instance", choice.Instance), zap.Int("over", choice.Candidates), zap.Duration("wait", choice.Wait),
			zap.String("why", choice.Reason), zap.Int("attempt", n+1), zap.Int("unlogged", left))
	}
}

func (h *Handler) attempt(ctx context.Context, q *request, choice Choice) (forward.Result, string) {
	id := h.unique()
	begun := time.Now()
	defer func() { h.metrics.Observe("attempt", time.Since(begun)) }()
	sent := h.gates.Send(ctx, q.r, q.body.reader(), !q.body.whole, agent.Attempt{
		ID: id, Instance: choice.Instance, Incarnation: choice.Incarnation, GateAddress: choice.GateAddress,
		Workspace: q.workspace, Class: q.class.Name, Timeout: time.Until(q.deadline), TargetTimeout: time.Until(q.begun.Add(q.class.Latency)),
	})
	return sent, id
}

// result of an attempt whose answer was passed on.
type result struct {
	whole  bool
	status int
}

// answered passes an answer of the upstream on; false when there is none. A gate's
// own refusal or failure is none: it carries an outcome.
func (h *Handler) answered(w http.ResponseWriter, q *request, choice Choice, sent forward.Result) (result, bool) {
	if sent.Err != nil || sent.Response.Header.Get(problem.HeaderOutcome) != "" {
		return result{}, false
	}
	status := sent.Response.StatusCode
	ended := endOf(sent.Response.Header)
	q.body.CloseUnlessEnded(w)
	err := forward.WriteResponse(w, sent.Response)
	if err != nil {
		h.node.Finish(choice, ended.as(routing.Aborted))
		h.count(q, ledger.Unknown, "answer cut short", "peer "+choice.Instance+": "+err.Error())
		h.log.Warn("answer-broken", zap.String("instance", choice.Instance), logs.Error(err))
		panic(http.ErrAbortHandler)
	}
	ending := routing.Answered
	if status >= http.StatusInternalServerError {
		ending = routing.Failed
	}
	h.node.Finish(choice, ended.as(ending))
	if status >= http.StatusInternalServerError {
		h.count(q, ledger.Failed, "upstream answered "+strconv.Itoa(status), "peer "+choice.Instance)
	} else {
		h.count(q, ledger.Delivered, "", "peer "+choice.Instance)
	}
	return result{whole: true, status: status}, true
}

// endOf reads the load that came with an answer.
func endOf(header http.Header) AttemptResult {
	load, served, ok := entry.ReadLoad(header)
	if !ok {
		return AttemptResult{}
	}
	return AttemptResult{Load: &load, ServiceTime: served}
}

// as gives the end its ending.
func (e AttemptResult) as(ending routing.Outcome) AttemptResult {
	e.Outcome = ending
	return e
}

// failed finds out what became of an attempt without an answer, and whether the
// request may be tried again.
func (h *Handler) failed(ctx context.Context, q *request, choice Choice, attempt string, sent forward.Result) (end, bool) {
	if sent.Err == nil {
		return h.refusedByGate(choice, sent.Response, q)
	}
	h.log.Warn("attempt-failed", zap.String("attempt", attempt), zap.String("instance", choice.Instance), logs.Error(sent.Err))
	if ctx.Err() != nil {
		return h.gaveUp(ctx, choice)
	}
	if q.body.Broken() {
		h.node.Finish(choice, AttemptResult{Outcome: routing.Aborted})
		return end{problem.New(http.StatusBadRequest, problem.Unknown, "body", "the body was cut short or is over the limit").WithPeer(h.name), "caller's body broken"}, false
	}
	h.node.Finish(choice, AttemptResult{Outcome: routing.Failed})
	unknown := problem.New(http.StatusBadGateway, problem.Unknown, "exchange", "the link to the instance broke: "+sent.Err.Error()).WithPeer(choice.Instance)
	refused := problem.New(http.StatusServiceUnavailable, problem.Refused, "exchange", "the instance was lost before it ran the request").WithPeer(choice.Instance).WithRetryAfter(retryAfter)
	if !sent.Connected {
		return end{refused, "instance failed"}, true
	}
	if q.idempotent {
		return end{unknown, "instance failed"}, true
	}
	standing, err := h.node.Revoke(ctx, choice, attempt)
	h.log.Info("revoked", zap.String("attempt", attempt), zap.String("instance", choice.Instance), zap.String("standing", standing), logs.Error(err))
	if err == nil && notRun(standing) {
		return end{refused, "instance failed"}, true
	}
	return end{unknown, "instance failed"}, false
}

func notRun(standing string) bool {
	return standing == admission.NeverStarted.String() || standing == admission.Rejected.String()
}

// gaveUp ends an attempt whose caller is gone or whose time is over.
func (h *Handler) gaveUp(ctx context.Context, choice Choice) (end, bool) {
	h.node.Finish(choice, AttemptResult{Outcome: routing.Aborted})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return end{problem.New(http.StatusGatewayTimeout, problem.Unknown, "await", "no answer in time").WithPeer(choice.Instance), "no answer in time"}, false
	}
	return end{problem.New(http.StatusBadGateway, problem.Unknown, "await", "the caller is gone").WithPeer(choice.Instance), "caller gone"}, false
}

// refusedByGate takes a gate's own answer. What was refused was not run and may be
// tried elsewhere; what is unknown may be, if it is idempotent.
func (h *Handler) refusedByGate(choice Choice, response *http.Response, q *request) (end, bool) {
	defer func() { _ = response.Body.Close() }()
	ended := endOf(response.Header)
	said := problem.Read(response, choice.Instance)
	var p problem.Problem
	if !errors.As(said, &p) {
		p = problem.New(http.StatusBadGateway, problem.Unknown, "exchange", "the gate answered "+response.Status).WithPeer(choice.Instance)
	}
	if p.Outcome == problem.Refused.String() && p.Step == "admit" {
		h.node.Finish(choice, ended.as(routing.Refused))
		return end{p, "no capacity"}, true
	}
	h.node.Finish(choice, ended.as(routing.Failed))
	return end{p, "instance failed"}, p.Outcome == problem.Refused.String() || q.idempotent
}
