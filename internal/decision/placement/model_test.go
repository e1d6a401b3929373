package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var seeds = flag.Int("seeds", 1500, "schedules that the model check explores")

// mutation breaks one rule on purpose, to show that the check sees it.
type mutation int

const (
	sound mutation = iota
	skipWait
	skipWaitOfNewOwner
	skipLeaseOfOwner
	startUncommitted
	workerWithoutLease
	forgetUncommitted
)

const (
	modelLease = 8 * time.Second
	modelSight = modelLease + 200*time.Millisecond
	modelSteps = 700
)

// world is a small model of everything around the Owner: a table, two entries that
// claim one shard in turn, two hosts with an agent and a worker each, and messages
// that are late, lost or doubled. The Owner in it is the real one.
type world struct {
	random   *rand.Rand
	broken   mutation
	now      time.Time
	job      Job
	table    modelTable
	entries  []*modelEntry
	hosts    []*modelHost
	messages []message
	progress map[string]time.Duration // of once-only tasks, as far as any worker got
	ended    map[string]State
}

// modelTable holds the shard's row, its epoch row and one chunk.
type modelTable struct {
	out         bool
	epoch       uint64
	owner       int
	shardAt     int // version of the shard row
	chunk       Chunk
	chunkAt     uint64
	lastRenewal time.Time
}

type modelEntry struct {
	id       int
	owner    *Owner
	epoch    uint64
	until    time.Time
	seenAt   int
	seen     time.Time
	asleep   time.Time
	cut      time.Time // it does not reach the table until then
	answer   time.Time // when the commit under way is answered
	changes  []Change
	version  uint64
	accepted bool
}

type modelHost struct {
	id          int
	incarnation int
	boot        int
	sequence    uint64
	waitsFor    [2]uint64 // by entry: sequence of the beat whose reply it takes
	sent        [2]time.Time
	asleep      time.Time
	epoch       uint64
	session     uint64
	until       time.Time // the grant, as the agent knows it
	workerUntil time.Time
	tasks       map[string]*modelTask
	belief      int // entry it takes for the owner
}

type modelTask struct {
	held     TaskStatus
	approved bool
	progress time.Duration
}

type message struct {
	to    int // entry of a beat, or host of a reply
	from  int // entry of a reply
	beat  *Heartbeat
	reply *Reply
	seq   uint64
	due   time.Time
	inc   int
}

func newWorld(seed uint64, broken mutation) *world {
	random := rand.New(rand.NewPCG(seed, 7))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		random: random, broken: broken, now: now, progress: map[string]time.Duration{}, ended: map[string]State{},
		job: Job{
			ID: "j", Workspace: "w", Class: "c", Tasks: 3, Need: Resources{Processors: 4},
			Runtime: 20 * time.Second, Idempotent: random.IntN(2) == 0,
		},
	}
	w.table = modelTable{owner: -1, chunk: Split(w.job, "first")[0], chunkAt: 1, shardAt: 1}
	for i := range 2 {
		w.entries = append(w.entries, &modelEntry{id: i, seen: now.Add(-time.Duration(i) * time.Second)})
		w.hosts = append(w.hosts, &modelHost{id: i, incarnation: 1, boot: 1, tasks: map[string]*modelTask{}})
	}
	return w
}

// explore runs one schedule and returns the first broken promise.
func explore(seed uint64, broken mutation) error {
	w := newWorld(seed, broken)
	for range modelSteps {
		if err := w.pass(time.Duration(20+w.random.IntN(180)) * time.Millisecond); err != nil {
			return err
		}
		w.deliver()
		for _, e := range w.entries {
			w.stepEntry(e)
		}
		for _, h := range w.hosts {
			w.stepHost(h)
		}
		w.fault()
	}
	return nil
}

// pass lets time go by: what runs makes progress until its lease ends.
func (w *world) pass(d time.Duration) error {
	next := w.now.Add(d)
	running := map[string]int{}
	for _, h := range w.hosts {
		to := next
		if w.broken != workerWithoutLease && h.workerUntil.Before(to) {
			to = h.workerUntil
		}
		for name, t := range h.tasks {
			if t.held.RunState != Running {
				continue
			}
			if to.After(w.now) {
				running[name]++
				if err := w.advance(name, t, to.Sub(w.now)); err != nil {
					return err
				}
			}
			if to.Before(next) {
				t.held.RunState = Paused
			}
		}
	}
	w.now = next
	for name, n := range running {
		if n > 1 {
			return fmt.Errorf("task %s ran in %d places at %s", name, n, w.now.Format("05.000"))
		}
	}
	return nil
}

func (w *world) advance(name string, t *modelTask, d time.Duration) error {
	if !w.job.Idempotent && t.progress < w.progress[name] {
		return fmt.Errorf("once-only task %s ran again from %s after %s", name, t.progress, w.progress[name])
	}
	t.progress += d
	w.progress[name] = max(w.progress[name], t.progress)
	if t.progress >= w.job.Runtime {
		t.held.RunState = Finished
	}
	return nil
}

func (w *world) chance(n int) bool { return w.random.IntN(n) == 0 }

// deliver hands out the messages that are due; some come twice.
func (w *world) deliver() {
	var later []message
	due := w.messages
	w.messages = nil
	for _, m := range due {
		if m.due.After(w.now) {
			later = append(later, m)
			continue
		}
		if m.beat != nil && w.chance(10) {
			again := m
			again.due = w.now.Add(time.Duration(w.random.IntN(6000)) * time.Millisecond)
			later = append(later, again)
		}
		if m.beat != nil {
			w.takeBeat(w.entries[m.to], m)
		} else {
			w.takeReply(w.hosts[m.to], m)
		}
	}
	w.messages = append(w.messages, later...)
}

// send puts a message on its way; one in twelve is lost, one in eight is slow.
func (w *world) send(m message) {
	if w.chance(12) {
		return
	}
	m.due = w.now.Add(time.Duration(w.random.ExpFloat64()*80) * time.Millisecond)
	if w.chance(8) {
		m.due = m.due.Add(time.Duration(w.random.IntN(3500)) * time.Millisecond)
	}
	w.messages = append(w.messages, m)
}

func (w *world) takeBeat(e *modelEntry, m message) {
	if w.now.Before(e.asleep) {
		m.due = e.asleep
		w.messages = append(w.messages, m)
		return
	}
	if e.owner == nil {
		return
	}
	host := w.hosts[hostOf(m.beat.Instance)]
	e.owner.Announce(w.now, Instance{Name: m.beat.Instance, Capacity: Resources{Processors: 8}})
	reply := e.owner.Heartbeat(w.now, *m.beat, w.now.Before(e.until))
	if w.broken == skipWait {
		at := e.owner.instances[m.beat.Instance]
		at.heard, at.lapse = w.now.Add(-3*time.Second), w.now
	}
	if w.broken == startUncommitted && reply.TTL > 0 {
		for _, c := range e.owner.inflight {
			for i, t := range c.tasks {
				if c.next[i].State == Placed && c.next[i].Instance == m.beat.Instance {
					reply.Start = append(reply.Start, Start{Task: t.name(), Attempt: c.next[i].Attempt, Checkpoint: t.Checkpoint})
				}
			}
		}
	}
	w.send(message{to: host.id, from: e.id, reply: &reply, seq: m.beat.Sequence, inc: m.inc})
}

func hostOf(name string) int { return int(name[1] - '0') }

func (w *world) stepEntry(e *modelEntry) {
	if w.table.out || w.now.Before(e.cut) {
		e.seen = w.now
		return
	}
	if w.now.Before(e.asleep) {
		return
	}
	if e.owner == nil {
		w.watch(e)
		return
	}
	if e.changes != nil && !w.now.Before(e.answer) {
		w.conclude(e)
	}
	if e.owner != nil && w.chance(8) {
		w.renew(e)
	}
	if e.owner != nil && e.changes == nil && w.now.Before(e.until) {
		w.commit(e)
	}
}

// watch claims the shard once its row has not changed for a lease.
func (w *world) watch(e *modelEntry) {
	if e.seenAt != w.table.shardAt {
		e.seenAt, e.seen = w.table.shardAt, w.now
	}
	patience := modelSight
	if w.broken == skipLeaseOfOwner {
		patience = 500 * time.Millisecond
	}
	if w.now.Sub(e.seen) < patience {
		return
	}
	w.table.epoch++
	w.table.owner = e.id
	w.table.shardAt++
	e.epoch, e.until = w.table.epoch, w.now.Add(modelLease)
	e.owner = New(w.now, Spread, e.epoch, testTTL)
	e.owner.Load(w.now, w.job, w.table.chunk, w.table.chunkAt)
	if w.broken == skipWaitOfNewOwner {
		for _, at := range e.owner.instances {
			at.heard, at.lapse = w.now.Add(-time.Minute), w.now
		}
	}
	e.changes = nil
}

func (w *world) renew(e *modelEntry) {
	if w.table.epoch != e.epoch {
		e.owner = nil
		return
	}
	sent := w.now.Add(-time.Duration(w.random.IntN(1000)) * time.Millisecond)
	w.table.shardAt++
	e.until = sent.Add(modelLease)
}

// commit applies a planned commit if its conditions hold; the answer comes later.
func (w *world) commit(e *modelEntry) {
	changes := e.owner.Plan(w.now)
	if len(changes) == 0 {
		return
	}
	e.changes = changes
	e.answer = w.now.Add(time.Duration(w.random.IntN(1500)) * time.Millisecond)
	e.accepted = w.table.epoch == e.epoch && w.table.chunkAt == changes[0].Revision
	if e.accepted {
		w.table.chunkAt++
		w.table.chunk = changes[0].Chunk
		e.version = w.table.chunkAt
	}
}

func (w *world) conclude(e *modelEntry) {
	e.changes = nil
	if !e.accepted {
		e.owner = nil
		return
	}
	e.owner.Committed(w.now, e.version)
	e.owner.Decisions()
}

// fault brings about one failure now and then.
func (w *world) fault() {
	if !w.chance(25) {
		return
	}
	e, h := w.entries[w.random.IntN(2)], w.hosts[w.random.IntN(2)]
	nap := time.Duration(w.random.IntN(15_000)) * time.Millisecond
	switch w.random.IntN(9) {
	case 0:
		e.asleep = w.now.Add(nap)
	case 1:
		e.owner, e.changes, e.seenAt, e.seen = nil, nil, 0, w.now
	case 2:
		h.asleep = w.now.Add(nap)
	case 3:
		h.incarnation++
		h.sequence, h.waitsFor, h.epoch, h.session, h.until = 0, [2]uint64{}, 0, 0, time.Time{}
	case 4:
		h.boot++
		h.incarnation++
		h.sequence, h.waitsFor, h.epoch, h.session = 0, [2]uint64{}, 0, 0
		h.tasks, h.workerUntil = map[string]*modelTask{}, time.Time{}
	case 5, 6:
		if e.owner != nil {
			e.owner.Evict("j", w.random.IntN(3), "noisy")
		}
	case 7:
		e.cut = w.now.Add(2 * nap)
	case 8:
		w.table.out = !w.table.out
	}
}

func TestModelKeepsPromises(t *testing.T) {
	for seed := range uint64(*seeds) {
		if err := explore(seed, sound); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// mutationSeeds is how many schedules may pass before a broken rule must show.
const mutationSeeds = 6000

// TestModelSeesBrokenRules breaks each rule in turn; a check that lets one pass
// would prove nothing.
func TestModelSeesBrokenRules(t *testing.T) {
	cases := []struct {
		name   string
		broken mutation
	}{
		{"owner moves a task before the grants lapsed", skipWait},
		{"new owner does not wait for grants of the last", skipWaitOfNewOwner},
		{"entry claims a shard whose lease lasts", skipLeaseOfOwner},
		{"owner starts what is not committed", startUncommitted},
		{"worker runs on without a lease", workerWithoutLease},
		{"agent forgets an end before it is in the table", forgetUncommitted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				if err := explore(seed, c.broken); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no schedule showed the broken rule")
		})
	}
}
