package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/agent"
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
	// configPeriod is the time between two looks at the document in the table.
	configPeriod = time.Second
	// rowPeriod is the time between two writes of an entry's own row.
	rowPeriod = 4 * time.Second
	// entriesPeriod is the time between two looks at the rows of all entries.
	entriesPeriod = time.Second
	// rowLife is how long another entry's row may stay unchanged before the entry
	// counts as gone; goneLife is when its row is removed.
	rowLife  = 12 * time.Second
	goneLife = 60 * time.Second
	// windowsMost bounds the windows kept while the platform is out.
	windowsMost = 1000
)

// EntrySettings are an entry's settings.
type EntrySettings struct {
	Name           string
	Domain         string
	Caller         string // address towards callers
	Operator       string // address towards operators
	Link           string // address towards agents
	Platform       string // base URL of the platform
	Shards         int
	Routes         []caller.Route
	MaxBodyBytes   int64
	MaxConnections int // most connections of callers at a time
	Window         time.Duration
	Sample         int // one decision line in so many is logged
	DrainTimeout   time.Duration
	Identity       *identity.Identity
}

// Entry is a process that callers, operators and agents reach.
type Entry struct {
	settings    EntrySettings
	incarnation string
	log         *zap.Logger
	sampler     *logs.Sampler // of answers
	loop        *loop.Loop
	metrics     *metrics.Registry
	table       *table.Client
	store       *ledger.Store
	gates       *agent.Gates
	platform    *http.Client // also for the operators' side of other entries

	// Owned by the loop.
	routing *routing.Router
	links   *agent.Links
	keeper  *shard.Manager
	book    *ledger.Recorder
	closed  []ledger.Window // not stored yet
	entries map[string]*otherEntry
	leaving bool

	document  atomic.Pointer[contract.Document]
	draining  atomic.Bool
	attempts  atomic.Uint64
	storing   chan struct{} // holds one token: windows are stored one at a time
	cause     atomic.Pointer[error]
	listeners listeners
	troubles  troubles
	servers   []*http.Server
}

// troubles are what may fail for as long as the platform is out.
type troubles struct{ config, row, entries, ledger *logs.FailureLogger }

type listeners struct{ caller, operator, link net.Listener }

// otherEntry is an entry as seen in the table.
type otherEntry struct {
	row     record.Entry
	version uint64
	since   time.Time
}

// NewEntry starts an entry. It ends with ctx at once, or gracefully with Drain.
func NewEntry(ctx context.Context, settings EntrySettings, network Network, log *zap.Logger) (*Entry, error) {
	opened, err := openListeners(settings, network)
	if err != nil {
		return nil, err
	}
	platform := network.client(platformBound)
	e := &Entry{
		settings: settings, incarnation: newIncarnation(), log: log, sampler: logs.NewSampler(settings.Sample), loop: loop.New(ctx), metrics: metrics.New(),
		table: table.NewOverHTTP(settings.Platform, platform), platform: platform, listeners: opened,
		entries: map[string]*otherEntry{}, storing: make(chan struct{}, 1),
		troubles: troubles{
			config:  logs.NewFailureLogger(log, "config-unread"),
			row:     logs.NewFailureLogger(log, "row-unwritten"),
			entries: logs.NewFailureLogger(log, "entries-unread"),
			ledger:  logs.NewFailureLogger(log, "ledger-unstored"),
		},
	}
	e.document.Store(&contract.Document{})
	e.store = ledger.NewStore(e.table, object.NewOverHTTP(settings.Platform, platform))
	e.gates = agent.NewGates(network.Dial, settings.Identity.Client())
	e.assemble()
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

func (l listeners) close() {
	for _, each := range []net.Listener{l.caller, l.operator, l.link} {
		if each != nil {
			// The process ends for another cause; this one adds nothing.
			_ = each.Close()
		}
	}
}

// assemble makes the parts on the loop, so that none sees another half made.
func (e *Entry) assemble() {
	seed := uint64(time.Now().UnixNano())
	// An error means that the loop has ended already: there is nothing to assemble.
	_ = e.loop.Do(func() {
		e.routing = routing.New(e.settings.Domain, routing.LeastWait, seed)
		e.book = ledger.New(time.Now(), e.settings.Name, e.incarnation)
		e.links = agent.NewLinks(e.loop, agent.Hooks{Announced: e.announced, Heartbeat: e.beat, Disconnected: e.gone}, e.log, e.metrics)
		e.keeper = shard.New(e.settings.Name, e.incarnation, e.loop, e.table, e.log, shard.Hooks{
			Live:             e.live,
			Document:         func() contract.Document { return *e.document.Load() },
			Decided:          e.decided,
			RequestHeartbeat: e.links.RequestHeartbeat,
			ObserveCommit:    func(took time.Duration) { e.metrics.Observe("commit", took) },
		})
		e.keeper.Begin(e.settings.Shards)
	})
	e.metrics.Gauge("shards", func() any { return e.OwnedShards() })
	e.metrics.Gauge("config", func() any { return e.document.Load().Version })
	e.loop.GoEvery(configPeriod, e.watchConfig)
	e.loop.GoEvery(rowPeriod, e.writeRow)
	e.loop.GoEvery(entriesPeriod, e.watchEntries)
	e.loop.Every(e.settings.Window, func() { e.closeWindow(false) })
	e.serveAll()
	e.log.Info("entry-up", zap.String("incarnation", e.incarnation), zap.Stringer("caller", e.listeners.caller.Addr()),
		zap.Stringer("operator", e.listeners.operator.Addr()), zap.Stringer("link", e.listeners.link.Addr()))
}

func (e *Entry) serveAll() {
	handler := caller.New(e.settings.Name, e.callerNode(), e.gates, e.settings.Routes, e.settings.MaxBodyBytes,
		e.log, logs.NewSampler(e.settings.Sample), e.metrics, e.unique)
	callers := httprouter.New()
	callers.NotFound = handler
	callers.HandleMethodNotAllowed = false
	callers.RedirectTrailingSlash = false
	callers.RedirectFixedPath = false
	e.serve(e.listeners.caller, callers)

	operators := httprouter.New()
	addHealth(operators, e.metrics, e.ready)
	server := operator.NewServer(e.settings.Name, e.operatorNode(), e.table, e.store, e.log, e.unique, func(base string) *operator.Client {
		return operator.NewClient(base, e.platform)
	})
	server.Routes(operators)
	e.serve(e.listeners.operator, operators)

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

func (e *Entry) serve(listener net.Listener, handler http.Handler) {
	server := newServer(handler)
	e.servers = append(e.servers, server)
	e.loop.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && e.loop.Context().Err() == nil {
			e.fail(errors.Wrapf(err, "serve on %s", listener.Addr()))
		}
	})
	e.loop.Go(func() {
		<-e.loop.Context().Done()
		// The process ends now; what is open is cut.
		_ = server.Close()
	})
}

func (e *Entry) fail(cause error) {
	e.cause.CompareAndSwap(nil, &cause)
	e.loop.Stop()
}

// unique makes an id that no other process and no earlier run makes.
func (e *Entry) unique() string { return fmt.Sprintf("%s-%d", e.incarnation, e.attempts.Add(1)) }

func (e *Entry) ready() error {
	switch {
	case e.draining.Load():
		return errors.New("draining")
	case e.document.Load().Version == 0:
		return errors.New("no configuration is in force yet")
	}
	return nil
}

// Addresses are where the entry listens.
func (e *Entry) Addresses() (callers, operators, links string) {
	return e.listeners.caller.Addr().String(), e.listeners.operator.Addr().String(), e.listeners.link.Addr().String()
}

// OwnedShards is the number of shards that this entry owns.
func (e *Entry) OwnedShards() int {
	owned := 0
	e.loopDo(func() { owned = e.keeper.Owned() })
	return owned
}

// Drain leaves gracefully: it gives up its shards and its row, refuses new
// requests, lets those in flight end, stores the last window, and ends.
func (e *Entry) Drain() error {
	e.draining.Store(true)
	e.log.Info("drain", zap.Duration("bound", e.settings.DrainTimeout))
	bounded, cancel := context.WithTimeout(e.loop.Context(), e.settings.DrainTimeout)
	defer cancel()
	err := e.loop.Do(func() {
		e.leaving = true
		e.keeper.Release()
	})
	if err != nil {
		return err
	}
	e.removeRow(bounded)
	for _, server := range e.servers {
		if err := server.Shutdown(bounded); err != nil {
			e.log.Warn("drain-cut", logs.Error(err))
		}
	}
	e.loopDo(func() { e.closeWindow(true) })
	if err := e.storeWindows(bounded); err != nil {
		e.log.Warn("ledger-unstored", logs.Error(err))
	}
	e.log.Info("drained")
	e.loop.Stop()
	return e.Wait()
}

// loopDo runs f on the loop; after the loop's end there is nothing left to do.
func (e *Entry) loopDo(f func()) {
	if err := e.loop.Do(f); err != nil {
		e.log.Debug("ended", logs.Error(err))
	}
}

// Kill ends the process at once, as a crash would.
func (e *Entry) Kill() {
	e.loop.Stop()
	e.loop.Wait()
}

// Wait waits for the end of the process and returns its cause, nil for an orderly one.
func (e *Entry) Wait() error {
	e.loop.Wait()
	e.gates.Close()
	e.platform.CloseIdleConnections()
	if cause := e.cause.Load(); cause != nil {
		return *cause
	}
	return nil
}
