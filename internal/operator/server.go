package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/config"
	"github.com/apricotwind/apricotwind/internal/decision/placement"
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
	// bodyMost bounds an operator's request, in bytes.
	bodyMost = 1 << 20
	// platformBound is how long a call may wait for the platform.
	platformBound = 5 * time.Second
	// peerBound is how long another entry may take to say its version.
	peerBound = time.Second
	// retryAfter is what an operator is told to wait when the platform is out.
	retryAfter = 5 * time.Second
)

// Hooks is what the server asks of the entry; all may be called on any goroutine.
type Hooks struct {
	Document    func() contract.Document
	LocalStatus func() []NodeVersion // this entry and its agents
	Capacities  func() []placement.Resources
	Shards      func() int
	OnDocument  func(contract.Document) // a document was accepted through this entry
	OnJob       func(placement.Job)     // a job was accepted through this entry
	NotifyInbox func()                  // there is something in the inbox
	Flush       func(context.Context) error
	Alive       func(context.Context) map[string]bool
}

// Server answers operators.
type Server struct {
	name   string
	node   Hooks
	table  *table.Client
	store  *ledger.Store
	log    *zap.Logger
	unique func() string
	peers  func(base string) *Client
}

// NewServer makes the operators' side of the entry named.
func NewServer(name string, node Hooks, rows *table.Client, store *ledger.Store, log *zap.Logger, unique func() string, peers func(base string) *Client) *Server {
	return &Server{name: name, node: node, table: rows, store: store, log: log, unique: unique, peers: peers}
}

// Routes adds the server's calls to router.
func (s *Server) Routes(router *httprouter.Router) {
	router.GET("/target", answering(s.target))
	router.PUT("/target", answering(s.setTarget))
	router.GET("/target/status", answering(s.status))
	router.GET("/target/local", answering(s.local))
	router.GET("/target/history", answering(s.history))
	router.POST("/job", answering(s.submit))
	router.GET("/job", answering(s.jobs))
	router.GET("/job/:id", answering(s.job))
	router.DELETE("/job/:id", answering(s.cancel))
	router.GET("/report", answering(s.report))
}

// call is one operator's request.
type call struct {
	ctx context.Context
	r   *http.Request
	id  string
}

// answering makes a handler that writes what act returns, or its problem.
func answering(act func(call) (any, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		ctx, cancel := context.WithTimeout(r.Context(), platformBound)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, bodyMost)
		value, err := act(call{ctx: ctx, r: r, id: params.ByName("id")})
		if err != nil {
			explain(err).Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A reader that is gone cannot be told more.
		_ = json.NewEncoder(w).Encode(value)
	}
}

// explain turns an error into a problem document.
func explain(err error) problem.Problem {
	var p problem.Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, config.ErrConflict):
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
	if err := decoder.Decode(&value); err != nil {
		return value, problem.New(http.StatusBadRequest, problem.Refused, "read", err.Error())
	}
	return value, nil
}

// target answers from the table, or, while that is out, with what is in force here.
func (s *Server) target(c call) (any, error) {
	document, err := config.Read(c.ctx, s.table)
	if err != nil {
		document = s.node.Document()
	}
	return Document{Version: document.Version, Text: document.Text()}, nil
}

func (s *Server) setTarget(c call) (any, error) {
	proposal, err := readBody[Proposal](c)
	if err != nil {
		return nil, err
	}
	document, err := contract.Parse([]byte(proposal.Text))
	if err != nil {
		return nil, problem.New(http.StatusUnprocessableEntity, problem.Refused, "check", err.Error())
	}
	version, err := config.CompareAndSet(c.ctx, s.table, proposal.Base, document, proposal.By, s.unique())
	if err != nil {
		s.log.Info("target-refused", zap.Uint64("base", proposal.Base), zap.String("by", proposal.By), logs.Error(err))
		return nil, s.withDiff(c.ctx, proposal, err)
	}
	document.Version = version
	s.log.Info("target-accepted", zap.Uint64("version", version), zap.String("by", proposal.By))
	s.node.OnDocument(document)
	return Accepted{Version: version, Warnings: warnings(document, s.node.Capacities())}, nil
}

// withDiff tells the loser of a race what changed since the version it saw.
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
	return Status{Version: s.node.Document().Version, Nodes: s.node.LocalStatus()}, nil
}

// status asks every entry for its own version and those of its agents.
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
	merged.add(s.node.LocalStatus())
	for _, row := range rows {
		if row.Name == s.name {
			continue
		}
		asking, cancel := context.WithTimeout(c.ctx, peerBound)
		status, err := s.peers("http://" + row.Operator).LocalStatus(asking)
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
	shards := s.node.Shards()
	document := s.node.Document()
	if shards == 0 || document.Version == 0 {
		return nil, problem.New(http.StatusServiceUnavailable, problem.Refused, "ready", "this entry has not read its configuration yet").WithRetryAfter(time.Second)
	}
	checked, err := job.Validate(time.Now().UTC(), submission, document, s.node.Capacities())
	if err != nil {
		s.log.Info("job-refused", zap.String("workspace", submission.Workspace), zap.String("class", submission.Class), logs.Error(err))
		return nil, err
	}
	unique := s.unique()
	accepted, fresh, err := job.Submit(c.ctx, s.table, shards, checked, submission.Key, unique)
	if err != nil {
		return nil, err
	}
	s.log.Info("job-accepted", zap.String("job", accepted.ID), zap.String("workspace", accepted.Workspace),
		zap.String("class", accepted.Class), zap.Int("tasks", accepted.Tasks), zap.Time("deadline", accepted.Deadline))
	if fresh {
		s.node.OnJob(accepted)
	}
	s.node.NotifyInbox()
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
	shards := s.node.Shards()
	if shards == 0 {
		return nil, problem.New(http.StatusServiceUnavailable, problem.Refused, "ready", "this entry has not read the shards yet").WithRetryAfter(time.Second)
	}
	if err := job.Cancel(c.ctx, s.table, shards, c.id, s.unique()); err != nil {
		return nil, err
	}
	s.log.Info("job-cancel", zap.String("job", c.id))
	s.node.NotifyInbox()
	return struct{}{}, nil
}

func (s *Server) report(c call) (any, error) {
	query := c.r.URL.Query()
	from, to := time.Time{}, time.Now()
	for _, each := range []struct {
		name string
		into *time.Time
	}{{"from", &from}, {"to", &to}} {
		if text := query.Get(each.name); text != "" {
			parsed, err := time.Parse(time.RFC3339Nano, text)
			if err != nil {
				return nil, problem.New(http.StatusBadRequest, problem.Refused, "read", each.name+": "+err.Error())
			}
			*each.into = parsed
		}
	}
	if err := s.node.Flush(c.ctx); err != nil {
		return nil, err
	}
	windows, index, err := s.store.Get(c.ctx, from, to)
	if err != nil {
		return nil, err
	}
	return ledger.Build(ledger.Query{
		From: from, To: to, Workspace: query.Get("workspace"), Class: query.Get("class"), Alive: s.node.Alive(c.ctx),
	}, s.node.Document(), windows, index)
}
