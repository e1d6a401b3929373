package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// try returns an attempt with the given ID that the controllers of these tests admit.
func try(id string) Attempt {
	return Attempt{ID: id, Workspace: "w", Incarnation: "i", Deadline: start.Add(time.Minute)}
}

func TestVerdicts(t *testing.T) {
	expired := try("late")
	expired.Deadline = start
	other := try("other")
	other.Incarnation = "j"
	cases := []struct {
		name    string
		prepare func(*Controller)
		attempt Attempt
		want    Verdict
	}{
		{"slot free", func(*Controller) {}, try("a"), Admit},
		{"slots taken", func(c *Controller) { c.Admit(start, try("x")) }, try("a"), Queue},
		{"connections taken", func(c *Controller) { c.Admit(start, try("x")); c.Admit(start, try("y")) }, try("a"), Full},
		{"leaving", func(c *Controller) { c.Drain() }, try("a"), Draining},
		{"second copy", func(c *Controller) { c.Admit(start, try("a")) }, try("a"), Duplicate},
		{"late copy of a revoked one", func(c *Controller) { c.Revoke(start, "a") }, try("a"), Revoked},
		{"deadline passed", func(*Controller) {}, expired, Expired},
		{"meant for another incarnation", func(*Controller) {}, other, StaleIncarnation},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := New("i", Limits{Slots: 1, MaxInFlight: 2})
			tc.prepare(c)
			if got := c.Admit(start, tc.attempt); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

func TestRevokedAttemptNeverRuns(t *testing.T) {
	c := New("i", Limits{Slots: 1, MaxInFlight: 4})
	c.Admit(start, try("a"))
	c.Admit(start, try("b"))
	if got := c.Revoke(start, "b"); got != NeverStarted {
		t.Fatalf("waiting attempt: got %s", got)
	}
	if got := c.Revoke(start, "a"); got != Started {
		t.Fatalf("running attempt: got %s", got)
	}
	if next := c.Finish(start, try("a")); len(next) != 0 {
		t.Fatalf("revoked attempt was started: %v", next)
	}
}

func TestLateRequestsGiveWayToThoseThatCanStillMeetTheirTarget(t *testing.T) {
	c := New("i", Limits{Slots: 1, MaxInFlight: 3})
	queue := func(id string, target time.Duration) Verdict {
		attempt := try(id)
		attempt.TargetDeadline = start.Add(target)
		return c.Admit(start, attempt)
	}
	queue("running", time.Second)
	queue("late", -2*time.Second)
	queue("later", -time.Second)
	if got := queue("in time", time.Second); got != Queue {
		t.Fatalf("attempt on a full queue with some that miss their target: got %s, want queue", got)
	}
	if got := c.Displaced(); len(got) != 1 || got[0] != "late" {
		t.Fatalf("displaced: got %v, want the one with the earliest target deadline", got)
	}
	if got := c.Revoke(start, "late"); got != Refused {
		t.Errorf("state of the displaced attempt: got %s, want refused", got)
	}
	if next := c.Finish(start, try("running")); len(next) != 1 || next[0] != "in time" {
		t.Errorf("started after Finish: got %v, want the attempt that can meet its target", next)
	}
	queue("second", time.Second)
	if got := queue("third", 2*time.Second); got != Queue {
		t.Errorf("attempt on a full queue with one more that misses its target: got %s, want queue", got)
	}
	if got := queue("fourth", 2*time.Second); got != Full {
		t.Errorf("attempt on a full queue whose attempts can all meet their targets: got %s, want a refusal", got)
	}
}

// TestSeededInterleavings makes random calls and checks two invariants: no more attempts run
// than there are slots, and no attempt runs after it was refused or revoked.
func TestSeededInterleavings(t *testing.T) {
	for seed := range uint64(500) {
		if err := interleave(seed); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func interleave(seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 0))
	limits := Limits{Slots: 1 + random.IntN(4), MaxInFlight: 5}
	c := New("i", limits)
	now := start
	running, refused := map[string]bool{}, map[string]bool{}
	recordStart := func(id string) error {
		running[id] = true
		if refused[id] {
			return fmt.Errorf("attempt %s runs after it was refused or revoked", id)
		}
		if len(running) > limits.Slots {
			return fmt.Errorf("%d attempts run in %d slots", len(running), limits.Slots)
		}
		return nil
	}
	for range 200 {
		now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		id := fmt.Sprint(random.IntN(40))
		attempt := try(id)
		attempt.Workspace = fmt.Sprint(random.IntN(3))
		attempt.TargetDeadline = now.Add(time.Duration(random.IntN(400)-200) * time.Millisecond)
		switch random.IntN(4) {
		case 0, 1:
			verdict := c.Admit(now, attempt)
			for _, displaced := range c.Displaced() {
				refused[displaced] = true
			}
			switch verdict {
			case Admit:
				if err := recordStart(id); err != nil {
					return err
				}
			case Full, Expired, Draining, StaleIncarnation:
				refused[id] = true
			case Queue, Duplicate, Revoked:
			}
		case 2:
			if state := c.Revoke(now, id); state == NeverStarted || state == Refused {
				if running[id] {
					return fmt.Errorf("attempt %s runs, but Revoke reported that it never will", id)
				}
				refused[id] = true
			}
		case 3:
			if !running[id] {
				continue
			}
			delete(running, id)
			for _, next := range c.Finish(now, attempt) {
				if err := recordStart(next); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// However many attempts are refused or revoked, the records stay bounded, and an attempt of which
// no record can be made is not said to never start.
func TestRecordsAreBounded(t *testing.T) {
	c := New("i", Limits{Slots: 1, MaxInFlight: 1})
	c.Admit(start, try("running"))
	for i := range maxRecords + 10 {
		c.Admit(start, try(fmt.Sprint(i)))
	}
	if state := c.Revoke(start, "unknown"); state == NeverStarted || state == Refused {
		t.Errorf("an attempt without a record is %s", state)
	}
	if len(c.records) > maxRecords {
		t.Errorf("%d records, the bound is %d", len(c.records), maxRecords)
	}
}
