// Package caller is the HTTP server of an entry for callers. It validates a request,
// attempts it on instances, and responds with the complete response of the upstream or
// with a problem document that states the outcome. It leaves the choice of the instance
// to package routing and the transport to package agent.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/agent"
	"github.com/apricotwind/apricotwind/internal/budget"
	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/entry"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Request headers of callers, in addition to HeaderWorkspace, HeaderClass and
// HeaderTimeout of package entry.
const (
	HeaderIdempotent     = "Apricotwind-Idempotent" // true or false; overrides the default of the HTTP method
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// defaultTimeout is the timeout of a request without HeaderTimeout.
	defaultTimeout = 30 * time.Second
	// maxTimeout bounds the timeout that a caller may set.
	maxTimeout = time.Hour
	// maxKeyBytes bounds an idempotency key, in bytes.
	maxKeyBytes = 200
)

// Route assigns a class and a workspace to the requests below a path prefix. Headers
// of the request take precedence.
type Route struct {
	Prefix    string
	Class     string
	Workspace string
}

// Choice is the instance chosen for an attempt and its gate address (host:port).
type Choice struct {
	routing.Choice
	GateAddress string
}

// Hooks are the callbacks of the handler into the entry. All must be safe for
// concurrent use. Document returns the configuration in force. Pick chooses an instance
// that was not tried yet; it reports false if there is none. The handler calls Finish
// once for each Choice of Pick, and Count once for each request that passed validation,
// unless its idempotency key was used before. Revoke asks the instance of a choice to
// revoke an attempt and returns its state.
type Hooks struct {
	Document    func() contract.Document
	Pick        func(tried []string) (Choice, bool)
	Finish      func(choice Choice, result AttemptResult)
	Count       func(Result)
	Revoke      func(ctx context.Context, choice Choice, attempt string) (string, error)
	Idempotency IdempotencyStore
}

// AttemptResult is the outcome of an attempt and the load that the instance reported
// in its response. ServiceTime excludes queueing and is 0 if it was not reported.
type AttemptResult struct {
	Outcome     routing.Outcome // of the attempt, for the choice of later instances
	Load        *routing.Load   // nil if the instance reported none
	ServiceTime time.Duration
}

// Result is the final result of one request, for the ledger. Took is measured from the
// end of the validation, which includes reading a short body.
type Result struct {
	Workspace string
	Class     string
	Outcome   ledger.Outcome // of the request
	Cause     string
	Detail    string // explanation for the ledger's notes
	Took      time.Duration
}

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	name         string
	hooks        Hooks
	gates        *agent.Gates
	routes       []Route
	maxBodyBytes int64
	log          *zap.Logger
	sampler      *logs.Sampler
	metrics      *metrics.Registry
	budget       *retryBudget
	newID        func() string
}

// New returns the handler of the named entry. maxBodyBytes bounds a request body, and
// newID returns a new attempt ID at each call.
func New(name string, hooks Hooks, gates *agent.Gates, routes []Route, maxBodyBytes int64, log *zap.Logger, sampler *logs.Sampler, registry *metrics.Registry, newID func() string) *Handler {
	return &Handler{
		name: name, hooks: hooks, gates: gates, routes: routes, maxBodyBytes: maxBodyBytes,
		log: log, sampler: sampler, metrics: registry, budget: newRetryBudget(), newID: newID,
	}
}

// request is one request in progress.
type request struct {
	r          *http.Request
	body       *body
	workspace  string
	class      contract.Class
	idempotent bool
	key        string
	startedAt  time.Time
	deadline   time.Time
}

// ServeHTTP validates one request and runs it. A non-idempotent request with an
// idempotency key runs at most once.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, refused := h.check(w, r)
	if refused != nil {
		h.refuse(w, *refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	if req.key != "" && !req.idempotent {
		h.runKeyed(ctx, w, req)
		return
	}
	h.run(ctx, w, req)
}

// refuse responds to a request that the ledger does not count: one that is invalid, or
// one that arrived before the entry was ready.
func (h *Handler) refuse(w http.ResponseWriter, p problem.Problem) {
	h.metrics.Add("caller-refused", 1)
	h.log.Info("request-turned-away", zap.String("step", p.Step), zap.String("why", p.Detail))
	w.Header().Set("Connection", "close")
	p.WithPeer(h.name).Write(w)
}

// check reads the parameters of a request and validates them.
func (h *Handler) check(w http.ResponseWriter, r *http.Request) (*request, *problem.Problem) {
	document := h.hooks.Document()
	if document.Version == 0 {
		return nil, refusal(http.StatusServiceUnavailable, "ready", "no configuration is in force yet")
	}
	workspace, name := h.workspaceAndClass(r)
	class, known := document.Class(name)
	_, member := document.Workspace(workspace)
	switch {
	case name == "" || workspace == "":
		return nil, refusal(http.StatusBadRequest, "address", "no route matches and the headers Apricotwind-Class and Apricotwind-Workspace are not both set")
	case !member:
		return nil, refusal(http.StatusForbidden, "address", "workspace "+strconv.Quote(workspace)+" is not in the contract")
	case !known:
		return nil, refusal(http.StatusNotFound, "address", "class "+strconv.Quote(name)+" has no target")
	case class.Kind != contract.Service:
		return nil, refusal(http.StatusBadRequest, "address", "class "+name+" takes jobs, not requests")
	case r.ContentLength > h.maxBodyBytes:
		return nil, refusal(http.StatusRequestEntityTooLarge, "body", "the body is over the limit of "+strconv.FormatInt(h.maxBodyBytes, 10)+" bytes")
	case len(r.Header.Get(HeaderIdempotencyKey)) > maxKeyBytes:
		return nil, refusal(http.StatusBadRequest, "key", "the idempotency key is too long")
	}
	timeout, refused := readTimeout(r)
	if refused != nil {
		return nil, refused
	}
	idempotent, refused := readIdempotent(r)
	if refused != nil {
		return nil, refused
	}
	r.Body = http.MaxBytesReader(w, r.Body, h.maxBodyBytes)
	wrapped, err := newBody(r)
	if err == nil {
		err = wrapped.Duplex(w)
	}
	if budget.Exceeded(err) {
		return nil, refusal(http.StatusServiceUnavailable, "body", err.Error())
	}
	if err != nil {
		return nil, refusal(http.StatusBadRequest, "body", bodyText(err))
	}
	now := time.Now()
	return &request{
		r: r, body: wrapped, workspace: workspace, class: class, idempotent: idempotent,
		key: r.Header.Get(HeaderIdempotencyKey), startedAt: now, deadline: now.Add(timeout),
	}, nil
}

func bodyText(err error) string {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return "the body is over the limit of " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
	}
	return "the body is shorter than announced: " + err.Error()
}

// refusal returns the problem for a request that was not run.
func refusal(status int, step, detail string) *problem.Problem {
	p := problem.New(status, problem.Refused, step, detail)
	if status == http.StatusServiceUnavailable {
		p = p.WithRetryAfter(time.Second)
	}
	return &p
}

// workspaceAndClass returns the workspace and the class of a request: from the headers,
// else from the route with the longest matching prefix.
func (h *Handler) workspaceAndClass(r *http.Request) (workspace, class string) {
	workspace = r.Header.Get(entry.HeaderWorkspace)
	class = r.Header.Get(entry.HeaderClass)
	longest := -1
	var matched Route
	for _, route := range h.routes {
		if strings.HasPrefix(r.URL.Path, route.Prefix) && len(route.Prefix) > longest {
			longest = len(route.Prefix)
			matched = route
		}
	}
	if class == "" {
		class = matched.Class
	}
	if workspace == "" {
		workspace = matched.Workspace
	}
	return workspace, class
}

func readTimeout(r *http.Request) (time.Duration, *problem.Problem) {
	text := r.Header.Get(entry.HeaderTimeout)
	if text == "" {
		return defaultTimeout, nil
	}
	n, err := strconv.Atoi(text)
	timeout := time.Duration(n) * time.Millisecond
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, refusal(http.StatusBadRequest, "timeout", "header "+entry.HeaderTimeout+" must be milliseconds, 1 to 3600000")
	}
	return timeout, nil
}

// readIdempotent reports whether a request is idempotent: as its header says, else by
// its method according to RFC 9110, section 9.2.2.
func readIdempotent(r *http.Request) (bool, *problem.Problem) {
	if text := r.Header.Get(HeaderIdempotent); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			return false, refusal(http.StatusBadRequest, "idempotent", "header "+HeaderIdempotent+" must be true or false")
		}
		return idempotent, nil
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true, nil
	}
	return false, nil
}

// count reports the outcome of a request to the ledger and to the metrics. A delivered
// request that took longer than the latency target counts as late.
func (h *Handler) count(req *request, outcome ledger.Outcome, cause, detail string) {
	elapsed := time.Since(req.startedAt)
	if outcome == ledger.Delivered && elapsed > req.class.Latency {
		outcome, cause = ledger.Late, "over the latency target"
	}
	h.metrics.Observe("request", elapsed)
	h.metrics.Add("request-"+outcome.String(), 1)
	h.hooks.Count(Result{Workspace: req.workspace, Class: req.class.Name, Outcome: outcome, Cause: cause, Detail: detail, Took: elapsed})
}
