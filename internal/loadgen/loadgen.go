// Package loadgen sends requests through entries at a steady rate and checks every
// answer.
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
	// inFlight bounds the requests under way; beyond it arrivals are counted as
	// dropped by the tool itself.
	inFlight = 2000
	// bodyMost is the longest body sent, in bytes. It is above what an entry keeps
	// for a second attempt, so that both ways are used.
	bodyMost = 200_000
)

// Config is what to send.
type Config struct {
	Entries     []string // base URLs of entries, used in turn
	Upstreams   []string // base URLs of stand-in upstreams
	Rate        float64  // requests a second
	For         time.Duration
	ServiceTime time.Duration // of service of each request
	Post        float64       // share of requests that are not idempotent and carry a body
	Class       string
	Workspace   string
	Seed        uint64
}

// Result is what came back.
type Result struct {
	Sent     int             `json:"sent"`
	Dropped  int             `json:"dropped"` // not sent, too many were under way
	Answered int             `json:"answered"`
	Refused  int             `json:"refused"`
	Unknown  int             `json:"unknown"`
	NoAnswer int             `json:"nothing"` // the connection broke or could not be had
	Wrong    []string        `json:"wrong"`   // answers that are not whole or not one's own
	P50      time.Duration   `json:"p50"`
	P99      time.Duration   `json:"p99"`
	P999     time.Duration   `json:"p999"`
	Checks   []standin.Check `json:"checks"`
}

// run is one load under way.
type run struct {
	plan   Config
	http   *http.Client
	mu     sync.Mutex
	sent   []standin.Request
	wrong  []string
	times  *hdrhistogram.Histogram
	tokens chan struct{}
}

// Run sends what plan says and returns when all is answered.
func Run(ctx context.Context, plan Config) (Result, error) {
	r := &run{
		plan: plan, times: metrics.NewHistogram(), tokens: make(chan struct{}, inFlight),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: inFlight}},
	}
	defer r.http.CloseIdleConnections()
	dropped := r.send(ctx)
	result := r.result()
	result.Dropped = dropped
	seen, err := r.witnesses(ctx)
	if err != nil {
		return result, err
	}
	if len(seen) > 0 {
		result.Checks = []standin.Check{
			standin.CheckCapacity(seen), standin.CheckAnswers(seen, r.sent), standin.CheckOnePlace(seen),
		}
	}
	return result, ctx.Err()
}

// send starts a request at each due time and waits for all of them.
func (r *run) send(ctx context.Context) (dropped int) {
	var group conc.WaitGroup
	defer group.Wait()
	random := rand.New(rand.NewPCG(r.plan.Seed, 0))
	begun := time.Now()
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / r.plan.Rate * float64(time.Second))
		if due >= r.plan.For || ctx.Err() != nil {
			return dropped
		}
		loop.Sleep(ctx, time.Until(begun.Add(due)))
		post := random.Float64() < r.plan.Post
		size := random.IntN(bodyMost)
		select {
		case r.tokens <- struct{}{}:
		default:
			dropped++
			continue
		}
		group.Go(func() {
			defer func() { <-r.tokens }()
			r.one(ctx, n, post, size)
		})
	}
}

// one sends one request and compares its answer.
func (r *run) one(ctx context.Context, n int, post bool, size int) {
	id := fmt.Sprintf("load-%d-%d", r.plan.Seed, n)
	request, body, err := r.request(ctx, n, id, post, size)
	if err != nil {
		r.note(standin.Request{ID: id, Idempotent: true, Outcome: standin.Nothing}, "request "+id+": "+err.Error())
		return
	}
	begun := time.Now()
	said, wrong := r.exchange(request, id, body)
	if said == standin.Answered {
		r.mu.Lock()
		metrics.Record(r.times, time.Since(begun))
		r.mu.Unlock()
	}
	r.note(standin.Request{ID: id, Idempotent: !post, Outcome: said}, wrong)
}

func (r *run) note(sent standin.Request, wrong string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, sent)
	if wrong != "" {
		r.wrong = append(r.wrong, wrong)
	}
}

func (r *run) request(ctx context.Context, n int, id string, post bool, size int) (*http.Request, []byte, error) {
	url := r.plan.Entries[n%len(r.plan.Entries)] + "/load/" + id
	method, body := http.MethodGet, []byte(nil)
	if post {
		method, body = http.MethodPost, pattern(id, size)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrapf(err, "entry %s", url)
	}
	request.Header.Set(entry.HeaderClass, r.plan.Class)
	request.Header.Set(entry.HeaderWorkspace, r.plan.Workspace)
	request.Header.Set(standin.HeaderRequest, id)
	request.Header.Set(standin.HeaderWork, strconv.FormatFloat(r.plan.ServiceTime.Seconds()*1000, 'f', 2, 64))
	if post {
		request.Header.Set(standin.HeaderEcho, "true")
	}
	return request, body, nil
}

// pattern is a body that no other request has.
func pattern(id string, size int) []byte {
	unit := []byte(id + ";")
	return bytes.Repeat(unit, size/len(unit)+1)
}

// exchange sends a request; wrong says what is wrong with an answer that came.
func (r *run) exchange(request *http.Request, id string, body []byte) (said standin.Outcome, wrong string) {
	response, err := r.http.Do(request)
	if err != nil {
		return standin.Nothing, ""
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return standin.Nothing, ""
	}
	said = standin.OutcomeOf(response.Header.Get(problem.HeaderOutcome))
	if said != standin.Answered || response.StatusCode != http.StatusOK {
		return said, ""
	}
	switch {
	case body == nil && !bytes.Contains(got, []byte("/load/"+id+"\n")):
		wrong = "request " + id + " got the answer of another: " + string(got)
	case body != nil && !bytes.Equal(got, body):
		wrong = fmt.Sprintf("request %s got %d bytes back of %d", id, len(got), len(body))
	case body != nil && response.Trailer.Get("Standin-Length") != strconv.Itoa(len(body)):
		wrong = "request " + id + " got no right trailer: " + response.Trailer.Get("Standin-Length")
	}
	return said, wrong
}

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
		case standin.Nothing:
			result.NoAnswer++
		}
	}
	quantile := func(q float64) time.Duration {
		return time.Duration(r.times.ValueAtQuantile(q)) * time.Microsecond
	}
	result.P50, result.P99, result.P999 = quantile(50), quantile(99), quantile(99.9)
	return result
}

// witnesses asks the stand-in upstreams what they saw.
func (r *run) witnesses(ctx context.Context) ([]standin.Observations, error) {
	var seen []standin.Observations
	for _, base := range r.plan.Upstreams {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/standin/witness", nil)
		if err != nil {
			return nil, errors.Wrapf(err, "upstream %s", base)
		}
		response, err := r.http.Do(request)
		if err != nil {
			return nil, errors.Wrapf(err, "upstream %s", base)
		}
		var one standin.Observations
		err = json.NewDecoder(response.Body).Decode(&one)
		_ = response.Body.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "witness of upstream %s", base)
		}
		seen = append(seen, one)
	}
	return seen, nil
}
