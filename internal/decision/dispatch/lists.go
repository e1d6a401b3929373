package dispatch

import (
	"slices"
	"time"
)

// InstanceChange is a row of an instance to be written, or removed when Gone.
type InstanceChange struct {
	Registration Registration
	Gone         bool
}

// TakeInstanceChanges returns the instances whose rows must be written or removed.
func (b *Scheduler) TakeInstanceChanges() []InstanceChange {
	changes := b.changes
	b.changes = nil
	return changes
}

// RestoreInstance names an instance of an earlier owner, read from its row. Tasks of earlier
// owners wait until it is heard of or Lost.
func (b *Scheduler) RestoreInstance(offer Registration) {
	b.doubts[offer.Incarnation.ID] = true
	in := newInstance(offer)
	in.registered = true
	b.instances[offer.Incarnation.ID] = in
}

// Unconfirmed lists the instances of earlier owners that have not been heard of.
func (b *Scheduler) Unconfirmed() []string {
	var ids []string
	for id := range b.doubts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Register takes what an instance's agent says of it. A new life under a known ID ends
// the life before, but for orders that may still be on their way and that the new life
// would obey: its first list tells. Attach tells whether the row of the instance must be
// written first.
func (b *Scheduler) Register(now time.Time, offer Registration) bool {
	id := offer.Incarnation.ID
	in, known := b.instances[id]
	if known && in.offer.Incarnation != offer.Incarnation {
		in.renew()
	}
	if !known {
		in = newInstance(offer)
		b.instances[id] = in
	}
	if in.offer.Draining && !offer.Draining {
		in.asked = false // its row may have been removed
	}
	in.offer = offer
	in.reachable = true
	b.replaced(now, offer)
	if offer.Draining {
		in.leaveAt = now.Add(time.Duration(offer.GracePeriod) * time.Millisecond)
	}
	if !in.registered && !in.asked {
		in.asked = true
		b.changes = append(b.changes, InstanceChange{Registration: offer})
	}
	return !in.registered
}

// Restarted tells whether a life follows another that is known under its ID.
func (b *Scheduler) Restarted(life Incarnation) bool {
	in, known := b.instances[life.ID]
	return known && in.offer.Incarnation != life
}

// replaced ends the earlier lives beside the same agent: a younger one shows that
// they are over.
func (b *Scheduler) replaced(now time.Time, offer Registration) {
	for _, other := range b.instances {
		life := other.offer.Incarnation
		if other.offer.Agent == offer.Agent && life.ID != offer.Incarnation.ID && life.StartedAt < offer.Incarnation.StartedAt {
			b.Lost(now, life)
		}
	}
}

// Registered takes that the row of an instance's life is written.
func (b *Scheduler) Registered(life Incarnation) {
	if in, ok := b.instances[life.ID]; ok && in.offer.Incarnation == life {
		in.registered = true
	}
}

// Reachable says whether the owner can give the instance orders.
func (b *Scheduler) Reachable(id string, reachable bool) {
	if in, ok := b.instances[id]; ok {
		in.reachable = reachable
	}
}

// Reconcile takes the whole list of what may run on an instance, with nothing of it left
// out that an earlier order could still start.
func (b *Scheduler) Reconcile(now time.Time, life Incarnation, running []RunStatus) {
	in, ok := b.instances[life.ID]
	if !ok || in.offer.Incarnation != life {
		return
	}
	listed := map[TaskName]bool{}
	for _, r := range running {
		listed[r.Task] = true
		b.seen(now, in, r)
	}
	for name, p := range in.placements {
		switch {
		case listed[name]:
		case in.renewed && p.process == in.offer.AgentIncarnation:
			b.end(now, in, End{Task: name, Run: p.run, Reason: EndExpired})
		case p.process != in.offer.AgentIncarnation:
			// The agent that was given the order is gone, and the order may still be on
			// its way to the worker: a stop settles that.
			p.stopping = false
			b.stop(in, p)
		default:
			b.end(now, in, End{Task: name, Run: p.run, Reason: EndNotStarted})
		}
	}
	in.synced, in.renewed = true, false
	b.settleDoubt(life.ID)
}

// seen takes one run that is on an instance.
func (b *Scheduler) seen(now time.Time, in *instance, r RunStatus) {
	if p, ok := in.placements[r.Task]; ok && p.run == r.Run {
		p.process = in.offer.AgentIncarnation
		if p.stopping { // the order may have been lost with the last session
			p.stopping = false
			b.stop(in, p)
			return
		}
		if t := b.find(r.Task); t != nil && t.instance == in.offer.Incarnation.ID && t.run == r.Run && r.Checkpoint != "" {
			t.saved = r.Checkpoint
		}
		return
	}
	p := &placement{name: r.Task, run: r.Run, since: now, process: in.offer.AgentIncarnation}
	p.of(b.stepOf(r.Task))
	b.supersede(now, in, p)
	in.add(p)
	t := b.find(r.Task)
	if t == nil || t.done || t.instance != "" || r.Run < t.lastRun && !t.doubted {
		b.stop(in, p)
		return
	}
	t.instance, t.run, t.since = in.offer.Incarnation.ID, r.Run, now
	if t.step.LongRunning {
		t.doubted = false // others may know of its failures still, but those have no limit
	}
	t.lastRun = max(t.lastRun, r.Run)
	t.work.started = true
	if r.Checkpoint != "" {
		t.saved = r.Checkpoint
	}
}

// supersede takes that an instance lists another run of a task than the one ordered there,
// such as a late order of before. The run ordered is gone with the life before, or its
// agent knows that it is not there; an order of an agent that is gone may still come, and
// is settled once the listed run is over.
func (b *Scheduler) supersede(now time.Time, in *instance, by *placement) {
	ordered, there := in.placements[by.name]
	if !there {
		return
	}
	switch {
	case ordered.process != in.offer.AgentIncarnation:
		in.remove(ordered)
		by.ordered = ordered
	case in.renewed:
		b.end(now, in, End{Task: ordered.name, Run: ordered.run, Reason: EndExpired})
	default:
		b.end(now, in, End{Task: ordered.name, Run: ordered.run, Reason: EndNotStarted})
	}
}

// settleOrdered stops the run that was ordered where another one was found, which is over.
func (b *Scheduler) settleOrdered(in *instance, over *placement) {
	if over.ordered == nil {
		return
	}
	ordered := over.ordered
	ordered.process, ordered.stopping = in.offer.AgentIncarnation, false
	in.add(ordered)
	b.stop(in, ordered)
}

// stepOf finds the step of a task of any job that is known, nil for others.
func (b *Scheduler) stepOf(name TaskName) *Step {
	var job *Job
	if w, open := b.jobs[name.Job]; open {
		job = w.job
	} else {
		job = b.finished[name.Job].job
	}
	if job == nil || name.Step >= len(job.Steps) {
		return nil
	}
	return &job.Steps[name.Step]
}

// Checkpointed takes new checkpoints of runs.
func (b *Scheduler) Checkpointed(life Incarnation, saved []RunStatus) {
	for _, r := range saved {
		t := b.find(r.Task)
		if t != nil && t.instance == life.ID && t.run == r.Run && r.Checkpoint != "" {
			t.saved = r.Checkpoint
		}
	}
}

// Ended takes ends that an instance lists.
func (b *Scheduler) Ended(now time.Time, life Incarnation, ends []End) {
	in, ok := b.instances[life.ID]
	if !ok || in.offer.Incarnation != life {
		return
	}
	for _, end := range ends {
		b.end(now, in, end)
	}
}

func (b *Scheduler) end(now time.Time, in *instance, end End) {
	p, placed := in.placements[end.Task]
	if placed && p.run == end.Run {
		in.remove(p)
		b.settleOrdered(in, p)
	}
	t := b.find(end.Task)
	if t == nil || t.done {
		return
	}
	current := t.instance == in.offer.Incarnation.ID && t.run == end.Run
	// An end of a run that an earlier owner started counts too.
	unknown := t.instance == "" && end.Run > t.lastRun-runsAnEpoch
	if end.Reason == EndNotStarted && !current {
		return
	}
	if !current && !unknown && end.Reason != EndFailed && end.Reason != EndDone {
		return
	}
	t.lastRun = max(t.lastRun, end.Run)
	if end.Checkpoint != "" {
		t.saved = end.Checkpoint
	}
	b.judge(now, in, end, t)
	if current || end.Reason == EndDone {
		b.release(t, current)
	}
}

// release takes a task off its instance.
func (b *Scheduler) release(t *task, current bool) {
	if !current && t.instance != "" {
		// Done elsewhere: the run that is placed now is not wanted any more.
		if in, ok := b.instances[t.instance]; ok {
			if p, there := in.placements[t.name]; there {
				b.stop(in, p)
			}
		}
	}
	t.instance, t.run = "", 0
}

// judge draws the conclusions of an end for its task and job.
func (b *Scheduler) judge(now time.Time, in *instance, end End, t *task) {
	w := t.work
	switch end.Reason {
	case EndDone:
		in.fails = 0
		if t.step.LongRunning {
			t.notBefore = now.Add(restartPause)
			return
		}
		b.taskDone(t)
	case EndFailed:
		b.noteFailure(now, in, t)
		t.failedOn = append(t.failedOn, in.offer.Incarnation.ID)
		if t.step.LongRunning {
			t.notBefore = now.Add(restartPause)
			return
		}
		if slices.Contains(t.failed, end.Run) {
			return
		}
		t.failed = append(t.failed, end.Run)
		b.touch(w)
		if len(t.failed) >= max(w.job.Policy.Attempts, 1) {
			b.finish(w, Failed)
		}
	case EndNotStarted:
	default:
		if t.saved != "" && !t.step.LongRunning {
			b.touch(w)
		}
	}
}

func (b *Scheduler) taskDone(t *task) {
	w := t.work
	o := w.occurrences[t.name.Occurrence]
	if t.step.Gang {
		// One end stands for all members.
		for _, member := range o.steps[t.name.Step] {
			if !member.done {
				member.done = true
				o.left--
			}
		}
	} else {
		t.done = true
		o.left--
	}
	b.touch(w)
	b.conclude(w)
}

// noteFailure counts failures in a row on an instance, of different jobs, since a
// job that can never be done says nothing about the instance.
func (b *Scheduler) noteFailure(now time.Time, in *instance, t *task) {
	if in.failedJob == t.name.Job {
		return
	}
	in.failedJob = t.name.Job
	in.fails++
	if in.fails >= avoidAfter {
		in.avoidUntil = now.Add(avoidFor)
		in.fails = avoidAfter - 1
	}
}

// drop takes everything off an instance.
func (b *Scheduler) drop(now time.Time, in *instance, how EndReason) {
	for _, p := range in.placements {
		for ; p != nil; p = p.ordered {
			b.end(now, in, End{Task: p.name, Run: p.run, Reason: how})
		}
	}
	delete(b.instances, in.offer.Incarnation.ID)
	b.settleDoubt(in.offer.Incarnation.ID)
}

// Lost takes that nothing runs on an instance any more: its leases have lapsed for
// certain, or it is gone. Its tasks may start elsewhere.
func (b *Scheduler) Lost(now time.Time, life Incarnation) {
	in, ok := b.instances[life.ID]
	if !ok || in.offer.Incarnation != life {
		return
	}
	b.drop(now, in, EndExpired)
	b.changes = append(b.changes, InstanceChange{Registration: in.offer, Gone: true})
}

// settleDoubt takes that an instance of an earlier owner holds nothing unknown. After
// the last one all tasks that nobody listed are free to start.
func (b *Scheduler) settleDoubt(id string) {
	if !b.doubts[id] {
		return
	}
	delete(b.doubts, id)
	if len(b.doubts) > 0 {
		return
	}
	for _, w := range b.jobs {
		for _, o := range w.occurrences {
			for _, tasks := range o.steps {
				for _, t := range tasks {
					t.doubted = false
				}
			}
		}
	}
}

// LostByID is Lost for whatever life the ID has now. The row is removed already.
func (b *Scheduler) LostByID(now time.Time, id string) {
	if in, ok := b.instances[id]; ok {
		b.drop(now, in, EndExpired)
	}
}

// Deregistered takes that the row of an instance was removed: it must be written before
// anything starts there.
func (b *Scheduler) Deregistered(id string) {
	if in, ok := b.instances[id]; ok {
		in.registered, in.asked = false, true
		b.changes = append(b.changes, InstanceChange{Registration: in.offer})
	}
}
