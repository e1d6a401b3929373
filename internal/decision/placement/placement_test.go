package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testTTL = 4 * time.Second

// rig is an owner with the agents' answers written by hand.
type rig struct {
	t     *testing.T
	owner *Owner
	now   time.Time
	beats map[string]uint64

	sessions map[string]uint64 // by incarnation
}

func newRig(t *testing.T, job Job) *rig {
	t.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := &rig{t: t, owner: New(now, Spread, 1, testTTL), now: now, beats: map[string]uint64{}, sessions: map[string]uint64{}}
	for _, chunk := range Split(job, "first") {
		r.owner.Load(now, job, chunk, 1)
	}
	return r
}

func (r *rig) pass(d time.Duration) { r.now = r.now.Add(d) }

func (r *rig) beat(name, boot string, held ...TaskStatus) Reply {
	r.owner.Announce(r.now, Instance{Name: name, Rack: "r-" + name, Capacity: Resources{Processors: 8, Memory: 1000}})
	r.beats[name]++
	return r.owner.Heartbeat(r.now, Heartbeat{Instance: name, Incarnation: boot, WorkerIncarnation: boot, Epoch: 1, Session: r.session(name, boot), Sequence: r.beats[name], Held: held}, true)
}

// session is the one of an agent's incarnation, which asks for it first.
func (r *rig) session(name, incarnation string) uint64 {
	if r.sessions[incarnation] == 0 {
		r.sessions[incarnation] = r.owner.Heartbeat(r.now, Heartbeat{Instance: name, Epoch: 1}, true).Session
	}
	return r.sessions[incarnation]
}

// commit plans and commits, and returns what was decided.
func (r *rig) commit() []string {
	r.t.Helper()
	if len(r.owner.Plan(r.now)) == 0 {
		return nil
	}
	r.owner.Committed(r.now, 2)
	var lines []string
	for _, d := range r.owner.Decisions() {
		lines = append(lines, fmt.Sprintf("%s %d.%d %s %s", d.Action, d.Task, d.Attempt, d.Instance, d.State))
	}
	return lines
}

func (r *rig) want(want ...string) {
	r.t.Helper()
	if diff := cmp.Diff(want, r.commit()); diff != "" {
		r.t.Fatalf("decisions (-want +got):\n%s", diff)
	}
}

func oneTask(idempotent bool) Job {
	return Job{ID: "j", Workspace: "w", Class: "c", Tasks: 1, Need: Resources{Processors: 4}, Runtime: time.Second, Idempotent: idempotent}
}

func TestTaskStartsOnlyAfterItsPlacementIsCommitted(t *testing.T) {
	r := newRig(t, oneTask(true))
	r.beat("a", "a1")
	r.owner.Plan(r.now)
	if got := r.beat("a", "a1").Start; len(got) != 0 {
		t.Fatalf("started before the commit: %v", got)
	}
	r.owner.Committed(r.now, 2)
	got := r.beat("a", "a1").Start
	if len(got) != 1 || got[0].Task != "j.0" || got[0].Attempt != 1 {
		t.Fatalf("start after the commit: %v", got)
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
			r := newRig(t, oneTask(c.idempotent))
			r.beat("a", "a1")
			r.want("place 0.1 a placed")
			r.beat("a", "a1", TaskStatus{Task: "j.0", Attempt: 1, RunState: Running})
			r.pass(c.silent)
			r.want(c.want...)
		})
	}
}

func TestOnceOnlyTaskGoesOnWhereItWasWhenItsInstanceComesBack(t *testing.T) {
	r := newRig(t, oneTask(false))
	r.beat("a", "a1")
	r.want("place 0.1 a placed")
	held := TaskStatus{Task: "j.0", Attempt: 1, RunState: Running}
	r.beat("a", "a1", held)
	r.pass(time.Minute)
	r.want("hold 0.1 a placed")
	held.RunState = Paused
	reply := r.beat("a", "a1", held)
	if len(reply.Stop) != 0 || reply.TTL != testTTL {
		t.Fatalf("reply to the instance that came back: %+v", reply)
	}
	held.RunState = Finished
	r.beat("a", "a1", held)
	r.want("end 0.1 a done")
}

func TestOnceOnlyTaskEndsAsUnknown(t *testing.T) {
	r := newRig(t, oneTask(false))
	r.beat("a", "a1")
	r.want("place 0.1 a placed")
	r.beat("a", "a1", TaskStatus{Task: "j.0", Attempt: 1, RunState: Running})
	r.beats["a"] = 0
	r.beat("a", "a2")
	r.want("end 0.1 a unknown")
}

func TestNewOwnerWaitsForGrantsOfTheLast(t *testing.T) {
	job := oneTask(true)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	owner := New(now, Spread, 2, testTTL)
	owner.Load(now, job, Chunk{Job: "j", Tasks: []Task{{State: Placed, Attempt: 1, Instance: "a", WorkerIncarnation: "a1"}}}, 7)
	if changes := owner.Plan(now.Add(testTTL)); len(changes) != 0 {
		t.Fatalf("moved while a grant of the last owner may be in force: %v", changes)
	}
	if changes := owner.Plan(now.Add(testTTL + time.Second)); len(changes) != 1 {
		t.Fatalf("not moved after all grants lapsed: %v", changes)
	}
}

func TestLateBeatChangesNothing(t *testing.T) {
	r := newRig(t, oneTask(true))
	r.beat("a", "a1")
	r.want("place 0.1 a placed")
	r.beat("a", "a1", TaskStatus{Task: "j.0", Attempt: 1, RunState: Running})
	late := Heartbeat{Instance: "a", Incarnation: "a1", WorkerIncarnation: "a1", Epoch: 1, Session: 1, Sequence: 1}
	if got := r.owner.Heartbeat(r.now, late, true); got.TTL != 0 || len(got.Start) != 0 {
		t.Fatalf("reply to a beat that came late: %+v", got)
	}
	r.want()
}

func TestBeatWrittenForAnEarlierOwnerSaysNothing(t *testing.T) {
	job := oneTask(true)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	owner := New(now, Spread, 2, testTTL)
	owner.Load(now, job, Chunk{Job: "j", Tasks: []Task{{State: Placed, Attempt: 1, Instance: "a", WorkerIncarnation: "a1"}}}, 7)
	owner.Evict("j", 0, "noisy")
	old := Heartbeat{Instance: "a", Incarnation: "a1", WorkerIncarnation: "a1", Epoch: 1, Sequence: 5}
	if reply := owner.Heartbeat(now, old, true); reply.Epoch != 2 || reply.TTL != 0 {
		t.Errorf("reply: %+v", reply)
	}
	if changes := owner.Plan(now); len(changes) != 0 {
		t.Errorf("it was taken for a word on the task: %v", changes)
	}
}

func TestBeatOfAnEarlierIncarnationIsLate(t *testing.T) {
	r := newRig(t, oneTask(true))
	r.beat("a", "a1")
	r.beats["a"] = 0
	r.beat("a", "a2")
	late := Heartbeat{Instance: "a", Incarnation: "a1", WorkerIncarnation: "a1", Epoch: 1, Session: 1, Sequence: 9}
	if reply := r.owner.Heartbeat(r.now, late, true); reply.TTL != 0 {
		t.Errorf("reply: %+v", reply)
	}
}

func TestEvictionMovesTheTaskWithItsCheckpointOnce(t *testing.T) {
	r := newRig(t, oneTask(false))
	r.beat("a", "a1")
	r.want("place 0.1 a placed")
	held := TaskStatus{Task: "j.0", Attempt: 1, RunState: Running}
	r.beat("a", "a1", held)
	r.owner.Evict("j", 0, "noisy")
	if stop := r.beat("a", "a1", held).Stop; len(stop) != 1 || !stop[0].Save {
		t.Fatalf("stop with a checkpoint is missing: %v", stop)
	}
	r.want()
	held.RunState, held.Checkpoint = Stopped, "checkpoint/j.0/1"
	if forget := r.beat("a", "a1", held).Ack; len(forget) != 0 {
		t.Fatalf("forgotten before its end is in the table: %v", forget)
	}
	r.want("return 0.1 a waiting")
	if forget := r.beat("a", "a1", held).Ack; len(forget) != 1 {
		t.Fatalf("not forgotten after the commit: %v", forget)
	}
	r.beat("b", "b1")
	r.want("place 0.2 b placed")
	start := r.beat("b", "b1").Start
	if len(start) != 1 || start[0].Checkpoint != "checkpoint/j.0/1" || start[0].Attempt != 2 {
		t.Fatalf("start elsewhere: %+v", start)
	}
	if stop := r.beat("a", "a1", TaskStatus{Task: "j.0", Attempt: 1, RunState: Paused}).Stop; len(stop) != 1 {
		t.Fatalf("an old attempt that shows up again is not stopped: %v", stop)
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
			r := newRig(t, oneTask(false))
			r.beat("a", "a1")
			r.want("place 0.1 a placed")
			r.owner.Cancel("j")
			r.beat("a", "a1", c.held...)
			r.want(c.want...)
		})
	}
}

func TestTaskThatFailsEverywhereEndsWithItsReason(t *testing.T) {
	r := newRig(t, oneTask(true))
	for attempt := 1; attempt <= failuresMost; attempt++ {
		name := fmt.Sprintf("i%d", attempt)
		r.beat(name, name)
		r.want(fmt.Sprintf("place 0.%d %s placed", attempt, name))
		r.beat(name, name, TaskStatus{Task: "j.0", Attempt: attempt, RunState: RunFailed, Reason: "exit 1"})
		want := "return 0.%d %s waiting"
		if attempt == failuresMost {
			want = "end 0.%d %s failed"
		}
		r.want(fmt.Sprintf(want, attempt, name))
		r.pass(testTTL + time.Second)
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
	r := newRig(t, job)
	r.owner.SetQuotas(map[string]Resources{"w": {Processors: 4}})
	r.beat("a", "a1")
	r.beat("b", "b1")
	r.want("place 0.1 a placed")
	r.want()
	r.beat("a", "a1", TaskStatus{Task: "j.0", Attempt: 1, RunState: Finished})
	r.want("end 0.1 a done")
	r.beat("a", "a1")
	r.want("place 1.1 a placed")
}
