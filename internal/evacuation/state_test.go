package evacuation

import (
	"context"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

func newTracker() *Tracker { return New(zap.NewNop(), metrics.New()) }

// What is known at the highest revision counts, in whatever order it is learned.
func TestTracker(t *testing.T) {
	read := func(revision uint64, domains ...string) func(*Tracker) {
		return func(known *Tracker) { known.Replace(domains, revision) }
	}
	change := func(revision uint64, domain string, evacuated bool) func(*Tracker) {
		return func(known *Tracker) { known.Record(domain, evacuated, revision) }
	}
	merge := func(state State) func(*Tracker) { return func(known *Tracker) { known.Merge(state) } }
	cases := []struct {
		name  string
		steps []func(*Tracker)
		want  []string
	}{
		{"a read", []func(*Tracker){read(10, "b", "a")}, []string{"a", "b"}},
		{"a change", []func(*Tracker){read(10), change(11, "a", true)}, []string{"a"}},
		{"a change that the read has seen", []func(*Tracker){read(10), change(9, "a", true)}, nil},
		{"a change without a revision", []func(*Tracker){read(10, "a"), change(0, "a", false)}, []string{"a"}},
		{"a removal", []func(*Tracker){read(10, "a"), change(11, "a", false)}, nil},
		{"a removal that only a read shows", []func(*Tracker){read(10, "a"), read(12)}, nil},
		{"a read that is overtaken by a change", []func(*Tracker){change(12, "a", true), read(10)}, []string{"a"}},
		{"a read that is overtaken by a removal", []func(*Tracker){read(9, "a"), change(12, "a", false), read(10, "a")}, nil},
		{"a read at the revision of a change", []func(*Tracker){change(12, "a", true), read(12)}, nil},
		{"removed and requested again", []func(*Tracker){read(9, "a"), change(12, "a", false), change(13, "a", true)}, []string{"a"}},
		{"late order of these", []func(*Tracker){read(9, "a"), change(13, "a", true), change(12, "a", false)}, []string{"a"}},
		{"another process that knows more", []func(*Tracker){read(10), merge(State{Read: 12, Marks: map[string]Mark{"a": {true, 12}}})}, []string{"a"}},
		{"another process that knows of a removal", []func(*Tracker){read(10, "a"), merge(State{Read: 12})}, nil},
		{"another process that knows less", []func(*Tracker){read(10, "a"), merge(State{Read: 9})}, []string{"a"}},
		{"another process that has missed one of two", []func(*Tracker){read(10, "a"), merge(State{Read: 9, Marks: map[string]Mark{"b": {true, 11}}})}, []string{"a", "b"}},
		{"another process as late that says otherwise", []func(*Tracker){read(10, "a"), merge(State{Read: 10})}, []string{"a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			known := newTracker()
			for _, step := range c.steps {
				step(known)
			}
			if diff := cmp.Diff(c.want, known.State().Domains()); diff != "" {
				t.Errorf("domains (-want +got):\n%s", diff)
			}
			for _, domain := range known.State().Domains() {
				if known.SeenAt(domain).IsZero() {
					t.Errorf("no time for %s", domain)
				}
			}
		})
	}
}

// Subscribers hear of changes, and of what each read confirms while a domain is evacuated.
func TestSubscribe(t *testing.T) {
	known := newTracker()
	calls := 0
	cancel := known.Subscribe(func() { calls++ })
	for _, step := range []struct {
		domains []string
		want    int
	}{{nil, 0}, {[]string{"a"}, 1}, {[]string{"a"}, 2}, {nil, 3}, {nil, 3}} {
		known.Replace(step.domains, known.State().Read+1)
		if calls != step.want {
			t.Errorf("%d calls after a read of %v, want %d", calls, step.domains, step.want)
		}
	}
	cancel()
	known.Record("b", true, 99)
	if calls != 3 {
		t.Error("called after the end of the subscription")
	}
}

// A read covers the requests and the rows before them that are followed too. Only the key of a
// request counts.
func TestFollowerReads(t *testing.T) {
	var asked table.Range
	var others int
	f := &Follower{Store: &table.Store{Read: func(_ context.Context, r table.Range) ([]table.Record, uint64, error) {
		asked = r
		return []table.Record{
			{RowKey: table.RowKey{Table: "o", Key: "c"}}, {RowKey: table.RowKey{Table: "o", Key: "e/a"}, Value: []byte("{")},
		}, 7, nil
	}}, Table: "o", Prefix: "e/", From: "c", Apply: func(rows []table.Record) { others += len(rows) }}
	known := newTracker()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := f.Read(ctx, known); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(table.Range{Table: "o", From: "c", To: "e0"}, asked); diff != "" {
		t.Errorf("range (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(State{Read: 7, Marks: map[string]Mark{"a": {true, 7}}}, known.State()); diff != "" || others != 2 {
		t.Errorf("%d rows, state (-want +got):\n%s", others, diff)
	}
}
