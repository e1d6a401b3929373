package process

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

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
	// storeFresh is how old the last answer of the table may be while the entry is ready.
	storeFresh = 1500 * time.Millisecond
	// spreadTime is how long an entry that is told to go still takes connections, until
	// whoever spreads them has seen that it is not ready.
	spreadTime = 2500 * time.Millisecond
	// finishTime is how long requests under way may take after that.
	finishTime = 2500 * time.Millisecond
)

// QueueEntrySettings are the settings of an entry that takes jobs with steps.
type QueueEntrySettings struct {
	Name, Domain              string
	API, Ready, Link, Metrics string        // addresses, host:port
	Retention                 time.Duration // how long a finished job's state is kept
	Processors                float64       // share of a core that the process may use; 0: unknown
}

// QueueEntryDeps are the sides of an entry that depend on who is spoken to.
type QueueEntryDeps struct {
	Store *table.Store
	// API makes the handler for those who hand in jobs.
	API func(desk *submission.Service, routes *submission.ActiveRoutes, draining func() bool, log *zap.Logger) http.Handler
	// Ready makes the handler for whoever spreads connections over the entries; ready
	// returns why this one should get none now.
	Ready func(ready func() error) http.Handler
	// WatchConfiguration adopts each version of the routes until ctx ends.
	WatchConfiguration func(ctx context.Context, routes *submission.ActiveRoutes)
}

// QueueEntry is the process that takes jobs with steps and may own the shard.
type QueueEntry struct {
	settings QueueEntrySettings
	parts    QueueEntryDeps
	network  Network
	log      *zap.Logger
	set      *metrics.Registry
	loop     *loop.Loop
	seat     *owner.Elector
	line     *owner.Client
	routes   submission.ActiveRoutes
	servers  []*http.Server
	desk     *submission.Service
	health   *table.Health
	draining atomic.Bool
}

// NewQueueEntry starts an entry.
func NewQueueEntry(ctx context.Context, settings QueueEntrySettings, parts QueueEntryDeps, network Network, log *zap.Logger) (*QueueEntry, error) {
	e := &QueueEntry{settings: settings, network: network, log: log, set: metrics.New(), loop: loop.New(ctx)}
	parts.Store, e.health = table.WithHealth(parts.Store)
	e.parts = parts
	e.line = owner.NewClient(e.dial, e.loop, log, e.set)
	self := submission.Member{Name: settings.Name, Address: settings.Link, Processors: settings.Processors}
	peers := submission.NewPeers(self, parts.Store, e.dial, e.loop, log, e.set)
	e.seat = owner.New(owner.Settings{
		Name: settings.Name, Address: settings.Link, Retention: settings.Retention, Outranked: peers.Outranked,
	}, parts.Store, e.health, e.loop, log, e.set, steadyUnix(), e.line.SetHolder)
	e.desk = submission.New(parts.Store, e.health, e.line, peers, e.set)
	if err := e.listen(); err != nil {
		e.loop.Stop()
		return nil, err
	}
	e.line.Start(e.seat)
	peers.Run()
	e.seat.Run()
	e.loop.Go(func() { parts.WatchConfiguration(e.loop.Context(), &e.routes) })
	log.Info("started", zap.String("front", settings.API), zap.String("link", settings.Link), zap.String("domain", settings.Domain))
	return e, nil
}

// steadyUnix is the time of day in ms that goes on from now by the steady clock, so that
// a jump of the time of day does not show.
func steadyUnix() func() int64 {
	began := time.Now()
	unix := began.UnixMilli()
	return func() int64 { return unix + time.Since(began).Milliseconds() }
}

func (e *QueueEntry) dial(ctx context.Context, address string) (net.Conn, error) {
	return e.network.Dial(ctx, "tcp", address)
}

// ready tells why the entry should get no connections now.
func (e *QueueEntry) ready() error {
	switch {
	case e.draining.Load():
		return errors.New("draining")
	case e.routes.Get() == nil:
		return errors.New("no configuration yet")
	case e.health.Age() > storeFresh:
		return errors.New("the table does not answer")
	}
	return nil
}

func (e *QueueEntry) listen() error {
	health := httprouter.New()
	addHealth(health, e.set, e.ready)
	serve := []struct {
		setting, address string
		handler          http.Handler
	}{
		{"front", e.settings.API, e.parts.API(e.desk, &e.routes, e.draining.Load, e.log)},
		{"ready", e.settings.Ready, e.parts.Ready(e.ready)},
		{"metrics", e.settings.Metrics, health},
	}
	for _, s := range serve {
		if s.address == "" {
			continue
		}
		listener, err := e.network.Listen(s.address)
		if err != nil {
			return errors.Wrapf(err, "setting %s: cannot listen on %s", s.setting, s.address)
		}
		server := newServer(s.handler)
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
	e.loop.Go(func() { e.serveLinks(links) })
	return nil
}

// serveLinks takes links of agents and other entries.
func (e *QueueEntry) serveLinks(listener net.Listener) {
	e.loop.Go(func() {
		<-e.loop.Context().Done()
		// The loop is over; there is nobody to tell.
		_ = listener.Close()
	})
	for e.loop.Context().Err() == nil {
		stream, err := listener.Accept()
		if err != nil {
			loop.Sleep(e.loop.Context(), 10*time.Millisecond)
			continue
		}
		peer := owner.NewConn()
		bound := make(chan struct{})
		peer.Bind(link.New(e.loop.Context(), stream, stream.RemoteAddr().String(), e.set, func(ctx context.Context, method string, params json.RawMessage) (any, error) {
			<-bound
			if result, ok, err := e.desk.Serve(ctx, method, params); ok {
				return result, err
			}
			result, ok, err := e.seat.Serve(ctx, peer, method, params)
			if !ok {
				return nil, link.ErrMethod(method)
			}
			return result, err
		}))
		close(bound)
	}
}

// Drain hands the ownership over, waits until no connections are sent here any more,
// lets requests end and stops.
func (e *QueueEntry) Drain() error {
	began := time.Now()
	e.log.Info("draining")
	e.draining.Store(true)
	bounded, cancel := context.WithTimeout(e.loop.Context(), spreadTime)
	defer cancel()
	e.seat.Resign(bounded)
	<-bounded.Done()
	finish, stop := context.WithTimeout(context.Background(), finishTime)
	defer stop()
	var failed error
	for _, server := range e.servers {
		failed = errors.CombineErrors(failed, server.Shutdown(finish))
	}
	e.loop.Stop()
	e.loop.Wait()
	e.log.Info("stopped", zap.Duration("took", time.Since(began)), logs.Error(failed))
	return failed
}

// Wait waits until the entry has ended by itself.
func (e *QueueEntry) Wait() error {
	<-e.loop.Context().Done()
	for _, server := range e.servers {
		// The process is over; connections end with it.
		_ = server.Close()
	}
	e.loop.Wait()
	return nil
}
