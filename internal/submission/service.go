// Package submission runs in the entry. It stores submitted jobs in the table, reads the state of
// jobs and cancels them, for the callers of one entry. It forwards calls that this entry cannot
// complete, because the table is slow, refuses them or does not answer, to another entry.
//
// It starts no tasks. The owner of the shard does that, in package owner, and is notified of each
// job that is stored here. A job is stored at most once per ID, and only if the owner's row is at
// the revision that the job names as its OwnerRevision. So no earlier owner can have started the
// job's tasks, and the owner of that revision may start them without waiting for the instances
// of earlier owners.
package submission

import (
	"context"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/owner"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// A write to the table may take minWriteTimeout, a read minReadTimeout, each plus
	// serviceCallLatencyFactor times the recent read latency, but no longer than
	// maxServiceCallTimeout. After that its outcome counts as unknown. Package owner has other
	// bounds for its own calls.
	minWriteTimeout          = 500 * time.Millisecond
	minReadTimeout           = 300 * time.Millisecond
	serviceCallLatencyFactor = 6
	maxServiceCallTimeout    = 1800 * time.Millisecond
	// slowReadLatency is the read latency from which on the table counts as slow. Jobs are
	// then stored by commits of the owner, each with many jobs.
	slowReadLatency = 40 * time.Millisecond
	// maxFinalStates bounds the cache of final job states.
	maxFinalStates = 4096
)

//go:generate stringer -type=Outcome -linecomment

// Outcome is the outcome of a call.
type Outcome int

// The outcomes. Accepted means that the call took effect or, for a state, that the state is
// known; NotFound that there is no such job; Unknown that the call may have taken effect or,
// for a state, that the state could not be read; Refused that the call has not taken effect
// and will not.
const (
	Unknown  Outcome = iota // unknown
	Accepted                // accepted
	Refused                 // refused
	NotFound                // absent
)

// Service submits, reads and cancels jobs for the callers of one entry. Its methods are safe
// for concurrent use.
type Service struct {
	store       *table.Store
	health      *table.Health
	ownerClient *owner.Client
	peers       *Peers
	registry    *metrics.Registry

	mu          sync.Mutex
	finalStates map[string]dispatch.State // cache by job ID; final states never change

	tombstones *rate.Limiter // of the tombstones that this entry writes
}

// New returns a service that calls the table through store, the owner through ownerClient
// and other entries through peers.
func New(store *table.Store, health *table.Health, ownerClient *owner.Client, peers *Peers, registry *metrics.Registry) *Service {
	return &Service{
		store: store, health: health, ownerClient: ownerClient, peers: peers, registry: registry,
		finalStates: map[string]dispatch.State{}, tombstones: rate.NewLimiter(maxTombstoneRate, maxTombstoneBurst),
	}
}

// errTableUnavailable is returned when the table was not called, because it has not answered this
// entry lately.
var errTableUnavailable = errors.Mark(errors.New("table unavailable: it has not answered lately"), table.ErrRefused)

// withCallTimeout returns a context with the timeout of one call to the table, which grows
// with the recent read latency.
func (s *Service) withCallTimeout(ctx context.Context, minTimeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, min(minTimeout+serviceCallLatencyFactor*s.health.ReadLatency(), maxServiceCallTimeout))
}

// State returns the state of a job. The outcome is Accepted if the state is known, NotFound
// if there is no such job, and Unknown together with an error. If this entry cannot read the
// table, it asks the owner for the state in its memory, then another entry.
func (s *Service) State(ctx context.Context, id string) (dispatch.State, Outcome, error) {
	if state, ok := s.cachedState(id); ok {
		return state, Accepted, nil
	}
	state, outcome, err := s.readState(ctx, id)
	if err == nil {
		return state, outcome, nil
	}
	var known link.Known
	if callErr := s.ownerClient.Call(ctx, link.MethodKnown, link.JobID{ID: id}, &known); callErr == nil && known.Known {
		if known.State.Final() {
			s.cacheState(id, known.State)
		}
		return known.State, Accepted, nil
	}
	var reply link.ForwardReply
	if callErr := s.peers.Forward(ctx, s.ownerClient.Holder().Address, link.MethodState, link.JobID{ID: id}, &reply); callErr == nil && Outcome(reply.Outcome) != Unknown {
		return reply.State, Outcome(reply.Outcome), nil
	}
	return 0, Unknown, err
}

func (s *Service) readState(ctx context.Context, id string) (dispatch.State, Outcome, error) {
	rows, err := s.read(ctx, id)
	if err != nil {
		return 0, Unknown, err
	}
	job, err := owner.ReadJob(id, rows)
	if err != nil || !job.Known {
		return 0, NotFound, err
	}
	if job.State.Final() {
		s.cacheState(id, job.State)
	}
	return job.State, Accepted, nil
}

func (s *Service) read(ctx context.Context, id string) ([]table.Record, error) {
	if !s.health.Available() {
		return nil, errTableUnavailable
	}
	callCtx, cancel := s.withCallTimeout(ctx, minReadTimeout)
	defer cancel()
	start := time.Now()
	defer func() { s.registry.Observe("read-job", time.Since(start)) }()
	rows, _, err := s.store.Read(callCtx, owner.JobRange(id))
	return rows, err
}

func (s *Service) cachedState(id string) (dispatch.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.finalStates[id]
	return state, ok
}

func (s *Service) cacheState(id string, state dispatch.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.finalStates) >= maxFinalStates {
		clear(s.finalStates)
	}
	s.finalStates[id] = state
}

// Backlog returns the number of stored jobs of a queue of which no task has started. The
// owner knows the exact number. If the owner does not answer, the result is an upper bound
// from the table.
func (s *Service) Backlog(ctx context.Context, queue string) (int, error) {
	var backlog link.Backlog
	callErr := s.ownerClient.Call(ctx, link.MethodBacklog, struct{}{}, &backlog)
	if callErr == nil {
		return backlog.Counts[queue], nil
	}
	callCtx, cancel := s.withCallTimeout(ctx, minReadTimeout)
	defer cancel()
	rows, _, err := s.store.Read(callCtx, owner.AllJobsRange())
	if err != nil {
		return 0, errors.CombineErrors(err, callErr)
	}
	return owner.CountBacklog(queue, rows), nil
}
