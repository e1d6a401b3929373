package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/internal/standin"
	"github.com/apricotwind/apricotwind/internal/trace"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	// readyBound is the longest wait for the pool to be ready.
	readyBound = 8 * time.Second
	// tailBound is the longest wait after the day for jobs to end.
	tailBound = 9 * time.Second
	// jobPause is the time between two looks at the jobs.
	jobPause = 200 * time.Millisecond
	// progressPeriod is the time between two lines of progress.
	progressPeriod = 2 * time.Second
	// retryPause is the wait of an operator before a refused call is made again.
	retryPause = 200 * time.Millisecond
)

// Result is what a played day came to.
type Result struct {
	Trace  string          `json:"day"`
	Report ledger.Report   `json:"report"`
	Checks []standin.Check `json:"checks"`
}

// player plays one day on a pool.
type player struct {
	pool     *Cluster
	day      trace.Trace
	progress io.Writer
	http     *http.Client
	log      *zap.Logger

	mu       sync.Mutex
	sent     []standin.Request
	jobs     []string
	failures []error
}

// Play runs a day and reports. Progress goes to progress while it runs.
func Play(ctx context.Context, of trace.Trace, seed uint64, log *zap.Logger, progress io.Writer) (Result, error) {
	pool, err := New(ctx, of, seed, log)
	if err != nil {
		return Result{}, err
	}
	defer pool.Stop()
	p := &player{
		pool: pool, day: of, progress: progress, log: log,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	defer p.http.CloseIdleConnections()
	p.say("%d entries, %d instances, %d events", len(of.Entries), len(of.Instances), len(of.Events))
	if err := pool.begin(of, readyBound); err != nil {
		return Result{}, err
	}
	begun := time.Now()
	p.play(ctx, begun)
	p.awaitJobs(ctx)
	return p.conclude(ctx, begun)
}

func (p *player) say(format string, arguments ...any) {
	// Progress that nobody reads is no loss.
	_, _ = fmt.Fprintf(p.progress, "demo: "+format+"\n", arguments...)
}

func (p *player) fault(err error) {
	if err == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, err)
}

// play hands out each event at its time and waits for all that it began.
func (p *player) play(ctx context.Context, begun time.Time) {
	var group conc.WaitGroup
	defer group.Wait()
	said := begun
	for number, event := range p.day.Events {
		loop.Sleep(ctx, time.Until(begun.Add(event.At)))
		if ctx.Err() != nil {
			return
		}
		if time.Since(said) > progressPeriod {
			said = time.Now()
			p.say("%4.1f s of %.1f s, %d requests sent", event.At.Seconds(), p.day.Length().Seconds(), number)
		}
		group.Go(func() { p.act(ctx, number, event) })
	}
}

func (p *player) act(ctx context.Context, number int, event trace.Event) {
	if event.Kind != trace.Request && event.Kind != trace.Job {
		p.say("%4.1f s: %s %s%s", event.At.Seconds(), event.Kind, event.Instance, event.Class)
	}
	switch event.Kind {
	case trace.Request:
		p.request(ctx, number, event)
	case trace.Job:
		p.fault(p.submit(ctx, number, event))
	case trace.Fail:
		p.fault(p.pool.fail(event.Instance))
	case trace.Recover:
		p.fault(p.replace(event.Instance))
	case trace.Drain:
		p.fault(p.pool.leave(event.Instance))
	case trace.Slow:
		s, err := p.pool.site(event.Instance)
		if err == nil {
			s.upstream.Slow(event.Percent)
		}
		p.fault(err)
	case trace.Target:
		p.fault(p.revise(ctx, event))
	case trace.Outage:
		p.pool.platform.Set(standin.Faults{Outage: true})
		loop.Sleep(ctx, event.Duration)
		p.pool.platform.Set(standin.Faults{})
	}
}

// request makes one call through an entry; the entries take turns, as behind the
// platform's balancer.
func (p *player) request(ctx context.Context, number int, event trace.Event) {
	url := fmt.Sprintf("%s/deck/%d", p.pool.callers(number), number)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		p.fault(err)
		return
	}
	r.Header.Set("Apricotwind-Class", event.Class)
	r.Header.Set("Apricotwind-Workspace", event.Workspace)
	r.Header.Set(standin.HeaderWork, strconv.FormatFloat(event.ServiceTime.Seconds()*1000, 'f', 1, 64))
	r.Header.Set(standin.HeaderRequest, name(number))
	said := p.call(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, standin.Request{ID: name(number), Idempotent: true, Outcome: said})
}

// call makes a request and tells what its caller was told.
func (p *player) call(r *http.Request) standin.Outcome {
	response, err := p.http.Do(r)
	if err != nil {
		return standin.Nothing
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return standin.Nothing
	}
	return standin.OutcomeOf(response.Header.Get(problem.HeaderOutcome))
}

// submit submits a job, again with the same key while the platform is out.
func (p *player) submit(ctx context.Context, number int, event trace.Event) error {
	submission := event.Submission
	submission.Key = fmt.Sprintf("day-%d", number)
	for {
		accepted, err := p.pool.client(number).Submit(ctx, submission)
		if err == nil {
			p.say("%4.1f s: job %s: %d tasks of %s for %s", event.At.Seconds(), accepted.ID, accepted.Tasks, accepted.Class, accepted.Workspace)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.jobs = append(p.jobs, accepted.ID)
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		loop.Sleep(ctx, retryPause)
	}
}

func (p *player) replace(instance string) error {
	s, err := p.pool.site(instance)
	if err != nil {
		return err
	}
	return p.pool.startSite(s.of)
}

// revise revises one target, as an operator would.
func (p *player) revise(ctx context.Context, event trace.Event) error {
	client := p.pool.client(1)
	for {
		err := revise(ctx, client, event)
		if err == nil || ctx.Err() != nil {
			return err
		}
		loop.Sleep(ctx, retryPause)
	}
}

func revise(ctx context.Context, client *operator.Client, event trace.Event) error {
	current, err := client.Document(ctx)
	if err != nil {
		return err
	}
	document, err := contract.Parse([]byte(current.Text))
	if err != nil {
		return err
	}
	after, err := document.Revise(event.Class, event.Changes)
	if err != nil {
		return err
	}
	_, err = client.Propose(ctx, operator.Proposal{Base: current.Version, Text: after.Text(), By: "demo"})
	return err
}

// awaitJobs waits until every job has ended, tailBound at most.
func (p *player) awaitJobs(ctx context.Context) {
	until := time.Now().Add(tailBound)
	said := time.Now()
	for time.Now().Before(until) && ctx.Err() == nil {
		open := 0
		for _, id := range p.jobs {
			status, err := p.pool.client(0).Job(ctx, id)
			if err != nil {
				open++
				continue
			}
			open += status.Counts[placement.Waiting.String()] + status.Counts[placement.Placed.String()]
		}
		if open == 0 {
			return
		}
		if time.Since(said) > progressPeriod {
			said = time.Now()
			p.say("waiting for %d tasks", open)
		}
		loop.Sleep(ctx, jobPause)
	}
}

// settlePause lets the last counts reach the ledgers.
const settlePause = 200 * time.Millisecond

// conclude drains all entries but the first, so that every window is stored, and
// asks the first for the report.
func (p *player) conclude(ctx context.Context, begun time.Time) (Result, error) {
	loop.Sleep(ctx, settlePause)
	for _, entry := range p.pool.entries[1:] {
		p.fault(entry.Drain())
	}
	report, err := p.pool.client(0).Report(ctx, begun.Add(-time.Minute), time.Now(), "", "")
	if err != nil {
		return Result{}, err
	}
	checks, err := p.check(ctx, report)
	if err != nil {
		return Result{}, err
	}
	for _, failure := range p.failures {
		checks = append(checks, standin.Check{Text: "the day was played as recorded", Detail: failure.Error()})
	}
	return Result{Trace: p.day.Deployment, Report: report, Checks: checks}, errors.Wrap(ctx.Err(), "demo")
}
