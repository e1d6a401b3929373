// Package runner drives the worker beside it for the owner of the shard: it passes
// orders on, keeps the worker's lease, and reports what the worker lists.
package runner

import (
	"context"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

//go:generate stringer -type=Kind -linecomment

// Kind is how a worker answered an order.
type Kind int

// The kinds of answer. Without an answer the call returns an error, and the order may
// still be carried out.
const (
	Obeyed           Kind = iota // obeyed
	Rejected                     // rejected: nothing was done
	Unhealthy                    // unhealthy: nothing was done
	WrongIncarnation             // other life: the worker is not the one that was meant
)

// Answer is a worker's answer to an order.
type Answer struct {
	Kind   Kind
	Reason string // of a rejection
}

// Listed is a run on the worker's list.
type Listed struct {
	dispatch.RunStatus
	// Percent is the share of its speed that the task is allowed, or for a lasting task
	// whether it is at work (100).
	Percent int
	// Figure is the tail latency in ms of a task that serves, else the processors in use
	// in thousandths of a core; both of the last half second.
	Figure float64
}

// Lists is a worker's answer to a hold.
type Lists struct {
	Answer
	Clock     int64 // ms on the worker's own clock
	StartedAt int64
	Running   []Listed
	Ended     []dispatch.End
}

// HoldCall asks for the lists and extends the lease.
type HoldCall struct {
	Incarnation dispatch.Incarnation
	Fence       uint64
	Until       int64 // on the worker's clock; 0: the lease stays as it is
	Seen        int64 // ends up to this number are forgotten
	Wait        int64 // ms that the worker may wait for an end
}

// StartCall starts a run.
type StartCall struct {
	Incarnation dispatch.Incarnation
	Fence       uint64
	Until       int64 // on the worker's clock: the order is void afterwards
	Task        dispatch.TaskName
	Run         int64
	Payload     string
	Checkpoint  string
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
	Percent     int
}

// Worker is how the worker is called. The calls are seams; each takes its bound from
// ctx, and none repeats an order by itself.
type Worker struct {
	Hold  func(ctx context.Context, call HoldCall) (Lists, error)
	Start func(ctx context.Context, call StartCall) (Answer, error)
	Stop  func(ctx context.Context, call StopCall) (Answer, error)
	Pace  func(ctx context.Context, call PaceCall) (Answer, error)
}
