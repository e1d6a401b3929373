package worker

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/pkg/platform/object"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// leasePeriod is the time between two leases sent to the worker.
	leasePeriod = 400 * time.Millisecond
	// callTimeout bounds the calls to the worker and the object store for one operation.
	callTimeout = 2 * time.Second
	// maxReasonBytes bounds the text of an error that is reported as a reason, in bytes.
	maxReasonBytes = 200
)

// heldTask is one task that the agent holds on its worker.
type heldTask struct {
	placement.TaskStatus
	need           placement.Resources
	class          string
	callInFlight   bool      // a call about the task is in flight
	lastCallEnded  time.Time // when the last call about the task ended
	covered        bool      // the owner's latest grant covers the task
	usedProcessors float64   // cores in use, from the worker's last report; not read
	share          float64
}

// Tasks manages the tasks that an agent holds on its worker. Its exported methods must be
// called on the control loop. Calls to the worker run on goroutines of their own.
type Tasks struct {
	loop          *loop.Loop
	client        *Client
	store         *object.Client
	log           *zap.Logger
	capacity      placement.Resources
	held          map[AttemptID]*heldTask
	incarnation   string
	workerClock   time.Duration // last reading of the worker's clock
	clockReadAt   time.Time
	epoch         uint64
	session       uint64    // session given by the owner of that epoch
	grantDeadline time.Time // when the owner's grant ends
	leaseNumber   uint64    // number of the last lease sent
	leaseInFlight bool
	leasePending  bool // another lease is to be sent after the one in flight
	onChange      func()
	onSuperseded  func()
}

// NewTasks returns the manager of the worker's tasks and starts to send leases. onChange is
// called on the loop when a change is to be reported to the owner, onSuperseded when another
// agent has claimed the worker.
func NewTasks(l *loop.Loop, client *Client, store *object.Client, log *zap.Logger, capacity placement.Resources, onChange, onSuperseded func()) *Tasks {
	t := &Tasks{
		loop: l, client: client, store: store, log: log, capacity: capacity,
		held: map[AttemptID]*heldTask{}, onChange: onChange, onSuperseded: onSuperseded,
	}
	l.Every(leasePeriod, t.sendLease)
	l.Post(t.sendLease)
	return t
}

// Incarnation returns the worker's current incarnation, or "" while it is unclaimed.
func (t *Tasks) Incarnation() string { return t.incarnation }

// Epoch returns the highest owner epoch seen in replies.
func (t *Tasks) Epoch() uint64 { return t.epoch }

// Session returns the session that the owner gave last, which heartbeats must contain.
func (t *Tasks) Session() uint64 { return t.session }

// Held returns the status of all held tasks for a heartbeat, sorted by task and attempt.
func (t *Tasks) Held() []placement.TaskStatus {
	list := make([]placement.TaskStatus, 0, len(t.held))
	for _, h := range t.held {
		list = append(list, h.TaskStatus)
	}
	slices.SortFunc(list, func(a, b placement.TaskStatus) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return list
}

// Active returns the number of held tasks that have not ended.
func (t *Tasks) Active() int {
	n := 0
	for _, h := range t.held {
		if !h.RunState.Final() {
			n++
		}
	}
	return n
}

// HoldsTasks reports whether any task is held. A task that has ended is held until its end is in
// the table.
func (t *Tasks) HoldsTasks() bool { return len(t.held) > 0 }

// ApplyReply applies the owner's reply to a heartbeat that was sent at sent and contained
// listed. The grant covers the listed tasks, except those to stop, and the tasks to start. A
// reply with a lower epoch than one seen before is ignored.
func (t *Tasks) ApplyReply(sent time.Time, listed []placement.TaskStatus, reply placement.Reply) {
	if reply.Epoch < t.epoch {
		t.log.Warn("stale-reply-ignored", zap.Uint64("epoch", reply.Epoch), zap.Uint64("seen", t.epoch))
		return
	}
	if reply.Epoch != t.epoch || reply.Session != t.session {
		t.epoch, t.session = reply.Epoch, reply.Session
		t.onChange()
	}
	for _, forget := range reply.Ack {
		t.forget(AttemptID(forget))
	}
	for _, stop := range reply.Stop {
		t.stop(stop)
	}
	if reply.TTL <= 0 {
		return
	}
	t.grantDeadline = sent.Add(reply.TTL)
	t.markCovered(listed, reply.Stop)
	for _, start := range reply.Start {
		t.start(start)
	}
	t.sendLease()
}

// markCovered marks the held tasks that the grant covers.
func (t *Tasks) markCovered(listed []placement.TaskStatus, stops []placement.Stop) {
	covered := make(map[AttemptID]bool, len(listed))
	for _, h := range listed {
		covered[AttemptID{h.Task, h.Attempt}] = true
	}
	for _, stop := range stops {
		delete(covered, AttemptID{stop.Task, stop.Attempt})
	}
	for id, h := range t.held {
		h.covered = covered[id]
	}
}

func (t *Tasks) hasGrant() bool { return time.Now().Before(t.grantDeadline) }

// start starts a task if the resources that it needs are free beside the held tasks, and
// declines it otherwise. Only this function enforces the worker's capacity for tasks.
func (t *Tasks) start(start placement.Start) {
	id := AttemptID{start.Task, start.Attempt}
	if _, known := t.held[id]; known {
		return
	}
	h := &heldTask{
		TaskStatus: placement.TaskStatus{Task: start.Task, Attempt: start.Attempt, RunState: placement.Starting},
		need:       start.Need, class: start.Class, covered: true, share: 1,
	}
	if shortage := start.Need.Shortage(t.freeCapacity()); shortage != "" {
		h.RunState, h.Reason = placement.Declined, shortage
		t.held[id] = h
		t.log.Info("task-declined", zap.String("task", start.Task), zap.Int("attempt", start.Attempt), zap.String("why", shortage))
		t.onChange()
		return
	}
	t.held[id] = h
	h.callInFlight = true
	t.log.Info("task-start", zap.String("task", start.Task), zap.Int("attempt", start.Attempt), zap.String("checkpoint", start.CheckpointKey))
	t.loop.Go(func() {
		err := t.startOnWorker(start)
		t.loop.Post(func() { t.handleStarted(id, h, err) })
	})
}

func (t *Tasks) freeCapacity() placement.Resources {
	free := t.capacity
	for _, h := range t.held {
		if !h.RunState.Final() {
			free = free.Minus(h.need)
		}
	}
	return free
}

func (t *Tasks) startOnWorker(start placement.Start) error {
	ctx, cancel := context.WithTimeout(t.loop.Context(), callTimeout)
	defer cancel()
	var checkpoint []byte
	if start.CheckpointKey != "" {
		data, err := t.store.Get(ctx, start.CheckpointKey)
		if err != nil {
			return errNotSent{err}
		}
		checkpoint = data
	}
	return t.client.Start(ctx, start, checkpoint)
}

// errNotSent marks a start that was not sent to the worker.
type errNotSent struct{ error }

// isDeclined reports whether a failed start certainly left no task on the worker.
func isDeclined(err error) bool {
	var notSent errNotSent
	var refused problem.Problem
	return errors.As(err, &notSent) ||
		errors.As(err, &refused) && (refused.Step == StepRoom || refused.Step == StepCheckpoint)
}

// handleStarted handles the result of a start call. A task whose start got no answer keeps
// the state Starting; the worker's next status shows whether it exists.
func (t *Tasks) handleStarted(id AttemptID, h *heldTask, err error) {
	h.endCall()
	switch {
	case err == nil:
		h.RunState = placement.Paused
	case isDeclined(err):
		h.RunState, h.Reason = placement.Declined, truncate(err)
		t.log.Info("task-declined", zap.String("task", id.Task), zap.Int("attempt", id.Attempt), zap.String("why", h.Reason))
		t.onChange()
		return
	default:
		t.log.Warn("task-start-unanswered", zap.String("task", id.Task), zap.Int("attempt", id.Attempt), logs.Error(err))
	}
	t.sendLease()
}

// endCall records that the call about the task has ended.
func (h *heldTask) endCall() {
	h.callInFlight = false
	h.lastCallEnded = time.Now()
}

func truncate(err error) string {
	text := err.Error()
	return text[:min(len(text), maxReasonBytes)]
}

// stop stops a task, unless a call about it is in flight or it is starting. With Save, the
// task's state is first written to the object store. If a step fails, the task is not leased
// until the owner's next reply, which is expected to order the stop again.
func (t *Tasks) stop(stop placement.Stop) {
	id := AttemptID{stop.Task, stop.Attempt}
	h, known := t.held[id]
	if !known || h.callInFlight || h.RunState.Final() || h.RunState == placement.Starting {
		return
	}
	h.callInFlight = true
	h.covered = false
	t.log.Info("task-stop", zap.String("task", id.Task), zap.Int("attempt", id.Attempt), zap.Bool("save", stop.Save), zap.String("why", stop.Reason))
	t.loop.Go(func() {
		checkpointKey, err := t.stopOnWorker(id, stop.Save)
		t.loop.Post(func() { t.handleStopped(id, h, checkpointKey, stop.Reason, err) })
	})
}

func (t *Tasks) stopOnWorker(id AttemptID, save bool) (string, error) {
	ctx, cancel := context.WithTimeout(t.loop.Context(), callTimeout)
	defer cancel()
	if !save {
		return "", t.client.Stop(ctx, id, "")
	}
	state, err := t.client.Checkpoint(ctx, id)
	if err != nil {
		return "", err
	}
	key := fmt.Sprintf("checkpoint/%s/%d", id.Task, id.Attempt)
	if err := t.store.Put(ctx, key, state); err != nil {
		return "", err
	}
	return key, t.client.Stop(ctx, id, key)
}

func (t *Tasks) handleStopped(id AttemptID, h *heldTask, checkpointKey, reason string, err error) {
	h.endCall()
	if checkpointKey != "" {
		h.CheckpointKey = checkpointKey
	}
	if err != nil {
		t.log.Warn("task-stop-failed", zap.String("task", id.Task), zap.Int("attempt", id.Attempt), logs.Error(err))
		return
	}
	h.RunState, h.Reason = placement.Stopped, reason
	t.onChange()
}

func (t *Tasks) forget(id AttemptID) {
	h, known := t.held[id]
	if !known || !h.RunState.Final() || h.callInFlight {
		return
	}
	if h.RunState == placement.Declined {
		delete(t.held, id)
		return
	}
	h.callInFlight = true
	t.loop.Go(func() {
		ctx, cancel := context.WithTimeout(t.loop.Context(), callTimeout)
		defer cancel()
		err := t.client.Forget(ctx, id)
		t.loop.Post(func() {
			h.endCall()
			if err == nil {
				delete(t.held, id)
			}
		})
	})
}

// Throttle sets the share of its processors that each running task may use, 0 to 1. It skips
// tasks with a call in flight.
func (t *Tasks) Throttle(share float64) {
	for id, h := range t.held {
		if h.callInFlight || h.RunState != placement.Running || h.share == share {
			continue
		}
		h.callInFlight = true
		t.loop.Go(func() {
			ctx, cancel := context.WithTimeout(t.loop.Context(), callTimeout)
			defer cancel()
			err := t.client.Throttle(ctx, id, share)
			t.loop.Post(func() {
				h.endCall()
				if err == nil {
					h.share = share
				}
			})
		})
	}
}
