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
	// attemptsMost is how often one request is tried.
	attemptsMost = 4
	// patience is how long a request may take.
	patience = 30 * time.Second
)

// request is one request under way.
type request struct {
	number int
	event  trace.Event
	entry  *entry
	begun  time.Time
	tried  []string
	last   string
}

// attempt is one try of a request.
type attempt struct {
	*request
	id     string
	choice routing.Choice
	host   *host
	began  time.Time
	ended  bool
}

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

// arrive brings a request to an entry; the entries take turns.
func (r *run) arrive(number int, e trace.Event) {
	q := &request{number: number, event: e, entry: r.entries[number%len(r.entries)], begun: r.now, last: "no capacity"}
	r.book.Owe(e.Workspace, e.Class, 1)
	r.outcome.Service.Sent++
	r.try(q)
}

func (r *run) try(q *request) {
	if len(q.tried) >= attemptsMost {
		r.refuse(q)
		return
	}
	choice, ok := q.entry.routing.Pick(r.now, q.tried)
	if !ok {
		r.refuse(q)
		return
	}
	if len(q.tried) > 0 {
		r.outcome.Retried++
	}
	at := &attempt{
		request: q, id: fmt.Sprintf("%05d.%d", q.number, len(q.tried)+1),
		choice: choice, host: r.hosts[choice.Instance],
	}
	q.tried = append(q.tried, choice.Instance)
	r.say("route request=%d entry=%s class=%s instance=%s over=%d wait=%s why=%s", q.number, q.entry.of.Name, q.event.Class,
		choice.Instance, choice.Candidates, choice.Wait.Round(time.Millisecond), choice.Reason)
	r.after(at.delay(), func() { r.reach(at) })
}

func (a *attempt) delay() time.Duration { return delay(a.host.of.Domain, a.entry.of.Domain) }

func (r *run) refuse(q *request) {
	r.say("refuse request=%d why=%q", q.number, q.last)
	r.book.RecordOutcome(q.event.Workspace, q.event.Class, ledger.Refused, q.last)
	r.outcome.Service.Refused++
}

// reach brings an attempt to the gate of its instance.
func (r *run) reach(at *attempt) {
	h := at.host
	if h.dead {
		r.after(at.delay(), func() { r.broken(at) })
		return
	}
	class, _ := r.document.Class(at.event.Class)
	verdict := h.gate.Admit(r.now, admission.Attempt{
		ID: at.id, Workspace: at.event.Workspace, Incarnation: at.choice.Incarnation, Deadline: at.begun.Add(patience),
		TargetDeadline: at.begun.Add(class.Latency),
	})
	for _, id := range h.gate.Displaced() {
		displaced := h.waiting[id]
		delete(h.waiting, id)
		r.refused(displaced)
	}
	switch verdict {
	case admission.Admit:
		h.serve(at)
	case admission.Queue:
		h.waiting[at.id] = at
	case admission.Full, admission.Draining, admission.Expired, admission.StaleIncarnation, admission.Duplicate, admission.Revoked:
		r.refused(at)
	}
}

// refused takes a gate's refusal back to the entry, which tries elsewhere.
func (r *run) refused(at *attempt) {
	load := at.host.reported()
	r.after(at.delay(), func() {
		at.entry.routing.Finish(r.now, at.host.of.Name, at.choice.Incarnation, routing.Refused, 0)
		at.entry.routing.Observe(r.now, at.host.of.Name, load)
		at.last = "no capacity"
		r.try(at.request)
	})
}

// serve runs an admitted attempt for its recorded time, longer beside busy tasks.
func (h *host) serve(at *attempt) {
	at.began = h.run.now
	h.running[at.id] = at
	slow := float64(h.percent) / 100 * (1 + disturbance*h.load())
	h.run.after(time.Duration(float64(at.event.ServiceTime)*slow), func() { h.served(at) })
}

func (h *host) served(at *attempt) {
	if h.dead {
		return
	}
	r := h.run
	delete(h.running, at.id)
	h.throttle.Observe(r.now, at.event.Class, r.now.Sub(at.began))
	for _, id := range h.gate.Finish(r.now, admission.Attempt{ID: at.id, Workspace: at.event.Workspace}) {
		next := h.waiting[id]
		delete(h.waiting, id)
		h.serve(next)
	}
	load := h.reported()
	served := r.now.Sub(at.began)
	r.after(at.delay(), func() {
		at.entry.routing.Finish(r.now, h.of.Name, at.choice.Incarnation, routing.Answered, served)
		at.entry.routing.Observe(r.now, h.of.Name, load)
		r.answered(at)
	})
}

func (r *run) answered(at *attempt) {
	took := r.now.Sub(at.begun)
	class, _ := r.document.Class(at.event.Class)
	fate, cause := ledger.Delivered, ""
	if took > class.Latency {
		fate, cause = ledger.Late, "over the latency target"
		r.outcome.Service.Late++
	} else {
		r.outcome.Service.InTime++
	}
	metrics.Record(r.times, took)
	r.book.RecordOutcome(at.event.Workspace, at.event.Class, fate, cause)
	r.book.RecordLatency(at.event.Workspace, at.event.Class, took)
}

// broken takes a connection that broke; recorded requests are idempotent, so they
// are tried elsewhere.
func (r *run) broken(at *attempt) {
	if at.ended {
		return
	}
	at.ended = true
	at.entry.routing.Finish(r.now, at.host.of.Name, at.choice.Incarnation, routing.Failed, 0)
	at.last = "instance failed"
	r.say("broken request=%d instance=%s", at.number, at.host.of.Name)
	r.try(at.request)
}
