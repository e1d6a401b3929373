package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

const (
	// host and pathPrefix select the route of the job queue under test.
	host       = "q.example"
	pathPrefix = "/q/"
	// meanJobInterval is the mean time between two submissions.
	meanJobInterval = 120 * time.Millisecond
	// requestTimeout bounds how long a client waits for the response to one HTTP request.
	// maxSubmissions bounds how often it submits the same job.
	requestTimeout = 3 * time.Second
	maxSubmissions = 4
	// maxVisibilityDelay bounds the time from the acceptance of a job until every entry knows it.
	maxVisibilityDelay = 3 * time.Second
	// maxTaskAttempts is the number of failed runs of one task after which its job fails.
	maxTaskAttempts = 2
	// failingPayload marks jobs whose tasks always fail. It must equal failingPayload of package
	// testcluster, whose workers let such tasks fail.
	failingPayload = "bad"
)

// jobClient submits jobs and polls their states over persistent HTTP connections.
// awaitCompletion must be called after run has returned.
type jobClient struct {
	cluster *cluster
	http    *http.Client
	mu      sync.Mutex
	jobs    []*submittedJob
}

// submittedJob is a job and the outcome of its submission as its client knows it.
type submittedJob struct {
	job             dispatch.Job
	acceptedAt      time.Time // zero while the client has received no acceptance
	refused         bool      // every submission was refused with 503 or 429
	gone            bool      // the cancellation was answered: no such job exists
	cancelRequested bool      // the client has requested cancellation, even if the response was lost
	finalState      string    // final state that an entry returned, or "lost"; empty until then
}

// newJobClient returns a client that sends its requests to the entries of the cluster.
func newJobClient(c *cluster) *jobClient {
	return &jobClient{cluster: c, http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// run submits jobs that newJob returns at random intervals until ctx ends, and waits for all submissions.
func (c *jobClient) run(ctx context.Context, random *rand.Rand, newJob func(random *rand.Rand) dispatch.Job) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		s := c.add(newJob(random))
		cancels := random.IntN(12) == 0
		wg.Go(func() { c.submit(s, cancels) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(2 * meanJobInterval)))):
		}
	}
}

// add records a job that is about to be submitted.
func (c *jobClient) add(job dispatch.Job) *submittedJob {
	s := &submittedJob{job: job}
	c.cluster.checker.Submitted(&s.job)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, s)
	return s
}

// randomJob returns a job of one or two steps.
func randomJob(random *rand.Rand) dispatch.Job {
	job := dispatch.Job{ID: fmt.Sprintf("%016x", random.Uint64()), Policy: dispatch.Policy{Attempts: maxTaskAttempts}}
	for i := range 1 + random.IntN(2) {
		step := dispatch.Step{
			Count: 1 + random.IntN(4), Estimate: 50 + random.Int64N(1500),
			Need: dispatch.Resources{Processors: 500 * (1 + random.IntN(6)), Memory: 1000},
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	if random.IntN(20) == 0 {
		job.Payload = failingPayload
	}
	return job
}

// submit submits a job up to maxSubmissions times under the same ID. If cancels is set, it cancels the
// job, after a random delay of up to 1 s if the job was accepted.
func (c *jobClient) submit(s *submittedJob, cancels bool) {
	refusals := 0
	for submission := range maxSubmissions {
		status, _ := c.call(http.MethodPost, s.job.ID, encodeJob(s.job))
		switch {
		case status == http.StatusOK:
			c.mu.Lock()
			s.acceptedAt = time.Now()
			c.mu.Unlock()
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			refusals++
		}
		if status == http.StatusOK {
			break
		}
		time.Sleep(time.Duration(submission+1) * 100 * time.Millisecond)
	}
	c.mu.Lock()
	s.refused = refusals == maxSubmissions
	accepted := !s.acceptedAt.IsZero()
	c.mu.Unlock()
	if !cancels {
		return
	}
	if accepted {
		time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
	}
	c.mu.Lock()
	s.cancelRequested = true // set before the request, so that it holds if the response is lost
	c.mu.Unlock()
	status, _ := c.call(http.MethodDelete, s.job.ID, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.gone = status == http.StatusGone
}

// encodeJob returns the request body that submits a job.
func encodeJob(job dispatch.Job) []byte {
	steps := []map[string]any{}
	for _, step := range job.Steps {
		steps = append(steps, map[string]any{
			"count": step.Count, "cpu": step.Need.Processors, "mem_mb": step.Need.Memory, "estimate_ms": step.Estimate, "after": step.After,
			"long_running": step.LongRunning, "anti_affinity": step.MaxPerInstance,
		})
	}
	content, _ := json.Marshal(map[string]any{"spec": job.Payload, "steps": steps}) // a map of plain values always encodes
	return content
}

// call sends a request to a random entry and returns the HTTP status and the state of the
// job. The status is 0 if there was no complete response.
func (c *jobClient) call(method, id string, body []byte) (int, string) {
	address := c.cluster.entryAddresses[rand.IntN(len(c.cluster.entryAddresses))]
	request, err := http.NewRequest(method, "http://"+address+pathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	response, err := c.http.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() {
		_ = response.Body.Close() // the body was read to its end, or the response is discarded
	}()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var state struct {
		State string `json:"state"`
	}
	if response.StatusCode == http.StatusOK && len(content) > 0 {
		if err := json.Unmarshal(content, &state); err != nil {
			c.cluster.addViolation("ANSWER %s %s: body %q", method, id, content)
		}
	}
	return response.StatusCode, state.State
}

// awaitCompletion polls every accepted job until all have ended or the timeout has passed, and
// then checks the outcome of each job.
func (c *jobClient) awaitCompletion(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for {
		pending := 0
		for _, s := range c.jobs {
			if s.acceptedAt.IsZero() || s.finalState != "" {
				continue
			}
			if c.poll(s); s.finalState == "" {
				pending++
			}
		}
		if pending == 0 || time.Now().After(deadline) {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, s := range c.jobs {
		c.checkOutcome(s)
	}
}

// poll reads the state of a job once and records it if it is final.
func (c *jobClient) poll(s *submittedJob) {
	status, state := c.call(http.MethodGet, s.job.ID, nil)
	switch {
	case status == http.StatusGone && time.Since(s.acceptedAt) > maxVisibilityDelay:
		c.cluster.addViolation("LOST %s was accepted and is not known", s.job.ID)
		s.finalState = "lost"
	case state == "completed" || state == "failed" || state == "cancelled":
		s.finalState = state
	}
}

// checkOutcome reports a violation if the final state of a job contradicts its submission.
func (c *jobClient) checkOutcome(s *submittedJob) {
	mustFail := s.job.Payload == failingPayload
	switch {
	case s.refused && c.cluster.checker.Started(s.job.ID):
		c.cluster.addViolation("REFUSED %s was refused at each try and has started", s.job.ID)
	case s.gone && c.cluster.checker.Started(s.job.ID):
		c.cluster.addViolation("UNASKED %s has started, and its cancellation was answered with 410", s.job.ID)
	case s.acceptedAt.IsZero():
	case s.finalState == "":
		c.cluster.addViolation("LOST %s was accepted and has not ended", s.job.ID)
	case s.finalState == "completed" && (mustFail || !c.cluster.checker.AllDone(s.job.ID)):
		c.cluster.addViolation("MIXED %s is shown as completed and not all of it is done", s.job.ID)
	case s.finalState == "failed" && !mustFail:
		c.cluster.addViolation("LOST %s is shown as failed without cause", s.job.ID)
	case s.finalState == "cancelled" && !s.cancelRequested:
		c.cluster.addViolation("LOST %s is shown as cancelled and nobody did", s.job.ID)
	}
}
