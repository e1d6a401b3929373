// Package worker is the client of the task interface of an upstream instance. It starts,
// stops, throttles and checkpoints tasks there on the orders of the shard's owner, and sends
// the leases under which they run. Which tasks run where is left to the owner.
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

// AttemptID identifies one attempt at a task.
type AttemptID struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// Call is the body of every call to a worker; each call uses the fields that it needs.
// LeaseDeadline is a time on the worker's own clock. Number counts the leases that the agent
// has sent. The worker refuses a lease that arrives after one with a higher number, so that a
// delayed copy changes nothing.
type Call struct {
	Agent         string           `json:"holder"`
	Number        uint64           `json:"number,omitempty"`
	AttemptID     AttemptID        `json:"reference,omitzero"`
	LeaseDeadline time.Duration    `json:"until,omitempty"`
	Leased        []AttemptID      `json:"keep,omitempty"`
	Start         *placement.Start `json:"start,omitempty"`
	Checkpoint    []byte           `json:"checkpoint,omitempty"`
	Share         float64          `json:"share,omitempty"`
	CheckpointKey string           `json:"note,omitempty"` // the worker stores it with a stopped task
}

// TaskReport is the worker's report on one task. UsedProcessors is the number of cores in use,
// measured some time before the report.
type TaskReport struct {
	AttemptID
	RunState       placement.RunState  `json:"run"`
	Need           placement.Resources `json:"need"`
	Class          string              `json:"class"`
	UsedProcessors float64             `json:"used"`
	Share          float64             `json:"share"`
	Reason         string              `json:"why,omitempty"`
	CheckpointKey  string              `json:"note,omitempty"`
}

// Status is the worker's report on itself and its tasks. Incarnation is new with each start
// of the worker. Clock is a reading of its monotonic clock.
type Status struct {
	Incarnation string        `json:"boot"`
	Clock       time.Duration `json:"clock"`
	Tasks       []TaskReport  `json:"tasks"`
}

// ErrUnclaimed is returned for a call to a worker that no agent has claimed yet.
var ErrUnclaimed = errors.New("no agent has claimed the worker")

// ErrSuperseded is returned for a call to a worker that another agent has claimed since.
var ErrSuperseded = errors.New("another agent has claimed the worker")

// Transport sends one call to a path of the worker and returns the status code and the body
// of the answer.
type Transport func(ctx context.Context, path string, body []byte) (status int, answer []byte, err error)

// Client calls a worker on behalf of one agent. It is safe for concurrent use if its
// Transport is.
type Client struct {
	transport Transport
	agent     string
}

// NewClient returns a client that calls the worker on behalf of the named agent.
func NewClient(transport Transport, agent string) *Client {
	return &Client{transport: transport, agent: agent}
}

// maxAnswerBytes bounds the body of a worker's answer, in bytes. A longer one is cut off.
const maxAnswerBytes = 64 << 20

// NewTransport returns a Transport over HTTP to the instance at the URL base.
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
		answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		return response.StatusCode, answer, errors.Wrapf(err, "read from peer %s", base)
	}
}

// Claim claims the worker for this client's agent.
func (c *Client) Claim(ctx context.Context) (Status, error) {
	return c.status(ctx, "/task/claim", Call{})
}

// Lease allows the tasks in leased to run until the worker's clock shows deadline; the worker
// pauses all others. number must grow with each lease that the agent sends.
func (c *Client) Lease(ctx context.Context, number uint64, deadline time.Duration, leased []AttemptID) (Status, error) {
	return c.status(ctx, "/task/lease", Call{Number: number, LeaseDeadline: deadline, Leased: leased})
}

// Start sends a task to the worker, with its checkpoint if there is one. The task runs only
// after a later lease that names it, so that a start which arrives late runs nothing.
func (c *Client) Start(ctx context.Context, start placement.Start, checkpoint []byte) error {
	_, err := c.call(ctx, "/task/start", Call{Start: &start, Checkpoint: checkpoint})
	return err
}

// Throttle sets the share of its processors that a task may use, 0 to 1.
func (c *Client) Throttle(ctx context.Context, id AttemptID, share float64) error {
	_, err := c.call(ctx, "/task/throttle", Call{AttemptID: id, Share: share})
	return err
}

// Checkpoint pauses a task and returns its saved state.
func (c *Client) Checkpoint(ctx context.Context, id AttemptID) ([]byte, error) {
	return c.call(ctx, "/task/checkpoint", Call{AttemptID: id})
}

// Stop stops a task permanently. The worker's reports repeat checkpointKey, the object key of
// the task's checkpoint.
func (c *Client) Stop(ctx context.Context, id AttemptID, checkpointKey string) error {
	_, err := c.call(ctx, "/task/stop", Call{AttemptID: id, CheckpointKey: checkpointKey})
	return err
}

// Forget makes the worker drop its record of a task that has ended.
func (c *Client) Forget(ctx context.Context, id AttemptID) error {
	_, err := c.call(ctx, "/task/forget", Call{AttemptID: id})
	return err
}

func (c *Client) status(ctx context.Context, path string, call Call) (Status, error) {
	answer, err := c.call(ctx, path, call)
	if err != nil {
		return Status{}, err
	}
	var status Status
	err = json.Unmarshal(answer, &status)
	return status, errors.Wrap(err, "decode worker's status")
}

// Titles of the problems with which a worker refuses an agent.
const (
	TitleUnclaimed  = "unclaimed"
	TitleSuperseded = "superseded"
)

// Steps at which a worker refuses a start permanently: the task is not on the worker, and the
// start is not to be sent again.
const (
	StepRoom       = "room"
	StepCheckpoint = "checkpoint"
)

func (c *Client) call(ctx context.Context, path string, call Call) ([]byte, error) {
	call.Agent = c.agent
	body, err := json.Marshal(call)
	if err != nil {
		return nil, errors.Wrap(err, "encode call to worker")
	}
	status, answer, err := c.transport(ctx, path, body)
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
