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
	// host and prefix lead to the queue of the soak.
	host   = "q.example"
	prefix = "/q/"
	// jobPeriod is the mean time between two jobs.
	jobPeriod = 120 * time.Millisecond
	// tryBound is how long a client waits for an answer, tries how often it asks.
	tryBound = 3 * time.Second
	tries    = 4
	// knownAfter is how long after its acceptance every entry must know a job.
	knownAfter = 3 * time.Second
	// attempts are the failed runs after which a job has failed.
	attempts = 2
	// badPayload is that of jobs whose tasks always fail.
	badPayload = "bad"
)

// clients hand jobs in and ask for them, over connections that they keep.
type clients struct {
	fleet *fleet
	http  *http.Client
	mu    sync.Mutex
	jobs  []*submitted
}

// submitted is a job as its client knows it.
type submitted struct {
	job       dispatch.Job
	accepted  time.Time // zero: not, as far as the client knows
	refused   bool      // every try was refused
	cancelled bool      // as far as the client asked for it
	final     string
}

func newClients(f *fleet) *clients {
	return &clients{fleet: f, http: &http.Client{Timeout: tryBound, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// run hands jobs in until ctx ends.
func (c *clients) run(ctx context.Context, random *rand.Rand) {
	var all sync.WaitGroup
	defer all.Wait()
	for ctx.Err() == nil {
		s := &submitted{job: drawJob(random)}
		cancels := random.IntN(12) == 0
		c.fleet.watch.Submitted(&s.job)
		c.mu.Lock()
		c.jobs = append(c.jobs, s)
		c.mu.Unlock()
		all.Go(func() { c.life(s, cancels) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(2 * jobPeriod)))):
		}
	}
}

// drawJob makes a job of one or two steps.
func drawJob(random *rand.Rand) dispatch.Job {
	job := dispatch.Job{ID: fmt.Sprintf("%016x", random.Uint64()), Policy: dispatch.Policy{Attempts: attempts}}
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
		job.Payload = badPayload
	}
	return job
}

// life hands a job in, and cancels it if so drawn.
func (c *clients) life(s *submitted, cancels bool) {
	refusals := 0
	for try := range tries {
		status, _ := c.call(http.MethodPost, s.job.ID, bodyOf(s.job))
		switch {
		case status == http.StatusOK:
			c.mu.Lock()
			s.accepted = time.Now()
			c.mu.Unlock()
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			refusals++
		}
		if status == http.StatusOK {
			break
		}
		time.Sleep(time.Duration(try+1) * 100 * time.Millisecond)
	}
	c.mu.Lock()
	s.refused = refusals == tries
	accepted := !s.accepted.IsZero()
	c.mu.Unlock()
	if cancels && accepted {
		time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
		c.mu.Lock()
		s.cancelled = true // also if the answer is lost
		c.mu.Unlock()
		c.call(http.MethodDelete, s.job.ID, nil)
	}
}

// bodyOf writes a job as clients do.
func bodyOf(job dispatch.Job) []byte {
	steps := []map[string]any{}
	for _, step := range job.Steps {
		steps = append(steps, map[string]any{
			"count": step.Count, "cpu": step.Need.Processors, "mem_mb": step.Need.Memory, "estimate_ms": step.Estimate, "after": step.After,
		})
	}
	text, _ := json.Marshal(map[string]any{"spec": job.Payload, "steps": steps}) // maps of plain values
	return text
}

// call asks one entry. The status is 0 without an answer.
func (c *clients) call(method, id string, body []byte) (int, string) {
	front := c.fleet.fronts[rand.IntN(len(c.fleet.fronts))]
	request, err := http.NewRequest(method, "http://"+front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	response, err := c.http.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() {
		_ = response.Body.Close() // read to its end, or given up
	}()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var state struct {
		State string `json:"state"`
	}
	if response.StatusCode == http.StatusOK && len(text) > 0 {
		if err := json.Unmarshal(text, &state); err != nil {
			c.fleet.say("ANSWER %s %s: body %q", method, id, text)
		}
	}
	return response.StatusCode, state.State
}

// settle asks for every job until all accepted ones have ended, and judges what is shown.
func (c *clients) settle(bound time.Duration) {
	deadline := time.Now().Add(bound)
	for {
		open := 0
		for _, s := range c.jobs {
			if s.accepted.IsZero() || s.final != "" {
				continue
			}
			if c.ask(s); s.final == "" {
				open++
			}
		}
		if open == 0 || time.Now().After(deadline) {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, s := range c.jobs {
		c.judge(s)
	}
}

func (c *clients) ask(s *submitted) {
	status, state := c.call(http.MethodGet, s.job.ID, nil)
	switch {
	case status == http.StatusGone && time.Since(s.accepted) > knownAfter:
		c.fleet.say("LOST %s was accepted and is not known", s.job.ID)
		s.final = "lost"
	case state == "completed" || state == "failed" || state == "cancelled":
		s.final = state
	}
}

// judge says what should not have become of a job.
func (c *clients) judge(s *submitted) {
	bad := s.job.Payload == badPayload
	switch {
	case s.refused && c.fleet.watch.Started(s.job.ID):
		c.fleet.say("REFUSED %s was refused at each try and has started", s.job.ID)
	case s.accepted.IsZero():
	case s.final == "":
		c.fleet.say("LOST %s was accepted and has not ended", s.job.ID)
	case s.final == "completed" && (bad || !c.fleet.watch.AllDone(s.job.ID)):
		c.fleet.say("MIXED %s is shown as completed and not all of it is done", s.job.ID)
	case s.final == "failed" && !bad:
		c.fleet.say("LOST %s is shown as failed without cause", s.job.ID)
	case s.final == "cancelled" && !s.cancelled:
		c.fleet.say("LOST %s is shown as cancelled and nobody did", s.job.ID)
	}
}
