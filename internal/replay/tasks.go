package replay

import (
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/apricotwind/apricotwind/internal/trace"
)

// heldTask is one task on a host.
type heldTask struct {
	start    placement.Start
	run      placement.RunState
	progress time.Duration
	since    time.Time // progress was counted last
	version  int       // of its schedule: older ends are void
	note     string
	why      string
}

// replayEpoch is the epoch of the one owner of a replay.
const replayEpoch = 1

// submit checks a job and hands it to the owner once it is in the table.
func (r *run) submit(number int, e trace.Event) {
	if r.now.Before(r.outage) {
		r.at(r.outage, func() { r.submit(number, e) })
		return
	}
	var rooms []placement.Resources
	for _, name := range r.names {
		rooms = append(rooms, r.hosts[name].of.Capacity.Resources())
	}
	checked, err := job.Validate(r.now, e.Submission, r.document, rooms)
	if err != nil {
		r.say("job-refused class=%s why=%q", e.Submission.Class, err)
		return
	}
	checked.ID = fmt.Sprintf("j%d", number)
	r.book.Owe(checked.Workspace, checked.Class, checked.Tasks)
	r.say("job job=%s workspace=%s class=%s tasks=%d", checked.ID, checked.Workspace, checked.Class, checked.Tasks)
	r.after(commitTime, func() {
		for _, chunk := range placement.Split(checked, "replay") {
			r.owner.Load(r.now, checked, chunk, 1)
		}
	})
}

// plan lets the owner plan, and commits when the platform answers.
func (r *run) plan() {
	if !r.now.Before(r.outage) {
		r.renewed = r.now
	}
	if !r.mayGrant() {
		return
	}
	changes := r.owner.Plan(r.now)
	if len(changes) == 0 {
		return
	}
	r.outcome.Commits++
	r.outcome.Rows += len(changes)
	done := r.now.Add(commitTime)
	if r.now.Before(r.outage) {
		done = r.outage.Add(commitTime)
	}
	r.at(done, func() { r.committed() })
}

func (r *run) mayGrant() bool { return r.now.Sub(r.renewed) < ownerLease }

func (r *run) committed() {
	r.owner.Committed(r.now, 1)
	poked := map[string]bool{}
	for _, d := range r.owner.Decisions() {
		r.decided(d)
		if h, ok := r.hosts[d.Instance]; ok && !h.dead && !poked[d.Instance] {
			poked[d.Instance] = true
			r.after(delay(h.of.Domain, r.entries[0].of.Domain), h.beat)
		}
	}
}

func (r *run) decided(d placement.Decision) {
	r.say("task-%s job=%s task=%d attempt=%d instance=%s over=%d state=%s why=%q", d.Action, d.Job.ID, d.Task, d.Attempt, d.Instance, d.Candidates, d.State, d.Reason)
	r.book.RecordDecision(r.now, d)
	if d.Action == placement.Place {
		r.outcome.Starts++
	}
	if d.Evicted && d.Action == placement.Requeue {
		r.outcome.Evicted++
	}
}

// report beats to the owner with the tasks held, and takes its reply.
func (h *host) report() {
	r := h.run
	h.settleTasks()
	h.sequence++
	beat := placement.Heartbeat{
		Instance: h.of.Name, Incarnation: h.incarnation, WorkerIncarnation: h.boot, Epoch: replayEpoch, Session: h.session, Sequence: h.sequence,
		InFlight: h.gate.Busy(), Draining: h.leaving,
	}
	for _, name := range h.order {
		t := h.held[name]
		beat.Held = append(beat.Held, placement.TaskStatus{Task: t.start.Task, Attempt: t.start.Attempt, RunState: t.run, Checkpoint: t.note, Reason: t.why})
	}
	sent := r.now
	way := delay(h.of.Domain, r.entries[0].of.Domain)
	r.after(way, func() {
		r.owner.Announce(r.now, placement.Instance{Name: h.of.Name, Domain: h.of.Domain, Rack: h.of.Rack, Capacity: h.of.Capacity.Resources()})
		reply := r.owner.Heartbeat(r.now, beat, r.mayGrant())
		r.after(way, func() {
			if !h.dead {
				h.take(sent, reply)
			}
		})
	})
}

// take does what the owner's reply says.
func (h *host) take(sent time.Time, reply placement.Reply) {
	if reply.Session != h.session {
		h.session = reply.Session
		h.report()
		return
	}
	h.settleTasks()
	for _, forget := range reply.Ack {
		h.drop(forget.Task, forget.Attempt)
	}
	news := false
	for _, stop := range reply.Stop {
		t, ok := h.held[stop.Task]
		if !ok || t.start.Attempt != stop.Attempt || t.run.Final() {
			continue
		}
		if stop.Save {
			t.note = fmt.Sprintf("%s/%d/%d", t.start.Task, t.start.Attempt, int64(t.progress))
		}
		t.run, t.why = placement.Stopped, stop.Reason
		news = true
	}
	if reply.TTL > 0 {
		h.until = sent.Add(reply.TTL)
	}
	for _, start := range reply.Start {
		h.start(start)
	}
	for _, name := range h.order {
		h.schedule(h.held[name])
	}
	h.watchGrant()
	if news {
		h.report()
	}
}

func (h *host) drop(task string, attempt int) {
	t, ok := h.held[task]
	if !ok || t.start.Attempt != attempt {
		return
	}
	delete(h.held, task)
	for i, name := range h.order {
		if name == task {
			h.order = append(h.order[:i], h.order[i+1:]...)
			return
		}
	}
}

func (h *host) start(start placement.Start) {
	if t, held := h.held[start.Task]; held && t.start.Attempt >= start.Attempt {
		return
	}
	h.drop(start.Task, start.Attempt-1)
	t := &heldTask{start: start, run: placement.Paused, since: h.run.now}
	if start.Checkpoint != "" {
		var name string
		var attempt int
		var saved int64
		if _, err := fmt.Sscanf(lastFields(start.Checkpoint), "%s %d %d", &name, &attempt, &saved); err == nil {
			t.progress = time.Duration(saved)
		}
	}
	room := h.of.Capacity.Resources()
	for _, name := range h.order {
		if !h.held[name].run.Final() {
			room = room.Minus(h.held[name].start.Need)
		}
	}
	if misfit := start.Need.Shortage(room); misfit != "" {
		t.run, t.why = placement.Declined, misfit
	}
	h.held[start.Task] = t
	h.order = append(h.order, start.Task)
}

// lastFields parts a reference such as j7.0/1/350000000 by blanks.
func lastFields(reference string) string {
	fields := []byte(reference)
	for i, c := range fields {
		if c == '/' {
			fields[i] = ' '
		}
	}
	return string(fields)
}

// settleTasks counts the progress of running tasks up to now or to the end of the
// grant, and pauses them when it has lapsed.
func (h *host) settleTasks() {
	now := h.run.now
	to := now
	lapsed := now.After(h.until)
	if lapsed {
		to = h.until
	}
	for _, name := range h.order {
		t := h.held[name]
		if t.run != placement.Running {
			t.since = now
			continue
		}
		t.progress += time.Duration(float64(max(to.Sub(t.since), 0)) * h.throttle.Share())
		t.since = now
		if lapsed {
			t.run = placement.Paused
			t.version++
		}
	}
}

// schedule runs a task that may run and foresees its end.
func (h *host) schedule(t *heldTask) {
	if t.run.Final() || h.run.now.After(h.until) {
		return
	}
	t.run = placement.Running
	t.version++
	version := t.version
	left := time.Duration(float64(t.start.Runtime-t.progress) / h.throttle.Share())
	h.run.after(max(left, 0), func() { h.finish(t, version) })
}

func (h *host) finish(t *heldTask, version int) {
	if h.dead || t.version != version || t.run != placement.Running {
		return
	}
	h.settleTasks()
	if t.run != placement.Running {
		return
	}
	t.run = placement.Finished
	h.report()
}

// watchGrant pauses the tasks when the grant lapses.
func (h *host) watchGrant() {
	if h.lapsing {
		return
	}
	h.lapsing = true
	h.run.at(h.until.Add(time.Nanosecond), func() {
		h.lapsing = false
		if h.dead {
			return
		}
		if h.run.now.After(h.until) {
			h.settleTasks()
			return
		}
		h.watchGrant()
	})
}
