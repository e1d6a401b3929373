package link

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/cockroachdb/errors"
)

// Method names of the dispatch of jobs with steps.
const (
	MethodAttach    = "attach"    // agent to owner
	MethodReport    = "report"    // agent to owner
	MethodOrders    = "orders"    // owner to agent
	MethodAccepted  = "accepted"  // entry to owner
	MethodCancelled = "cancelled" // entry to owner
	MethodBacklog   = "waiting"   // entry to owner
	MethodWhoOwns   = "whoowns"   // anybody to an entry
	MethodKnown     = "known"     // entry to owner
	MethodSubmit    = "submit"    // entry to another entry
	MethodState     = "state"     // entry to another entry
	MethodCancel    = "cancel"    // entry to another entry
)

// MaxStaleLease is how long a worker that began another life under its ID may hold a lease
// that nobody granted it: an order to the life before, carried out late, has its end on
// the clock of that life, and the longest lease is 10 s. StaleOrderWindow is how long after the
// new life's first attach such an order may come.
const (
	MaxStaleLease    = 10*time.Second + 300*time.Millisecond
	StaleOrderWindow = 15 * time.Second
)

// Attach begins a session of an agent with the owner. Until the agent has reported a
// full list it gets no orders.
type Attach struct {
	Registration dispatch.Registration `json:"offer"`
	Session      uint64                `json:"session"` // grows with each attach of this agent
}

// AttachReply answers an Attach. Epoch is the fencing token of the owner's orders.
type AttachReply struct {
	Epoch uint64 `json:"epoch"`
}

// Report is the news of an agent. Full reports have in Running all that may run on the
// instance, also what an order could still start; others have checkpoints only.
type Report struct {
	Registration  dispatch.Registration  `json:"offer"`
	Full          bool                   `json:"full,omitempty"`
	Running       []dispatch.RunStatus   `json:"running,omitempty"`
	Ends          []dispatch.End         `json:"ends,omitempty"`
	Measurements  []dispatch.Measurement `json:"figures,omitempty"`
	Silent        bool                   `json:"silent,omitempty"` // the worker does not answer its agent
	LeasesExpired bool                   `json:"lapsed,omitempty"` // and all its leases are over
}

// ReportReply answers a Report.
type ReportReply struct {
	Grant     int64 `json:"grant,omitempty"` // ms of lease, from when the report was sent
	Committed int64 `json:"kept,omitempty"`  // ends up to this number are in the table
	// Costs are what filling images cost the serving ones on the instance, where that
	// has changed since the last report.
	Costs []interference.PairCost `json:"weights,omitempty"`
}

// Orders are what an agent is to do. Committed is as in ReportReply.
type Orders struct {
	Session   uint64       `json:"session"`
	Starts    []StartOrder `json:"starts,omitempty"`
	Stops     []StopOrder  `json:"stops,omitempty"`
	Committed int64        `json:"kept,omitempty"`
	// Specs describe runs that the agent has found and was not ordered to start.
	Specs []StartOrder `json:"traits,omitempty"`
}

// StartOrder starts one run of a task.
type StartOrder struct {
	Task       dispatch.TaskName `json:"task"`
	Run        int64             `json:"run"`
	Payload    string            `json:"payload,omitempty"`
	Checkpoint string            `json:"saved,omitempty"`
	Image      string            `json:"image,omitempty"` // what it runs: tasks of one image behave alike
	Millicores int               `json:"cores,omitempty"` // asked for, in thousandths
	BestEffort bool              `json:"fills,omitempty"`
	Target     int64             `json:"target,omitempty"` // ms of tail latency
}

// StopOrder ends one run of a task.
type StopOrder struct {
	Task dispatch.TaskName `json:"task"`
	Run  int64             `json:"run"`
}

// Accepted tells the owner of a job that is in the table.
type Accepted struct {
	Job dispatch.Job `json:"job"`
}

// Cancelled tells the owner of a cancellation that is in the table.
type Cancelled struct {
	ID string `json:"id"`
}

// Backlog answers with the number of jobs of each queue of which nothing has started.
type Backlog struct {
	Counts map[string]int `json:"counts"`
}

// JobID names a job, for Known, State and Cancel.
type JobID struct {
	ID string `json:"id"`
}

// Known answers what the owner has in memory of a job.
type Known struct {
	Known bool           `json:"known"`
	State dispatch.State `json:"state"`
}

// ForwardReply answers a call that an entry did for another. Outcome is of package submission.
type ForwardReply struct {
	Outcome int            `json:"verdict"`
	State   dispatch.State `json:"state"`
}

// OwnerReply answers who owns the shard, as far as the entry knows.
type OwnerReply struct {
	Address      string `json:"address"` // of its link; "" when nobody is known
	OwnerVersion uint64 `json:"under"`   // version of the owner's row
}

// NotifyWith sends a message with parameters and without an answer.
func (c *Conn) NotifyWith(ctx context.Context, method string, params any) error {
	return errors.Wrapf(c.rpc.Notify(ctx, method, params), "tell %s to peer %s", method, c.peer)
}
