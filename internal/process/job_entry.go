package process

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/budget"
	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/owner"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"
)

const (
	// maxStoreAge is the longest time since the last answer of the table for which
	// the entry reports that it is ready.
	maxStoreAge = 1500 * time.Millisecond
	// connectionDrainTime is how long a draining entry still accepts connections, so that
	// the load balancer can detect that it is no longer ready.
	connectionDrainTime = 2500 * time.Millisecond
	// requestDrainTimeout bounds how long requests in flight may take after that.
	requestDrainTimeout = 2500 * time.Millisecond
	// stopTimeout bounds how long a process waits for its goroutines after that. With the two
	// above it stays below the operators' grace period of 6 s.
	stopTimeout = 500 * time.Millisecond
)

// JobEntrySettings configure a JobEntry.
type JobEntrySettings struct {
	Name, Domain              string
	API, Ready, Link, Metrics string        // listen addresses, host:port; empty: not served, except Link
	Retention                 time.Duration // how long a finished job's state stays readable
	MaxLease                  time.Duration // longest lease that a worker accepts, on its own clock
	Cores                     float64       // cores that the process may use; may be a fraction; 0: unknown
	Budget                    budget.Settings
}

// JobEntryDeps are the parts of an entry that depend on the protocols of the platform
// and the clients.
type JobEntryDeps struct {
	Store *table.Store
	// API returns the handler with which clients submit jobs.
	API func(service *submission.Service, routes *submission.ActiveRoutes, draining func() bool, log *zap.Logger) http.Handler
	// Ready returns the readiness handler for the load balancer in front of the entries;
	// ready returns why this entry should receive no connections now, or nil.
	Ready func(ready func() error) http.Handler
	// WatchConfiguration applies each version of the configuration to routes, and each request to
	// evacuate a failure domain to evacuations, until ctx is done.
	WatchConfiguration func(ctx context.Context, routes *submission.ActiveRoutes, evacuations *evacuation.Tracker)
	// Evacuations reads the same requests, when the entry becomes the owner.
	Evacuations *evacuation.Follower
}

// JobEntry is the process that accepts jobs with steps. One of the entries is the owner,
// that is, it schedules all jobs. This election (package owner) has nothing to do with the
// shards of Entry (package shard).
type JobEntry struct {
	settings    JobEntrySettings
	deps        JobEntryDeps
	network     Network
	log         *zap.Logger
	metrics     *metrics.Registry
	loop        *loop.Loop
	elector     *owner.Elector
	ownerClient *owner.Client
	routes      *submission.ActiveRoutes
	budget      *budget.Budget
	servers     []*budget.Server
	service     *submission.Service
	peers       *submission.Peers
	evacuations *evacuation.Tracker
	health      *table.Health
	draining    atomic.Bool
}

// NewJobEntry starts an entry. The entry stops when ctx is done or with Drain. The
// error reports a listener that cannot be opened.
func NewJobEntry(ctx context.Context, settings JobEntrySettings, deps JobEntryDeps, network Network, log *zap.Logger) (*JobEntry, error) {
	e := &JobEntry{settings: settings, network: network, log: log, metrics: metrics.New(), loop: loop.New(ctx)}
	e.budget = budget.New(settings.Budget, e.metrics, log)
	e.routes = submission.NewActiveRoutes(func(routes *submission.Routes) {
		limits := routes.Limits()
		e.budget.SetLimits(budget.Limits{HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout})
	})
	deps.Store, e.health = table.WithHealth(deps.Store)
	e.deps = deps
	e.evacuations = evacuation.New(log, e.metrics)
	pool := link.NewPool(e.dial, e.loop, e.metrics)
	e.ownerClient = owner.NewClient(pool, e.loop, log, e.metrics)
	self := submission.EntryInfo{Name: settings.Name, Address: settings.Link, Cores: settings.Cores}
	e.peers = submission.NewPeers(self, deps.Store, pool, e.ownerClient.Owns, e.loop, log, e.metrics)
	suspended, err := newSuspensionClock()
	if err != nil {
		e.loop.Stop()
		return nil, err
	}
	e.elector = owner.New(owner.Settings{
		Name: settings.Name, Address: settings.Link, Retention: settings.Retention, MaxLease: settings.MaxLease, Outranked: e.peers.Outranked, Suspended: suspended,
		Evacuations: owner.Evacuations{Known: e.evacuations, Requests: deps.Evacuations},
	}, deps.Store, e.health, e.loop, log, e.metrics, monotonicUnix(), e.ownerClient.SetHolder)
	e.service = submission.New(deps.Store, e.health, e.ownerClient, e.peers, e.metrics)
	if err := e.listen(); err != nil {
		e.loop.Stop()
		return nil, err
	}
	e.ownerClient.Start(e.elector)
	e.notifyOwnerOfEvacuations()
	e.peers.Run()
	e.elector.Run()
	e.loop.Go(func() { deps.WatchConfiguration(e.loop.Context(), e.routes, e.evacuations) })
	log.Info("started", zap.String("front", settings.API), zap.String("link", settings.Link), zap.String("domain", settings.Domain))
	return e, nil
}

// notifyOwnerOfEvacuations notifies the owner of each change of the evacuated domains, since the
// owner may be cut off from the store.
func (e *JobEntry) notifyOwnerOfEvacuations() {
	e.evacuations.Subscribe(func() { e.ownerClient.Notify(link.MethodEvacuated, e.evacuations.State()) })
}

// monotonicUnix returns a clock in Unix ms that starts at the current wall-clock time and
// advances with the monotonic clock, so that jumps of the wall clock do not affect it.
func monotonicUnix() func() int64 {
	began := time.Now()
	unix := began.UnixMilli()
	return func() int64 { return unix + time.Since(began).Milliseconds() }
}

func (e *JobEntry) dial(ctx context.Context, address string) (net.Conn, error) {
	return e.network.Dial(ctx, "tcp", address)
}

// ready returns why the entry should receive no connections now, or nil.
func (e *JobEntry) ready() error {
	switch {
	case e.draining.Load():
		return errors.New("draining")
	case e.routes.Get() == nil:
		return errors.New("no configuration has been applied yet")
	case e.health.Age() > maxStoreAge:
		return errors.New("the table store does not answer")
	}
	return nil
}

func (e *JobEntry) listen() error {
	health := httprouter.New()
	addHealthRoutes(health, e.metrics, e.ready)
	serve := []struct {
		setting, address string
		handler          http.Handler
		class            budget.Class
	}{
		{"front", e.settings.API, e.deps.API(e.service, e.routes, e.draining.Load, e.log), budget.Clients},
		{"ready", e.settings.Ready, e.deps.Ready(e.ready), budget.Side},
		{"metrics", e.settings.Metrics, health, budget.Side},
	}
	for _, s := range serve {
		if s.address == "" {
			continue
		}
		listener, err := e.network.Listen(s.address)
		if err != nil {
			return errors.Wrapf(err, "setting %s: cannot listen on %s", s.setting, s.address)
		}
		listener = e.budget.Listener(listener, s.class)
		server := e.budget.Server(s.handler, 0)
		e.servers = append(e.servers, server)
		e.loop.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				e.log.Error("server-ended", zap.String("setting", s.setting), logs.Error(err))
			}
		})
	}
	links, err := e.network.Listen(e.settings.Link)
	if err != nil {
		return errors.Wrapf(err, "setting link: cannot listen on %s", e.settings.Link)
	}
	e.loop.Go(func() { serveLinks(links, e.budget, e.loop, e.metrics, e.handleCall) })
	return nil
}

// handleCall handles a call of an agent or another entry.
func (e *JobEntry) handleCall(ctx context.Context, conn *owner.Conn, method string, params []byte) (any, error) {
	if result, ok, err := e.service.Serve(ctx, method, params); ok {
		return result, err
	}
	if method == link.MethodExplain {
		return e.explain(ctx, conn, params)
	}
	return serveElector(ctx, e.elector, conn, method, params)
}

// explain passes a call of link.MethodExplain on to the owner, once: an entry that has not learned
// of a takeover yet would pass it back.
func (e *JobEntry) explain(ctx context.Context, conn *owner.Conn, params []byte) (any, error) {
	asked, err := link.Decode[link.Explain](params)
	if err == nil {
		// The owner does so too, but an error that it returns costs the link to it.
		err = asked.Validate()
	}
	if err != nil {
		return nil, err
	}
	if asked.Forwarded {
		return serveElector(ctx, e.elector, conn, link.MethodExplain, params)
	}
	asked.Forwarded = true
	var explained link.Explained
	err = e.ownerClient.Call(ctx, link.MethodExplain, asked, &explained)
	return explained, err
}

// Drain stops the entry gracefully. It reports that it is not ready, resigns as owner and removes
// its row from the table of entries. It accepts connections for connectionDrainTime, waits up to
// requestDrainTimeout for requests in flight, and stops. The error reports connections or
// goroutines that did not end in time.
func (e *JobEntry) Drain() error {
	began := time.Now()
	e.log.Info("draining")
	e.draining.Store(true)
	drainCtx, cancel := context.WithTimeout(e.loop.Context(), connectionDrainTime)
	defer cancel()
	e.elector.Resign(drainCtx)
	e.peers.Leave(drainCtx)
	<-drainCtx.Done()
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), requestDrainTimeout)
	defer cancelShutdown()
	var failed error
	for _, server := range e.servers {
		failed = errors.CombineErrors(failed, server.Shutdown(shutdownCtx))
	}
	e.loop.Stop()
	failed = errors.CombineErrors(failed, e.loop.WaitFor(stopTimeout))
	e.log.Info("stopped", zap.Duration("took", time.Since(began)), logs.Error(failed))
	return failed
}

// Wait blocks until the entry has stopped.
func (e *JobEntry) Wait() error {
	<-e.loop.Context().Done()
	for _, server := range e.servers {
		// The process ends now, and its connections with it.
		_ = server.Close()
	}
	e.loop.Wait()
	return nil
}
