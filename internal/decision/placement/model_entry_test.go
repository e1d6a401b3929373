package placement

import "time"

// This file has the entries of the simulation: how they answer heartbeats, claim the shard and commit.

func (s *simulation) handleHeartbeat(e *modelEntry, m message) {
	if s.now.Before(e.pausedUntil) {
		m.due = e.pausedUntil
		s.messages = append(s.messages, m)
		return
	}
	if e.owner == nil {
		return
	}
	sender := s.instances[instanceIndex(m.heartbeat.Instance)]
	e.owner.Announce(s.now, Instance{Name: m.heartbeat.Instance, Capacity: Resources{Processors: 8}})
	reply := e.owner.Heartbeat(s.now, *m.heartbeat, s.now.Before(e.leaseUntil))
	if s.mutation == skipGrantWait {
		inst := e.owner.instances[m.heartbeat.Instance]
		inst.lastHeartbeat, inst.grantExpiry = s.now.Add(-3*time.Second), s.now
	}
	if s.mutation == startUncommitted && reply.TTL > 0 {
		for _, c := range e.owner.pending {
			for i, t := range c.tasks {
				if c.next[i].State == Placed && c.next[i].Instance == m.heartbeat.Instance {
					reply.Start = append(reply.Start, Start{Task: t.name(), Attempt: c.next[i].Attempt, CheckpointKey: t.CheckpointKey})
				}
			}
		}
	}
	s.send(message{to: sender.id, from: e.id, reply: &reply, sequence: m.heartbeat.Sequence, incarnation: m.incarnation})
}

func instanceIndex(name string) int { return int(name[1] - '0') }

func (s *simulation) stepEntry(e *modelEntry) {
	if s.table.unavailable || s.now.Before(e.partitionedUntil) {
		e.unchangedSince = s.now
		return
	}
	if s.now.Before(e.pausedUntil) {
		return
	}
	if e.owner == nil {
		s.watchShard(e)
		return
	}
	if e.changes != nil && !s.now.Before(e.outcomeDue) {
		s.finishCommit(e)
	}
	if e.owner != nil && s.oneIn(8) {
		s.renew(e)
	}
	if e.owner != nil && e.changes == nil && s.now.Before(e.leaseUntil) {
		s.commit(e)
	}
}

// watchShard claims the shard after its row hasn't changed for claimDelay.
func (s *simulation) watchShard(e *modelEntry) {
	if e.seenRevision != s.table.shardRevision {
		e.seenRevision, e.unchangedSince = s.table.shardRevision, s.now
	}
	delay := claimDelay
	if s.mutation == ignoreOwnerLease {
		delay = 500 * time.Millisecond
	}
	if s.now.Sub(e.unchangedSince) < delay {
		return
	}
	s.table.epoch++
	s.table.owner = e.id
	s.table.shardRevision++
	e.epoch, e.leaseUntil = s.table.epoch, s.now.Add(ownerLease)
	e.owner = New(s.now, Spread, e.epoch, testTTL)
	e.owner.Load(s.now, s.job, s.table.chunk, s.table.chunkRevision)
	if s.mutation == skipNewOwnerWait {
		for _, inst := range e.owner.instances {
			inst.lastHeartbeat, inst.grantExpiry = s.now.Add(-time.Minute), s.now
		}
	}
	e.changes = nil
}

func (s *simulation) renew(e *modelEntry) {
	if s.table.epoch != e.epoch {
		e.owner = nil
		return
	}
	sent := s.now.Add(-time.Duration(s.random.IntN(1000)) * time.Millisecond)
	s.table.shardRevision++
	e.leaseUntil = sent.Add(ownerLease)
}

// commit applies a planned commit if its preconditions hold. The entry learns the outcome
// later, in finishCommit.
func (s *simulation) commit(e *modelEntry) {
	changes := e.owner.Plan(s.now)
	if len(changes) == 0 {
		return
	}
	e.changes = changes
	e.outcomeDue = s.now.Add(time.Duration(s.random.IntN(1500)) * time.Millisecond)
	e.applied = s.table.epoch == e.epoch && s.table.chunkRevision == changes[0].Revision
	if e.applied {
		s.table.chunkRevision++
		s.table.chunk = changes[0].Chunk
		e.revision = s.table.chunkRevision
	}
}

func (s *simulation) finishCommit(e *modelEntry) {
	e.changes = nil
	if !e.applied {
		e.owner = nil
		return
	}
	e.owner.Committed(s.now, e.revision)
	e.owner.Decisions()
}
