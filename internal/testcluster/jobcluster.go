package testcluster

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/internal/process"
	"github.com/apricotwind/apricotwind/internal/runner"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// registrationInterval is the time between two registrations of a stand-in worker.
	registrationInterval = time.Second
	// JobRetention is how long the cluster's entries retain a finished job.
	JobRetention = 10 * time.Minute
)

// JobCluster is a system that runs jobs with steps: real entries and agents on an
// in-memory network, with stand-ins of the store and the workers. The exported slices are
// fixed once NewJobCluster has returned.
type JobCluster struct {
	Net     *Network
	Store   *Store
	Checker *Checker
	Workers []*Worker
	Entries []*JobClusterEntry
	// RegistrationDelay is the time from the restart of a worker to its registration. It is set before that.
	RegistrationDelay time.Duration
	agents            []*jobClusterAgent
	mu                sync.Mutex // guards proc and stop of the entries and agents
	ctx               context.Context
	log               *zap.Logger
}

// JobClusterEntry is one entry, which may be down.
type JobClusterEntry struct {
	name    string
	service atomic.Pointer[submission.Service] // nil while it is down
	stop    context.CancelFunc
	proc    *process.JobEntry
}

// jobClusterAgent is one agent, which may be down.
type jobClusterAgent struct {
	name   string
	stop   context.CancelFunc
	proc   *process.JobAgent
	runner atomic.Pointer[runner.Runner] // nil while it is down
}

// NewJobCluster starts a system with the given numbers of entries and workers. Each worker
// has the given capacity. The system runs until ctx is done.
func NewJobCluster(ctx context.Context, entries, workers int, capacity dispatch.Resources, log *zap.Logger) (*JobCluster, error) {
	c := &JobCluster{Net: NewNetwork(), Store: NewStore(), Checker: NewChecker(capacity), ctx: ctx, log: log}
	for i := range entries {
		c.Entries = append(c.Entries, &JobClusterEntry{name: fmt.Sprintf("e%d", i)})
		if err := c.StartEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range workers {
		c.Workers = append(c.Workers, NewWorker(fmt.Sprintf("w%d", i), c.Checker))
		c.Checker.SetDomain(c.Workers[i].name, c.DomainOf(i))
		c.agents = append(c.agents, &jobClusterAgent{name: fmt.Sprintf("a%d", i)})
	}
	for i := range workers {
		go c.Workers[i].Run(ctx)
		go c.register(i)
		if err := c.StartAgent(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// register registers a worker with its agent when it starts and periodically, while both are up.
func (c *JobCluster) register(i int) {
	for sequence := int64(1); c.ctx.Err() == nil; sequence++ {
		incarnation, up := c.Workers[i].Incarnation()
		if r := c.agents[i].runner.Load(); up && r != nil && !c.Workers[i].isCut() {
			r.Register(dispatch.Registration{
				Incarnation: incarnation, Service: "s", Domain: c.DomainOf(i), Rack: "r", Labels: []string{"a", "r"}, Capacity: c.Checker.capacity,
				Draining: c.Workers[i].isDraining(),
			}, sequence)
		}
		select {
		case <-c.ctx.Done():
		case <-c.Workers[i].restarted:
			time.Sleep(c.RegistrationDelay)
		case <-time.After(registrationInterval):
		}
	}
}

// StartEntry starts entry i, which must be down.
func (c *JobCluster) StartEntry(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.Entries[i]
	ctx, stop := context.WithCancel(c.ctx)
	address := fmt.Sprintf("10.0.0.%d:1", i+1)
	store, log := c.Store.View(e.name), c.log.Named(e.name)
	proc, err := process.NewJobEntry(ctx, process.JobEntrySettings{
		Name: e.name, API: c.APIAddress(i), Ready: "ready-" + e.name, Link: address, Retention: JobRetention, MaxLease: maxLease,
	}, process.JobEntryDeps{
		Store: store,
		API: func(service *submission.Service, _ *submission.ActiveRoutes, _ func() bool, _ *zap.Logger) http.Handler {
			e.service.Store(service)
			return http.NotFoundHandler()
		},
		Ready: func(func() error) http.Handler { return http.NotFoundHandler() },
		WatchConfiguration: func(ctx context.Context, _ *submission.ActiveRoutes, evacuations *evacuation.Tracker) {
			evacuationRequests(store).Run(ctx, evacuations, log)
		},
		Evacuations: evacuationRequests(store),
	}, c.Net.View(e.name), log)
	if err != nil {
		stop()
		return err
	}
	e.stop, e.proc = stop, proc
	return nil
}

// KillEntry stops entry i at once, without a drain, and waits until it has stopped.
func (c *JobCluster) KillEntry(i int) error {
	e := c.Entries[i]
	c.mu.Lock()
	stop, proc := e.stop, e.proc
	c.mu.Unlock()
	e.service.Store(nil)
	stop()
	return proc.Wait()
}

// DrainEntry stops entry i gracefully, as SIGTERM does, and waits until it has stopped.
func (c *JobCluster) DrainEntry(i int) error {
	e := c.Entries[i]
	c.mu.Lock()
	proc := e.proc
	c.mu.Unlock()
	defer e.service.Store(nil)
	return proc.Drain()
}

// DrainAgent stops agent i gracefully, as SIGTERM does, and waits until it has stopped.
func (c *JobCluster) DrainAgent(i int) error {
	a := c.agents[i]
	c.mu.Lock()
	proc := a.proc
	c.mu.Unlock()
	defer a.runner.Store(nil)
	return proc.Drain()
}

// StartAgent starts agent i, which must be down.
func (c *JobCluster) StartAgent(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.agents[i]
	ctx, stop := context.WithCancel(c.ctx)
	store := c.Store.View(a.name)
	proc, err := process.NewJobAgent(ctx, process.JobAgentSettings{
		Name: a.name, Registration: "control-" + a.name, Link: fmt.Sprintf("10.1.0.%d:1", i+1), Retention: JobRetention, MaxLease: maxLease,
	}, process.JobAgentDeps{
		Store: store, Evacuations: evacuationRequests(store), Worker: c.Workers[i].Calls(),
		Registration: func(r *runner.Runner, _ *zap.Logger) http.Handler {
			a.runner.Store(r)
			return http.NotFoundHandler()
		},
	}, c.Net.View(a.name), c.log.Named(a.name))
	if err != nil {
		stop()
		return err
	}
	a.stop, a.proc = stop, proc
	return nil
}

// KillAgent stops agent i at once, without a drain, and waits until it has stopped.
func (c *JobCluster) KillAgent(i int) error {
	a := c.agents[i]
	c.mu.Lock()
	stop, proc := a.stop, a.proc
	c.mu.Unlock()
	a.runner.Store(nil)
	stop()
	return proc.Wait()
}

// SetMachineCut sets whether the machine of worker i, with its agent, is cut off from the store and all
// entries. Both run on.
func (c *JobCluster) SetMachineCut(i int, cut bool) {
	agent := c.agents[i].name
	for _, e := range c.Entries {
		c.Net.SetPartition(agent, e.name, cut)
	}
	c.Store.SetUnreachable(agent, cut)
}

// DeregisterLate passes the deregistration of an earlier incarnation of worker i to its agent.
func (c *JobCluster) DeregisterLate(i int) {
	incarnation, _ := c.Workers[i].Incarnation()
	if r := c.agents[i].runner.Load(); r != nil {
		r.Deregister(incarnation.ID)
	}
}

// Leave makes worker i deregister and end, as after a drain.
func (c *JobCluster) Leave(i int) {
	incarnation, _ := c.Workers[i].Incarnation()
	c.Workers[i].Crash()
	if r := c.agents[i].runner.Load(); r != nil {
		r.Deregister(incarnation.ID)
	}
}

// Service returns the submission service of entry i, or nil while the entry is down.
func (c *JobCluster) Service(i int) *submission.Service { return c.Entries[i].service.Load() }

// AgentUp reports whether agent i is running.
func (c *JobCluster) AgentUp(i int) bool { return c.agents[i].runner.Load() != nil }

// Stop waits until all processes have stopped. The context given to NewJobCluster must be
// done.
func (c *JobCluster) Stop() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var failed error
	for _, e := range c.Entries {
		failed = errors.CombineErrors(failed, e.proc.Wait())
	}
	for _, a := range c.agents {
		failed = errors.CombineErrors(failed, a.proc.Wait())
	}
	return errors.CombineErrors(failed, c.Net.Close())
}

// APIAddress returns the address of the API of entry i.
func (c *JobCluster) APIAddress(i int) string { return "front-" + c.Entries[i].name }

// EntryName returns the name of entry i.
func (c *JobCluster) EntryName(i int) string { return c.Entries[i].name }
