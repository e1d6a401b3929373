package process

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

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
)

// JobAgentSettings configure a JobAgent.
type JobAgentSettings struct {
	Name                  string
	Registration, Metrics string // listen addresses, host:port; empty: not served
}

// JobAgentDeps are the parts of an agent that depend on the protocols of the platform
// and the worker.
type JobAgentDeps struct {
	Store  *table.Store
	Worker runner.Worker
	// Registration returns the handler with which the local worker registers.
	Registration func(r *runner.Runner, log *zap.Logger) http.Handler
}

// JobAgent is the process that runs beside one worker and runs the tasks of jobs with
// steps on it. It takes its orders from the entry that is the owner.
type JobAgent struct {
	settings JobAgentSettings
	deps     JobAgentDeps
	log      *zap.Logger
	metrics  *metrics.Registry
	loop     *loop.Loop
	runner   *runner.Runner
	holder   atomic.Pointer[owner.Holder]
	servers  []*http.Server
}

// NewJobAgent starts an agent. The agent stops when ctx is done or with Drain. The
// error reports a listener that cannot be opened.
func NewJobAgent(ctx context.Context, settings JobAgentSettings, deps JobAgentDeps, network Network, log *zap.Logger) (*JobAgent, error) {
	a := &JobAgent{settings: settings, deps: deps, log: log, metrics: metrics.New(), loop: loop.New(ctx)}
	a.runner = runner.New(runner.Settings{Name: settings.Name, AgentIncarnation: newIncarnation()}, deps.Worker, a.loop, log, a.metrics)
	if err := a.listen(network); err != nil {
		a.loop.Stop()
		return nil, err
	}
	a.runner.StartPolling()
	a.loop.Go(a.watchOwner)
	dial := func(ctx context.Context, address string) (net.Conn, error) { return network.Dial(ctx, "tcp", address) }
	a.runner.StartSessions(dial, func() string {
		if holder := a.holder.Load(); holder != nil && holder.Name != "" {
			return holder.Address
		}
		return ""
	})
	log.Info("started", zap.String("control", settings.Registration))
	return a, nil
}

func (a *JobAgent) listen(network Network) error {
	health := httprouter.New()
	addHealthRoutes(health, a.metrics, func() error { return nil })
	serve := []struct {
		setting, address string
		handler          http.Handler
	}{
		{"control", a.settings.Registration, a.deps.Registration(a.runner, a.log)},
		{"metrics", a.settings.Metrics, health},
	}
	for _, s := range serve {
		if s.address == "" {
			continue
		}
		listener, err := network.Listen(s.address)
		if err != nil {
			return errors.Wrapf(err, "setting %s: cannot listen on %s", s.setting, s.address)
		}
		server := newServer(s.handler)
		a.servers = append(a.servers, server)
		a.loop.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				a.log.Error("server-ended", zap.String("setting", s.setting), logs.Error(err))
			}
		})
	}
	return nil
}

// watchOwner tracks which entry is the owner, until the loop ends.
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
	if known := a.holder.Load(); known != nil && known.OwnerRevision >= holder.OwnerRevision {
		return
	}
	a.holder.Store(&holder)
	a.log.Info("owner", zap.String("owner", holder.Name), zap.Uint64("epoch", holder.Epoch))
}

// Drain stops the agent. The worker continues to run its tasks under its lease, and the
// next agent takes the worker over. The error reports goroutines that did not end in time.
func (a *JobAgent) Drain() error {
	a.log.Info("stopping")
	a.loop.Stop()
	a.closeServers()
	return a.loop.WaitFor(stopTimeout)
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
