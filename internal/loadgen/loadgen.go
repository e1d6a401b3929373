// Package loadgen is an open-loop load generator: it sends requests through entries at a constant
// rate, regardless of outstanding requests, and verifies every answer. The stand-in upstreams
// produce the answers and record what they ran; package standin compares
// these records with the outcomes that the callers received.
package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apricotwind/apricotwind/internal/entry"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/internal/standin"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// maxInFlight is the maximum number of outstanding requests. Requests due beyond it are not
	// sent but counted as dropped by the load generator.
	maxInFlight = 2000
	// maxBodyBytes is the maximum size of a request body, in bytes. It exceeds the size up to
	// which an entry buffers a body for a second attempt, so that both code paths are tested.
	maxBodyBytes = 200_000
)

// Config configures a run.
type Config struct {
	Entries     []string      // base URLs of entries, used round-robin
	Upstreams   []string      // base URLs of stand-in upstreams, whose observations are checked
	Rate        float64       // requests per second
	Duration    time.Duration // length of the run
	ServiceTime time.Duration // service time of each request
	PostShare   float64       // share of requests, 0 to 1, that are POSTs: not idempotent, with a body
	Class       string
	Workspace   string
	Seed        uint64
}

// Result counts the requests of a run by outcome. P50, P99 and P999 are quantiles of the latency of
// answered requests.
type Result struct {
	Sent     int             `json:"sent"`
	Dropped  int             `json:"dropped"` // not sent because too many requests were outstanding
	Answered int             `json:"answered"`
	Refused  int             `json:"refused"`
	Unknown  int             `json:"unknown"`
	NoAnswer int             `json:"nothing"` // the connection broke or could not be established
	Wrong    []string        `json:"wrong"`   // descriptions of answers that are incomplete or belong to another request
	P50      time.Duration   `json:"p50"`
	P99      time.Duration   `json:"p99"`
	P999     time.Duration   `json:"p999"`
	Checks   []standin.Check `json:"checks"`
}

// run is the state of one run.
type run struct {
	config    Config
	http      *http.Client
	mu        sync.Mutex
	sent      []standin.Request
	wrong     []string
	latencies *hdrhistogram.Histogram
	tokens    chan struct{}
}

// Run sends requests for the configured time, waits until all have ended and verifies the answers.
// Its error means that a stand-in upstream didn't answer or that ctx ended; failed checks are in
// the result.
func Run(ctx context.Context, config Config) (Result, error) {
	r := &run{
		config: config, latencies: metrics.NewHistogram(), tokens: make(chan struct{}, maxInFlight),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}},
	}
	defer r.http.CloseIdleConnections()
	dropped := r.send(ctx)
	result := r.result()
	result.Dropped = dropped
	observations, err := r.fetchObservations(ctx)
	if err != nil {
		return result, err
	}
	if len(observations) > 0 {
		result.Checks = []standin.Check{
			standin.CheckCapacity(observations), standin.CheckAnswers(observations, r.sent), standin.CheckOnePlace(observations),
		}
	}
	return result, ctx.Err()
}

// send starts each request at its due time and waits for all of them. It returns the number of
// dropped requests.
func (r *run) send(ctx context.Context) (dropped int) {
	var group conc.WaitGroup
	defer group.Wait()
	random := rand.New(rand.NewPCG(r.config.Seed, 0))
	start := time.Now()
	for n := 0; ; n++ {
		dueAfter := time.Duration(float64(n) / r.config.Rate * float64(time.Second))
		if dueAfter >= r.config.Duration || ctx.Err() != nil {
			return dropped
		}
		loop.Sleep(ctx, time.Until(start.Add(dueAfter)))
		post := random.Float64() < r.config.PostShare
		size := random.IntN(maxBodyBytes)
		select {
		case r.tokens <- struct{}{}:
		default:
			dropped++
			continue
		}
		group.Go(func() {
			defer func() { <-r.tokens }()
			r.sendOne(ctx, n, post, size)
		})
	}
}

// sendOne sends one request, verifies its answer and records the outcome.
func (r *run) sendOne(ctx context.Context, n int, post bool, size int) {
	id := fmt.Sprintf("load-%d-%d", r.config.Seed, n)
	request, body, err := r.request(ctx, n, id, post, size)
	if err != nil {
		r.record(standin.Request{ID: id, Idempotent: true, Outcome: standin.NoAnswer}, "request "+id+": "+err.Error())
		return
	}
	start := time.Now()
	outcome, wrong := r.exchange(request, id, body)
	if outcome == standin.Answered {
		r.mu.Lock()
		metrics.Record(r.latencies, time.Since(start))
		r.mu.Unlock()
	}
	r.record(standin.Request{ID: id, Idempotent: !post, Outcome: outcome}, wrong)
}

// record records a request, and what was wrong with its answer if anything.
func (r *run) record(sent standin.Request, wrong string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, sent)
	if wrong != "" {
		r.wrong = append(r.wrong, wrong)
	}
}

// request builds the request with the given number and ID, and returns its body.
func (r *run) request(ctx context.Context, n int, id string, post bool, size int) (*http.Request, []byte, error) {
	url := r.config.Entries[n%len(r.config.Entries)] + "/load/" + id
	method, body := http.MethodGet, []byte(nil)
	if post {
		method, body = http.MethodPost, pattern(id, size)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "entry %s", url)
	}
	request.Header.Set(entry.HeaderClass, r.config.Class)
	request.Header.Set(entry.HeaderWorkspace, r.config.Workspace)
	request.Header.Set(standin.HeaderRequest, id)
	request.Header.Set(standin.HeaderWork, strconv.FormatFloat(r.config.ServiceTime.Seconds()*1000, 'f', 2, 64))
	if post {
		request.Header.Set(standin.HeaderEcho, "true")
	}
	return request, body, nil
}

// pattern returns a body of about size bytes that is unique to the request: its ID, repeated.
func pattern(id string, size int) []byte {
	unit := []byte(id + ";")
	return bytes.Repeat(unit, size/len(unit)+1)
}

// exchange sends a request and returns its outcome. If it was answered with a wrong answer, wrong
// describes the error.
func (r *run) exchange(request *http.Request, id string, body []byte) (outcome standin.Outcome, wrong string) {
	response, err := r.http.Do(request)
	if err != nil {
		return standin.NoAnswer, ""
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return standin.NoAnswer, ""
	}
	outcome = standin.OutcomeOf(response.Header.Get(problem.HeaderOutcome))
	if outcome != standin.Answered || response.StatusCode != http.StatusOK {
		return outcome, ""
	}
	switch {
	case body == nil && !bytes.Contains(got, []byte("/load/"+id+"\n")):
		wrong = "request " + id + " got the answer of another: " + string(got)
	case body != nil && !bytes.Equal(got, body):
		wrong = fmt.Sprintf("request %s got %d bytes back of %d", id, len(got), len(body))
	case body != nil && response.Trailer.Get("Standin-Length") != strconv.Itoa(len(body)):
		wrong = "request " + id + " got no right trailer: " + response.Trailer.Get("Standin-Length")
	}
	return outcome, wrong
}

// result counts the requests by outcome.
func (r *run) result() Result {
	result := Result{Sent: len(r.sent), Wrong: r.wrong}
	for _, each := range r.sent {
		switch each.Outcome {
		case standin.Answered:
			result.Answered++
		case standin.Refused:
			result.Refused++
		case standin.Unknown:
			result.Unknown++
		case standin.NoAnswer:
			result.NoAnswer++
		}
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(r.latencies.ValueAtQuantile(q)) * time.Microsecond
	}
	result.P50, result.P99, result.P999 = quantile(50), quantile(99), quantile(99.9)
	return result
}

// fetchObservations fetches the observations of the stand-in upstreams.
func (r *run) fetchObservations(ctx context.Context) ([]standin.Observations, error) {
	var observations []standin.Observations
	for _, base := range r.config.Upstreams {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/standin/witness", nil)
		if err != nil {
			return nil, errors.Wrapf(err, "upstream %s", base)
		}
		response, err := r.http.Do(request)
		if err != nil {
			return nil, errors.Wrapf(err, "upstream %s", base)
		}
		var single standin.Observations
		err = json.NewDecoder(response.Body).Decode(&single)
		_ = response.Body.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "decode observations of upstream %s", base)
		}
		observations = append(observations, single)
	}
	return observations, nil
}
