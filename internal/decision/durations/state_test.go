package durations

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// learned returns a model of one queue and image whose tasks take three times their estimate.
func learned(class Class) *Model {
	m := New()
	for step := range 30 {
		runs := &Runs{}
		for task := range 8 {
			runs.Add(time.Duration(3000+100*step+10*task)*time.Millisecond, 0)
		}
		m.Observe(class, time.Duration(1000+30*step)*time.Millisecond, runs)
	}
	return m
}

// A model that is restored predicts what the stored one did, but for the rounding.
func TestARestoredModelPredictsTheSame(t *testing.T) {
	class := Class{Queue: "q", Image: "f"}
	m := learned(class)
	text, err := json.Marshal(m.State())
	if err != nil {
		t.Fatal(err)
	}
	var state State
	if err := json.Unmarshal(text, &state); err != nil {
		t.Fatal(err)
	}
	next := New()
	if restored := next.Restore(state); restored != 1 {
		t.Errorf("%d queues restored, want 1", restored)
	}
	for _, estimate := range []time.Duration{0, 500 * time.Millisecond, time.Second, time.Minute} {
		want, got := m.Predict(class, estimate), next.Predict(class, estimate)
		if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0.02, 0), cmp.Transformer("seconds", time.Duration.Seconds)); diff != "" {
			t.Errorf("estimate %s (-want +got):\n%s", estimate, diff)
		}
	}
}

// Entries that cannot be true are not restored.
func TestOddEntriesAreNotRestored(t *testing.T) {
	good := learned(Class{Queue: "q"}).State().Queues[0]
	odd := func(change func(q *QueueState)) State {
		q := QueueState{good.Name, append([]float64(nil), good.Fit...), append([]float64(nil), good.Steps...), append([]float64(nil), good.Tasks...), nil}
		change(&q)
		return State{Queues: []QueueState{q}}
	}
	cases := []struct {
		name  string
		state State
		want  int
	}{
		{"a good one", odd(func(*QueueState) {}), 1},
		{"of an older form", odd(func(q *QueueState) { q.Fit = q.Fit[:5] }), 0},
		{"without histograms", odd(func(q *QueueState) { q.Steps, q.Tasks = nil, nil }), 0},
		{"a negative weight", odd(func(q *QueueState) { q.Fit[0] = -1 }), 0},
		{"a negative count", odd(func(q *QueueState) { q.Steps[7] = -1 }), 0},
		{"no number", odd(func(q *QueueState) { q.Fit[2] = math.NaN() }), 0},
		{"too large", odd(func(q *QueueState) { q.Fit[2] = 1e300 }), 0},
		{"without a name", odd(func(q *QueueState) { q.Name = "" }), 0},
		{"an odd image of a good one", odd(func(q *QueueState) { q.Images = []ImageState{{"f", -1, 1}, {"g", 1, 1e300}, {"", 1, 1}} }), 1},
	}
	for _, c := range cases {
		m := New()
		if restored := m.Restore(c.state); restored != c.want || len(m.images) > 0 {
			t.Errorf("%s: %d queues and %d images restored, want %d and 0", c.name, restored, len(m.images), c.want)
		}
	}
}

// The state of a model that has seen very many names fits into a row of 64 KB, and the names that were
// learned last are in it.
func TestTheStateIsBounded(t *testing.T) {
	const maxRowBytes = 65_536
	m := New()
	runs := &Runs{}
	runs.Add(time.Hour, 0)
	name := func(i int) string { return strings.Repeat("<", maxNameLength-5) + fmt.Sprintf("%05d", i) }
	for i := range 3 * maxClasses {
		for range 3 {
			m.Observe(Class{Queue: name(i / 3), Image: name(i)}, time.Second, runs)
		}
		m.Observe(Class{Queue: strings.Repeat("q", maxNameLength+1)}, time.Second, runs)
	}
	text, err := json.Marshal(m.State())
	if err != nil || len(text) > maxRowBytes {
		t.Errorf("%d bytes, %v", len(text), err)
	}
	if last := name(maxClasses - 1); m.queues[last] == nil || len(m.queues) != maxQueues {
		t.Errorf("%d queues, the last one known: %v", len(m.queues), m.queues[last] != nil)
	}
	if len(m.images) != maxClasses {
		t.Errorf("%d images, want %d", len(m.images), maxClasses)
	}
}
