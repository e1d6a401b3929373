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
	// throttlePeriod is the time between two looks at the tails of services.
	throttlePeriod = 250 * time.Millisecond
	// disturbance is how much longer a request takes when batch tasks use all
	// processors of its instance.
	disturbance = 1.5
)

// host is one instance with its agent.
type host struct {
	of          trace.Instance
	run         *run
	incarnation string
	boot        string
	number      int
	dead        bool
	leaving     bool
	percent     int64
	gate        *admission.Controller
	waiting     map[string]*attempt
	running     map[string]*attempt
	throttle    *interference.Throttle
	sequence    uint64
	session     uint64 // given by the owner
	held        map[string]*heldTask
	order       []string
	until       time.Time // the grant ends
	lapsing     bool
}

// addHost starts an instance; number counts its replacements.
func (r *run) addHost(of trace.Instance, number int) {
	incarnation := fmt.Sprintf("%s-%d", of.Name, number)
	h := &host{
		of: of, run: r, incarnation: incarnation, boot: incarnation, number: number, percent: 100,
		gate: admission.New(incarnation, admission.Limits{
			Slots: of.Capacity.Slots, MaxInFlight: of.Capacity.MaxInFlight,
		}),
		waiting: map[string]*attempt{}, running: map[string]*attempt{}, held: map[string]*heldTask{},
		throttle: interference.New(),
	}
	if _, known := r.hosts[of.Name]; !known {
		r.names = append(r.names, of.Name)
	}
	r.hosts[of.Name] = h
	h.setTargets(r.document)
	for _, each := range r.entries {
		r.after(delay(of.Domain, each.of.Domain), func() {
			each.routing.Announce(r.now, routing.Instance{
				Name: of.Name, Domain: of.Domain, Incarnation: incarnation, Slots: of.Capacity.Slots,
			})
		})
	}
	r.say("announce instance=%s incarnation=%s", of.Name, incarnation)
	h.beat()
	h.every(link.HeartbeatInterval, h.beat)
	if r.options.Throttle {
		h.every(throttlePeriod, h.tick)
	}
}

// every repeats act while the host lives.
func (h *host) every(period time.Duration, act func()) {
	h.run.after(period, func() {
		if h.dead {
			return
		}
		act()
		h.every(period, act)
	})
}

func (h *host) setTargets(document contract.Document) {
	targets := map[string]interference.Target{}
	for _, class := range document.Classes {
		if class.Kind == contract.Service {
			targets[class.Name] = interference.Target{Quantile: class.Quantile, Latency: class.Latency}
		}
	}
	h.throttle.SetTargets(targets)
}

// tick lets the fast loop decide.
func (h *host) tick() {
	decision, changed := h.throttle.Tick(h.run.now)
	if !changed {
		return
	}
	h.run.say("throttle instance=%s share=%.2f class=%s tail=%s owed=%s", h.of.Name, decision.Share, decision.Class, decision.Tail.Round(time.Millisecond), decision.Target)
	h.settleTasks()
	for _, name := range h.order {
		h.schedule(h.held[name])
	}
}

// load is the share of its processors that running tasks use.
func (h *host) load() float64 {
	used := 0.0
	for _, name := range h.order {
		if t := h.held[name]; t.run == placement.Running {
			used += t.start.Need.Processors * h.throttle.Share()
		}
	}
	return used / max(h.of.Capacity.Processors, 1)
}

// reported is the load that goes with beats and answers.
func (h *host) reported() routing.Load {
	return routing.Load{Busy: h.gate.Busy(), Queued: h.gate.Queued()}
}

// beat reports to every entry, and to the owner, which is the first.
func (h *host) beat() {
	load := h.reported()
	for _, each := range h.run.entries {
		h.run.after(delay(h.of.Domain, each.of.Domain), func() {
			each.routing.Observe(h.run.now, h.of.Name, load)
			if h.leaving {
				each.routing.Drain(h.of.Name)
			}
		})
	}
	h.report()
}

// fail ends an instance at once: what ran there is lost, and callers learn of it
// when their connections break.
func (r *run) fail(name string) {
	h := r.host(name)
	if h == nil || h.dead {
		return
	}
	r.say("fail instance=%s", name)
	h.dead = true
	for _, at := range sortedAttempts(h.running, h.waiting) {
		r.after(delay(h.of.Domain, at.entry.of.Domain), func() { r.broken(at) })
	}
	for _, each := range r.entries {
		r.after(delay(h.of.Domain, each.of.Domain), func() { each.routing.Remove(name, h.incarnation) })
	}
}

func (r *run) comeBack(name string) {
	if h := r.host(name); h != nil && h.dead {
		r.addHost(h.of, h.number+1)
	}
}

// leave announces the leaving; tasks are stopped with a checkpoint as the owner
// answers.
func (r *run) leave(name string) {
	h := r.host(name)
	if h == nil || h.dead {
		return
	}
	r.say("leave instance=%s", name)
	h.leaving = true
	h.gate.Drain()
	h.beat()
}
