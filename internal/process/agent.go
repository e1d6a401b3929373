package process

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/admission"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/entry"
	"github.com/apricotwind/apricotwind/internal/identity"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/internal/upstream"
	"github.com/apricotwind/apricotwind/internal/worker"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/apricotwind/apricotwind/pkg/platform/object"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"
)

const (
	// throttlePeriod is the time between two looks at the tails of services.
	throttlePeriod = 250 * time.Millisecond
	// platformBound is how long one call of the platform may take.
	platformBound = 2 * time.Second
	// workerBound is how long one call of the worker may take.
	workerBound = 2 * time.Second
	// farewellBound is how long an agent without tasks waits for the owner's answer
	// to its leaving.
	farewellBound = 3 * time.Second
	// drainPoll is how often a draining process looks whether it is empty.
	drainPoll = 20 * time.Millisecond
)

// AgentSettings are an agent's settings.
type AgentSettings struct {
	Name         string
	Domain       string
	Rack         string
	Gate         string // address where entries send requests
	Metrics      string // address of metrics and health pages
	Upstream     string // base URL of the instance
	Platform     string // base URL of the platform
	Entries      []string
	Capacity     link.Capacity
	DrainTimeout time.Duration // longest wait for work to leave at shutdown
	Identity     *identity.Identity
}

// Agent is the process beside one upstream instance.
type Agent struct {
	settings    AgentSettings
	incarnation string
	network     Network
	log         *zap.Logger
	loop        *loop.Loop
	metrics     *metrics.Registry
	table       *table.Client
	http        *http.Client
	upstream    *upstream.Client

	// Owned by the loop.
	admission *admission.Controller
	gate      *entry.Gate
	links     *entry.Links
	tasks     *worker.Tasks
	throttle  *interference.Throttle
	config    contract.Document
	sequence  uint64
	leaving   bool
	farewell  bool // the owner knows that it is leaving and holds no task

	gateListener net.Listener
	opsListener  net.Listener
	servers      []*http.Server
	leavingNow   atomic.Bool
	cause        atomic.Pointer[error]
}

// NewAgent starts an agent. It ends with ctx at once, or gracefully with Drain.
func NewAgent(ctx context.Context, settings AgentSettings, network Network, log *zap.Logger) (*Agent, error) {
	gateListener, err := network.listen("gate", settings.Gate, settings.Identity.Server(), 0)
	if err != nil {
		return nil, err
	}
	opsListener, err := network.listen("ops", settings.Metrics, nil, 0)
	if err != nil {
		return nil, errors.CombineErrors(err, gateListener.Close())
	}
	up, err := upstream.New(settings.Upstream, settings.Capacity.MaxInFlight, upstream.Dial(network.Dial))
	if err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(gateListener.Close(), opsListener.Close()))
	}
	a := &Agent{
		settings: settings, incarnation: newIncarnation(), network: network, log: log,
		loop: loop.New(ctx), metrics: metrics.New(), http: network.client(workerBound), upstream: up,
		throttle: interference.New(), gateListener: gateListener, opsListener: opsListener,
	}
	a.table = table.NewOverHTTP(settings.Platform, network.client(platformBound))
	a.assemble()
	return a, nil
}

// assemble makes the parts on the loop, so that none sees another half made.
func (a *Agent) assemble() {
	limits := admission.Limits{Slots: a.settings.Capacity.Slots, MaxInFlight: a.settings.Capacity.MaxInFlight}
	a.admission = admission.New(a.incarnation, limits)
	a.gate = entry.NewGate(a.settings.Name, a.loop, a.admission, a.upstream, a.log, a.metrics, a.observe)
	store := object.NewOverHTTP(a.settings.Platform, a.network.client(platformBound))
	client := worker.NewClient(worker.NewTransport(a.settings.Upstream, a.http), a.incarnation)
	// An error means that the loop has ended already: there is nothing to assemble.
	_ = a.loop.Do(func() {
		a.tasks = worker.NewTasks(a.loop, client, store, a.log, a.settings.Capacity.Resources(), a.news, a.superseded)
		a.links = entry.NewLinks(a.loop, a.node(), a.dial, a.log, a.metrics)
	})
	a.loop.Every(throttlePeriod, a.tick)
	a.serve(a.gateListener, a.gate)
	router := httprouter.New()
	addHealth(router, a.metrics, a.ready)
	a.serve(a.opsListener, router)
	a.log.Info("agent-up", zap.String("instance", a.settings.Name), zap.String("incarnation", a.incarnation),
		zap.Stringer("gate", a.gateListener.Addr()), zap.Stringer("ops", a.opsListener.Addr()))
}

func (a *Agent) serve(listener net.Listener, handler http.Handler) {
	server := newServer(handler)
	a.servers = append(a.servers, server)
	a.loop.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.fail(errors.Wrapf(err, "serve on %s", listener.Addr()))
		}
	})
	a.loop.Go(func() {
		<-a.loop.Context().Done()
		// The process ends now; what is open is cut.
		_ = server.Close()
	})
}

// fail ends the process for a cause.
func (a *Agent) fail(cause error) {
	a.cause.CompareAndSwap(nil, &cause)
	a.loop.Stop()
}

func (a *Agent) superseded() {
	a.log.Error("superseded", zap.String("why", "another agent took the worker of this instance"))
	a.fail(errors.Newf("another agent took the worker at %s", a.settings.Upstream))
}

func (a *Agent) node() entry.Hooks {
	return entry.Hooks{
		Announce:    a.announce,
		Heartbeat:   a.beat,
		Granted:     a.granted,
		ApplyConfig: a.adopt,
		Revoke: func(attempt string) link.RevokeReply {
			return link.RevokeReply{Incarnation: a.incarnation, State: a.gate.Revoke(attempt).String()}
		},
		Seeds: a.seeds,
	}
}

func (a *Agent) dial(ctx context.Context, address string) (net.Conn, error) {
	return secure(ctx, a.network, a.settings.Identity, address)
}

// seeds names the entries to begin with: those of the settings, or else those
// that have a row in the table. Once linked, entries name each other.
func (a *Agent) seeds(ctx context.Context) []link.Peer {
	var found []link.Peer
	for _, address := range a.settings.Entries {
		found = append(found, link.Peer{Link: address})
	}
	if len(found) > 0 {
		return found
	}
	peers, err := record.Entries(ctx, a.table)
	if err != nil {
		a.log.Warn("entries-unknown", logs.Error(err))
	}
	return peers
}

func (a *Agent) announce() link.Announce {
	return link.Announce{
		Instance:    a.settings.Name,
		Incarnation: a.incarnation,
		Domain:      a.settings.Domain,
		Rack:        a.settings.Rack,
		GateAddress: a.gateListener.Addr().String(),
		Capacity:    a.settings.Capacity,
		Config:      link.Config{Version: a.config.Version, Text: a.config.Text()},
		Draining:    a.leaving,
	}
}

func (a *Agent) beat(full bool) link.Heartbeat {
	a.sequence++
	beat := link.Heartbeat{
		Sequence: a.sequence,
		Busy:     a.admission.Busy(),
		Queued:   a.admission.Queued(),
		Draining: a.leaving,
		Config:   a.config.Version,
	}
	if full {
		beat.WorkerIncarnation = a.tasks.Incarnation()
		beat.Epoch = a.tasks.Epoch()
		beat.Session = a.tasks.Session()
		beat.Held = a.tasks.Held()
	}
	return beat
}

// granted takes the owner's answer to a full beat. After the answer to one that
// said leaving and listed nothing, the owner places nothing here any more.
func (a *Agent) granted(beat link.Heartbeat, sent time.Time, reply placement.Reply) {
	a.tasks.ApplyReply(sent, beat.Held, reply)
	a.farewell = a.farewell || beat.Draining && len(beat.Held) == 0 && reply.TTL > 0
}

func (a *Agent) news() {
	if a.links != nil {
		a.links.HeartbeatAll()
	}
}

// adopt takes a configuration if it is higher than the one in force here.
func (a *Agent) adopt(offered link.Config) {
	if offered.Version <= a.config.Version || offered.Text == "" {
		return
	}
	document, err := contract.Parse([]byte(offered.Text))
	if err != nil {
		a.log.Error("config-refused", zap.Uint64("version", offered.Version), logs.Error(err))
		return
	}
	document.Version = offered.Version
	a.config = document
	targets := map[string]interference.Target{}
	for _, class := range document.Classes {
		if class.Kind == contract.Service {
			targets[class.Name] = interference.Target{Quantile: class.Quantile, Latency: class.Latency}
		}
	}
	a.throttle.SetTargets(targets)
	a.log.Info("config-in-force", zap.Uint64("version", document.Version))
	a.news()
}

func (a *Agent) observe(class string, took time.Duration) {
	a.throttle.Observe(time.Now(), class, took)
}

// tick lets the fast loop decide and applies its share to the batch tasks.
func (a *Agent) tick() {
	decision, changed := a.throttle.Tick(time.Now())
	if changed {
		a.metrics.Add("throttle-changed", 1)
		a.log.Info("throttle", zap.Float64("share", decision.Share), zap.String("class", decision.Class),
			zap.Duration("tail", decision.Tail), zap.Duration("owed", decision.Target))
	}
	a.tasks.Throttle(a.throttle.Share())
}

func (a *Agent) ready() error {
	if a.leavingNow.Load() {
		return errors.New("leaving")
	}
	if a.links.OpenCount() == 0 {
		return errors.New("no link to an entry")
	}
	return nil
}

// GateAddress is where entries send requests.
func (a *Agent) GateAddress() string { return a.gateListener.Addr().String() }

// Drain leaves gracefully: it announces the leaving, refuses what is new, lets
// what runs end or checkpoint, and then ends the process.
func (a *Agent) Drain() error {
	a.leavingNow.Store(true)
	a.log.Info("drain", zap.Duration("bound", a.settings.DrainTimeout))
	err := a.loop.Do(func() {
		a.leaving = true
		a.admission.Drain()
		a.news()
	})
	if err != nil {
		return err
	}
	begun := time.Now()
	for !a.empty(begun) && time.Since(begun) < a.settings.DrainTimeout {
		loop.Sleep(a.loop.Context(), drainPoll)
	}
	a.log.Info("drained", zap.Bool("empty", a.empty(begun)))
	bounded, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, server := range a.servers {
		// What does not end in time is cut by Stop below.
		_ = server.Shutdown(bounded)
	}
	a.loop.Stop()
	return a.Wait()
}

// empty tells whether nothing is left here, and the owner knows, or has not been
// heard for farewellBound since the drain began.
func (a *Agent) empty(begun time.Time) bool {
	empty := false
	err := a.loop.Do(func() {
		parted := a.farewell || time.Since(begun) > farewellBound
		empty = parted && a.admission.Busy() == 0 && a.admission.Queued() == 0 && !a.tasks.Unreported()
	})
	return err != nil || empty
}

// Kill ends the process at once, as a crash would.
func (a *Agent) Kill() {
	a.loop.Stop()
	a.loop.Wait()
}

// Wait waits for the end of the process and returns its cause, nil for an orderly one.
func (a *Agent) Wait() error {
	a.loop.Wait()
	a.upstream.Close()
	a.http.CloseIdleConnections()
	if cause := a.cause.Load(); cause != nil {
		return *cause
	}
	return nil
}
