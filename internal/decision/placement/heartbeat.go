package placement

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

//go:generate stringer -type=RunState -linecomment

// RunState is what an agent says of a task it holds.
type RunState int

// The runs. From Finished on the task is not running and will not.
const (
	Starting  RunState = iota // starting
	Running                   // running
	Paused                    // paused
	Finished                  // finished
	RunFailed                 // broken
	Stopped                   // stopped
	Declined                  // declined
)

// MarshalText writes the run's name.
func (r RunState) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads the run's name.
func (r *RunState) UnmarshalText(text []byte) error {
	for run := Starting; run <= Declined; run++ {
		if run.String() == string(text) {
			*r = run
			return nil
		}
	}
	return fmt.Errorf("no run %q", text)
}

// Final tells whether a task in this run is not running and will not.
func (r RunState) Final() bool { return r >= Finished }

// TaskStatus is one task that an agent holds.
type TaskStatus struct {
	Task       string   `json:"task"`
	Attempt    int      `json:"attempt"`
	RunState   RunState `json:"run"`
	Checkpoint string   `json:"checkpoint,omitempty"`
	Reason     string   `json:"why,omitempty"`
}

// Heartbeat is an agent's report to the owner of its shard. WorkerIncarnation names the worker's
// run: after a restart of the worker it differs, and what is not listed is lost.
// Epoch is the highest the agent has seen, Session what the owner of that epoch gave
// it last.
type Heartbeat struct {
	Instance          string
	Incarnation       string
	WorkerIncarnation string
	Epoch             uint64
	Session           uint64
	Sequence          uint64
	InFlight          int
	Draining          bool
	Held              []TaskStatus
}

// Start tells an agent to run a task.
type Start struct {
	Task       string        `json:"task"`
	Attempt    int           `json:"attempt"`
	Workspace  string        `json:"workspace"`
	Class      string        `json:"class"`
	Need       Resources     `json:"need"`
	Runtime    time.Duration `json:"runtime"`
	Payload    string        `json:"work,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"`
}

// Stop tells an agent to stop a task, with a checkpoint if Save.
type Stop struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Save    bool   `json:"save,omitempty"`
	Reason  string `json:"why,omitempty"`
}

// Ack tells an agent that the end of a task is in the table.
type Ack struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// Reply answers a beat. Everything the beat listed and that is not in Stop may
// run until TTL after the beat was sent, by the agent's clock. TTL is zero when
// the owner may not grant now.
//
// Session is to be sent with the next beats; 0 asks for a beat without one.
type Reply struct {
	Epoch   uint64        `json:"epoch"`
	Session uint64        `json:"session,omitempty"`
	TTL     time.Duration `json:"ttl"`
	Start   []Start       `json:"start,omitempty"`
	Stop    []Stop        `json:"stop,omitempty"`
	Ack     []Ack         `json:"forget,omitempty"`
}

// Heartbeat takes an agent's report and answers with a grant when mayGrant. A beat that
// came late or twice is answered with nothing.
//
// So is one that was written before the agent knew of this owner: an earlier owner
// may have started tasks after it. The answer gives the agent the epoch and a
// session. Beats count only with the latest session given for the instance, so what
// an earlier incarnation of the agent said is late, whenever it comes.
//
// An owner that may not grant, because its lease is over, orders nothing either: it
// may be an owner no more, and what it knows may be old.
func (o *Owner) Heartbeat(now time.Time, beat Heartbeat, mayGrant bool) Reply {
	at := o.instance(now, beat.Instance)
	switch {
	case beat.Epoch != o.epoch || beat.Session == 0:
		o.sessions++
		at.session, at.sequence = o.sessions, 0
		return Reply{Epoch: o.epoch, Session: at.session}
	case beat.Session != at.session:
		return Reply{Epoch: o.epoch}
	case beat.Sequence <= at.sequence:
		return Reply{Epoch: o.epoch, Session: at.session}
	}
	at.sequence = beat.Sequence
	at.boot = beat.WorkerIncarnation
	at.busy = beat.InFlight
	at.leaving = beat.Draining
	at.heard = now
	reply := Reply{Epoch: o.epoch, Session: at.session}
	if !mayGrant {
		return reply
	}
	reply.TTL = o.ttl
	at.lapse = now.Add(o.lapseTime())
	listed := o.takeHeld(at, beat.Held, &reply)
	o.takeUnlisted(at, listed, &reply)
	return reply
}

// takeHeld compares each listed task with its record.
func (o *Owner) takeHeld(at *instance, listed []TaskStatus, reply *Reply) map[string]bool {
	seen := make(map[string]bool, len(listed))
	for _, held := range listed {
		placed, ok := at.tasks[held.Task]
		current := ok && placed.Attempt == held.Attempt && placed.State == Placed
		switch {
		case !current && held.RunState.Final():
			reply.Ack = append(reply.Ack, Ack{Task: held.Task, Attempt: held.Attempt})
		case !current:
			reply.Stop = append(reply.Stop, Stop{Task: held.Task, Attempt: held.Attempt, Reason: "placed elsewhere or ended"})
		default:
			seen[held.Task] = true
			o.takeCurrent(at, placed, held, reply)
		}
	}
	return seen
}

func (o *Owner) takeCurrent(at *instance, placed *task, held TaskStatus, reply *Reply) {
	if placed.moving() {
		if !held.RunState.Final() {
			reply.Stop = append(reply.Stop, Stop{Task: held.Task, Attempt: held.Attempt, Reason: "being moved"})
		}
		return
	}
	placed.held = &held
	placed.unlisted = false
	placed.lostSince = time.Time{}
	switch {
	case held.RunState.Final():
		o.mark(placed.chunk)
	case placed.cancelled:
		reply.Stop = append(reply.Stop, Stop{Task: held.Task, Attempt: held.Attempt, Reason: "cancelled"})
	case placed.evict != "" || at.leaving:
		why := placed.evict
		if why == "" {
			why = "instance is leaving"
		}
		reply.Stop = append(reply.Stop, Stop{Task: held.Task, Attempt: held.Attempt, Save: true, Reason: why})
	}
}

// takeUnlisted looks at the tasks placed here that the agent does not hold. With
// the boot they were placed under they were never started, so they may be now. Once
// a start is in the reply, the beat proves nothing about the task any more.
func (o *Owner) takeUnlisted(at *instance, listed map[string]bool, reply *Reply) {
	for _, name := range slices.Sorted(maps.Keys(at.tasks)) {
		placed := at.tasks[name]
		if listed[name] || placed.State != Placed || placed.moving() {
			continue
		}
		unwanted := placed.cancelled || placed.evict != "" || at.leaving
		start := placed.WorkerIncarnation == at.boot && !unwanted
		placed.held = nil
		placed.unlisted = !start
		if start {
			reply.Start = append(reply.Start, startOf(placed))
			continue
		}
		o.mark(placed.chunk)
	}
}

func startOf(placed *task) Start {
	of := placed.job
	return Start{
		Task:       placed.name(),
		Attempt:    placed.Attempt,
		Workspace:  of.Workspace,
		Class:      of.Class,
		Need:       of.Need,
		Runtime:    of.Runtime,
		Payload:    of.Payload,
		Checkpoint: placed.Checkpoint,
	}
}
