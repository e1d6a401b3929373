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
	// readyTimeout limits the wait for the cluster to become ready.
	readyTimeout = 8 * time.Second
	// jobTimeout limits the wait for jobs to end after the last event of the trace.
	jobTimeout = 9 * time.Second
	// jobPollInterval is the time between two requests for the status of all jobs.
	jobPollInterval = 200 * time.Millisecond
	// progressInterval is the minimum time between two progress lines.
	progressInterval = 2 * time.Second
	// retryInterval is the wait before a failed submission or revision is retried.
	retryInterval = 200 * time.Millisecond
)

// Result is the result of a demo.
type Result struct {
	Deployment string          `json:"day"`
	Report     ledger.Report   `json:"report"`
	Checks     []standin.Check `json:"checks"`
}

// player plays one trace on a cluster.
type player struct {
	cluster  *Cluster
	trace    trace.Trace
	progress io.Writer
	http     *http.Client
	log      *zap.Logger

	mu       sync.Mutex
	sent     []standin.Request
	jobs     []string
	failures []error
}

// Play starts a cluster, plays the trace in real time, waits for its jobs and returns the report
// and the checks. It writes progress lines to progress.
func Play(ctx context.Context, spec trace.Trace, seed uint64, log *zap.Logger, progress io.Writer) (Result, error) {
	cluster, err := New(ctx, spec, seed, log)
	if err != nil {
		return Result{}, err
	}
	defer cluster.Stop()
	p := &player{
		cluster: cluster, trace: spec, progress: progress, log: log,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	defer p.http.CloseIdleConnections()
	p.printProgress("%d entries, %d instances, %d events", len(spec.Entries), len(spec.Instances), len(spec.Events))
	if err := cluster.activateContract(spec, readyTimeout); err != nil {
		return Result{}, err
	}
	start := time.Now()
	p.play(ctx, start)
	p.awaitJobs(ctx)
	return p.buildResult(ctx, start)
}

// printProgress writes a progress line.
func (p *player) printProgress(format string, arguments ...any) {
	// The demo doesn't depend on its progress lines, so write errors are ignored.
	_, _ = fmt.Fprintf(p.progress, "demo: "+format+"\n", arguments...)
}

// recordFailure records an error, if any. Each becomes a failed check of the result.
func (p *player) recordFailure(err error) {
	if err == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, err)
}

// play starts each event at its time in a goroutine of its own and waits for all of them.
func (p *player) play(ctx context.Context, start time.Time) {
	var goroutines conc.WaitGroup
	defer goroutines.Wait()
	lastProgress := start
	for number, event := range p.trace.Events {
		loop.Sleep(ctx, time.Until(start.Add(event.At)))
		if ctx.Err() != nil {
			return
		}
		if time.Since(lastProgress) > progressInterval {
			lastProgress = time.Now()
			p.printProgress("%4.1f s of %.1f s, %d requests sent", event.At.Seconds(), p.trace.Length().Seconds(), number)
		}
		goroutines.Go(func() { p.executeEvent(ctx, number, event) })
	}
}

// executeEvent executes one event of the trace.
func (p *player) executeEvent(ctx context.Context, number int, event trace.Event) {
	if event.Kind != trace.Request && event.Kind != trace.Job {
		p.printProgress("%4.1f s: %s %s%s", event.At.Seconds(), event.Kind, event.Instance, event.Class)
	}
	switch event.Kind {
	case trace.Request:
		p.request(ctx, number, event)
	case trace.Job:
		p.recordFailure(p.submit(ctx, number, event))
	case trace.Fail:
		p.recordFailure(p.cluster.fail(event.Instance))
	case trace.Replace:
		p.recordFailure(p.replace(event.Instance))
	case trace.Drain:
		p.recordFailure(p.cluster.drain(event.Instance))
	case trace.Slow:
		s, err := p.cluster.standinInstance(event.Instance)
		if err == nil {
			s.upstream.Slow(event.Percent)
		}
		p.recordFailure(err)
	case trace.Target:
		p.recordFailure(p.revise(ctx, event))
	case trace.Outage:
		p.cluster.platform.Set(standin.Faults{Outage: true})
		loop.Sleep(ctx, event.Duration)
		p.cluster.platform.Set(standin.Faults{})
	}
}

// request sends one request through an entry, round-robin as the platform's load balancer does,
// and records its outcome.
func (p *player) request(ctx context.Context, number int, event trace.Event) {
	url := fmt.Sprintf("%s/deck/%d", p.cluster.callerURL(number), number)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		p.recordFailure(err)
		return
	}
	r.Header.Set("Apricotwind-Class", event.Class)
	r.Header.Set("Apricotwind-Workspace", event.Workspace)
	r.Header.Set(standin.HeaderWork, strconv.FormatFloat(event.ServiceTime.Seconds()*1000, 'f', 1, 64))
	r.Header.Set(standin.HeaderRequest, requestID(number))
	outcome := p.call(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, standin.Request{ID: requestID(number), Idempotent: true, Outcome: outcome})
}

// call sends a request and returns the outcome that the caller sees.
func (p *player) call(r *http.Request) standin.Outcome {
	response, err := p.http.Do(r)
	if err != nil {
		return standin.NoAnswer
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return standin.NoAnswer
	}
	return standin.OutcomeOf(response.Header.Get(problem.HeaderOutcome))
}

// submit submits a job. It retries with the same idempotency key until it succeeds or ctx ends,
// for example during an outage of the platform.
func (p *player) submit(ctx context.Context, number int, event trace.Event) error {
	submission := event.Submission
	submission.Key = fmt.Sprintf("day-%d", number)
	for {
		accepted, err := p.cluster.client(number).Submit(ctx, submission)
		if err == nil {
			p.printProgress("%4.1f s: job %s: %d tasks of %s for %s", event.At.Seconds(), accepted.ID, accepted.Tasks, accepted.Class, accepted.Workspace)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.jobs = append(p.jobs, accepted.ID)
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		loop.Sleep(ctx, retryInterval)
	}
}

// replace starts a new instance under the name of a failed one.
func (p *player) replace(instance string) error {
	s, err := p.cluster.standinInstance(instance)
	if err != nil {
		return err
	}
	return p.cluster.startInstance(s.spec)
}

// revise revises one target as an operator would, and retries until it succeeds or ctx ends.
func (p *player) revise(ctx context.Context, event trace.Event) error {
	client := p.cluster.client(1)
	for {
		err := revise(ctx, client, event)
		if err == nil || ctx.Err() != nil {
			return err
		}
		loop.Sleep(ctx, retryInterval)
	}
}

// revise reads the current document, revises one target and proposes the result.
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

// awaitJobs waits until all tasks have ended, but at most for jobTimeout.
func (p *player) awaitJobs(ctx context.Context) {
	deadline := time.Now().Add(jobTimeout)
	lastProgress := time.Now()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		unfinished := 0
		for _, id := range p.jobs {
			status, err := p.cluster.client(0).Job(ctx, id)
			if err != nil {
				unfinished++
				continue
			}
			unfinished += status.Counts[placement.Waiting.String()] + status.Counts[placement.Placed.String()]
		}
		if unfinished == 0 {
			return
		}
		if time.Since(lastProgress) > progressInterval {
			lastProgress = time.Now()
			p.printProgress("waiting for %d tasks", unfinished)
		}
		loop.Sleep(ctx, jobPollInterval)
	}
}

// ledgerDelay is the wait for the last counts to reach the ledgers.
const ledgerDelay = 200 * time.Millisecond

// buildResult drains all entries except the first, so that all their ledger windows are stored,
// and then requests the report from the first.
func (p *player) buildResult(ctx context.Context, start time.Time) (Result, error) {
	loop.Sleep(ctx, ledgerDelay)
	for _, entry := range p.cluster.entries[1:] {
		p.recordFailure(entry.Drain())
	}
	report, err := p.cluster.client(0).Report(ctx, start.Add(-time.Minute), time.Now(), "", "")
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
	return Result{Deployment: p.trace.Deployment, Report: report, Checks: checks}, errors.Wrap(ctx.Err(), "demo")
}
