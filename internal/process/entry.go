package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/agent"
	"github.com/apricotwind/apricotwind/internal/budget"
	"github.com/apricotwind/apricotwind/internal/caller"
	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/identity"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/internal/shard"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/apricotwind/apricotwind/pkg/platform/object"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"
)

const (
	// configInterval is the time between two reads of the contract document in the table.
	configInterval = time.Second
	// rowInterval is the time between two writes of the entry's own row.
	rowInterval = 4 * time.Second
	// rowRetryInterval is the time from a failed write of the entry's own row to the next
	// try. It is that of the reads, so that the entry is not ready long before agents
	// can find it.
	rowRetryInterval = time.Second
	// entriesInterval is the time between two reads of the rows of all entries.
	entriesInterval = time.Second
	// entryTimeout is how long another entry's row may stay unchanged before that entry
	// counts as failed. After rowRemovalAge without a change its row is removed.
	entryTimeout  = 12 * time.Second
	rowRemovalAge = 60 * time.Second
	// maxPendingWindows bounds the ledger windows held in memory while the platform is
	// unavailable.
	maxPendingWindows = 1000
)

// EntrySettings configure an Entry.
type EntrySettings struct {
	Name           string
	Domain         string
	Caller         string // listen address for callers
	Operator       string // listen address for operators
	Link           string // listen address for agents
	Platform       string // base URL of the platform
	Shards         int
	Routes         []caller.Route
	MaxBodyBytes   int64
	MaxConnections int // most open connections from callers
	Window         time.Duration
	Sample         int // one of this many request log lines is written
	DrainTimeout   time.Duration
	Identity       *identity.Identity
	Budget         budget.Settings
}

// Entry is the process that callers, operators and agents connect to. It routes
// requests to instances and, for the shards that it owns, places batch tasks. Its
// methods may be called from any goroutine.
type Entry struct {
	settings    EntrySettings
	incarnation string
	log         *zap.Logger
	sampler     *logs.Sampler // for request outcomes
	loop        *loop.Loop
	metrics     *metrics.Registry
	table       *table.Client
	store       *ledger.Store
	gates       *agent.Gates // of the agents
	platform    *http.Client // also calls the operator API of other entries

	// Accessed only on the loop.
	routing        *routing.Router
	links          *agent.Links // from the agents
	shardManager   *shard.Manager
	recorder       *ledger.Recorder
	pendingWindows []ledger.Window // closed, not stored yet
	entries        map[string]*peerEntry
	routingStopped bool

	document       atomic.Pointer[contract.Document]
	draining       atomic.Bool
	sequence       atomic.Uint64
	storeSemaphore chan struct{} // capacity 1: windows are stored one at a time
	failure        failure
	listeners      listeners
	failureLoggers failureLoggers
	servers        []*budget.Server
	budget         *budget.Budget
}

// failureLoggers log the operations that fail while the platform is unavailable.
type failureLoggers struct{ config, evacuations, row, entries, ledger *logs.FailureLogger }

type listeners struct{ caller, operator, link net.Listener }

// peerEntry is an entry as its row in the table shows it. changedAt is when this process
// last saw the row change, by its own clock.
type peerEntry struct {
	row       record.Entry
	revision  uint64
	changedAt time.Time
}

// NewEntry starts an entry. The entry stops at once when ctx is done, or gracefully
// with Drain. The error reports a listener that cannot be opened.
func NewEntry(ctx context.Context, settings EntrySettings, network Network, log *zap.Logger) (*Entry, error) {
	opened, err := openListeners(settings, network)
	if err != nil {
		return nil, err
	}
	platform := network.client(platformTimeout)
	e := &Entry{
		settings: settings, incarnation: newIncarnation(), log: log, sampler: logs.NewSampler(settings.Sample), loop: loop.New(ctx), metrics: metrics.New(),
		table: table.NewOverHTTP(settings.Platform, platform), platform: platform, listeners: opened,
		entries: map[string]*peerEntry{}, storeSemaphore: make(chan struct{}, 1),
		failureLoggers: failureLoggers{
			config:      logs.NewFailureLogger(log, "config-unread"),
			evacuations: logs.NewFailureLogger(log, "evacuations-unread"),
			row:         logs.NewFailureLogger(log, "row-unwritten"),
			entries:     logs.NewFailureLogger(log, "entries-unread"),
			ledger:      logs.NewFailureLogger(log, "ledger-unstored"),
		},
	}
	e.budget = budget.New(settings.Budget, e.metrics, log)
	e.listeners.bound(e.budget)
	e.document.Store(&contract.Document{})
	e.store = ledger.NewStore(e.table, object.NewOverHTTP(settings.Platform, platform))
	e.gates = agent.NewGates(network.Dial, settings.Identity.Client())
	e.start()
	return e, nil
}

func openListeners(settings EntrySettings, network Network) (listeners, error) {
	var opened listeners
	for _, each := range []struct {
		into             *net.Listener
		setting, address string
		connections      int
		secured          bool
	}{
		{&opened.caller, "caller", settings.Caller, settings.MaxConnections, false},
		{&opened.operator, "operator", settings.Operator, 0, false},
		{&opened.link, "link", settings.Link, 0, true},
	} {
		secured := settings.Identity.Server()
		if !each.secured {
			secured = nil
		}
		listener, err := network.listen(each.setting, each.address, secured, each.connections)
		if err != nil {
			opened.close()
			return listeners{}, err
		}
		*each.into = listener
	}
	return opened, nil
}

// bound keeps the listeners within a budget.
func (l *listeners) bound(b *budget.Budget) {
	l.caller = b.Listener(l.caller, budget.Clients)
	l.operator = b.Listener(l.operator, budget.Side)
	l.link = b.Listener(l.link, budget.Links)
}

func (l listeners) close() {
	for _, each := range []net.Listener{l.caller, l.operator, l.link} {
		if each != nil {
			// The process stops for another cause; an error here adds no information.
			_ = each.Close()
		}
	}
}

// start creates the components on the loop, so that none sees another one that is
// not yet complete, and starts the servers.
func (e *Entry) start() {
	seed := uint64(time.Now().UnixNano())
	// An error means that the loop has already ended, so there is nothing to start.
	_ = e.loop.Do(func() {
		e.routing = routing.New(e.settings.Domain, routing.LeastWait, seed)
		e.recorder = ledger.New(time.Now(), e.settings.Name, e.incarnation)
		e.links = agent.NewLinks(e.loop, agent.Hooks{Announced: e.announced, Heartbeat: e.heartbeat, Disconnected: e.disconnected}, e.budget, e.log, e.metrics)
		e.shardManager = shard.New(e.settings.Name, e.incarnation, e.loop, e.table, e.log, shard.Hooks{
			Live:             e.liveEntries,
			Document:         func() contract.Document { return *e.document.Load() },
			Decided:          e.recordDecision,
			RequestHeartbeat: e.links.RequestHeartbeat,
			ObserveCommit:    func(took time.Duration) { e.metrics.Observe("commit", took) },
		})
		e.shardManager.Begin(e.settings.Shards)
	})
	e.metrics.Gauge("shards", func() any { return e.OwnedShards() })
	e.metrics.Gauge("config", func() any { return e.document.Load().Version })
	e.metrics.Gauge("evacuated-domains", func() any { return len(e.evacuations().Domains) })
	e.loop.GoEvery(configInterval, e.readConfig)
	e.loop.GoEvery(configInterval, e.readEvacuations)
	e.loop.Go(e.maintainRow)
	e.loop.GoEvery(entriesInterval, e.readEntries)
	e.loop.Every(e.settings.Window, func() { e.closeWindow(false) })
	e.serveAll()
	e.log.Info("entry-up", zap.String("incarnation", e.incarnation), zap.Stringer("caller", e.listeners.caller.Addr()),
		zap.Stringer("operator", e.listeners.operator.Addr()), zap.Stringer("link", e.listeners.link.Addr()))
}

func (e *Entry) serveAll() {
	handler := caller.New(e.settings.Name, e.callerHooks(), e.gates, e.settings.Routes, e.settings.MaxBodyBytes,
		e.log, logs.NewSampler(e.settings.Sample), e.metrics, e.newID)
	callers := httprouter.New()
	callers.NotFound = handler
	callers.HandleMethodNotAllowed = false
	callers.RedirectTrailingSlash = false
	callers.RedirectFixedPath = false
	e.serve(e.listeners.caller, callers, heldBody)

	operators := httprouter.New()
	addHealthRoutes(operators, e.metrics, e.ready)
	server := operator.NewServer(e.settings.Name, e.operatorHooks(), e.table, e.store, e.log, e.newID, func(base string) *operator.Client {
		return operator.NewClient(base, e.platform)
	})
	server.Routes(operators)
	e.serve(e.listeners.operator, operators, 0)

	e.loop.Go(func() {
		if err := e.links.Serve(e.listeners.link); e.loop.Context().Err() == nil {
			e.fail(err)
		}
	})
	e.loop.Go(func() {
		<-e.loop.Context().Done()
		e.listeners.close()
	})
}

// serve serves requests; held bounds the bytes of a body that the handler holds, 0 means all.
func (e *Entry) serve(listener net.Listener, handler http.Handler, held int64) {
	server := e.budget.Server(handler, held)
	e.servers = append(e.servers, server)
	e.loop.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && e.loop.Context().Err() == nil {
			e.fail(errors.Wrapf(err, "serve on %s", listener.Addr()))
		}
	})
	e.loop.Go(func() {
		<-e.loop.Context().Done()
		// The process ends now, so open connections are closed at once.
		_ = server.Close()
	})
}

func (e *Entry) fail(cause error) {
	e.failure.set(cause)
	e.loop.Stop()
}

// newID returns an ID that is unique across processes and their restarts.
func (e *Entry) newID() string { return fmt.Sprintf("%s-%d", e.incarnation, e.sequence.Add(1)) }

func (e *Entry) ready() error {
	switch {
	case e.draining.Load():
		return errors.New("draining")
	case e.document.Load().Version == 0:
		return errors.New("no configuration has been applied yet")
	}
	return nil
}

// Addresses returns the addresses on which the entry listens for callers, operators
// and links from agents.
func (e *Entry) Addresses() (callers, operators, links string) {
	return e.listeners.caller.Addr().String(), e.listeners.operator.Addr().String(), e.listeners.link.Addr().String()
}

// OwnedShards returns the number of shards that this entry owns.
func (e *Entry) OwnedShards() int {
	owned := 0
	e.runOnLoop(func() { owned = e.shardManager.Owned() })
	return owned
}

// Drain stops the entry gracefully. It releases its shards, removes its row, refuses
// new requests, waits for those in flight, stores the last ledger window and stops the
// process. DrainTimeout bounds the whole. It returns what Wait returns, or an error if
// the entry has already stopped.
func (e *Entry) Drain() error {
	e.draining.Store(true)
	e.log.Info("drain", zap.Duration("bound", e.settings.DrainTimeout))
	bounded, cancel := context.WithTimeout(e.loop.Context(), e.settings.DrainTimeout)
	defer cancel()
	err := e.loop.Do(func() {
		e.routingStopped = true
		e.shardManager.Release()
	})
	if err != nil {
		return err
	}
	e.removeRow(bounded)
	for _, server := range e.servers {
		if err := server.Shutdown(bounded); err != nil {
			e.log.Warn("drain-incomplete", logs.Error(err))
		}
	}
	e.runOnLoop(func() { e.closeWindow(true) })
	if err := e.storeWindows(bounded); err != nil {
		e.log.Warn("ledger-unstored", logs.Error(err))
	}
	e.log.Info("drained")
	e.loop.Stop()
	return e.Wait()
}

// runOnLoop runs f on the loop and waits for it. It skips f if the loop has ended.
func (e *Entry) runOnLoop(f func()) {
	if err := e.loop.Do(f); err != nil {
		e.log.Debug("ended", logs.Error(err))
	}
}

// Kill stops the entry at once, as a crash would, and waits until its loop has ended.
func (e *Entry) Kill() {
	e.loop.Stop()
	e.loop.Wait()
}

// Wait blocks until the entry has stopped. It returns the cause of a failure, or nil
// after an orderly stop.
func (e *Entry) Wait() error {
	e.loop.Wait()
	e.gates.Close()
	e.platform.CloseIdleConnections()
	return e.failure.get()
}
