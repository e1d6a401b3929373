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
	// followWait is how long the table waits for a change of the owner.
	followWait = 10 * time.Second
	// followBound is how much longer its answer may take.
	followBound = 1500 * time.Millisecond
	// followPause is the wait after the table did not answer.
	followPause = 200 * time.Millisecond
)

// QueueAgentSettings are the settings of an agent for jobs with steps.
type QueueAgentSettings struct {
	Name                  string
	Registration, Metrics string // addresses, host:port
}

// QueueAgentDeps are the sides of an agent that depend on who is spoken to.
type QueueAgentDeps struct {
	Store  *table.Store
	Worker runner.Worker
	// Registration makes the handler for what the worker says of itself.
	Registration func(r *runner.Runner, log *zap.Logger) http.Handler
}

// QueueAgent is the process beside one worker.
type QueueAgent struct {
	settings QueueAgentSettings
	parts    QueueAgentDeps
	log      *zap.Logger
	set      *metrics.Registry
	loop     *loop.Loop
	runner   *runner.Runner
	holder   atomic.Pointer[owner.Holder]
	servers  []*http.Server
}

// NewQueueAgent starts an agent.
func NewQueueAgent(ctx context.Context, settings QueueAgentSettings, parts QueueAgentDeps, network Network, log *zap.Logger) (*QueueAgent, error) {
	a := &QueueAgent{settings: settings, parts: parts, log: log, set: metrics.New(), loop: loop.New(ctx)}
	a.runner = runner.New(runner.Settings{Name: settings.Name, AgentIncarnation: newIncarnation()}, parts.Worker, a.loop, log, a.set)
	if err := a.listen(network); err != nil {
		a.loop.Stop()
		return nil, err
	}
	a.runner.Run()
	a.loop.Go(a.follow)
	dial := func(ctx context.Context, address string) (net.Conn, error) { return network.Dial(ctx, "tcp", address) }
	a.runner.RunSession(dial, func() string {
		if holder := a.holder.Load(); holder != nil && holder.Name != "" {
			return holder.Address
		}
		return ""
	})
	log.Info("started", zap.String("control", settings.Registration))
	return a, nil
}

func (a *QueueAgent) listen(network Network) error {
	health := httprouter.New()
	addHealth(health, a.set, func() error { return nil })
	serve := []struct {
		setting, address string
		handler          http.Handler
	}{
		{"control", a.settings.Registration, a.parts.Registration(a.runner, a.log)},
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

// follow keeps up with who owns the shard.
func (a *QueueAgent) follow() {
	ctx := a.loop.Context()
	trouble := logs.NewFailureLogger(a.log, "follow-owner-failed")
	var after uint64
	for ctx.Err() == nil {
		rows, version, err := a.followOnce(ctx, after)
		trouble.Note(err)
		if err != nil {
			after = 0
			loop.Sleep(ctx, followPause)
			continue
		}
		after = version
		for _, row := range rows {
			a.sawHolder(row)
		}
	}
}

// followOnce reads the owner's row, or waits for its next change after a version.
func (a *QueueAgent) followOnce(ctx context.Context, after uint64) ([]table.Record, uint64, error) {
	if after == 0 {
		bounded, cancel := context.WithTimeout(ctx, followBound)
		defer cancel()
		return a.parts.Store.Read(bounded, owner.RowRange())
	}
	bounded, cancel := context.WithTimeout(ctx, followWait+followBound)
	defer cancel()
	feed, err := a.parts.Store.Watch(bounded, owner.TableName, after, followWait)
	return feed.Rows, feed.Revision, err
}

func (a *QueueAgent) sawHolder(row table.Record) {
	holder, err := owner.ReadHolder(row)
	if err != nil {
		a.log.Warn("row-ignored", logs.Error(err))
		return
	}
	if known := a.holder.Load(); known != nil && known.OwnerVersion >= holder.OwnerVersion {
		return
	}
	a.holder.Store(&holder)
	a.log.Info("owner", zap.String("owner", holder.Name), zap.Uint64("epoch", holder.Epoch))
}

// Drain ends the agent. The worker goes on under its lease, and the agent that comes
// next takes it over.
func (a *QueueAgent) Drain() error {
	a.log.Info("stopping")
	a.loop.Stop()
	return a.Wait()
}

// Wait waits until the agent has ended.
func (a *QueueAgent) Wait() error {
	<-a.loop.Context().Done()
	for _, server := range a.servers {
		// The process is over; connections end with it.
		_ = server.Close()
	}
	a.loop.Wait()
	return nil
}
