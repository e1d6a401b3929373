// Package caller is the entry's HTTP side towards callers: it checks a request,
// tries it at instances, and answers whole or says what became of it.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/agent"
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

// Headers that callers may send, besides those of package entry and problem.
const (
	HeaderIdempotent = "Apricotwind-Idempotent" // true or false; overrides the method's
	HeaderKey        = "Idempotency-Key"
)

const (
	// patience is how long a request may take when its caller does not say.
	patience = 30 * time.Second
	// patienceMost bounds what a caller may ask for.
	patienceMost = time.Hour
	// keyMost bounds an idempotency key, in bytes.
	keyMost = 200
)

// Route gives requests below a path prefix a class and a workspace.
type Route struct {
	Prefix    string
	Class     string
	Workspace string
}

// Choice is an instance chosen for an attempt, and the way to it.
type Choice struct {
	routing.Choice
	GateAddress string
}

// Hooks is what the handler asks of the entry; all may be called on any goroutine.
type Hooks struct {
	Document func() contract.Document
	Pick     func(tried []string) (Choice, bool)
	Finish   func(choice Choice, end AttemptResult)
	Count    func(Result)
	Revoke   func(ctx context.Context, choice Choice, attempt string) (string, error)
	Key      IdempotencyStore
}

// AttemptResult is how an attempt ended, and the load that the instance reported with it.
type AttemptResult struct {
	Outcome     routing.Outcome
	Load        *routing.Load // nil when nothing was reported
	ServiceTime time.Duration
}

// Result is what the ledger learns of one request.
type Result struct {
	Workspace string
	Class     string
	Outcome   ledger.Outcome
	Cause     string
	Detail    string // what happened, for whoever asks why
	Took      time.Duration
}

// Handler takes callers' requests.
type Handler struct {
	name     string
	node     Hooks
	gates    *agent.Gates
	routes   []Route
	bodyMost int64
	log      *zap.Logger
	sampler  *logs.Sampler
	metrics  *metrics.Registry
	budget   *budget
	unique   func() string
}

// New makes the handler of the entry named. Unique makes attempt ids.
func New(name string, node Hooks, gates *agent.Gates, routes []Route, bodyMost int64, log *zap.Logger, sampler *logs.Sampler, set *metrics.Registry, unique func() string) *Handler {
	return &Handler{
		name: name, node: node, gates: gates, routes: routes, bodyMost: bodyMost,
		log: log, sampler: sampler, metrics: set, budget: newBudget(), unique: unique,
	}
}

// request is one request under way.
type request struct {
	r          *http.Request
	body       *body
	workspace  string
	class      contract.Class
	idempotent bool
	key        string
	begun      time.Time
	deadline   time.Time
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, refused := h.check(w, r)
	if refused != nil {
		h.refuse(w, *refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.key != "" && !q.idempotent {
		h.runKeyed(ctx, w, q)
		return
	}
	h.run(ctx, w, q)
}

// refuse answers a request that is not owed anything: the caller's own fault, or
// an entry that is not ready.
func (h *Handler) refuse(w http.ResponseWriter, p problem.Problem) {
	h.metrics.Add("caller-refused", 1)
	h.log.Info("request-turned-away", zap.String("step", p.Step), zap.String("why", p.Detail))
	w.Header().Set("Connection", "close")
	p.WithPeer(h.name).Write(w)
}

// check reads what the request is and whether it may run.
func (h *Handler) check(w http.ResponseWriter, r *http.Request) (*request, *problem.Problem) {
	document := h.node.Document()
	if document.Version == 0 {
		return nil, failure(http.StatusServiceUnavailable, "ready", "no configuration is in force yet")
	}
	workspace, name := h.address(r)
	class, known := document.Class(name)
	_, member := document.Workspace(workspace)
	switch {
	case name == "" || workspace == "":
		return nil, failure(http.StatusBadRequest, "address", "no route matches and the headers Apricotwind-Class and Apricotwind-Workspace are not both set")
	case !member:
		return nil, failure(http.StatusForbidden, "address", "workspace "+strconv.Quote(workspace)+" is not in the contract")
	case !known:
		return nil, failure(http.StatusNotFound, "address", "class "+strconv.Quote(name)+" has no target")
	case class.Kind != contract.Service:
		return nil, failure(http.StatusBadRequest, "address", "class "+name+" takes jobs, not requests")
	case r.ContentLength > h.bodyMost:
		return nil, failure(http.StatusRequestEntityTooLarge, "body", "the body is over the limit of "+strconv.FormatInt(h.bodyMost, 10)+" bytes")
	case len(r.Header.Get(HeaderKey)) > keyMost:
		return nil, failure(http.StatusBadRequest, "key", "the idempotency key is too long")
	}
	wait, refused := readPatience(r)
	if refused != nil {
		return nil, refused
	}
	idempotent, refused := readIdempotent(r)
	if refused != nil {
		return nil, refused
	}
	r.Body = http.MaxBytesReader(w, r.Body, h.bodyMost)
	kept, err := newBody(r)
	if err == nil {
		err = kept.Duplex(w)
	}
	if err != nil {
		return nil, failure(http.StatusBadRequest, "body", bodyText(err))
	}
	now := time.Now()
	return &request{
		r: r, body: kept, workspace: workspace, class: class, idempotent: idempotent,
		key: r.Header.Get(HeaderKey), begun: now, deadline: now.Add(wait),
	}, nil
}

func bodyText(err error) string {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return "the body is over the limit of " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
	}
	return "the body is shorter than announced: " + err.Error()
}

func failure(status int, step, detail string) *problem.Problem {
	p := problem.New(status, problem.Refused, step, detail)
	if status == http.StatusServiceUnavailable {
		p = p.WithRetryAfter(time.Second)
	}
	return &p
}

// address finds class and workspace: headers first, then the longest route.
func (h *Handler) address(r *http.Request) (workspace, class string) {
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

func readPatience(r *http.Request) (time.Duration, *problem.Problem) {
	text := r.Header.Get(entry.HeaderTimeout)
	if text == "" {
		return patience, nil
	}
	n, err := strconv.Atoi(text)
	wait := time.Duration(n) * time.Millisecond
	if err != nil || wait <= 0 || wait > patienceMost {
		return 0, failure(http.StatusBadRequest, "timeout", "header "+entry.HeaderTimeout+" must be milliseconds, 1 to 3600000")
	}
	return wait, nil
}

// readIdempotent follows RFC 9110, 9.2.2, unless the caller says otherwise.
func readIdempotent(r *http.Request) (bool, *problem.Problem) {
	if text := r.Header.Get(HeaderIdempotent); text != "" {
		said, err := strconv.ParseBool(text)
		if err != nil {
			return false, failure(http.StatusBadRequest, "idempotent", "header "+HeaderIdempotent+" must be true or false")
		}
		return said, nil
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true, nil
	}
	return false, nil
}

// count tells the ledger what became of a request.
func (h *Handler) count(q *request, fate ledger.Outcome, cause, detail string) {
	took := time.Since(q.begun)
	if fate == ledger.Delivered && took > q.class.Latency {
		fate, cause = ledger.Late, "over the latency target"
	}
	h.metrics.Observe("request", took)
	h.metrics.Add("request-"+fate.String(), 1)
	h.node.Count(Result{Workspace: q.workspace, Class: q.class.Name, Outcome: fate, Cause: cause, Detail: detail, Took: took})
}
