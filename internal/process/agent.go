package process

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/budget"
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
	// throttleInterval is the time between two evaluations of the tail latencies of services.
	throttleInterval = 250 * time.Millisecond
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// workerTimeout bounds one call to the worker.
	workerTimeout = 2 * time.Second
	// drainAckTimeout is the time from the start of a drain after which the agent no
	// longer waits for the owner to acknowledge the drain.
	drainAckTimeout = 3 * time.Second
	// drainPollInterval is how often a draining agent checks whether its work has ended.
	drainPollInterval = 20 * time.Millisecond
)

// AgentSettings configure an Agent.
type AgentSettings struct {
	Name         string   // of the instance
	Domain       string   // failure domain of the machine
	Rack         string   // rack of the machine
	Gate         string   // listen address for the requests that entries forward
	Metrics      string   // listen address for metrics and health checks
	Upstream     string   // base URL of the instance
	Platform     string   // base URL of the platform
	Entries      []string // link addresses to connect to first; empty: read from the table
	Capacity     link.Capacity
	DrainTimeout time.Duration // how long Drain waits for running work
	Identity     *identity.Identity
	Budget       budget.Settings
}

// Agent is the process that runs beside one upstream instance. It forwards requests
// to the instance, runs batch tasks on its worker and reports to the entries. Its
// methods may be called from any goroutine.
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

	// Accessed only on the loop.
	admission  *admission.Controller
	gate       *entry.Gate  // receives requests from entries
	links      *entry.Links // to the entries
	tasks      *worker.Tasks
	throttle   *interference.Throttle
	config     contract.Document
	sequence   uint64
	draining   bool
	drainAcked bool // the owner has acknowledged that this agent drains and holds no task

	gateListener    net.Listener
	metricsListener net.Listener
	servers         []*budget.Server
	budget          *budget.Budget
	drainRequested  atomic.Bool
	failure         failure
}

// NewAgent starts an agent. The agent stops at once when ctx is done, or gracefully
// with Drain. The error reports a listener that cannot be opened or a bad upstream URL.
func NewAgent(ctx context.Context, settings AgentSettings, network Network, log *zap.Logger) (*Agent, error) {
	gateListener, err := network.listen("gate", settings.Gate, settings.Identity.Server(), 0)
	if err != nil {
		return nil, err
	}
	metricsListener, err := network.listen("ops", settings.Metrics, nil, 0)
	if err != nil {
		return nil, errors.CombineErrors(err, gateListener.Close())
	}
	up, err := upstream.New(settings.Upstream, settings.Capacity.MaxInFlight, upstream.Dial(network.Dial))
	if err != nil {
		return nil, errors.CombineErrors(err, errors.CombineErrors(gateListener.Close(), metricsListener.Close()))
	}
	a := &Agent{
		settings: settings, incarnation: newIncarnation(), network: network, log: log,
		loop: loop.New(ctx), metrics: metrics.New(), http: network.client(workerTimeout), upstream: up,
		throttle: interference.NewThrottle(), gateListener: gateListener, metricsListener: metricsListener,
	}
	a.budget = budget.New(settings.Budget, a.metrics, log)
	a.gateListener = a.budget.Listener(gateListener, budget.Clients)
	a.metricsListener = a.budget.Listener(metricsListener, budget.Side)
	a.table = table.NewOverHTTP(settings.Platform, network.client(platformTimeout))
	a.start()
	return a, nil
}

// start creates the components on the loop, so that none sees another one that is
// not yet complete, and starts the servers.
func (a *Agent) start() {
	limits := admission.Limits{Slots: a.settings.Capacity.Slots, MaxInFlight: a.settings.Capacity.MaxInFlight}
	a.admission = admission.New(a.incarnation, limits)
	a.gate = entry.NewGate(a.settings.Name, a.loop, a.admission, a.upstream, a.log, a.metrics, a.observeLatency)
	store := object.NewOverHTTP(a.settings.Platform, a.network.client(platformTimeout))
	client := worker.NewClient(worker.NewTransport(a.settings.Upstream, a.http), a.incarnation)
	// An error means that the loop has already ended, so there is nothing to start.
	_ = a.loop.Do(func() {
		a.tasks = worker.NewTasks(a.loop, client, store, a.log, a.settings.Capacity.Resources(), a.sendHeartbeats, a.superseded)
		a.links = entry.NewLinks(a.loop, a.hooks(), a.dial, a.log, a.metrics)
	})
	a.loop.Every(throttleInterval, a.updateThrottle)
	a.serve(a.gateListener, a.gate, heldBody)
	router := httprouter.New()
	addHealthRoutes(router, a.metrics, a.ready)
	a.serve(a.metricsListener, router, 0)
	a.log.Info("agent-up", zap.String("instance", a.settings.Name), zap.String("incarnation", a.incarnation),
		zap.Stringer("gate", a.gateListener.Addr()), zap.Stringer("ops", a.metricsListener.Addr()))
}

// serve serves requests; held bounds the bytes of a body that the handler holds, 0 means all.
func (a *Agent) serve(listener net.Listener, handler http.Handler, held int64) {
	server := a.budget.Server(handler, held)
	a.servers = append(a.servers, server)
	a.loop.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			a.fail(errors.Wrapf(err, "serve on %s", listener.Addr()))
		}
	})
	a.loop.Go(func() {
		<-a.loop.Context().Done()
		// The process ends now, so open connections are closed at once.
		_ = server.Close()
	})
}

// fail stops the process; Wait returns the first cause that was given.
func (a *Agent) fail(cause error) {
	a.failure.set(cause)
	a.loop.Stop()
}

func (a *Agent) superseded() {
	a.log.Error("superseded", zap.String("why", "another agent took the worker of this instance"))
	a.fail(errors.Newf("another agent took the worker at %s", a.settings.Upstream))
}

func (a *Agent) hooks() entry.Hooks {
	return entry.Hooks{
		Announce:    a.announce,
		Heartbeat:   a.heartbeat,
		Granted:     a.granted,
		ApplyConfig: a.applyConfig,
		Revoke: func(attempt string) link.RevokeReply {
			return link.RevokeReply{Incarnation: a.incarnation, State: a.gate.Revoke(attempt).String()}
		},
		Seeds: a.seedEntries,
	}
}

func (a *Agent) dial(ctx context.Context, address string) (net.Conn, error) {
	return dialPeer(ctx, a.network, a.settings.Identity, address)
}

// seedEntries returns the entries to connect to first: those of the settings or,
// if the settings name none, those with a row in the table. A linked entry sends the
// addresses of the others.
func (a *Agent) seedEntries(ctx context.Context) []link.Peer {
	var found []link.Peer
	for _, address := range a.settings.Entries {
		found = append(found, link.Peer{LinkAddress: address})
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
		Draining:    a.draining,
	}
}

func (a *Agent) heartbeat(forOwner bool) link.Heartbeat {
	a.sequence++
	heartbeat := link.Heartbeat{
		Sequence: a.sequence,
		Busy:     a.admission.Busy(),
		Queued:   a.admission.Queued(),
		Draining: a.draining,
		Config:   a.config.Version,
	}
	if forOwner {
		heartbeat.WorkerIncarnation = a.tasks.Incarnation()
		heartbeat.Epoch = a.tasks.Epoch()
		heartbeat.Session = a.tasks.Session()
		heartbeat.Held = a.tasks.Held()
	}
	return heartbeat
}

// granted applies the owner's reply to a heartbeat for the owner. Once the owner has replied
// to a heartbeat that reported draining and listed no task, it places no more tasks
// on this instance.
func (a *Agent) granted(heartbeat link.Heartbeat, sent time.Time, reply placement.Reply) {
	a.tasks.ApplyReply(sent, heartbeat.Held, reply)
	a.drainAcked = a.drainAcked || heartbeat.Draining && len(heartbeat.Held) == 0 && reply.TTL > 0
}

func (a *Agent) sendHeartbeats() {
	if a.links != nil {
		a.links.HeartbeatAll()
	}
}

// applyConfig applies a configuration if its version is higher than the current one.
func (a *Agent) applyConfig(offered link.Config) {
	if offered.Version <= a.config.Version || offered.Text == "" {
		return
	}
	document, err := contract.Parse([]byte(offered.Text))
	if err != nil {
		a.log.Error("config-rejected", zap.Uint64("version", offered.Version), logs.Error(err))
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
	a.sendHeartbeats()
}

func (a *Agent) observeLatency(class string, took time.Duration) {
	a.throttle.Observe(time.Now(), class, took)
}

// updateThrottle evaluates the throttle and applies its processor share to the
// batch tasks.
func (a *Agent) updateThrottle() {
	decision, changed := a.throttle.Tick(time.Now())
	if changed {
		a.metrics.Add("throttle-changed", 1)
		a.log.Info("throttle", zap.Float64("share", decision.Share), zap.String("class", decision.Class),
			zap.Duration("tail", decision.Tail), zap.Duration("owed", decision.Target))
	}
	a.tasks.Throttle(a.throttle.Share())
}

func (a *Agent) ready() error {
	if a.drainRequested.Load() {
		return errors.New("leaving")
	}
	if a.links.OpenCount() == 0 {
		return errors.New("no link to an entry")
	}
	return nil
}

// GateAddress returns the address to which entries forward requests.
func (a *Agent) GateAddress() string { return a.gateListener.Addr().String() }

// Drain stops the agent gracefully. It announces the drain, refuses new requests and
// tasks, waits up to DrainTimeout for running work to end or checkpoint, and stops the
// process. It returns what Wait returns, or an error if the agent has already stopped.
func (a *Agent) Drain() error {
	a.drainRequested.Store(true)
	a.log.Info("drain", zap.Duration("bound", a.settings.DrainTimeout))
	err := a.loop.Do(func() {
		a.draining = true
		a.admission.Drain()
		a.sendHeartbeats()
	})
	if err != nil {
		return err
	}
	began := time.Now()
	for !a.idle(began) && time.Since(began) < a.settings.DrainTimeout {
		loop.Sleep(a.loop.Context(), drainPollInterval)
	}
	a.log.Info("drained", zap.Bool("empty", a.idle(began)))
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, server := range a.servers {
		// Stop below closes the connections that do not end in time.
		_ = server.Shutdown(shutdownCtx)
	}
	a.loop.Stop()
	return a.Wait()
}

// idle reports whether no request or task is left and the owner has acknowledged
// the drain. After drainAckTimeout since the drain began it no longer requires the
// owner's acknowledgment.
func (a *Agent) idle(began time.Time) bool {
	idle := false
	err := a.loop.Do(func() {
		released := a.drainAcked || time.Since(began) > drainAckTimeout
		idle = released && a.admission.Busy() == 0 && a.admission.Queued() == 0 && !a.tasks.HoldsTasks()
	})
	return err != nil || idle
}

// Kill stops the agent at once, as a crash would, and waits until its loop has ended.
func (a *Agent) Kill() {
	a.loop.Stop()
	a.loop.Wait()
}

// Wait blocks until the agent has stopped. It returns the cause of a failure, or nil
// after an orderly stop.
func (a *Agent) Wait() error {
	a.loop.Wait()
	a.upstream.Close()
	a.http.CloseIdleConnections()
	return a.failure.get()
}
