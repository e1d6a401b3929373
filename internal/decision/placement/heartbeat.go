package placement

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

//go:generate stringer -type=RunState -linecomment

// RunState is the state of a task's run, as its agent reports it.
type RunState int

// The run states. From Finished on they are final: the run has ended or will never start.
const (
	Starting  RunState = iota // starting
	Running                   // running
	Paused                    // paused
	Finished                  // finished
	RunFailed                 // broken
	Stopped                   // stopped
	Declined                  // declined
)

// MarshalText returns the name of the run state.
func (r RunState) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the name of a run state. It returns an error for an unknown name.
func (r *RunState) UnmarshalText(text []byte) error {
	for candidate := Starting; candidate <= Declined; candidate++ {
		if candidate.String() == string(text) {
			*r = candidate
			return nil
		}
	}
	return fmt.Errorf("unknown run state %q", text)
}

// Final reports whether the run has ended or will never start.
func (r RunState) Final() bool { return r >= Finished }

// TaskStatus is the agent's report on one task that it holds.
type TaskStatus struct {
	Task          string   `json:"task"`
	Attempt       int      `json:"attempt"`
	RunState      RunState `json:"run"`
	CheckpointKey string   `json:"checkpoint,omitempty"`
	Reason        string   `json:"why,omitempty"`
}

// Heartbeat is an agent's report to the owner of its shard. WorkerIncarnation identifies
// one run of the worker process: it changes when the worker restarts, and tasks of the
// previous incarnation that aren't in Held are lost then. Incarnation identifies one run of
// the agent; the Owner doesn't read it. Epoch is the highest ownership epoch that the agent
// has seen. Session is the latest one that the owner of that epoch issued to it. Sequence
// increases with each heartbeat of a session. Busy is the number of requests that run
// in the slots of the instance, without those that wait for one.
type Heartbeat struct {
	Instance          string
	Incarnation       string
	WorkerIncarnation string
	Epoch             uint64
	Session           uint64
	Sequence          uint64
	Busy              int
	Draining          bool
	Held              []TaskStatus
}

// Start tells an agent to run a task.
type Start struct {
	Task          string        `json:"task"`
	Attempt       int           `json:"attempt"`
	Workspace     string        `json:"workspace"`
	Class         string        `json:"class"`
	Need          Resources     `json:"need"`
	Runtime       time.Duration `json:"runtime"`
	Payload       string        `json:"work,omitempty"`
	CheckpointKey string        `json:"checkpoint,omitempty"`
}

// Stop tells an agent to stop a task, and to save a checkpoint first if Save is set.
type Stop struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Save    bool   `json:"save,omitempty"`
	Reason  string `json:"why,omitempty"`
}

// Ack tells an agent that the end of a task attempt is durable in the table, so that the
// agent can drop its record of the attempt.
type Ack struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// Reply is the owner's answer to a heartbeat. Its grant allows the tasks that the heartbeat
// listed, except those in Stop, and the tasks in Start to run until TTL after the heartbeat
// was sent, by the agent's clock. TTL is zero if there is no grant.
//
// The agent sends Session with its next heartbeats. If it is 0, the agent sends its next
// heartbeat without a session, to obtain a new one.
type Reply struct {
	Epoch   uint64        `json:"epoch"`
	Session uint64        `json:"session,omitempty"`
	TTL     time.Duration `json:"ttl"`
	Start   []Start       `json:"start,omitempty"`
	Stop    []Stop        `json:"stop,omitempty"`
	Ack     []Ack         `json:"forget,omitempty"`
}

// Heartbeat processes an agent's report and returns the reply, with a grant if mayGrant is
// set. Late and duplicate heartbeats have no effect and get neither a grant nor orders.
//
// A heartbeat that was sent before the agent knew of this owner is ignored too, except that
// the reply gives the agent the epoch and a new session: an earlier owner may have started
// tasks after the heartbeat was sent. A heartbeat is accepted only with the latest session
// issued for its instance, so all heartbeats of an earlier incarnation of the agent are
// ignored, no matter when they arrive.
//
// If mayGrant is not set, since the lease of the owner has expired, the reply has no
// orders either: another process may own the shard by now, and the state here may be out
// of date.
func (o *Owner) Heartbeat(now time.Time, heartbeat Heartbeat, mayGrant bool) Reply {
	inst := o.instance(now, heartbeat.Instance)
	switch {
	case heartbeat.Epoch != o.epoch || heartbeat.Session == 0:
		o.lastSession++
		inst.session, inst.sequence = o.lastSession, 0
		return Reply{Epoch: o.epoch, Session: inst.session}
	case heartbeat.Session != inst.session:
		return Reply{Epoch: o.epoch}
	case heartbeat.Sequence <= inst.sequence:
		return Reply{Epoch: o.epoch, Session: inst.session}
	}
	inst.sequence = heartbeat.Sequence
	inst.workerIncarnation = heartbeat.WorkerIncarnation
	inst.busy = heartbeat.Busy
	inst.draining = heartbeat.Draining
	inst.lastHeartbeat = now
	reply := Reply{Epoch: o.epoch, Session: inst.session}
	if !mayGrant {
		return reply
	}
	reply.TTL = o.ttl
	inst.grantExpiry = now.Add(o.grantLifetime())
	listed := o.processListed(inst, heartbeat.Held, &reply)
	o.processUnlisted(inst, listed, &reply)
	return reply
}

// processListed compares each task in a heartbeat with its record and adds the resulting
// orders and acknowledgements to reply. It returns the names of the listed tasks that are
// placed on the instance with the same attempt.
func (o *Owner) processListed(inst *instance, listed []TaskStatus, reply *Reply) map[string]bool {
	current := make(map[string]bool, len(listed))
	for _, held := range listed {
		placed, ok := inst.tasks[held.Task]
		isCurrent := ok && placed.Attempt == held.Attempt && placed.State == Placed
		switch {
		case !isCurrent && held.RunState.Final():
			reply.Ack = append(reply.Ack, Ack{Task: held.Task, Attempt: held.Attempt})
		case !isCurrent:
			reply.Stop = append(reply.Stop, Stop{Task: held.Task, Attempt: held.Attempt, Reason: "placed elsewhere or ended"})
		default:
			current[held.Task] = true
			o.processCurrent(inst, placed, held, reply)
		}
	}
	return current
}

// processCurrent records the status of a task that is placed on the instance, and orders
// its stop if it is cancelled, evicted, or on a draining instance. If the commit in flight
// takes the task away, it only orders the stop, unless the run has ended.
func (o *Owner) processCurrent(inst *instance, placed *task, held TaskStatus, reply *Reply) {
	if placed.departing() {
		if !held.RunState.Final() {
			reply.Stop = append(reply.Stop, Stop{Task: held.Task, Attempt: held.Attempt, Reason: "being moved"})
		}
		return
	}
	placed.reported = &held
	placed.unlisted = false
	placed.lostSince = time.Time{}
	switch {
	case held.RunState.Final():
		o.markDirty(placed.chunk)
	case placed.cancelled:
		reply.Stop = append(reply.Stop, Stop{Task: held.Task, Attempt: held.Attempt, Reason: "cancelled"})
	case placed.evictReason != "" || inst.draining:
		reason := placed.evictReason
		if reason == "" {
			reason = "instance is leaving"
		}
		reply.Stop = append(reply.Stop, Stop{Task: held.Task, Attempt: held.Attempt, Save: true, Reason: reason})
	}
}

// processUnlisted processes the tasks that are placed on the instance and not listed in
// its heartbeat. If the worker incarnation is the one they were placed on, they were never
// started; the reply orders the start of those still wanted there and clears unlisted, since
// after the order the heartbeat is no proof that the task isn't running. The others are
// marked as unlisted for the next Plan.
func (o *Owner) processUnlisted(inst *instance, listed map[string]bool, reply *Reply) {
	for _, name := range slices.Sorted(maps.Keys(inst.tasks)) {
		placed := inst.tasks[name]
		if listed[name] || placed.State != Placed || placed.departing() {
			continue
		}
		unwanted := placed.cancelled || placed.evictReason != "" || inst.draining
		start := placed.WorkerIncarnation == inst.workerIncarnation && !unwanted
		placed.reported = nil
		placed.unlisted = !start
		if start {
			reply.Start = append(reply.Start, newStart(placed))
			continue
		}
		o.markDirty(placed.chunk)
	}
}

// newStart returns the order to start a placed task.
func newStart(placed *task) Start {
	j := placed.job
	return Start{
		Task:          placed.name(),
		Attempt:       placed.Attempt,
		Workspace:     j.Workspace,
		Class:         j.Class,
		Need:          j.Need,
		Runtime:       j.Runtime,
		Payload:       j.Payload,
		CheckpointKey: placed.CheckpointKey,
	}
}
