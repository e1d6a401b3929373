package process

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/budget"
	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/owner"
	"github.com/apricotwind/apricotwind/internal/runner"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"
)

const (
	// watchTimeout is how long the table holds a request open while it waits for a
	// change of the owner's row.
	watchTimeout = 10 * time.Second
	// watchGrace is how much longer the answer to a watch may take, and bounds a plain
	// read.
	watchGrace = 1500 * time.Millisecond
	// watchRetryDelay is the delay before the next read after a failed one.
	watchRetryDelay = 200 * time.Millisecond
	// maxUnserved is the time without an answer of an owner after which an agent watches whether
	// there still is one. It exceeds the time of a usual handover.
	maxUnserved = time.Second
	// resignTimeout bounds how long an agent that stops takes to give up the ownership.
	resignTimeout = time.Second
	// lossReportTimeout bounds how long an agent whose worker has left waits for an owner that it
	// can tell so. With resignTimeout and stopTimeout it stays below the operators' grace period.
	lossReportTimeout = 3 * time.Second
	lossReportCheck   = 50 * time.Millisecond
)

// JobAgentSettings configure a JobAgent.
type JobAgentSettings struct {
	Name                        string
	Registration, Metrics, Link string        // listen addresses, host:port; empty: not served
	Retention                   time.Duration // how long a finished job's state stays readable, while this agent is the owner
	MaxLease                    time.Duration // longest lease that the worker accepts, on its own clock
	Budget                      budget.Settings
}

// JobAgentDeps are the parts of an agent that depend on the protocols of the platform
// and the worker.
type JobAgentDeps struct {
	Store  *table.Store
	Worker runner.Worker
	// Evacuations follows the requests to evacuate a failure domain, while the agent is the owner.
	Evacuations *evacuation.Follower
	// Registration returns the handler with which the local worker registers.
	Registration func(r *runner.Runner, log *zap.Logger) http.Handler
}

// JobAgent is the process that runs beside one worker and runs the tasks of jobs with
// steps on it. It takes its orders from the owner, which is one of the entries. While no entry
// runs, one of the agents that have a link address is the owner, so that tasks go on.
type JobAgent struct {
	settings JobAgentSettings
	deps     JobAgentDeps
	log      *zap.Logger
	metrics  *metrics.Registry
	loop     *loop.Loop
	runner   *runner.Runner
	holder   atomic.Pointer[owner.Holder]
	elector  *owner.Elector // nil without a link address
	servers  []*budget.Server
}

// NewJobAgent starts an agent. The agent stops when ctx is done or with Drain. The
// error reports a listener that cannot be opened.
func NewJobAgent(ctx context.Context, settings JobAgentSettings, deps JobAgentDeps, network Network, log *zap.Logger) (*JobAgent, error) {
	a := &JobAgent{settings: settings, deps: deps, log: log, metrics: metrics.New(), loop: loop.New(ctx)}
	if err := a.addElector(); err != nil {
		a.loop.Stop()
		return nil, err
	}
	a.runner = runner.New(runner.Settings{Name: settings.Name, AgentIncarnation: newIncarnation(), MaxLease: settings.MaxLease}, deps.Worker, a.loop, log, a.metrics)
	if err := a.listen(network); err != nil {
		a.loop.Stop()
		return nil, err
	}
	if a.elector != nil {
		a.elector.Run()
	}
	a.runner.StartPolling()
	a.loop.Go(a.watchOwner)
	dial := func(ctx context.Context, address string) (net.Conn, error) { return network.Dial(ctx, "tcp", address) }
	a.runner.StartSessions(dial, func() (string, uint64) {
		if holder := a.holder.Load(); holder != nil && holder.Name != "" {
			return holder.Address, holder.Epoch
		}
		return "", 0
	})
	log.Info("started", zap.String("control", settings.Registration))
	return a, nil
}

// addElector adds the part of the agent that can be the owner, if the agent has a link address.
func (a *JobAgent) addElector() error {
	if a.settings.Link == "" {
		return nil
	}
	suspended, err := newSuspensionClock()
	if err != nil {
		return err
	}
	var health *table.Health
	a.deps.Store, health = table.WithHealth(a.deps.Store)
	a.elector = owner.New(owner.Settings{
		Name: a.settings.Name, Address: a.settings.Link, Retention: a.settings.Retention, MaxLease: a.settings.MaxLease, Suspended: suspended,
		Standby: true, Served: a.served,
		Evacuations: owner.Evacuations{Known: evacuation.New(a.log, a.metrics), Requests: a.deps.Evacuations, Follow: true},
	}, a.deps.Store, health, a.loop, a.log, a.metrics, monotonicUnix(), func(holder owner.Holder) { a.setHolder(holder) })
	return nil
}

// served reports whether another process is the owner and has answered this agent lately.
func (a *JobAgent) served() bool {
	holder := a.holder.Load()
	owns := holder != nil && holder.Name == a.settings.Name
	return !owns && a.runner.UnservedFor() < maxUnserved
}

func (a *JobAgent) listen(network Network) error {
	bounds := budget.New(a.settings.Budget, a.metrics, a.log)
	health := httprouter.New()
	addHealthRoutes(health, a.metrics, func() error { return nil })
	serve := []struct {
		setting, address string
		handler          http.Handler
		class            budget.Class
	}{
		{"control", a.settings.Registration, a.deps.Registration(a.runner, a.log), budget.Clients},
		{"metrics", a.settings.Metrics, health, budget.Side},
	}
	for _, s := range serve {
		if s.address == "" {
			continue
		}
		listener, err := network.Listen(s.address)
		if err != nil {
			return errors.Wrapf(err, "setting %s: cannot listen on %s", s.setting, s.address)
		}
		listener = bounds.Listener(listener, s.class)
		server := bounds.Server(s.handler, 0)
		a.servers = append(a.servers, server)
		a.loop.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				a.log.Error("server-ended", zap.String("setting", s.setting), logs.Error(err))
			}
		})
	}
	if a.elector == nil {
		return nil
	}
	links, err := network.Listen(a.settings.Link)
	if err != nil {
		return errors.Wrapf(err, "setting link: cannot listen on %s", a.settings.Link)
	}
	a.loop.Go(func() {
		serveLinks(links, bounds, a.loop, a.metrics, func(ctx context.Context, conn *owner.Conn, method string, params []byte) (any, error) {
			return serveElector(ctx, a.elector, conn, method, params)
		})
	})
	return nil
}

// watchOwner tracks which process is the owner, until the loop ends.
func (a *JobAgent) watchOwner() {
	ctx := a.loop.Context()
	failures := logs.NewFailureLogger(a.log, "follow-owner-failed")
	var after uint64
	for ctx.Err() == nil {
		rows, revision, err := a.readOwner(ctx, after)
		failures.Note(err)
		if err != nil {
			after = 0
			loop.Sleep(ctx, watchRetryDelay)
			continue
		}
		after = revision
		for _, row := range rows {
			a.updateHolder(row)
		}
	}
}

// readOwner reads the owner's row if after is 0. Otherwise it waits for changes of the
// row after that revision. It returns the rows and their revision.
func (a *JobAgent) readOwner(ctx context.Context, after uint64) ([]table.Record, uint64, error) {
	if after == 0 {
		callCtx, cancel := context.WithTimeout(ctx, watchGrace)
		defer cancel()
		return a.deps.Store.Read(callCtx, owner.RowRange())
	}
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout+watchGrace)
	defer cancel()
	changes, err := a.deps.Store.Watch(callCtx, owner.TableName, after, watchTimeout)
	return changes.Rows, changes.Revision, err
}

func (a *JobAgent) updateHolder(row table.Record) {
	holder, err := owner.ReadHolder(row)
	if err != nil {
		a.log.Warn("row-ignored", logs.Error(err))
		return
	}
	if a.setHolder(holder) {
		a.log.Info("owner", zap.String("owner", holder.Name), zap.Uint64("epoch", holder.Epoch))
	}
}

// setHolder records the owner, unless a later one is known. It reports whether it did.
func (a *JobAgent) setHolder(holder owner.Holder) bool {
	for {
		known := a.holder.Load()
		if known != nil && known.OwnerRevision >= holder.OwnerRevision {
			return false
		}
		if a.holder.CompareAndSwap(known, &holder) {
			return true
		}
	}
}

// Drain stops the agent, which hands over the ownership if it has it. The worker continues to run
// its tasks under its lease, and the next agent takes the worker over. The error reports
// goroutines that did not end in time.
func (a *JobAgent) Drain() error {
	a.log.Info("stopping")
	if a.elector != nil {
		ctx, cancel := context.WithTimeout(a.loop.Context(), resignTimeout)
		a.elector.Resign(ctx)
		cancel()
	}
	a.awaitLossReport()
	a.loop.Stop()
	a.closeServers()
	return a.loop.WaitFor(stopTimeout)
}

// awaitLossReport waits until the owner knows that the worker has left, if it has. After this process
// nobody can tell the owner.
func (a *JobAgent) awaitLossReport() {
	ctx, cancel := context.WithTimeout(a.loop.Context(), lossReportTimeout)
	defer cancel()
	for ctx.Err() == nil && a.runner.OwesLossReport(a.reportingEpoch()) {
		loop.Sleep(ctx, lossReportCheck)
	}
}

// reportingEpoch returns the epoch of the owner or, while there is none, of the next one.
func (a *JobAgent) reportingEpoch() uint64 {
	holder := a.holder.Load()
	switch {
	case holder == nil:
		return 1
	case holder.Name == "":
		return holder.Epoch + 1
	}
	return holder.Epoch
}

// Wait blocks until the agent has stopped.
func (a *JobAgent) Wait() error {
	<-a.loop.Context().Done()
	a.closeServers()
	a.loop.Wait()
	return nil
}

func (a *JobAgent) closeServers() {
	for _, server := range a.servers {
		// The process ends now, and its connections with it.
		_ = server.Close()
	}
}
