// Package worker is the client of the task interface of an upstream instance.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/cockroachdb/errors"
)

// AttemptID names one attempt at a task.
type AttemptID struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// Call is the body of every call; each uses the fields it needs. Until is a
// moment on the worker's own clock. Number counts the leases a holder has sent: a
// lease that comes after a later one is refused, so that a late copy changes nothing.
type Call struct {
	Agent         string           `json:"holder"`
	Number        uint64           `json:"number,omitempty"`
	AttemptID     AttemptID        `json:"reference,omitzero"`
	LeaseDeadline time.Duration    `json:"until,omitempty"`
	Leased        []AttemptID      `json:"keep,omitempty"`
	Start         *placement.Start `json:"start,omitempty"`
	Checkpoint    []byte           `json:"checkpoint,omitempty"`
	Share         float64          `json:"share,omitempty"`
	CheckpointKey string           `json:"note,omitempty"` // kept with a stopped task
}

// TaskReport is the worker's word on one task. Usage comes late: it is what was
// measured some time before.
type TaskReport struct {
	AttemptID
	RunState      placement.RunState  `json:"run"`
	Need          placement.Resources `json:"need"`
	Class         string              `json:"class"`
	Processors    float64             `json:"used"`
	Share         float64             `json:"share"`
	Reason        string              `json:"why,omitempty"`
	CheckpointKey string              `json:"note,omitempty"`
}

// Report is the worker's word on itself. Incarnation is new with each start of the
// worker; Clock is its monotonic clock.
type Report struct {
	Incarnation string        `json:"boot"`
	Clock       time.Duration `json:"clock"`
	Tasks       []TaskReport  `json:"tasks"`
}

// ErrUnclaimed marks calls to a worker that has no holder yet.
var ErrUnclaimed = errors.New("worker has no holder")

// ErrSuperseded marks calls to a worker that another agent claimed later.
var ErrSuperseded = errors.New("another agent holds the worker")

// Transport sends one call to the worker's path and returns the answer's body.
type Transport func(ctx context.Context, path string, body []byte) (status int, answer []byte, err error)

// Client calls the worker as one holder.
type Client struct {
	post   Transport
	holder string
}

// NewClient makes a client that calls as holder.
func NewClient(post Transport, holder string) *Client { return &Client{post: post, holder: holder} }

// bodyMost bounds an answer of the worker, in bytes.
const bodyMost = 64 << 20

// NewTransport makes a Transport over HTTP to the instance at base.
func NewTransport(base string, client *http.Client) Transport {
	return func(ctx context.Context, path string, body []byte) (int, []byte, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil, errors.Wrap(err, "build request")
		}
		response, err := client.Do(request)
		if err != nil {
			return 0, nil, errors.Wrapf(err, "peer %s", base)
		}
		defer func() { _ = response.Body.Close() }()
		answer, err := io.ReadAll(io.LimitReader(response.Body, bodyMost))
		return response.StatusCode, answer, errors.Wrapf(err, "read from peer %s", base)
	}
}

// Claim makes this client the holder of the worker.
func (c *Client) Claim(ctx context.Context) (Report, error) {
	return c.report(ctx, "/task/claim", Call{})
}

// Lease lets the tasks in keep run until the worker's clock shows until; all
// others are paused. It is the holder's lease of that number.
func (c *Client) Lease(ctx context.Context, number uint64, until time.Duration, keep []AttemptID) (Report, error) {
	return c.report(ctx, "/task/lease", Call{Number: number, LeaseDeadline: until, Leased: keep})
}

// Start hands a task over, with its checkpoint if there is one. It runs from the
// next lease that keeps it, so that a start which comes late runs nothing.
func (c *Client) Start(ctx context.Context, start placement.Start, checkpoint []byte) error {
	_, err := c.call(ctx, "/task/start", Call{Start: &start, Checkpoint: checkpoint})
	return err
}

// Throttle sets the share of its processors a task may use, 0 to 1.
func (c *Client) Throttle(ctx context.Context, of AttemptID, share float64) error {
	_, err := c.call(ctx, "/task/throttle", Call{AttemptID: of, Share: share})
	return err
}

// Checkpoint pauses a task and returns its saved state.
func (c *Client) Checkpoint(ctx context.Context, of AttemptID) ([]byte, error) {
	return c.call(ctx, "/task/checkpoint", Call{AttemptID: of})
}

// Stop ends a task for good; note, the key of its checkpoint, comes back in reports.
func (c *Client) Stop(ctx context.Context, of AttemptID, note string) error {
	_, err := c.call(ctx, "/task/stop", Call{AttemptID: of, CheckpointKey: note})
	return err
}

// Forget drops the record of a task that has ended.
func (c *Client) Forget(ctx context.Context, of AttemptID) error {
	_, err := c.call(ctx, "/task/forget", Call{AttemptID: of})
	return err
}

func (c *Client) report(ctx context.Context, path string, call Call) (Report, error) {
	answer, err := c.call(ctx, path, call)
	if err != nil {
		return Report{}, err
	}
	var report Report
	err = json.Unmarshal(answer, &report)
	return report, errors.Wrap(err, "decode worker's report")
}

// Titles of the problems by which a worker refuses a holder.
const (
	TitleUnclaimed  = "unclaimed"
	TitleSuperseded = "superseded"
)

// Steps at which a worker refuses a start for good: the task is not there and is
// not to be sent again.
const (
	StepRoom       = "room"
	StepCheckpoint = "checkpoint"
)

func (c *Client) call(ctx context.Context, path string, call Call) ([]byte, error) {
	call.Agent = c.holder
	body, err := json.Marshal(call)
	if err != nil {
		return nil, errors.Wrap(err, "encode call of worker")
	}
	status, answer, err := c.post(ctx, path, body)
	if err != nil {
		return nil, errors.Wrapf(err, "worker %s", path)
	}
	if status == http.StatusOK {
		return answer, nil
	}
	var refused problem.Problem
	if err := json.Unmarshal(answer, &refused); err != nil {
		return nil, errors.Newf("worker %s answered status %d", path, status)
	}
	switch refused.Title {
	case TitleUnclaimed:
		return nil, ErrUnclaimed
	case TitleSuperseded:
		return nil, ErrSuperseded
	}
	return nil, refused
}
