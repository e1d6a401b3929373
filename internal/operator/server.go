package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/budget"
	"github.com/apricotwind/apricotwind/internal/config"
	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"
)

const (
	// maxBodyBytes bounds the body of a request, in bytes.
	maxBodyBytes = 1 << 20
	// platformTimeout bounds one request, since its calls of the platform may block.
	platformTimeout = 5 * time.Second
	// peerTimeout bounds the call of another entry for its status.
	peerTimeout = time.Second
	// retryAfter is the Retry-After value while the platform is unavailable.
	retryAfter = 5 * time.Second
)

// Hooks are the callbacks of the server into the entry. All must be safe for
// concurrent use. Document returns the configuration in force, Capacities the capacity of
// each known instance, and Shards the number of shards, or 0 while it is not known. Flush
// closes the open ledger window and stores it. Alive returns the incarnations of the
// running nodes.
type Hooks struct {
	Document    func() contract.Document
	LocalStatus func() []NodeVersion // this entry and its agents
	Capacities  func() []placement.Resources
	Shards      func() int
	OnDocument  func(contract.Document) // a document was accepted through this entry
	OnJob       func(placement.Job)     // a job was accepted through this entry
	NotifyInbox func()                  // an inbox row was written
	Flush       func(context.Context) error
	Alive       func(context.Context) map[string]bool
	// Evacuations returns the evacuated domains in force on this entry, and Requests the number of
	// requests on each instance that it knows.
	Evacuations   func() record.Evacuations
	OnEvacuations func(record.Evacuations) // a domain was evacuated or taken back through this entry
	Requests      func() []routing.InstanceRequests
}

// Server serves the operator API. It is safe for concurrent use.
type Server struct {
	name  string
	hooks Hooks
	table *table.Client
	store *ledger.Store
	log   *zap.Logger
	newID func() string
	peers func(base string) *Client
}

// NewServer returns the server of the named entry. newID returns a new commit ID at each
// call, and peers returns a client of another entry's API at a base URL.
func NewServer(name string, hooks Hooks, client *table.Client, store *ledger.Store, log *zap.Logger, newID func() string, peers func(base string) *Client) *Server {
	return &Server{name: name, hooks: hooks, table: client, store: store, log: log, newID: newID, peers: peers}
}

// Routes registers the endpoints of the server on router.
func (s *Server) Routes(router *httprouter.Router) {
	router.GET("/target", jsonHandler(s.document))
	router.PUT("/target", jsonHandler(s.propose))
	router.GET("/target/status", jsonHandler(s.status))
	router.GET("/target/local", jsonHandler(s.local))
	router.GET("/target/history", jsonHandler(s.history))
	router.GET("/domain", jsonHandler(s.domains))
	router.GET("/local/domain", jsonHandler(s.localDomains))
	router.PUT("/domain/:id", jsonHandler(s.changeDomain))
	router.POST("/job", jsonHandler(s.submit))
	router.GET("/job", jsonHandler(s.jobs))
	router.GET("/job/:id", jsonHandler(s.job))
	router.DELETE("/job/:id", jsonHandler(s.cancel))
	router.GET("/report", jsonHandler(s.report))
}

// call is one request of an operator.
type call struct {
	ctx context.Context
	r   *http.Request
	id  string
}

// jsonHandler returns a handler that writes the result of endpoint as JSON, or its error
// as a problem document.
func jsonHandler(endpoint func(call) (any, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		ctx, cancel := context.WithTimeout(r.Context(), platformTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		value, err := endpoint(call{ctx: ctx, r: r, id: params.ByName("id")})
		if err != nil {
			problemOf(err).Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The status is sent; an error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(value)
	}
}

// problemOf converts an error into a problem document.
func problemOf(err error) problem.Problem {
	var p problem.Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, config.ErrConflict), errors.Is(err, evacuation.ErrConflict):
		return problem.New(http.StatusConflict, problem.Refused, "accept", err.Error())
	case errors.Is(err, job.ErrInvalid):
		return problem.New(http.StatusUnprocessableEntity, problem.Refused, "check", err.Error())
	case errors.Is(err, job.ErrNotFound):
		return problem.New(http.StatusNotFound, problem.Refused, "read", err.Error())
	}
	return problem.New(http.StatusServiceUnavailable, problem.Unknown, "platform", err.Error()).WithPeer("platform").WithRetryAfter(retryAfter)
}

func readBody[T any](c call) (T, error) {
	var value T
	decoder := json.NewDecoder(c.r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); budget.Exceeded(err) {
		return value, problem.New(http.StatusServiceUnavailable, problem.Refused, "read", err.Error()).WithRetryAfter(time.Second)
	} else if err != nil {
		return value, problem.New(http.StatusBadRequest, problem.Refused, "read", err.Error())
	}
	return value, nil
}

// document returns the document from the table, or, while the table is unavailable, the
// document in force on this entry.
func (s *Server) document(c call) (any, error) {
	document, err := config.Read(c.ctx, s.table)
	if err != nil {
		document = s.hooks.Document()
	}
	return Document{Version: document.Version, Text: document.Text()}, nil
}

func (s *Server) propose(c call) (any, error) {
	proposal, err := readBody[Proposal](c)
	if err != nil {
		return nil, err
	}
	document, err := contract.Parse([]byte(proposal.Text))
	if err != nil {
		return nil, problem.New(http.StatusUnprocessableEntity, problem.Refused, "check", err.Error())
	}
	version, err := config.CompareAndSet(c.ctx, s.table, proposal.Base, document, proposal.By, s.newID())
	if err != nil {
		s.log.Info("target-refused", zap.Uint64("base", proposal.Base), zap.String("by", proposal.By), logs.Error(err))
		return nil, s.withDiff(c.ctx, proposal, err)
	}
	document.Version = version
	s.log.Info("target-accepted", zap.Uint64("version", version), zap.String("by", proposal.By))
	s.hooks.OnDocument(document)
	return Accepted{Version: version, Warnings: warnings(document, s.hooks.Capacities())}, nil
}

// withDiff adds to a conflict the changes that were accepted after the version that the
// proposal is based on.
func (s *Server) withDiff(ctx context.Context, proposal Proposal, cause error) error {
	if !errors.Is(cause, config.ErrConflict) {
		return cause
	}
	versions, err := s.versions(ctx)
	if err != nil {
		return cause
	}
	text := cause.Error()
	for _, version := range versions {
		if version.Version <= proposal.Base {
			continue
		}
		for _, change := range version.Changes {
			text += "\nversion " + itoa(version.Version) + " by " + version.By + ": " + change
		}
	}
	return problem.New(http.StatusConflict, problem.Refused, "accept", text)
}

func (s *Server) local(call) (any, error) {
	return Status{Version: s.hooks.Document().Version, Nodes: s.hooks.LocalStatus()}, nil
}

// status collects from every entry the version in force there and on its agents.
func (s *Server) status(c call) (any, error) {
	accepted, err := config.Read(c.ctx, s.table)
	if err != nil {
		return nil, err
	}
	rows, err := record.Scan[record.Entry](c.ctx, s.table, record.EntryPrefix)
	if err != nil {
		return nil, err
	}
	merged := newMerge()
	merged.add(s.hooks.LocalStatus())
	for _, row := range rows {
		if row.Name == s.name {
			continue
		}
		peerCtx, cancel := context.WithTimeout(c.ctx, peerTimeout)
		status, err := s.peers("http://" + row.OperatorAddress).LocalStatus(peerCtx)
		cancel()
		if err != nil {
			merged.add([]NodeVersion{{Node: row.Name, Role: "entry", Reason: "did not answer: " + err.Error()}})
			continue
		}
		merged.add(status.Nodes)
	}
	return Status{Version: accepted.Version, Nodes: merged.list()}, nil
}

func (s *Server) history(c call) (any, error) { return s.versions(c.ctx) }

func (s *Server) versions(ctx context.Context) ([]AcceptedVersion, error) {
	rows, err := config.History(ctx, s.table)
	if err != nil {
		return nil, err
	}
	versions := make([]AcceptedVersion, 0, len(rows))
	var before contract.Document
	for _, row := range rows {
		after, err := contract.Parse([]byte(row.Text))
		if err != nil {
			return nil, errors.Wrapf(err, "version %d", row.Version)
		}
		versions = append(versions, AcceptedVersion{Version: row.Version, By: row.By, At: row.At, Changes: contract.Diff(before, after)})
		before = after
	}
	return versions, nil
}

func (s *Server) submit(c call) (any, error) {
	submission, err := readBody[job.Submission](c)
	if err != nil {
		return nil, err
	}
	shards := s.hooks.Shards()
	document := s.hooks.Document()
	if shards == 0 || document.Version == 0 {
		return nil, problem.New(http.StatusServiceUnavailable, problem.Refused, "ready", "this entry has not read its configuration yet").WithRetryAfter(time.Second)
	}
	checked, err := job.Validate(time.Now().UTC(), submission, document, s.hooks.Capacities())
	if err != nil {
		s.log.Info("job-refused", zap.String("workspace", submission.Workspace), zap.String("class", submission.Class), logs.Error(err))
		return nil, err
	}
	commitID := s.newID()
	accepted, fresh, err := job.Submit(c.ctx, s.table, shards, checked, submission.Key, commitID)
	if err != nil {
		return nil, err
	}
	s.log.Info("job-accepted", zap.String("job", accepted.ID), zap.String("workspace", accepted.Workspace),
		zap.String("class", accepted.Class), zap.Int("tasks", accepted.Tasks), zap.Time("deadline", accepted.Deadline))
	if fresh {
		s.hooks.OnJob(accepted)
	}
	s.hooks.NotifyInbox()
	return accepted, nil
}

func (s *Server) jobs(c call) (any, error) {
	jobs, err := job.List(c.ctx, s.table)
	if jobs == nil {
		jobs = []placement.Job{}
	}
	return jobs, err
}

func (s *Server) job(c call) (any, error) { return job.Read(c.ctx, s.table, c.id) }

func (s *Server) cancel(c call) (any, error) {
	shards := s.hooks.Shards()
	if shards == 0 {
		return nil, problem.New(http.StatusServiceUnavailable, problem.Refused, "ready", "this entry has not read the shards yet").WithRetryAfter(time.Second)
	}
	if err := job.Cancel(c.ctx, s.table, shards, c.id, s.newID()); err != nil {
		return nil, err
	}
	s.log.Info("job-cancel", zap.String("job", c.id))
	s.hooks.NotifyInbox()
	return struct{}{}, nil
}

func (s *Server) report(c call) (any, error) {
	query := c.r.URL.Query()
	from, to := time.Time{}, time.Now()
	for _, parameter := range []struct {
		name string
		dest *time.Time
	}{{"from", &from}, {"to", &to}} {
		if text := query.Get(parameter.name); text != "" {
			parsed, err := time.Parse(time.RFC3339Nano, text)
			if err != nil {
				return nil, problem.New(http.StatusBadRequest, problem.Refused, "read", parameter.name+": "+err.Error())
			}
			*parameter.dest = parsed
		}
	}
	if err := s.hooks.Flush(c.ctx); err != nil {
		return nil, err
	}
	windows, index, err := s.store.Get(c.ctx, from, to)
	if err != nil {
		return nil, err
	}
	return ledger.Build(ledger.Query{
		From: from, To: to, Workspace: query.Get("workspace"), Class: query.Get("class"), Alive: s.hooks.Alive(c.ctx),
	}, s.hooks.Document(), windows, index)
}
