package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/admission"
	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/trace"
)

const (
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 4
	// requestTimeout is the time from the arrival of a request to its deadline.
	requestTimeout = 30 * time.Second
)

// request is the state of one request.
type request struct {
	number      int
	event       trace.Event
	entry       *entry
	arrival     time.Time
	tried       []string
	lastFailure string
}

// attempt is one attempt of a request at an instance.
type attempt struct {
	*request
	id           string
	choice       routing.Choice
	host         *host
	serviceStart time.Time
	disconnected bool // handleDisconnect has run
}

// sortedAttempts returns all attempts of the maps, sorted by ID.
func sortedAttempts(sets ...map[string]*attempt) []*attempt {
	var list []*attempt
	for _, set := range sets {
		for _, each := range set {
			list = append(list, each)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return list
}

// handleRequest delivers a new request to an entry, round-robin.
func (r *run) handleRequest(number int, e trace.Event) {
	q := &request{number: number, event: e, entry: r.entries[number%len(r.entries)], arrival: r.now, lastFailure: "no capacity"}
	r.recorder.RecordOwed(e.Workspace, e.Class, 1)
	r.result.Requests.Sent++
	r.try(q)
}

// try routes the request to an instance that it has not tried yet. Without one, or after
// maxAttempts attempts, the request is refused.
func (r *run) try(q *request) {
	if len(q.tried) >= maxAttempts {
		r.refuse(q)
		return
	}
	choice, ok := q.entry.routing.Pick(r.now, q.tried)
	if !ok {
		r.refuse(q)
		return
	}
	if len(q.tried) > 0 {
		r.result.Retried++
	}
	a := &attempt{
		request: q, id: fmt.Sprintf("%05d.%d", q.number, len(q.tried)+1),
		choice: choice, host: r.hosts[choice.Instance],
	}
	q.tried = append(q.tried, choice.Instance)
	r.logDecision("route request=%d entry=%s class=%s instance=%s over=%d wait=%s why=%s", q.number, q.entry.spec.Name, q.event.Class,
		choice.Instance, choice.Candidates, choice.ExpectedTime.Round(time.Millisecond), choice.Reason)
	r.after(a.delay(), func() { r.deliver(a) })
}

// delay returns the one-way network delay between the attempt's entry and instance.
func (a *attempt) delay() time.Duration { return delay(a.host.spec.Domain, a.entry.spec.Domain) }

// refuse records that the request was refused.
func (r *run) refuse(q *request) {
	r.logDecision("refuse request=%d why=%q", q.number, q.lastFailure)
	r.recorder.RecordOutcome(q.event.Workspace, q.event.Class, ledger.Refused, q.lastFailure)
	r.result.Requests.Refused++
}

// deliver delivers an attempt to the admission control of its instance.
func (r *run) deliver(a *attempt) {
	h := a.host
	if h.failed {
		r.after(a.delay(), func() { r.handleDisconnect(a) })
		return
	}
	class, _ := r.document.Class(a.event.Class)
	verdict := h.controller.Admit(r.now, admission.Attempt{
		ID: a.id, Workspace: a.event.Workspace, Incarnation: a.choice.Incarnation, Deadline: a.arrival.Add(requestTimeout),
		TargetDeadline: a.arrival.Add(class.Latency),
	})
	for _, id := range h.controller.Displaced() {
		displaced := h.waiting[id]
		delete(h.waiting, id)
		r.handleRejection(displaced)
	}
	switch verdict {
	case admission.Admit:
		h.startService(a)
	case admission.Queue:
		h.waiting[a.id] = a
	case admission.Full, admission.Draining, admission.Expired, admission.StaleIncarnation, admission.Duplicate, admission.Revoked:
		r.handleRejection(a)
	}
}

// handleRejection returns the rejection of an attempt to its entry, which tries another instance.
func (r *run) handleRejection(a *attempt) {
	load := a.host.requestLoad()
	r.after(a.delay(), func() {
		a.entry.routing.Finish(r.now, a.host.spec.Name, a.choice.Incarnation, routing.Refused, 0)
		a.entry.routing.Observe(r.now, a.host.spec.Name, load)
		a.lastFailure = "no capacity"
		r.try(a.request)
	})
}

// startService executes an admitted attempt. It takes the recorded service time, scaled by the
// instance's slowdown and by the load of batch tasks.
func (h *host) startService(a *attempt) {
	a.serviceStart = h.run.now
	h.running[a.id] = a
	slowdown := float64(h.serviceTimePercent) / 100 * (1 + interferenceFactor*h.load())
	h.run.after(time.Duration(float64(a.event.ServiceTime)*slowdown), func() { h.finishService(a) })
}

// finishService completes an attempt, starts the waiting attempts that now have a slot, and sends the
// response to the entry.
func (h *host) finishService(a *attempt) {
	if h.failed {
		return
	}
	r := h.run
	delete(h.running, a.id)
	h.throttle.Observe(r.now, a.event.Class, r.now.Sub(a.serviceStart))
	for _, id := range h.controller.Finish(r.now, admission.Attempt{ID: a.id, Workspace: a.event.Workspace}) {
		next := h.waiting[id]
		delete(h.waiting, id)
		h.startService(next)
	}
	load := h.requestLoad()
	serviceTime := r.now.Sub(a.serviceStart)
	r.after(a.delay(), func() {
		a.entry.routing.Finish(r.now, h.spec.Name, a.choice.Incarnation, routing.Answered, serviceTime)
		a.entry.routing.Observe(r.now, h.spec.Name, load)
		r.handleAnswer(a)
	})
}

// handleAnswer records the response to a request as delivered or, over the latency target, as late.
func (r *run) handleAnswer(a *attempt) {
	latency := r.now.Sub(a.arrival)
	class, _ := r.document.Class(a.event.Class)
	outcome, cause := ledger.Delivered, ""
	if latency > class.Latency {
		outcome, cause = ledger.Late, "over the latency target"
		r.result.Requests.Late++
	} else {
		r.result.Requests.InTime++
	}
	metrics.Record(r.latencies, latency)
	r.recorder.RecordOutcome(a.event.Workspace, a.event.Class, outcome, cause)
	r.recorder.RecordLatency(a.event.Workspace, a.event.Class, latency)
}

// handleDisconnect handles the loss of the connection to a failed instance. All requests of a
// trace are idempotent, so the entry tries another instance.
func (r *run) handleDisconnect(a *attempt) {
	if a.disconnected {
		return
	}
	a.disconnected = true
	a.entry.routing.Finish(r.now, a.host.spec.Name, a.choice.Incarnation, routing.Failed, 0)
	a.lastFailure = "instance failed"
	r.logDecision("broken request=%d instance=%s", a.number, a.host.spec.Name)
	r.try(a.request)
}
