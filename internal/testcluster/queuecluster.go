package testcluster

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/process"
	"github.com/apricotwind/apricotwind/internal/runner"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// registerPeriod is the time between two registrations of a stand-in worker.
	registerPeriod = time.Second
	// keepFinished is how long the rig's entries keep a finished job.
	keepFinished = 10 * time.Minute
)

// QueueCluster is a system that runs jobs with steps: real entries and agents on a network in
// memory, with stand-ins of the store and the workers.
type QueueCluster struct {
	Net     *Network
	Store   *Store
	Checker *Checker
	Workers []*Worker
	Entries []*QueueClusterEntry
	agents  []*shardAgent
	mu      sync.Mutex // guards the nodes of entries and agents and what stops them
	ctx     context.Context
	log     *zap.Logger
}

// QueueClusterEntry is one entry, which may be down.
type QueueClusterEntry struct {
	name string
	desk atomic.Pointer[submission.Service] // nil while it is down
	stop context.CancelFunc
	node *process.QueueEntry
}

// shardAgent is one agent, which may be down.
type shardAgent struct {
	name string
	stop context.CancelFunc
	node *process.QueueAgent
	of   atomic.Pointer[runner.Runner] // nil while it is down
}

// NewQueueCluster starts a system with so many entries and workers of a capacity.
func NewQueueCluster(ctx context.Context, entries, workers int, capacity dispatch.Resources, log *zap.Logger) (*QueueCluster, error) {
	s := &QueueCluster{Net: NewNetwork(), Store: NewStore(), Checker: NewChecker(capacity), ctx: ctx, log: log}
	for i := range entries {
		s.Entries = append(s.Entries, &QueueClusterEntry{name: fmt.Sprintf("e%d", i)})
		if err := s.StartEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range workers {
		s.Workers = append(s.Workers, NewWorker(fmt.Sprintf("w%d", i), s.Checker))
		s.agents = append(s.agents, &shardAgent{name: fmt.Sprintf("a%d", i)})
	}
	for i := range workers {
		go s.Workers[i].Run(ctx)
		go s.register(i)
		if err := s.StartAgent(i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// register says again and again that a worker is there.
func (s *QueueCluster) register(i int) {
	for sequence := int64(1); s.ctx.Err() == nil; sequence++ {
		life, up := s.Workers[i].Incarnation()
		if of := s.agents[i].of.Load(); up && of != nil {
			of.Register(dispatch.Registration{
				Incarnation: life, Service: "s", Rack: "r", Labels: []string{"a", "r"}, Capacity: s.Checker.capacity,
			}, sequence)
		}
		_ = sleepOrDone(s.ctx, registerPeriod) // its only error is the end of ctx
	}
}

// StartEntry starts an entry that is down.
func (s *QueueCluster) StartEntry(i int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.Entries[i]
	ctx, stop := context.WithCancel(s.ctx)
	address := fmt.Sprintf("10.0.0.%d:1", i+1)
	node, err := process.NewQueueEntry(ctx, process.QueueEntrySettings{
		Name: e.name, API: "front-" + e.name, Ready: "ready-" + e.name, Link: address, Retention: keepFinished,
	}, process.QueueEntryDeps{
		Store: s.Store.View(e.name),
		API: func(desk *submission.Service, _ *submission.ActiveRoutes, _ func() bool, _ *zap.Logger) http.Handler {
			e.desk.Store(desk)
			return http.NotFoundHandler()
		},
		Ready:              func(func() error) http.Handler { return http.NotFoundHandler() },
		WatchConfiguration: func(ctx context.Context, _ *submission.ActiveRoutes) { <-ctx.Done() },
	}, s.Net.View(e.name), s.log.Named(e.name))
	if err != nil {
		stop()
		return err
	}
	e.stop, e.node = stop, node
	return nil
}

// KillEntry ends an entry without a word.
func (s *QueueCluster) KillEntry(i int) error {
	e := s.Entries[i]
	s.mu.Lock()
	stop, node := e.stop, e.node
	s.mu.Unlock()
	e.desk.Store(nil)
	stop()
	return node.Wait()
}

// StartAgent starts an agent that is down.
func (s *QueueCluster) StartAgent(i int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.agents[i]
	ctx, stop := context.WithCancel(s.ctx)
	node, err := process.NewQueueAgent(ctx, process.QueueAgentSettings{Name: a.name, Registration: "control-" + a.name}, process.QueueAgentDeps{
		Store: s.Store.View(a.name), Worker: s.Workers[i].Calls(),
		Registration: func(r *runner.Runner, _ *zap.Logger) http.Handler {
			a.of.Store(r)
			return http.NotFoundHandler()
		},
	}, s.Net.View(a.name), s.log.Named(a.name))
	if err != nil {
		stop()
		return err
	}
	a.stop, a.node = stop, node
	return nil
}

// KillAgent ends an agent without a word.
func (s *QueueCluster) KillAgent(i int) error {
	a := s.agents[i]
	s.mu.Lock()
	stop, node := a.stop, a.node
	s.mu.Unlock()
	a.of.Store(nil)
	stop()
	s.Workers[i].AgentDied()
	return node.Wait()
}

// Service is the desk of an entry, nil while it is down.
func (s *QueueCluster) Service(i int) *submission.Service { return s.Entries[i].desk.Load() }

// AgentUp tells whether an agent runs.
func (s *QueueCluster) AgentUp(i int) bool { return s.agents[i].of.Load() != nil }

// Stop ends everything that runs. The context that the system was made with must be
// over.
func (s *QueueCluster) Stop() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed error
	for _, e := range s.Entries {
		failed = errors.CombineErrors(failed, e.node.Wait())
	}
	for _, a := range s.agents {
		failed = errors.CombineErrors(failed, a.node.Wait())
	}
	return failed
}

// EntryName is the name of an entry.
func (s *QueueCluster) EntryName(i int) string { return s.Entries[i].name }
