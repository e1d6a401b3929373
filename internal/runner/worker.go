// Package runner runs in the agent. It is the part of an agent that drives one worker for the
// owner of the shard: it passes the owner's orders to the worker, renews the worker's lease,
// slows its best-effort runs and reports its runs to the owner. Scheduling is left to the
// owner, the protocol to the worker to the functions in Worker.
//
// The runner starts a run only on an order of the owner in the current session. The owner
// stores only the starts under way, so a full report lists every run that may exist on the worker, including
// those that an order in flight may still start. It is sent after the worker has answered a
// poll that was sent in the session with the owner's epoch.
//
// The runner rejects a start if it knows a run of the task with the same or a higher number,
// or if an order for a run of the task may still take effect. A start that gets no answer is
// sent up to maxStartTries times with the same run number and then stopped. So the worker has
// to detect repeated and late starts itself, by the checks described at Worker.
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
	Status    Status
	Reason    string // why the worker rejected the order
	Fenced    bool   // the worker rejected the order because it has seen a higher fencing token
	StartedAt int64  // start of the incarnation that answered, Unix ms; 0 if not given
	// AnsweredAt is the reading of the worker's own clock, in ms, as it answered; 0 if not given. It is the only
	// mark of the incarnation in answers that have no StartedAt: the clock of each starts anew.
	AnsweredAt int64
}

// RunStatus is the status of one running run in a poll result.
type RunStatus struct {
	dispatch.RunStatus
	// Pace is the allowed share of the task's full speed, in percent. For a long-running task
	// it only shows whether the task works: 100 if it does. The runner does not read it: the
	// pacer uses Measurement.
	Pace int
	// Measurement is the tail latency in ms of a latency-critical task, or the processor use
	// of any other task in thousandths of a core; both over the last half second.
	Measurement float64
}

// PollResult is a worker's answer to a poll.
type PollResult struct {
	Answer
	Clock   int64 // reading of the worker's own clock, in ms
	Running []RunStatus
	Ended   []dispatch.End
	// EndsCutOff says that the worker may have ends that it has not listed, since it lists a limited
	// number at a time, the oldest first. A run that is not listed may then have ended.
	EndsCutOff bool
}

// PollCall requests the worker's running and ended runs and extends its lease.
type PollCall struct {
	Incarnation   dispatch.Incarnation
	Fence         uint64 // fencing token of the session, see link.Fence
	LeaseDeadline int64  // in ms on the worker's clock; 0 leaves the lease as it is
	Acked         int64  // the worker may forget ends up to this sequence number
	Wait          int64  // ms that the worker may wait for a run to end
}

// StartCall starts a run.
type StartCall struct {
	Incarnation   dispatch.Incarnation
	Fence         uint64 // fencing token of the session, see link.Fence
	LeaseDeadline int64  // in ms on the worker's clock; the order is void afterwards
	Task          dispatch.TaskName
	Run           int64
	Payload       string
	Checkpoint    string
}

// StopCall ends a run.
type StopCall struct {
	Incarnation dispatch.Incarnation
	Fence       uint64 // fencing token of the session, see link.Fence
	Task        dispatch.TaskName
	Run         int64
}

// PaceCall slows a run to Pace percent of its full speed. For the tasks of package worker
// the same order is worker.Client.Throttle, with a share of 0 to 1.
type PaceCall struct {
	Incarnation dispatch.Incarnation
	Fence       uint64 // fencing token of the session, see link.Fence
	Task        dispatch.TaskName
	Run         int64
	Pace        int
}

// Worker holds the functions that call the worker, so that tests can replace them. Each call
// ends when ctx is done. None sends an order more than once. They may be called concurrently.
//
// The runner relies on checks that the worker makes, as the worker of package testcluster
// does. The worker answers WrongIncarnation to a call for another worker ID, but carries out one for
// an earlier incarnation with its ID. It rejects a
// call whose Fence is lower than one that it has seen, a start after its LeaseDeadline, a
// start of a run number that is not above the last ended one of the task, and a start of
// another run number while a run of the task is running. A start of the number that is
// running changes nothing but the lease, and the answer is Applied.
type Worker struct {
	Poll    func(ctx context.Context, call PollCall) (PollResult, error)
	Start   func(ctx context.Context, call StartCall) (Answer, error)
	Stop    func(ctx context.Context, call StopCall) (Answer, error)
	SetPace func(ctx context.Context, call PaceCall) (Answer, error)
}
