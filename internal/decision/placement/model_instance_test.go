package placement

import (
	"fmt"
)

// This file models the agent and worker of an instance.

// stepInstance sends a heartbeat to the entry that the agent takes for the owner, in one
// of 4 steps. Before one of 6 heartbeats, the agent switches to the other entry.
func (s *simulation) stepInstance(inst *modelInstance) {
	if s.now.Before(inst.pausedUntil) || !s.oneIn(4) {
		return
	}
	inst.sequence++
	heartbeat := &Heartbeat{
		Instance: fmt.Sprintf("h%d", inst.id), Incarnation: fmt.Sprint(inst.incarnation), WorkerIncarnation: fmt.Sprint(inst.workerIncarnation), Epoch: inst.epoch, Session: inst.session, Sequence: inst.sequence,
	}
	for _, t := range inst.tasks {
		heartbeat.Held = append(heartbeat.Held, t.status)
	}
	if s.oneIn(6) {
		inst.believedOwner = 1 - inst.believedOwner
	}
	inst.awaited[inst.believedOwner], inst.sentAt[inst.believedOwner] = inst.sequence, s.now
	s.send(message{to: inst.believedOwner, heartbeat: heartbeat, incarnation: inst.incarnation})
}

// handleReply does what an agent does with the reply to its latest heartbeat. Replies to
// earlier heartbeats are dropped.
func (s *simulation) handleReply(inst *modelInstance, m message) {
	stale := m.sequence != inst.awaited[m.from] || m.incarnation != inst.incarnation || s.now.Before(inst.pausedUntil)
	if stale || m.reply.Epoch < inst.epoch {
		return
	}
	inst.epoch, inst.session = m.reply.Epoch, m.reply.Session
	inst.awaited[m.from] = 0
	for _, ack := range m.reply.Ack {
		if t, ok := inst.tasks[ack.Task]; ok && t.status.Attempt == ack.Attempt && t.status.RunState.Final() {
			delete(inst.tasks, ack.Task)
		}
	}
	for _, stop := range m.reply.Stop {
		if t, ok := inst.tasks[stop.Task]; ok && t.status.Attempt == stop.Attempt && !t.status.RunState.Final() {
			t.approved = false
			t.status.RunState = Stopped
			if stop.Save {
				t.status.CheckpointKey = fmt.Sprint(int64(t.progress))
			}
		}
	}
	if m.reply.TTL <= 0 {
		return
	}
	inst.grantUntil = inst.sentAt[m.from].Add(m.reply.TTL)
	inst.workerGrantUntil = inst.grantUntil
	for _, start := range m.reply.Start {
		if known, ok := inst.tasks[start.Task]; ok && known.status.Attempt >= start.Attempt {
			continue
		}
		t := &modelTask{status: TaskStatus{Task: start.Task, Attempt: start.Attempt, RunState: Paused}}
		_, _ = fmt.Sscan(start.CheckpointKey, (*int64)(&t.progress))
		inst.tasks[start.Task] = t
	}
	for _, t := range inst.tasks {
		if t.status.RunState == Paused && s.now.Before(inst.workerGrantUntil) {
			t.status.RunState = Running
		}
	}
	if s.mutation == dropUncommitted {
		for name, t := range inst.tasks {
			if t.status.RunState.Final() {
				delete(inst.tasks, name)
			}
		}
	}
}
