// Package replay is a discrete-event simulation: it runs the requests, jobs and failures of a
// trace through the decision code (routing, admission, placement, interference control) on a
// virtual clock. Network, platform and instances are modelled by fixed delays. A run depends only
// on the trace and the Options.
package replay

import (
	"container/heap"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/trace"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/cockroachdb/errors"
)

const (
	// intraDomainDelay and interDomainDelay are the one-way network delays within a failure
	// domain and between two domains.
	intraDomainDelay = 200 * time.Microsecond
	interDomainDelay = 5 * time.Millisecond
	// commitLatency is the latency of a commit to the platform's table.
	commitLatency = 10 * time.Millisecond
	// planInterval is the time between two placement rounds of the owner.
	planInterval = 150 * time.Millisecond
	// ownerLease is the time for which the owner may place tasks and extend grants after the
	// platform became unavailable.
	ownerLease = 8 * time.Second
	// completionTime is the simulated time after the last event of the trace, in which work completes.
	completionTime = 60 * time.Second
)

// Options selects the strategies of a run. Throttle enables interference control, which slows
// batch tasks down. Seed is the seed of random routing decisions.
type Options struct {
	Seed              uint64
	RoutingStrategy   routing.Strategy
	PlacementStrategy placement.Strategy
	Throttle          bool
	DecisionLog       io.Writer // receives one line for each decision; nil for none
}

// Result is the result of a run.
type Result struct {
	Report   ledger.Report
	Commits  int           // commits of the owner
	Rows     int           // rows written by these commits
	Starts   int           // tasks placed
	Evicted  int           // evictions of tasks that were queued again
	Retried  int           // attempts of requests after the first
	Requests RequestTotals // totals of all requests
	Unmet    []string      // expectations of the trace that were not met
}

// RequestTotals holds the counts of requests by outcome, and quantiles of the latency of answers,
// over a whole run.
type RequestTotals struct {
	Sent, InTime, Late, Refused int
	P50, P99, P999              time.Duration
}

// event is an action at a virtual time. The sequence breaks ties: events at the same time run in
// the order in which they were added.
type event struct {
	at       time.Time
	sequence int
	act      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event, for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event, for container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// run is the state of one simulation.
type run struct {
	trace         trace.Trace
	options       Options
	eventQueue    eventQueue
	sequence      int
	now           time.Time
	start         time.Time
	end           time.Time
	document      contract.Document
	entries       []*entry
	hosts         map[string]*host
	instanceNames []string
	owner         *placement.Owner
	recorder      *ledger.Recorder
	outageEnd     time.Time // the platform is unavailable until then
	leaseRenewed  time.Time // last renewal of the owner's lease
	result        Result
	latencies     *hdrhistogram.Histogram
	failure       error
}

// entry simulates one entry.
type entry struct {
	spec    trace.Entry
	routing *routing.Router
}

// startTime is the virtual time at which every replay starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run replays a trace. It returns an error if the trace is inconsistent or writing to
// Options.DecisionLog fails; expectations that are not met are no error but listed in the result.
func Run(spec trace.Trace, options Options) (Result, error) {
	document, err := contract.Parse([]byte(spec.Contract))
	if err != nil {
		return Result{}, errors.Wrap(err, "parse the contract of the trace")
	}
	document.Version = 1
	r := &run{
		trace: spec, options: options, now: startTime, start: startTime, end: startTime.Add(spec.Length() + completionTime),
		document: document, hosts: map[string]*host{}, leaseRenewed: startTime, latencies: metrics.NewHistogram(),
		owner:    placement.New(startTime, options.PlacementStrategy, ownerEpoch, link.GrantTTL),
		recorder: ledger.New(startTime, "replay", "replay"),
	}
	r.owner.SetShares(document.Shares())
	for i, each := range spec.Entries {
		r.entries = append(r.entries, &entry{spec: each, routing: routing.New(each.Domain, options.RoutingStrategy, options.Seed+uint64(i))})
	}
	for _, each := range spec.Instances {
		r.addHost(each, 1)
	}
	for number, each := range spec.Events {
		r.at(startTime.Add(each.At), func() { r.handleEvent(number, each) })
	}
	r.every(planInterval, r.plan)
	r.loop()
	return r.buildResult()
}

// loop runs events in order of time until none is left, the run has ended or an event failed.
func (r *run) loop() {
	for r.eventQueue.Len() > 0 && r.failure == nil {
		next := heap.Pop(&r.eventQueue).(event)
		if next.at.After(r.end) {
			return
		}
		r.now = next.at
		next.act()
	}
}

// at schedules act for a virtual time.
func (r *run) at(when time.Time, act func()) {
	r.sequence++
	heap.Push(&r.eventQueue, event{at: when, sequence: r.sequence, act: act})
}

// after schedules act for a time from now.
func (r *run) after(d time.Duration, act func()) { r.at(r.now.Add(d), act) }

// every calls act at each period until the end of the run.
func (r *run) every(period time.Duration, act func()) {
	r.after(period, func() {
		act()
		r.every(period, act)
	})
}

// logDecision writes one decision line with the time since the start of the run, in seconds.
func (r *run) logDecision(format string, arguments ...any) {
	if r.options.DecisionLog == nil || r.failure != nil {
		return
	}
	_, err := fmt.Fprintf(r.options.DecisionLog, "t=%.3f "+format+"\n", append([]any{r.now.Sub(r.start).Seconds()}, arguments...)...)
	r.failure = errors.Wrap(err, "write a decision line")
}

// handleEvent executes one event of the trace.
func (r *run) handleEvent(number int, e trace.Event) {
	switch e.Kind {
	case trace.Request:
		r.handleRequest(number, e)
	case trace.Job:
		r.submit(number, e)
	case trace.Fail:
		r.fail(e.Instance)
	case trace.Replace:
		r.replaceInstance(e.Instance)
	case trace.Drain:
		r.drain(e.Instance)
	case trace.Slow:
		if h := r.host(e.Instance); h != nil {
			h.serviceTimePercent = e.Percent
		}
	case trace.Target:
		r.revise(e)
	case trace.Outage:
		r.outageEnd = r.now.Add(e.Duration)
		r.logDecision("outage until=%.3f", r.outageEnd.Sub(r.start).Seconds())
	}
}

// host returns the current instance of that name. An unknown name fails the run.
func (r *run) host(name string) *host {
	h, ok := r.hosts[name]
	if !ok {
		r.failure = errors.Newf("the trace refers to unknown instance %q", name)
	}
	return h
}

// revise revises a target of the contract and distributes the new version at once.
func (r *run) revise(e trace.Event) {
	after, err := r.document.Revise(e.Class, e.Changes)
	if err != nil {
		r.failure = err
		return
	}
	after.Version = r.document.Version + 1
	r.document = after
	r.owner.SetShares(after.Shares())
	for _, name := range r.instanceNames {
		r.hosts[name].setTargets(after)
	}
	r.logDecision("config version=%d class=%s", after.Version, e.Class)
}

// delay returns the one-way network delay between two failure domains.
func delay(from, to string) time.Duration {
	if from == to {
		return intraDomainDelay
	}
	return interDomainDelay
}

// buildResult builds the report from the ledger and compares it with the trace's expectations.
func (r *run) buildResult() (Result, error) {
	if r.failure != nil {
		return Result{}, r.failure
	}
	window, err := r.recorder.Rotate(r.now, r.document.Version, true)
	if err != nil {
		return Result{}, err
	}
	report, err := ledger.Build(ledger.Query{From: r.start, To: r.now}, r.document, []ledger.Window{window}, nil)
	if err != nil {
		return Result{}, err
	}
	r.result.Report = report
	quantile := func(q float64) time.Duration { return time.Duration(r.latencies.ValueAtQuantile(q)) * time.Microsecond }
	r.result.Requests.P50, r.result.Requests.P99, r.result.Requests.P999 = quantile(50), quantile(99), quantile(99.9)
	for _, expected := range r.trace.Expected {
		delivered, owed := 0, 0
		for _, row := range report.Rows {
			if row.Class == expected.Class {
				delivered += row.Outcomes[ledger.Delivered.String()]
				owed += row.Owed
			}
		}
		if share := float64(delivered) / float64(max(owed, 1)); share < expected.Share {
			r.result.Unmet = append(r.result.Unmet, fmt.Sprintf("%s: share %.3f, %g expected", expected.Class, share, expected.Share))
		}
	}
	return r.result, nil
}
