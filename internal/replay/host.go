package replay

import (
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/admission"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/trace"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
)

const (
	// throttleInterval is the time between two evaluations of the services' tail latencies by
	// interference control.
	throttleInterval = 250 * time.Millisecond
	// interferenceFactor is the relative increase of a request's service time when batch tasks use
	// all processors of its instance: 1.5 makes it 2.5 times as long. When they use a share of the
	// processors, the increase is that share of 1.5.
	interferenceFactor = 1.5
)

// host simulates one instance with its agent.
type host struct {
	spec               trace.Instance
	run                *run
	incarnation        string
	workerIncarnation  string
	generation         int // 1, and one more for each replacement
	failed             bool
	draining           bool
	serviceTimePercent int64 // service time in percent of the recorded one
	controller         *admission.Controller
	waiting            map[string]*attempt
	running            map[string]*attempt
	throttle           *interference.Throttle
	sequence           uint64
	session            uint64 // assigned by the owner
	held               map[string]*heldTask
	taskNames          []string
	grantExpiry        time.Time // the end of the grant: tasks may run until then
	expiryScheduled    bool      // a check at the end of the grant is scheduled
}

// addHost starts an instance, or its replacement under the same name, and announces it to
// all entries. The generation is 1 for the first and increases with each replacement.
func (r *run) addHost(spec trace.Instance, generation int) {
	incarnation := fmt.Sprintf("%s-%d", spec.Name, generation)
	h := &host{
		spec: spec, run: r, incarnation: incarnation, workerIncarnation: incarnation, generation: generation, serviceTimePercent: 100,
		controller: admission.New(incarnation, admission.Limits{
			Slots: spec.Capacity.Slots, MaxInFlight: spec.Capacity.MaxInFlight,
		}),
		waiting: map[string]*attempt{}, running: map[string]*attempt{}, held: map[string]*heldTask{},
		throttle: interference.NewThrottle(),
	}
	if _, known := r.hosts[spec.Name]; !known {
		r.instanceNames = append(r.instanceNames, spec.Name)
	}
	r.hosts[spec.Name] = h
	h.setTargets(r.document)
	for _, each := range r.entries {
		r.after(delay(spec.Domain, each.spec.Domain), func() {
			each.routing.Announce(r.now, routing.Instance{
				Name: spec.Name, Domain: spec.Domain, Incarnation: incarnation, Slots: spec.Capacity.Slots,
			})
		})
	}
	r.logDecision("announce instance=%s incarnation=%s", spec.Name, incarnation)
	h.heartbeat()
	h.every(link.HeartbeatInterval, h.heartbeat)
	if r.options.Throttle {
		h.every(throttleInterval, h.runThrottle)
	}
}

// every calls act at each period until the host fails.
func (h *host) every(period time.Duration, act func()) {
	h.run.after(period, func() {
		if h.failed {
			return
		}
		act()
		h.every(period, act)
	})
}

// setTargets passes the latency targets of the service classes to interference control.
func (h *host) setTargets(document contract.Document) {
	targets := map[string]interference.Target{}
	for _, class := range document.Classes {
		if class.Kind == contract.Service {
			targets[class.Name] = interference.Target{Quantile: class.Quantile, Latency: class.Latency}
		}
	}
	h.throttle.SetTargets(targets)
}

// runThrottle runs interference control once. If it changes the share of processor time of batch
// tasks, it reschedules their ends.
func (h *host) runThrottle() {
	decision, changed := h.throttle.Tick(h.run.now)
	if !changed {
		return
	}
	h.run.logDecision("throttle instance=%s share=%.2f class=%s tail=%s owed=%s", h.spec.Name, decision.Share, decision.Class, decision.Tail.Round(time.Millisecond), decision.Target)
	h.updateProgress()
	for _, name := range h.taskNames {
		h.schedule(h.held[name])
	}
}

// load returns the fraction of the host's processors that running batch tasks use.
func (h *host) load() float64 {
	used := 0.0
	for _, name := range h.taskNames {
		if t := h.held[name]; t.state == placement.Running {
			used += t.start.Need.Processors * h.throttle.Share()
		}
	}
	return used / max(h.spec.Capacity.Processors, 1)
}

// requestLoad returns the load of requests that heartbeats and responses carry.
func (h *host) requestLoad() routing.Load {
	return routing.Load{Busy: h.controller.Busy(), Queued: h.controller.Queued()}
}

// heartbeat sends a heartbeat to every entry, and one with the tasks to the owner, which is on the
// first entry (see report).
func (h *host) heartbeat() {
	load := h.requestLoad()
	for _, each := range h.run.entries {
		h.run.after(delay(h.spec.Domain, each.spec.Domain), func() {
			each.routing.Observe(h.run.now, h.spec.Name, load)
			if h.draining {
				each.routing.Drain(h.spec.Name)
			}
		})
	}
	h.report()
}

// fail stops an instance at once. Its requests and tasks are lost; the entries notice when their
// connections break.
func (r *run) fail(name string) {
	h := r.host(name)
	if h == nil || h.failed {
		return
	}
	r.logDecision("fail instance=%s", name)
	h.failed = true
	for _, a := range sortedAttempts(h.running, h.waiting) {
		r.after(delay(h.spec.Domain, a.entry.spec.Domain), func() { r.handleDisconnect(a) })
	}
	for _, each := range r.entries {
		r.after(delay(h.spec.Domain, each.spec.Domain), func() { each.routing.Remove(name, h.incarnation) })
	}
}

// replaceInstance replaces a failed instance under its name.
func (r *run) replaceInstance(name string) {
	if h := r.host(name); h != nil && h.failed {
		r.addHost(h.spec, h.generation+1)
	}
}

// drain starts to drain an instance. The owner's replies then stop its tasks with a checkpoint.
func (r *run) drain(name string) {
	h := r.host(name)
	if h == nil || h.failed {
		return
	}
	r.logDecision("leave instance=%s", name)
	h.draining = true
	h.controller.Drain()
	h.heartbeat()
}
