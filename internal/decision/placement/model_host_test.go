package placement

import (
	"fmt"
)

// The agent and worker of the model: what a host does by itself and with a reply.

func (w *world) stepHost(h *modelHost) {
	if w.now.Before(h.asleep) || !w.chance(4) {
		return
	}
	h.sequence++
	beat := &Heartbeat{
		Instance: fmt.Sprintf("h%d", h.id), Incarnation: fmt.Sprint(h.incarnation), WorkerIncarnation: fmt.Sprint(h.boot), Epoch: h.epoch, Session: h.session, Sequence: h.sequence,
	}
	for _, t := range h.tasks {
		beat.Held = append(beat.Held, t.held)
	}
	if w.chance(6) {
		h.belief = 1 - h.belief
	}
	h.waitsFor[h.belief], h.sent[h.belief] = h.sequence, w.now
	w.send(message{to: h.belief, beat: beat, inc: h.incarnation})
}

// takeReply does what an agent does with the answer to its latest beat.
func (w *world) takeReply(h *modelHost, m message) {
	late := m.seq != h.waitsFor[m.from] || m.inc != h.incarnation || w.now.Before(h.asleep)
	if late || m.reply.Epoch < h.epoch {
		return
	}
	h.epoch, h.session = m.reply.Epoch, m.reply.Session
	h.waitsFor[m.from] = 0
	for _, f := range m.reply.Ack {
		if t, ok := h.tasks[f.Task]; ok && t.held.Attempt == f.Attempt && t.held.RunState.Final() {
			delete(h.tasks, f.Task)
		}
	}
	for _, s := range m.reply.Stop {
		if t, ok := h.tasks[s.Task]; ok && t.held.Attempt == s.Attempt && !t.held.RunState.Final() {
			t.approved = false
			t.held.RunState = Stopped
			if s.Save {
				t.held.Checkpoint = fmt.Sprint(int64(t.progress))
			}
		}
	}
	if m.reply.TTL <= 0 {
		return
	}
	h.until = h.sent[m.from].Add(m.reply.TTL)
	h.workerUntil = h.until
	for _, s := range m.reply.Start {
		if known, ok := h.tasks[s.Task]; ok && known.held.Attempt >= s.Attempt {
			continue
		}
		t := &modelTask{held: TaskStatus{Task: s.Task, Attempt: s.Attempt, RunState: Paused}}
		_, _ = fmt.Sscan(s.Checkpoint, (*int64)(&t.progress))
		h.tasks[s.Task] = t
	}
	for _, t := range h.tasks {
		if t.held.RunState == Paused && w.now.Before(h.workerUntil) {
			t.held.RunState = Running
		}
	}
	if w.broken == forgetUncommitted {
		for name, t := range h.tasks {
			if t.held.RunState.Final() {
				delete(h.tasks, name)
			}
		}
	}
}
