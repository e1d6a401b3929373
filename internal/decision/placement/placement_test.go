package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testTTL = 4 * time.Second

// harness drives an Owner with scripted heartbeats of agents.
type harness struct {
	t         *testing.T
	owner     *Owner
	now       time.Time
	sequences map[string]uint64

	sessions map[string]uint64 // by incarnation
}

func newHarness(t *testing.T, job Job) *harness {
	t.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	h := &harness{t: t, owner: New(now, Spread, 1, testTTL), now: now, sequences: map[string]uint64{}, sessions: map[string]uint64{}}
	for _, chunk := range Split(job, "first") {
		h.owner.Load(now, job, chunk, 1)
	}
	return h
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

func (h *harness) heartbeat(name, incarnation string, held ...TaskStatus) Reply {
	h.owner.Announce(h.now, Instance{Name: name, Rack: "r-" + name, Capacity: Resources{Processors: 8, Memory: 1000}})
	h.sequences[name]++
	return h.owner.Heartbeat(h.now, Heartbeat{Instance: name, Incarnation: incarnation, WorkerIncarnation: incarnation, Epoch: 1, Session: h.session(name, incarnation), Sequence: h.sequences[name], Held: held}, true)
}

// session returns the session of an agent's incarnation and requests it on first use.
func (h *harness) session(name, incarnation string) uint64 {
	if h.sessions[incarnation] == 0 {
		h.sessions[incarnation] = h.owner.Heartbeat(h.now, Heartbeat{Instance: name, Epoch: 1}, true).Session
	}
	return h.sessions[incarnation]
}

// commit plans and commits, and returns the decisions.
func (h *harness) commit() []string {
	h.t.Helper()
	if len(h.owner.Plan(h.now)) == 0 {
		return nil
	}
	h.owner.Committed(h.now, 2)
	var lines []string
	for _, d := range h.owner.Decisions() {
		lines = append(lines, fmt.Sprintf("%s %d.%d %s %s", d.Action, d.Task, d.Attempt, d.Instance, d.State))
	}
	return lines
}

func (h *harness) wantDecisions(want ...string) {
	h.t.Helper()
	if diff := cmp.Diff(want, h.commit()); diff != "" {
		h.t.Fatalf("decisions (-want +got):\n%s", diff)
	}
}

func oneTask(idempotent bool) Job {
	return Job{ID: "j", Workspace: "w", Class: "c", Tasks: 1, Need: Resources{Processors: 4}, Runtime: time.Second, Idempotent: idempotent}
}

func TestTaskStartsOnlyAfterItsPlacementIsCommitted(t *testing.T) {
	h := newHarness(t, oneTask(true))
	h.heartbeat("a", "a1")
	h.owner.Plan(h.now)
	if got := h.heartbeat("a", "a1").Start; len(got) != 0 {
		t.Fatalf("started before the commit: %v", got)
	}
	h.owner.Committed(h.now, 2)
	got := h.heartbeat("a", "a1").Start
	if len(got) != 1 || got[0].Task != "j.0" || got[0].Attempt != 1 {
		t.Fatalf("start after the commit: got %v, want attempt 1 of j.0", got)
	}
}

func TestTaskOfLostInstance(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		silent     time.Duration
		want       []string
	}{
		{"idempotent, grants may last", true, testTTL, nil},
		{"idempotent, grants lapsed", true, testTTL + time.Second, []string{"return 0.1 a waiting"}},
		{"once only, grants lapsed", false, testTTL + time.Second, []string{"hold 0.1 a placed"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, oneTask(c.idempotent))
			h.heartbeat("a", "a1")
			h.wantDecisions("place 0.1 a placed")
			h.heartbeat("a", "a1", TaskStatus{Task: "j.0", Attempt: 1, RunState: Running})
			h.advance(c.silent)
			h.wantDecisions(c.want...)
		})
	}
}

func TestNonIdempotentTaskResumesOnReconnect(t *testing.T) {
	h := newHarness(t, oneTask(false))
	h.heartbeat("a", "a1")
	h.wantDecisions("place 0.1 a placed")
	held := TaskStatus{Task: "j.0", Attempt: 1, RunState: Running}
	h.heartbeat("a", "a1", held)
	h.advance(time.Minute)
	h.wantDecisions("hold 0.1 a placed")
	held.RunState = Paused
	reply := h.heartbeat("a", "a1", held)
	if len(reply.Stop) != 0 || reply.TTL != testTTL {
		t.Fatalf("reply to the instance after it reconnected: %+v", reply)
	}
	held.RunState = Finished
	h.heartbeat("a", "a1", held)
	h.wantDecisions("end 0.1 a done")
}

func TestNonIdempotentTaskEndsAsUnknown(t *testing.T) {
	h := newHarness(t, oneTask(false))
	h.heartbeat("a", "a1")
	h.wantDecisions("place 0.1 a placed")
	h.heartbeat("a", "a1", TaskStatus{Task: "j.0", Attempt: 1, RunState: Running})
	h.sequences["a"] = 0
	h.heartbeat("a", "a2")
	h.wantDecisions("end 0.1 a unknown")
}

func TestNewOwnerWaitsForGrantsOfTheLast(t *testing.T) {
	job := oneTask(true)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	owner := New(now, Spread, 2, testTTL)
	owner.Load(now, job, Chunk{Job: "j", Tasks: []Task{{State: Placed, Attempt: 1, Instance: "a", WorkerIncarnation: "a1"}}}, 7)
	if changes := owner.Plan(now.Add(testTTL)); len(changes) != 0 {
		t.Fatalf("task moved while a grant of the previous owner may be valid: %v", changes)
	}
	if changes := owner.Plan(now.Add(testTTL + time.Second)); len(changes) != 1 {
		t.Fatalf("changes after all grants expired: got %v, want one", changes)
	}
}

func TestLateHeartbeatChangesNothing(t *testing.T) {
	h := newHarness(t, oneTask(true))
	h.heartbeat("a", "a1")
	h.wantDecisions("place 0.1 a placed")
	h.heartbeat("a", "a1", TaskStatus{Task: "j.0", Attempt: 1, RunState: Running})
	late := Heartbeat{Instance: "a", Incarnation: "a1", WorkerIncarnation: "a1", Epoch: 1, Session: 1, Sequence: 1}
	if got := h.owner.Heartbeat(h.now, late, true); got.TTL != 0 || len(got.Start) != 0 {
		t.Fatalf("reply to a late heartbeat: %+v", got)
	}
	h.wantDecisions()
}

func TestHeartbeatForAnEarlierOwnerChangesNothing(t *testing.T) {
	job := oneTask(true)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	owner := New(now, Spread, 2, testTTL)
	owner.Load(now, job, Chunk{Job: "j", Tasks: []Task{{State: Placed, Attempt: 1, Instance: "a", WorkerIncarnation: "a1"}}}, 7)
	owner.Evict("j", 0, "noisy")
	old := Heartbeat{Instance: "a", Incarnation: "a1", WorkerIncarnation: "a1", Epoch: 1, Sequence: 5}
	if reply := owner.Heartbeat(now, old, true); reply.Epoch != 2 || reply.TTL != 0 {
		t.Errorf("reply to a heartbeat for an earlier owner: got %+v, want epoch 2 and no grant", reply)
	}
	if changes := owner.Plan(now); len(changes) != 0 {
		t.Errorf("a heartbeat for an earlier owner changed the task: %v", changes)
	}
}

func TestHeartbeatOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t, oneTask(true))
	h.heartbeat("a", "a1")
	h.sequences["a"] = 0
	h.heartbeat("a", "a2")
	late := Heartbeat{Instance: "a", Incarnation: "a1", WorkerIncarnation: "a1", Epoch: 1, Session: 1, Sequence: 9}
	if reply := h.owner.Heartbeat(h.now, late, true); reply.TTL != 0 {
		t.Errorf("a heartbeat of an earlier incarnation got a grant: %+v", reply)
	}
}

func TestEvictionMovesTheTaskWithItsCheckpointOnce(t *testing.T) {
	h := newHarness(t, oneTask(false))
	h.heartbeat("a", "a1")
	h.wantDecisions("place 0.1 a placed")
	held := TaskStatus{Task: "j.0", Attempt: 1, RunState: Running}
	h.heartbeat("a", "a1", held)
	h.owner.Evict("j", 0, "noisy")
	if stop := h.heartbeat("a", "a1", held).Stop; len(stop) != 1 || !stop[0].Save {
		t.Fatalf("stop orders: got %v, want one with a checkpoint", stop)
	}
	h.wantDecisions()
	held.RunState, held.CheckpointKey = Stopped, "checkpoint/j.0/1"
	if acks := h.heartbeat("a", "a1", held).Ack; len(acks) != 0 {
		t.Fatalf("acknowledged before the end is committed: %v", acks)
	}
	h.wantDecisions("return 0.1 a waiting")
	if acks := h.heartbeat("a", "a1", held).Ack; len(acks) != 1 {
		t.Fatalf("acknowledgements after the commit: got %v, want one", acks)
	}
	h.heartbeat("b", "b1")
	h.wantDecisions("place 0.2 b placed")
	start := h.heartbeat("b", "b1").Start
	if len(start) != 1 || start[0].CheckpointKey != "checkpoint/j.0/1" || start[0].Attempt != 2 {
		t.Fatalf("start on the other instance: got %+v, want attempt 2 with the checkpoint", start)
	}
	if stop := h.heartbeat("a", "a1", TaskStatus{Task: "j.0", Attempt: 1, RunState: Paused}).Stop; len(stop) != 1 {
		t.Fatalf("stop orders for an old attempt that is listed again: got %v, want one", stop)
	}
}

func TestCancel(t *testing.T) {
	cases := []struct {
		name string
		held []TaskStatus
		want []string
	}{
		{"never started", nil, []string{"end 0.1 a cancelled"}},
		{"running", []TaskStatus{{Task: "j.0", Attempt: 1, RunState: Running}}, nil},
		{"stopped", []TaskStatus{{Task: "j.0", Attempt: 1, RunState: Stopped}}, []string{"end 0.1 a cancelled"}},
		{"finished first", []TaskStatus{{Task: "j.0", Attempt: 1, RunState: Finished}}, []string{"end 0.1 a done"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, oneTask(false))
			h.heartbeat("a", "a1")
			h.wantDecisions("place 0.1 a placed")
			h.owner.Cancel("j")
			h.heartbeat("a", "a1", c.held...)
			h.wantDecisions(c.want...)
		})
	}
}

func TestTaskThatFailsEverywhereEndsWithItsReason(t *testing.T) {
	h := newHarness(t, oneTask(true))
	for attempt := 1; attempt <= maxFailures; attempt++ {
		name := fmt.Sprintf("i%d", attempt)
		h.heartbeat(name, name)
		h.wantDecisions(fmt.Sprintf("place 0.%d %s placed", attempt, name))
		h.heartbeat(name, name, TaskStatus{Task: "j.0", Attempt: attempt, RunState: RunFailed, Reason: "exit 1"})
		want := "return 0.%d %s waiting"
		if attempt == maxFailures {
			want = "end 0.%d %s failed"
		}
		h.wantDecisions(fmt.Sprintf(want, attempt, name))
		h.advance(testTTL + time.Second)
	}
}

func TestNeedThatDoesNotFitNamesItsDimension(t *testing.T) {
	room := Resources{Processors: 8, Memory: 1000, Accelerators: 1}
	cases := []struct {
		need Resources
		want string
	}{
		{Resources{Processors: 8, Memory: 1000, Accelerators: 1}, ""},
		{Resources{Processors: 9}, "processors: 9 needed, 8 there"},
		{Resources{Memory: 1001}, "memory: 1001 MB needed, 1000 MB there"},
		{Resources{Accelerators: 2}, "accelerators: 2 needed, 1 there"},
	}
	for _, c := range cases {
		if got := c.need.Shortage(room); got != c.want {
			t.Errorf("%+v: got %q, want %q", c.need, got, c.want)
		}
	}
}

func TestQuotaHoldsTasksBackUntilOthersEnd(t *testing.T) {
	job := oneTask(true)
	job.Tasks = 2
	h := newHarness(t, job)
	h.owner.SetQuotas(map[string]Resources{"w": {Processors: 4}})
	h.heartbeat("a", "a1")
	h.heartbeat("b", "b1")
	h.wantDecisions("place 0.1 a placed")
	h.wantDecisions()
	h.heartbeat("a", "a1", TaskStatus{Task: "j.0", Attempt: 1, RunState: Finished})
	h.wantDecisions("end 0.1 a done")
	h.heartbeat("a", "a1")
	h.wantDecisions("place 1.1 a placed")
}

// A grant counts as expired only when it has expired on an instance whose clock runs slow by the
// highest drift.
func TestAGrantLastsOnASlowClock(t *testing.T) {
	const ttl = 4 * time.Second
	o := New(time.Now(), Spread, 1, ttl)
	if need := time.Duration(ttl.Seconds() / (1 - maxClockDrift) * float64(time.Second)); o.grantLifetime() < need {
		t.Errorf("counts as expired after %v, lasts %v", o.grantLifetime(), need)
	}
}
