package worker

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/cockroachdb/errors"
)

// sendLease sends the worker a lease, which names the tasks that may run and until when, and
// handles the worker's status. Without a grant the lease names no task, so that the worker
// pauses all; it still returns its status. An unclaimed worker is claimed instead. Only one
// lease is in flight at a time.
func (t *Tasks) sendLease() {
	if t.leaseInFlight {
		t.leasePending = true
		return
	}
	t.leaseInFlight = true
	t.leasePending = false
	call := t.client.Claim
	if t.incarnation != "" {
		t.leaseNumber++
		number, deadline, leased := t.leaseNumber, t.leaseDeadline(), t.leasedTasks()
		call = func(ctx context.Context) (Status, error) { return t.client.Lease(ctx, number, deadline, leased) }
	}
	requestedAt := time.Now()
	t.loop.Go(func() {
		ctx, cancel := context.WithTimeout(t.loop.Context(), callTimeout)
		defer cancel()
		status, err := call(ctx)
		receivedAt := time.Now()
		t.loop.Post(func() {
			t.leaseInFlight = false
			t.applyStatus(requestedAt, receivedAt, status, err)
			if t.leasePending {
				t.sendLease()
			}
		})
	})
}

// leaseDeadline returns the end of the grant on the worker's clock, or 0 without a grant. The
// worker's clock showed t.workerClock at t.clockReadAt or earlier, so the result is never
// later than the end of the grant.
func (t *Tasks) leaseDeadline() time.Duration {
	if !t.hasGrant() {
		return 0
	}
	return t.workerClock + t.grantDeadline.Sub(t.clockReadAt)
}

// leasedTasks returns the tasks that the grant allows to run. A task whose start the worker has
// not confirmed is left out. If the task was dropped from held before its start arrives, it
// stays paused until a grant covers it.
func (t *Tasks) leasedTasks() []AttemptID {
	if !t.hasGrant() {
		return nil
	}
	var leased []AttemptID
	for id, h := range t.held {
		if h.covered && (h.RunState == placement.Paused || h.RunState == placement.Running) {
			leased = append(leased, id)
		}
	}
	return leased
}

// applyStatus handles the answer to a lease or claim: the worker's status or an error.
func (t *Tasks) applyStatus(requestedAt, receivedAt time.Time, status Status, err error) {
	switch {
	case errors.Is(err, ErrSuperseded):
		t.onSuperseded()
		return
	case err != nil:
		t.workerLost(err)
		return
	}
	changed := status.Incarnation != t.incarnation
	t.incarnation, t.workerClock, t.clockReadAt = status.Incarnation, status.Clock, receivedAt
	listed := make(map[AttemptID]bool, len(status.Tasks))
	for _, task := range status.Tasks {
		listed[task.AttemptID] = true
		changed = t.applyTaskReport(task) || changed
	}
	for id, h := range t.held {
		if !listed[id] && h.isGone(requestedAt) {
			delete(t.held, id)
			changed = true
		}
	}
	if changed {
		t.onChange()
	}
}

// workerLost marks the worker as unclaimed. The next call claims it again.
func (t *Tasks) workerLost(err error) {
	if t.incarnation == "" {
		return
	}
	t.log.Warn("worker-lost", logs.Error(err))
	t.incarnation = ""
}

// isGone reports whether a task is not on the worker and never will be, given that a status
// requested at requestedAt does not list it. A task that has ended stays until the owner has
// written its end to the table.
func (h *heldTask) isGone(requestedAt time.Time) bool {
	return !h.callInFlight && !h.RunState.Final() && h.lastCallEnded.Before(requestedAt)
}

// applyTaskReport updates a task from the worker's report. It reports whether that is a
// change to be reported to the owner.
func (t *Tasks) applyTaskReport(task TaskReport) bool {
	h, known := t.held[task.AttemptID]
	if !known {
		h = &heldTask{
			TaskStatus: placement.TaskStatus{Task: task.Task, Attempt: task.Attempt, CheckpointKey: task.CheckpointKey},
			need:       task.Need,
			class:      task.Class,
		}
		t.held[task.AttemptID] = h
	}
	h.usedProcessors, h.share = task.UsedProcessors, task.Share
	if h.callInFlight || h.RunState.Final() {
		return !known
	}
	changed := !known || h.RunState != task.RunState
	h.RunState = task.RunState
	if task.Reason != "" {
		h.Reason = task.Reason
	}
	return changed
}
