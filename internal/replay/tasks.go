package replay

import (
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/apricotwind/apricotwind/internal/trace"
)

// heldTask is a task attempt that was sent to a host and that the owner has not acknowledged as
// ended.
type heldTask struct {
	start         placement.Start
	state         placement.RunState
	progress      time.Duration
	since         time.Time // last update of progress
	version       int       // incremented with each new schedule; ends scheduled under an older version are ignored
	checkpointKey string
	reason        string
}

// ownerEpoch is the ownership epoch of a replay, which has a single owner.
const ownerEpoch = 1

// submit validates a job and loads it into the owner after the commit to the table. During an
// outage of the platform it waits for the end of the outage.
func (r *run) submit(number int, e trace.Event) {
	if r.now.Before(r.outageEnd) {
		r.at(r.outageEnd, func() { r.submit(number, e) })
		return
	}
	var capacities []placement.Resources
	for _, name := range r.instanceNames {
		capacities = append(capacities, r.hosts[name].spec.Capacity.Resources())
	}
	checked, err := job.Validate(r.now, e.Submission, r.document, capacities)
	if err != nil {
		r.logDecision("job-refused class=%s why=%q", e.Submission.Class, err)
		return
	}
	checked.ID = fmt.Sprintf("j%d", number)
	r.recorder.RecordOwed(checked.Workspace, checked.Class, checked.Tasks)
	r.logDecision("job job=%s workspace=%s class=%s tasks=%d", checked.ID, checked.Workspace, checked.Class, checked.Tasks)
	r.after(commitLatency, func() {
		for _, chunk := range placement.Split(checked, "replay") {
			r.owner.Load(r.now, checked, chunk, 1)
		}
	})
}

// plan runs a placement round of the owner and schedules the commit of its changes; during an
// outage of the platform the commit takes place after its end. plan does nothing once the owner's
// lease has expired.
func (r *run) plan() {
	if !r.now.Before(r.outageEnd) {
		r.leaseRenewed = r.now
	}
	if !r.leaseValid() {
		return
	}
	changes := r.owner.Plan(r.now)
	if len(changes) == 0 {
		return
	}
	r.result.Commits++
	r.result.Rows += len(changes)
	done := r.now.Add(commitLatency)
	if r.now.Before(r.outageEnd) {
		done = r.outageEnd.Add(commitLatency)
	}
	r.at(done, func() { r.handleCommit() })
}

// leaseValid reports whether the owner's lease is valid.
func (r *run) leaseValid() bool { return r.now.Sub(r.leaseRenewed) < ownerLease }

// handleCommit handles the end of a commit: it records the decisions and requests a heartbeat from
// each instance concerned, so that it gets its orders at once.
func (r *run) handleCommit() {
	r.owner.Committed(r.now, 1)
	notified := map[string]bool{}
	for _, d := range r.owner.Decisions() {
		r.recordDecision(d)
		if h, ok := r.hosts[d.Instance]; ok && !h.failed && !notified[d.Instance] {
			notified[d.Instance] = true
			r.after(delay(h.spec.Domain, r.entries[0].spec.Domain), h.heartbeat)
		}
	}
}

// recordDecision logs and counts one decision of the owner.
func (r *run) recordDecision(d placement.Decision) {
	r.logDecision("task-%s job=%s task=%d attempt=%d instance=%s over=%d state=%s why=%q", d.Action, d.Job.ID, d.Task, d.Attempt, d.Instance, d.Candidates, d.State, d.Reason)
	r.recorder.RecordDecision(r.now, d)
	if d.Action == placement.Place {
		r.result.Starts++
	}
	if d.Evicted && d.Action == placement.Requeue {
		r.result.Evicted++
	}
}

// report sends a heartbeat with the host's tasks to the owner and applies the reply.
func (h *host) report() {
	r := h.run
	h.updateProgress()
	h.sequence++
	heartbeat := placement.Heartbeat{
		Instance: h.spec.Name, Incarnation: h.incarnation, WorkerIncarnation: h.workerIncarnation, Epoch: ownerEpoch, Session: h.session, Sequence: h.sequence,
		Busy: h.controller.Busy(), Draining: h.draining,
	}
	for _, name := range h.taskNames {
		t := h.held[name]
		heartbeat.Held = append(heartbeat.Held, placement.TaskStatus{Task: t.start.Task, Attempt: t.start.Attempt, RunState: t.state, CheckpointKey: t.checkpointKey, Reason: t.reason})
	}
	sent := r.now
	delayToOwner := delay(h.spec.Domain, r.entries[0].spec.Domain)
	r.after(delayToOwner, func() {
		r.owner.Announce(r.now, placement.Instance{Name: h.spec.Name, Domain: h.spec.Domain, Rack: h.spec.Rack, Capacity: h.spec.Capacity.Resources()})
		reply := r.owner.Heartbeat(r.now, heartbeat, r.leaseValid())
		r.after(delayToOwner, func() {
			if !h.failed {
				h.applyReply(sent, reply)
			}
		})
	})
}

// applyReply applies the owner's reply: it removes acknowledged tasks, stops and starts tasks, and
// extends the grant. After a change of session it only reports again.
func (h *host) applyReply(sent time.Time, reply placement.Reply) {
	if reply.Session != h.session {
		h.session = reply.Session
		h.report()
		return
	}
	h.updateProgress()
	for _, ack := range reply.Ack {
		h.removeTask(ack.Task, ack.Attempt)
	}
	changed := false
	for _, stop := range reply.Stop {
		t, ok := h.held[stop.Task]
		if !ok || t.start.Attempt != stop.Attempt || t.state.Final() {
			continue
		}
		if stop.Save {
			t.checkpointKey = fmt.Sprintf("%s/%d/%d", t.start.Task, t.start.Attempt, int64(t.progress))
		}
		t.state, t.reason = placement.Stopped, stop.Reason
		changed = true
	}
	if reply.TTL > 0 {
		h.grantExpiry = sent.Add(reply.TTL)
	}
	for _, start := range reply.Start {
		h.start(start)
	}
	for _, name := range h.taskNames {
		h.schedule(h.held[name])
	}
	h.watchGrant()
	if changed {
		h.report()
	}
}

// removeTask removes a task if the attempt is the one given.
func (h *host) removeTask(task string, attempt int) {
	t, ok := h.held[task]
	if !ok || t.start.Attempt != attempt {
		return
	}
	delete(h.held, task)
	for i, name := range h.taskNames {
		if name == task {
			h.taskNames = append(h.taskNames[:i], h.taskNames[i+1:]...)
			return
		}
	}
}

// start adds a task to the host, from its checkpoint if there is one. A task that needs more
// resources than are free is declined.
func (h *host) start(start placement.Start) {
	if t, held := h.held[start.Task]; held && t.start.Attempt >= start.Attempt {
		return
	}
	h.removeTask(start.Task, start.Attempt-1)
	t := &heldTask{start: start, state: placement.Paused, since: h.run.now}
	if start.CheckpointKey != "" {
		var name string
		var attempt int
		var saved int64
		if _, err := fmt.Sscanf(spaceSeparated(start.CheckpointKey), "%s %d %d", &name, &attempt, &saved); err == nil {
			t.progress = time.Duration(saved)
		}
	}
	free := h.spec.Capacity.Resources()
	for _, name := range h.taskNames {
		if !h.held[name].state.Final() {
			free = free.Minus(h.held[name].start.Need)
		}
	}
	if shortage := start.Need.Shortage(free); shortage != "" {
		t.state, t.reason = placement.Declined, shortage
	}
	h.held[start.Task] = t
	h.taskNames = append(h.taskNames, start.Task)
}

// spaceSeparated replaces the slashes of a checkpoint key such as j7.0/1/350000000 by spaces.
func spaceSeparated(reference string) string {
	fields := []byte(reference)
	for i, c := range fields {
		if c == '/' {
			fields[i] = ' '
		}
	}
	return string(fields)
}

// updateProgress updates the progress of running tasks up to now or to the end of the grant,
// whichever is earlier. If the grant has expired it pauses them.
func (h *host) updateProgress() {
	now := h.run.now
	to := now
	expired := now.After(h.grantExpiry)
	if expired {
		to = h.grantExpiry
	}
	for _, name := range h.taskNames {
		t := h.held[name]
		if t.state != placement.Running {
			t.since = now
			continue
		}
		t.progress += time.Duration(float64(max(to.Sub(t.since), 0)) * h.throttle.Share())
		t.since = now
		if expired {
			t.state = placement.Paused
			t.version++
		}
	}
}

// schedule resumes a task, if the grant is valid, and schedules its end.
func (h *host) schedule(t *heldTask) {
	if t.state.Final() || h.run.now.After(h.grantExpiry) {
		return
	}
	t.state = placement.Running
	t.version++
	version := t.version
	remaining := time.Duration(float64(t.start.Runtime-t.progress) / h.throttle.Share())
	h.run.after(max(remaining, 0), func() { h.finish(t, version) })
}

// finish completes a task, unless it was paused, stopped or rescheduled in the meantime.
func (h *host) finish(t *heldTask, version int) {
	if h.failed || t.version != version || t.state != placement.Running {
		return
	}
	h.updateProgress()
	if t.state != placement.Running {
		return
	}
	t.state = placement.Finished
	h.report()
}

// watchGrant schedules a check for the end of the grant, which pauses the tasks unless the grant
// was extended.
func (h *host) watchGrant() {
	if h.expiryScheduled {
		return
	}
	h.expiryScheduled = true
	h.run.at(h.grantExpiry.Add(time.Nanosecond), func() {
		h.expiryScheduled = false
		if h.failed {
			return
		}
		if h.run.now.After(h.grantExpiry) {
			h.updateProgress()
			return
		}
		h.watchGrant()
	})
}
