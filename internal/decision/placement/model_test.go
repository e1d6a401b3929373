package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var seeds = flag.Int("seeds", 1500, "schedules that the model check explores")

// mutation is a rule that the simulation breaks on purpose, to show that the check detects
// it.
type mutation int

const (
	noMutation mutation = iota
	skipGrantWait
	skipNewOwnerWait
	ignoreOwnerLease
	startUncommitted
	ignoreWorkerGrant
	dropUncommitted
)

// ownerLease and claimDelay equal leaseDuration of package shard and its sum with
// leaseDriftMargin. modelSteps is the number of steps of one schedule, of 20 to 200 ms each.
const (
	ownerLease = 8 * time.Second
	claimDelay = ownerLease + 200*time.Millisecond
	modelSteps = 700
)

// simulation is a small model of the system around the Owner: a table, two entries that
// claim one shard in turn, two instances with an agent and a worker each, and messages
// that are delayed, lost or duplicated. The Owner in it is the real one.
type simulation struct {
	random    *rand.Rand
	mutation  mutation
	now       time.Time
	job       Job
	table     modelTable
	entries   []*modelEntry
	instances []*modelInstance
	messages  []message
	progress  map[string]time.Duration // by task: the highest progress that any worker made
	ended     map[string]State
}

// modelTable holds the shard's row, its epoch row and one chunk.
type modelTable struct {
	unavailable   bool
	epoch         uint64
	owner         int
	shardRevision int // revision of the shard row
	chunk         Chunk
	chunkRevision uint64
	lastRenewal   time.Time
}

type modelEntry struct {
	id               int
	owner            *Owner
	epoch            uint64
	leaseUntil       time.Time
	seenRevision     int
	unchangedSince   time.Time
	pausedUntil      time.Time
	partitionedUntil time.Time // the table is unreachable from it until then
	outcomeDue       time.Time // when it learns the outcome of the commit in flight
	changes          []Change
	revision         uint64
	applied          bool
}

type modelInstance struct {
	id                int
	incarnation       int
	workerIncarnation int
	sequence          uint64
	awaited           [2]uint64 // by entry: sequence of the heartbeat whose reply it accepts
	sentAt            [2]time.Time
	pausedUntil       time.Time
	epoch             uint64
	session           uint64
	grantUntil        time.Time // the grant, as the agent knows it
	workerGrantUntil  time.Time
	tasks             map[string]*modelTask
	believedOwner     int // entry that it takes for the owner
}

type modelTask struct {
	status   TaskStatus
	approved bool
	progress time.Duration
}

type message struct {
	to          int // entry that gets a heartbeat, or instance that gets a reply
	from        int // entry that sent a reply
	heartbeat   *Heartbeat
	reply       *Reply
	sequence    uint64
	due         time.Time
	incarnation int
}

func newSimulation(seed uint64, mutated mutation) *simulation {
	random := rand.New(rand.NewPCG(seed, 7))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{
		random: random, mutation: mutated, now: now, progress: map[string]time.Duration{}, ended: map[string]State{},
		job: Job{
			ID: "j", Workspace: "w", Class: "c", Tasks: 3, Need: Resources{Processors: 4},
			Runtime: 20 * time.Second, Idempotent: random.IntN(2) == 0,
		},
	}
	s.table = modelTable{owner: -1, chunk: Split(s.job, "first")[0], chunkRevision: 1, shardRevision: 1}
	for i := range 2 {
		s.entries = append(s.entries, &modelEntry{id: i, unchangedSince: now.Add(-time.Duration(i) * time.Second)})
		s.instances = append(s.instances, &modelInstance{id: i, incarnation: 1, workerIncarnation: 1, tasks: map[string]*modelTask{}})
	}
	return s
}

// explore runs one schedule and returns the first violation of an invariant: no task runs
// on two instances at a time, and no non-idempotent task repeats work.
func explore(seed uint64, mutated mutation) error {
	s := newSimulation(seed, mutated)
	for range modelSteps {
		if err := s.advanceTime(time.Duration(20+s.random.IntN(180)) * time.Millisecond); err != nil {
			return err
		}
		s.deliver()
		for _, e := range s.entries {
			s.stepEntry(e)
		}
		for _, inst := range s.instances {
			s.stepInstance(inst)
		}
		s.injectFault()
	}
	return nil
}

// advanceTime advances the clock by d. Running tasks make progress until the grant of their
// worker ends. It returns an error if a task ran on two instances at a time.
func (s *simulation) advanceTime(d time.Duration) error {
	next := s.now.Add(d)
	running := map[string]int{}
	for _, inst := range s.instances {
		to := next
		if s.mutation != ignoreWorkerGrant && inst.workerGrantUntil.Before(to) {
			to = inst.workerGrantUntil
		}
		for name, t := range inst.tasks {
			if t.status.RunState != Running {
				continue
			}
			if to.After(s.now) {
				running[name]++
				if err := s.advanceTask(name, t, to.Sub(s.now)); err != nil {
					return err
				}
			}
			if to.Before(next) {
				t.status.RunState = Paused
			}
		}
	}
	s.now = next
	for name, n := range running {
		if n > 1 {
			return fmt.Errorf("task %s ran on %d instances at %s", name, n, s.now.Format("05.000"))
		}
	}
	return nil
}

// advanceTask adds to the progress of a running task. It returns an error if a
// non-idempotent task repeats work.
func (s *simulation) advanceTask(name string, t *modelTask, d time.Duration) error {
	if !s.job.Idempotent && t.progress < s.progress[name] {
		return fmt.Errorf("non-idempotent task %s ran again from %s after it had reached %s", name, t.progress, s.progress[name])
	}
	t.progress += d
	s.progress[name] = max(s.progress[name], t.progress)
	if t.progress >= s.job.Runtime {
		t.status.RunState = Finished
	}
	return nil
}

// oneIn returns true with a probability of 1/n.
func (s *simulation) oneIn(n int) bool { return s.random.IntN(n) == 0 }

// deliver delivers the messages that are due. One in ten heartbeats is delivered twice.
func (s *simulation) deliver() {
	var later []message
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.due.After(s.now) {
			later = append(later, m)
			continue
		}
		if m.heartbeat != nil && s.oneIn(10) {
			duplicate := m
			duplicate.due = s.now.Add(time.Duration(s.random.IntN(6000)) * time.Millisecond)
			later = append(later, duplicate)
		}
		if m.heartbeat != nil {
			s.handleHeartbeat(s.entries[m.to], m)
		} else {
			s.handleReply(s.instances[m.to], m)
		}
	}
	s.messages = append(s.messages, later...)
}

// send sends a message; one in twelve is lost, one in eight has a long delay.
func (s *simulation) send(m message) {
	if s.oneIn(12) {
		return
	}
	m.due = s.now.Add(time.Duration(s.random.ExpFloat64()*80) * time.Millisecond)
	if s.oneIn(8) {
		m.due = m.due.Add(time.Duration(s.random.IntN(3500)) * time.Millisecond)
	}
	s.messages = append(s.messages, m)
}

// injectFault injects one random fault, in one of 25 steps.
func (s *simulation) injectFault() {
	if !s.oneIn(25) {
		return
	}
	e, inst := s.entries[s.random.IntN(2)], s.instances[s.random.IntN(2)]
	pause := time.Duration(s.random.IntN(15_000)) * time.Millisecond
	switch s.random.IntN(9) {
	case 0: // the entry pauses
		e.pausedUntil = s.now.Add(pause)
	case 1: // the entry restarts
		e.owner, e.changes, e.seenRevision, e.unchangedSince = nil, nil, 0, s.now
	case 2: // the agent pauses
		inst.pausedUntil = s.now.Add(pause)
	case 3: // the agent restarts
		inst.incarnation++
		inst.sequence, inst.awaited, inst.epoch, inst.session, inst.grantUntil = 0, [2]uint64{}, 0, 0, time.Time{}
	case 4: // the agent and the worker restart
		inst.workerIncarnation++
		inst.incarnation++
		inst.sequence, inst.awaited, inst.epoch, inst.session = 0, [2]uint64{}, 0, 0
		inst.tasks, inst.workerGrantUntil = map[string]*modelTask{}, time.Time{}
	case 5, 6: // a task is evicted
		if e.owner != nil {
			e.owner.Evict("j", s.random.IntN(3), "noisy")
		}
	case 7: // the table is unreachable from the entry for a time
		e.partitionedUntil = s.now.Add(2 * pause)
	case 8: // the table fails or comes back
		s.table.unavailable = !s.table.unavailable
	}
}

func TestModelKeepsPromises(t *testing.T) {
	for seed := range uint64(*seeds) {
		if err := explore(seed, noMutation); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// mutationSeeds is the number of schedules within which a broken rule must be detected.
const mutationSeeds = 6000

// TestModelSeesBrokenRules breaks each rule in turn and checks that explore reports a
// violation. If it didn't, the success of TestModelKeepsPromises would prove nothing.
func TestModelSeesBrokenRules(t *testing.T) {
	cases := []struct {
		name   string
		broken mutation
	}{
		{"owner moves a task before the grants lapsed", skipGrantWait},
		{"new owner does not wait for grants of the last", skipNewOwnerWait},
		{"entry claims a shard whose lease lasts", ignoreOwnerLease},
		{"owner starts what is not committed", startUncommitted},
		{"worker runs on without a lease", ignoreWorkerGrant},
		{"agent forgets an end before it is in the table", dropUncommitted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				if err := explore(seed, c.broken); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no schedule showed a violation")
		})
	}
}
