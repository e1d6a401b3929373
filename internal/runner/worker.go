// Package runner is the part of an agent that drives one worker for the owner of the shard:
// it passes the owner's orders to the worker, renews the worker's lease, throttles its
// best-effort runs and reports its runs to the owner. Scheduling is left to the owner, the
// protocol to the worker to the functions in Worker.
package runner

import (
	"context"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

//go:generate stringer -type=Status -linecomment

// Status is the status of a worker's answer to an order.
type Status int

// The statuses of an answer. A call that gets no answer returns an error instead; the worker
// may still carry out the order.
const (
	Applied          Status = iota // obeyed
	Rejected                       // rejected: nothing was done
	Unhealthy                      // unhealthy: nothing was done
	WrongIncarnation               // other life: the worker is not the one that was meant
)

// Answer is a worker's answer to an order.
type Answer struct {
	Status Status
	Reason string // why the worker rejected the order
}

// RunStatus is the status of one running run in a poll result.
type RunStatus struct {
	dispatch.RunStatus
	// Pace is the allowed share of the task's full speed, in percent. For a long-running task
	// it only shows whether the task works: 100 if it does.
	Pace int
	// Measurement is the tail latency in ms of a latency-critical task, or the processor use
	// of any other task in thousandths of a core; both over the last half second.
	Measurement float64
}

// PollResult is a worker's answer to a poll.
type PollResult struct {
	Answer
	Clock     int64 // reading of the worker's own clock, in ms
	StartedAt int64 // start of the worker's incarnation, Unix ms; 0 if not given
	Running   []RunStatus
	Ended     []dispatch.End
}

// PollCall requests the worker's running and ended runs and extends its lease.
type PollCall struct {
	Incarnation   dispatch.Incarnation
	Fence         uint64 // epoch of the owner that the agent serves, as a fencing token
	LeaseDeadline int64  // in ms on the worker's clock; 0 leaves the lease as it is
	Acked         int64  // the worker may forget ends up to this sequence number
	Wait          int64  // ms that the worker may wait for a run to end
}

// StartCall starts a run.
type StartCall struct {
	Incarnation   dispatch.Incarnation
	Fence         uint64 // epoch of the owner that the agent serves, as a fencing token
	LeaseDeadline int64  // in ms on the worker's clock; the order is void afterwards
	Task          dispatch.TaskName
	Run           int64
	Payload       string
	Checkpoint    string
}

// StopCall ends a run.
type StopCall struct {
	Incarnation dispatch.Incarnation
	Fence       uint64 // epoch of the owner that the agent serves, as a fencing token
	Task        dispatch.TaskName
	Run         int64
}

// PaceCall throttles a run to Pace percent of its full speed. For the tasks of package worker
// the same order is worker.Client.Throttle, with a share of 0 to 1.
type PaceCall struct {
	Incarnation dispatch.Incarnation
	Fence       uint64 // epoch of the owner that the agent serves, as a fencing token
	Task        dispatch.TaskName
	Run         int64
	Pace        int
}

// Worker holds the functions that call the worker, so that tests can replace them. Each call
// ends when ctx is done. None sends an order more than once. They may be called concurrently.
type Worker struct {
	Poll    func(ctx context.Context, call PollCall) (PollResult, error)
	Start   func(ctx context.Context, call StartCall) (Answer, error)
	Stop    func(ctx context.Context, call StopCall) (Answer, error)
	SetPace func(ctx context.Context, call PaceCall) (Answer, error)
}
