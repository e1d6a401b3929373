package link

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/cockroachdb/errors"
)

// Names of the methods for jobs with steps (dispatch.Job), which packages owner and runner
// schedule and run. The batch jobs of package job use heartbeats instead. Each comment
// names the caller and the callee.
const (
	MethodAttach    = "attach"    // agent to owner
	MethodReport    = "report"    // agent to owner
	MethodOrders    = "orders"    // owner to agent
	MethodAccepted  = "accepted"  // entry to owner
	MethodCancelled = "cancelled" // entry to owner
	MethodBacklog   = "waiting"   // entry to owner
	MethodWhoOwns   = "whoowns"   // any process to an entry
	MethodKnown     = "known"     // entry to owner
	MethodSubmit    = "submit"    // entry to another entry
	MethodState     = "state"     // entry to another entry
	MethodCancel    = "cancel"    // entry to another entry
	MethodExplain   = "explain"   // any process to an entry, entry to owner
	MethodEvacuated = "evacuated" // entry to owner, with an evacuation.State
)

// MaxCallDelay is the longest time after a call was sent in which a worker may still carry it
// out, unless it has seen a higher fencing token since.
const MaxCallDelay = 15 * time.Second

// ClockDriftDivisor bounds how much longer a duration lasts on another process's clock than on one's own:
// one part in 40, or 2.5 %, since a worker's clock may be 2 % slow.
const ClockDriftDivisor = 40

// staleLeaseMargin is added to the bound of a stale lease.
const staleLeaseMargin = 50 * time.Millisecond

// MaxStaleLease bounds the time for which a stale lease lasts, from when its call is carried out. A worker
// that has restarted under its ID carries out calls that were sent to its previous incarnation. The lease of
// such a call ends on the clock of that incarnation, which is far ahead, so the new one cuts it to its
// longest lease, maxLease on its own clock, which no owner has granted.
func MaxStaleLease(maxLease time.Duration) time.Duration {
	return maxLease + maxLease/ClockDriftDivisor + staleLeaseMargin
}

// MaxUnfencedLease bounds the time from the end of the calls to the previous incarnation until each stale lease
// has expired, as long as the new one may have seen no higher fencing token.
func MaxUnfencedLease(maxLease time.Duration) time.Duration {
	return MaxCallDelay + MaxStaleLease(maxLease)
}

// fencesPerEpoch is the size of the range of fencing tokens that each owner epoch has to itself.
const fencesPerEpoch = 1_000_000

// MaxAttaches bounds the attaches that one epoch can number.
const MaxAttaches = fencesPerEpoch - 1

// Fence returns the fencing token of an agent's calls to its worker: attach is the number of the
// agent's session among all sessions, of any agent, under the owner of an epoch. Each session has a higher one
// than all before it, so that a call of an earlier session, which may have been meant for an earlier
// incarnation of the worker, has no effect once the worker has seen it. And no worker has seen a higher one, whatever
// agent called it, before a later session began.
func Fence(epoch, attach uint64) uint64 { return epoch*fencesPerEpoch + min(attach, MaxAttaches) }

// Attach starts a session of an agent with the owner. The owner sends no starts until the
// agent has sent a full report; it may send stops and Committed before.
type Attach struct {
	Registration dispatch.Registration `json:"offer"`
	Session      uint64                `json:"session"` // increases with each attach of this agent
	// LeasesExpired says that the worker is silent and all leases given to it have expired. No
	// session starts then. Epoch is that of the owner that it is meant for: a later owner may
	// receive it late, after it has ceased to be true.
	LeasesExpired bool   `json:"over,omitempty"`
	Epoch         uint64 `json:"epoch,omitempty"`
	// Vacant says that no worker has registered with this agent process, and that all leases which
	// an earlier process of the agent gave have expired. Registration then names the agent only, and
	// no session starts. Epoch is as above.
	Vacant bool `json:"vacant,omitempty"`
	// StaleLease is how long the worker may still hold a stale lease, in ms.
	StaleLease int64 `json:"stale,omitempty"`
	// UnderWay lists, with LeasesExpired, all starts of this agent process that the worker may still
	// carry out.
	UnderWay []dispatch.StartUnderWay `json:"underway,omitempty"`
	// Crash is the last crash of the worker, if it was lately. Each attach repeats it, since the
	// owner may have changed.
	Crash *Crash `json:"crash,omitempty"`
	// Evacuation is what the agent knows, nil unless its domain is evacuated.
	Evacuation *Evacuation `json:"evacuation,omitempty"`
}

// Crash is a crash of a worker.
type Crash struct {
	Age      int64                `json:"age"`                // ms since the worker last answered
	Suspects []dispatch.RunStatus `json:"suspects,omitempty"` // runs that it had begun shortly before
}

// SilenceTimeout is the time without an answer after which an agent reports its worker as silent.
const SilenceTimeout = 900 * time.Millisecond

// AttachReply is the reply to Attach. Epoch is the fencing token of the owner's orders.
type AttachReply struct {
	Epoch uint64 `json:"epoch"`
	// Attach is the number of this attach among all in this epoch, see Fence.
	Attach uint64 `json:"n,omitempty"`
	// Restarted says that the worker's ID has had an earlier incarnation.
	Restarted bool `json:"restarted,omitempty"`
	// Incremental says that the owner keeps the registration of the session: a report without
	// one means that it has not changed. Owners of earlier versions need it in each report.
	Incremental bool `json:"incremental,omitempty"`
	// Evacuation is nil if the agent knows already whether its domain is evacuated.
	Evacuation *Evacuation `json:"evacuation,omitempty"`
}

// Report is a report of an agent to the owner. Running in a full report lists every run
// that may be running on the instance, including runs that a pending order may still
// start. In other reports Running holds only new checkpoints, and the runs whose starts are settled since the
// last report.
//
// Registration is nil if it has not changed since the last one that the owner has received in
// this session.
type Report struct {
	Incarnation   dispatch.Incarnation   `json:"life"`
	Registration  *dispatch.Registration `json:"offer,omitempty"`
	Full          bool                   `json:"full,omitempty"`
	Running       []dispatch.RunStatus   `json:"running,omitempty"`
	Ends          []dispatch.End         `json:"ends,omitempty"`
	Measurements  []dispatch.Measurement `json:"figures,omitempty"`
	Silent        bool                   `json:"silent,omitempty"` // the worker does not respond to its agent
	LeasesExpired bool                   `json:"lapsed,omitempty"` // Silent, and all leases of the worker have expired
	StaleLease    int64                  `json:"stale,omitempty"`  // as in Attach
	// UnderWay is as in Attach.
	UnderWay []dispatch.StartUnderWay `json:"underway,omitempty"`
	// Evacuation is what the agent knows, nil unless its domain is evacuated.
	Evacuation *Evacuation `json:"evacuation,omitempty"`
}

// ReportReply is the reply to Report.
type ReportReply struct {
	Grant     int64 `json:"grant,omitempty"` // lease in ms, from when the report was sent
	Committed int64 `json:"kept,omitempty"`  // ends up to this sequence number are stored in the table
	// Costs lists what best-effort images cost the latency-critical images on the
	// instance, for the pairs whose cost has changed since the last report.
	Costs []interference.PairCost `json:"weights,omitempty"`
	// Evacuation is as in AttachReply.
	Evacuation *Evacuation `json:"evacuation,omitempty"`
}

// Orders is a message of the owner with runs that the agent must start and stop.
// Committed is as in ReportReply.
type Orders struct {
	Session   uint64       `json:"session"`
	Starts    []StartOrder `json:"starts,omitempty"`
	Stops     []StopOrder  `json:"stops,omitempty"`
	Committed int64        `json:"kept,omitempty"`
	// Specs describe runs that the agent found running without a start order.
	Specs []StartOrder `json:"traits,omitempty"`
	// Evacuation is as in AttachReply. It counts before the starts.
	Evacuation *Evacuation `json:"evacuation,omitempty"`
}

// Evacuation says whether the failure domain of an instance is evacuated, as known at a revision of
// the table. While it is, the agent starts nothing. A lower revision than that of the last one changes
// nothing.
type Evacuation struct {
	Evacuated bool   `json:"evacuated,omitempty"`
	Revision  uint64 `json:"revision"`
}

// StartOrder is an order to start one run of a task.
type StartOrder struct {
	Task       dispatch.TaskName `json:"task"`
	Run        int64             `json:"run"`
	Payload    string            `json:"payload,omitempty"`
	Checkpoint string            `json:"saved,omitempty"`
	Image      string            `json:"image,omitempty"` // program of the task; tasks of one image are assumed to behave alike
	Millicores int               `json:"cores,omitempty"` // CPU request, in thousandths of a core
	BestEffort bool              `json:"fills,omitempty"`
	Target     int64             `json:"target,omitempty"` // tail latency target, in ms
}

// StopOrder is an order to stop one run of a task.
type StopOrder struct {
	Task dispatch.TaskName `json:"task"`
	Run  int64             `json:"run"`
}

// Accepted notifies the owner of a job that was stored in the table.
type Accepted struct {
	Job dispatch.Job `json:"job"`
}

// Submit asks another entry to store a job.
type Submit struct {
	Job  dispatch.Job `json:"job"`
	Wait int64        `json:"wait,omitempty"` // ms that the caller waits for the outcome; 0: not said
}

// Cancelled notifies the owner of a cancellation that was stored in the table.
type Cancelled struct {
	ID string `json:"id"`
}

// Backlog is the reply with, for each queue, the number of jobs of which no task has
// started.
type Backlog struct {
	Counts map[string]int `json:"counts"`
}

// JobID identifies a job in calls of MethodKnown, MethodState and MethodCancel.
type JobID struct {
	ID string `json:"id"`
}

// Known is the reply with the state of a job in the owner's memory. State is valid only
// if Known is true.
type Known struct {
	Known bool           `json:"known"`
	State dispatch.State `json:"state"`
}

// Explain asks where the tasks of a job would go now: the job with the ID or, if Job is set, one that
// is described and not submitted. Forwarded says that an entry has passed the call on to the owner.
type Explain struct {
	ID        string        `json:"id,omitempty"`
	Job       *dispatch.Job `json:"job,omitempty"`
	Forwarded bool          `json:"forwarded,omitempty"`
}

// Explained is the reply to Explain. Known is false if the owner has no unfinished job with the ID.
type Explained struct {
	Known       bool                 `json:"known"`
	Explanation dispatch.Explanation `json:"explanation"`
}

// Validate returns why the described job cannot be scheduled, or nil.
func (e *Explain) Validate() error {
	if e.Job == nil {
		return nil
	}
	return errors.Wrapf(e.Job.Validate(), "job %q", e.Job.ID)
}

// ForwardReply is the reply to a call that one entry forwarded to another. Outcome is an
// outcome of package submission.
type ForwardReply struct {
	Outcome int            `json:"verdict"`
	State   dispatch.State `json:"state"`
}

// OwnerReply is the reply with the owner of the shard, as far as the entry knows it.
type OwnerReply struct {
	Address       string `json:"address"` // of the owner's link; "" if no owner is known
	OwnerRevision uint64 `json:"under"`   // revision of the owner's row
}

// NotifyWith sends a notification with parameters. It does not wait for the peer.
func (c *Conn) NotifyWith(ctx context.Context, method string, params any) error {
	return errors.Wrapf(c.rpc.Notify(ctx, method, params), "notify %s to peer %s", method, c.peer)
}
