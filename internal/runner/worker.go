// Package runner drives the worker beside it for the owner of the shard: it passes
// orders on, keeps the worker's lease, and reports what the worker lists.
package runner

import (
	"context"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

//go:generate stringer -type=Status -linecomment

// Status is how a worker answered an order.
type Status int

// The kinds of answer. Without an answer the call returns an error, and the order may
// still be carried out.
const (
	Applied          Status = iota // obeyed
	Rejected                       // rejected: nothing was done
	Unhealthy                      // unhealthy: nothing was done
	WrongIncarnation               // other life: the worker is not the one that was meant
)

// Answer is a worker's answer to an order.
type Answer struct {
	Status Status
	Reason string // of a rejection
}

// RunStatus is a run on the worker's list.
type RunStatus struct {
	dispatch.RunStatus
	// Pace is the share of its speed that the task is allowed, or for a lasting task
	// whether it is at work (100).
	Pace int
	// Measurement is the tail latency in ms of a task that serves, else the processors in use
	// in thousandths of a core; both of the last half second.
	Measurement float64
}

// PollResult is a worker's answer to a hold.
type PollResult struct {
	Answer
	Clock     int64 // ms on the worker's own clock
	StartedAt int64
	Running   []RunStatus
	Ended     []dispatch.End
}

// PollCall asks for the lists and extends the lease.
type PollCall struct {
	Incarnation   dispatch.Incarnation
	Fence         uint64
	LeaseDeadline int64 // on the worker's clock; 0: the lease stays as it is
	Acked         int64 // ends up to this number are forgotten
	Wait          int64 // ms that the worker may wait for an end
}

// StartCall starts a run.
type StartCall struct {
	Incarnation   dispatch.Incarnation
	Fence         uint64
	LeaseDeadline int64 // on the worker's clock: the order is void afterwards
	Task          dispatch.TaskName
	Run           int64
	Payload       string
	Checkpoint    string
}

// StopCall ends a run.
type StopCall struct {
	Incarnation dispatch.Incarnation
	Fence       uint64
	Task        dispatch.TaskName
	Run         int64
}

// PaceCall sets the share of its speed that a run works at.
type PaceCall struct {
	Incarnation dispatch.Incarnation
	Fence       uint64
	Task        dispatch.TaskName
	Run         int64
	Pace        int
}

// Worker is how the worker is called. The calls are seams; each takes its bound from
// ctx, and none repeats an order by itself.
type Worker struct {
	Poll    func(ctx context.Context, call PollCall) (PollResult, error)
	Start   func(ctx context.Context, call StartCall) (Answer, error)
	Stop    func(ctx context.Context, call StopCall) (Answer, error)
	SetPace func(ctx context.Context, call PaceCall) (Answer, error)
}
