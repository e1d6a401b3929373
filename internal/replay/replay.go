// Package replay runs recorded days through the decision code.
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
	// nearDelay and farDelay are the one-way times inside a domain and between two.
	nearDelay = 200 * time.Microsecond
	farDelay  = 5 * time.Millisecond
	// commitTime is how long the platform takes for a commit.
	commitTime = 10 * time.Millisecond
	// planPeriod is the time between two plans of the owner.
	planPeriod = 150 * time.Millisecond
	// ownerLease is how long the owner may grant while the platform is out.
	ownerLease = 8 * time.Second
	// tail is how long a run goes on after the last event of the day.
	tail = 60 * time.Second
)

// Options choose the policies of a run. Throttle is interference control.
type Options struct {
	Seed              uint64
	RoutingStrategy   routing.Strategy
	PlacementStrategy placement.Strategy
	Throttle          bool
	Trace             io.Writer // decision lines; nil for none
}

// Result is what a run came to.
type Result struct {
	Report  ledger.Report
	Commits int // of the owner
	Rows    int // written by them
	Starts  int // tasks placed
	Evicted int
	Retried int
	Service Service  // of all requests
	Unmet   []string // expectations of the day that were not met
}

// Service is what requests got over a whole run.
type Service struct {
	Sent, InTime, Late, Refused int
	P50, P99, P999              time.Duration
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	act   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event off.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// run is one replay under way.
type run struct {
	day      trace.Trace
	options  Options
	queue    queue
	order    int
	now      time.Time
	begun    time.Time
	end      time.Time
	document contract.Document
	entries  []*entry
	hosts    map[string]*host
	names    []string
	owner    *placement.Owner
	book     *ledger.Recorder
	outage   time.Time // the platform is out until then
	renewed  time.Time // the owner's lease was renewed last
	outcome  Result
	times    *hdrhistogram.Histogram
	failure  error
}

// entry is one entry's state.
type entry struct {
	of      trace.Entry
	routing *routing.Router
}

// epoch is the time at which every replay begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run replays a day and reports what it came to.
func Run(of trace.Trace, options Options) (Result, error) {
	document, err := contract.Parse([]byte(of.Contract))
	if err != nil {
		return Result{}, errors.Wrap(err, "contract of the day")
	}
	document.Version = 1
	r := &run{
		day: of, options: options, now: epoch, begun: epoch, end: epoch.Add(of.Length() + tail),
		document: document, hosts: map[string]*host{}, renewed: epoch, times: metrics.NewHistogram(),
		owner: placement.New(epoch, options.PlacementStrategy, replayEpoch, link.GrantTTL),
		book:  ledger.New(epoch, "replay", "replay"),
	}
	r.owner.SetShares(document.Shares())
	for i, each := range of.Entries {
		r.entries = append(r.entries, &entry{of: each, routing: routing.New(each.Domain, options.RoutingStrategy, options.Seed+uint64(i))})
	}
	for _, each := range of.Instances {
		r.addHost(each, 1)
	}
	for number, each := range of.Events {
		r.at(epoch.Add(each.At), func() { r.happen(number, each) })
	}
	r.every(planPeriod, r.plan)
	r.loop()
	return r.conclude()
}

func (r *run) loop() {
	for r.queue.Len() > 0 && r.failure == nil {
		next := heap.Pop(&r.queue).(event)
		if next.at.After(r.end) {
			return
		}
		r.now = next.at
		next.act()
	}
}

func (r *run) at(when time.Time, act func()) {
	r.order++
	heap.Push(&r.queue, event{at: when, order: r.order, act: act})
}

func (r *run) after(d time.Duration, act func()) { r.at(r.now.Add(d), act) }

// every repeats act each period to the end of the run.
func (r *run) every(period time.Duration, act func()) {
	r.after(period, func() {
		act()
		r.every(period, act)
	})
}

// say writes one decision line.
func (r *run) say(format string, arguments ...any) {
	if r.options.Trace == nil || r.failure != nil {
		return
	}
	_, err := fmt.Fprintf(r.options.Trace, "t=%.3f "+format+"\n", append([]any{r.now.Sub(r.begun).Seconds()}, arguments...)...)
	r.failure = errors.Wrap(err, "write decisions")
}

// happen acts on one event of the day.
func (r *run) happen(number int, e trace.Event) {
	switch e.Kind {
	case trace.Request:
		r.arrive(number, e)
	case trace.Job:
		r.submit(number, e)
	case trace.Fail:
		r.fail(e.Instance)
	case trace.Recover:
		r.comeBack(e.Instance)
	case trace.Drain:
		r.leave(e.Instance)
	case trace.Slow:
		if h := r.host(e.Instance); h != nil {
			h.percent = e.Percent
		}
	case trace.Target:
		r.revise(e)
	case trace.Outage:
		r.outage = r.now.Add(e.Duration)
		r.say("outage until=%.3f", r.outage.Sub(r.begun).Seconds())
	}
}

func (r *run) host(name string) *host {
	h, ok := r.hosts[name]
	if !ok {
		r.failure = errors.Newf("the day names an instance %q that is not there", name)
	}
	return h
}

func (r *run) revise(e trace.Event) {
	after, err := r.document.Revise(e.Class, e.Changes)
	if err != nil {
		r.failure = err
		return
	}
	after.Version = r.document.Version + 1
	r.document = after
	r.owner.SetShares(after.Shares())
	for _, name := range r.names {
		r.hosts[name].setTargets(after)
	}
	r.say("config version=%d class=%s", after.Version, e.Class)
}

// delay is the one-way time between two domains.
func delay(from, to string) time.Duration {
	if from == to {
		return nearDelay
	}
	return farDelay
}

// conclude closes the ledger and compares it with what the day expects.
func (r *run) conclude() (Result, error) {
	if r.failure != nil {
		return Result{}, r.failure
	}
	window, err := r.book.Rotate(r.now, r.document.Version, true)
	if err != nil {
		return Result{}, err
	}
	report, err := ledger.Build(ledger.Query{From: r.begun, To: r.now}, r.document, []ledger.Window{window}, nil)
	if err != nil {
		return Result{}, err
	}
	r.outcome.Report = report
	quantile := func(q float64) time.Duration { return time.Duration(r.times.ValueAtQuantile(q)) * time.Microsecond }
	r.outcome.Service.P50, r.outcome.Service.P99, r.outcome.Service.P999 = quantile(50), quantile(99), quantile(99.9)
	for _, expected := range r.day.Expected {
		delivered, ended := 0, 0
		for _, line := range report.Rows {
			if line.Class == expected.Class {
				delivered += line.Outcomes[ledger.Delivered.String()]
				ended += line.Owed
			}
		}
		if share := float64(delivered) / float64(max(ended, 1)); share < expected.Share {
			r.outcome.Unmet = append(r.outcome.Unmet, fmt.Sprintf("%s: share %.3f, %g expected", expected.Class, share, expected.Share))
		}
	}
	return r.outcome, nil
}
