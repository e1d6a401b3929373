package ledger

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/apricotwind/apricotwind/pkg/platform/object"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const targets = `workspaces:
  - name: w
    share: 100
classes:
  - name: preview
    kind: service
    quantile: 0.9
    latency: 100ms
`

// memoryStore returns a store whose table and object store are maps.
func memoryStore() *Store {
	rows, objects := map[string]table.Row{}, map[string][]byte{}
	return NewStore(
		table.New(nil, func(_ context.Context, prefix string) ([]table.Row, error) {
			var found []table.Row
			for key, row := range rows {
				if strings.HasPrefix(key, prefix) {
					found = append(found, row)
				}
			}
			return found, nil
		}, func(_ context.Context, conditions []table.Condition, writes []table.Write) (table.Result, error) {
			if rows[conditions[0].Key].Revision != conditions[0].Revision {
				return table.Result{Outcome: table.Conflict}, nil
			}
			rows[writes[0].Key] = table.Row{Key: writes[0].Key, Revision: 1, Value: writes[0].Value}
			return table.Result{Outcome: table.Committed, Revision: 1}, nil
		}),
		object.New(func(_ context.Context, key string, value []byte) error {
			objects[key] = value
			return nil
		}, func(_ context.Context, key string) ([]byte, error) { return objects[key], nil }, nil),
	)
}

// window records one delivered request with the given latency and closes the window.
func window(t *testing.T, recorder *Recorder, latency time.Duration, last bool) Window {
	t.Helper()
	recorder.RecordOwed("w", "preview", 1)
	recorder.RecordOutcome("w", "preview", Delivered, "")
	recorder.RecordLatency("w", "preview", latency)
	closed, err := recorder.Rotate(start.Add(time.Minute), 1, last)
	if err != nil {
		t.Fatal(err)
	}
	return closed
}

func build(t *testing.T, store *Store, alive ...string) Report {
	t.Helper()
	document, err := contract.Parse([]byte(targets))
	if err != nil {
		t.Fatal(err)
	}
	windows, index, err := store.Get(t.Context(), start, start.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	running := map[string]bool{}
	for _, incarnation := range alive {
		running[incarnation] = true
	}
	report, err := Build(Query{Alive: running}, document, windows, index)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func put(t *testing.T, store *Store, windows ...Window) {
	t.Helper()
	for _, window := range windows {
		if err := store.Put(t.Context(), window); err != nil {
			t.Fatal(err)
		}
	}
}

func TestWindowWrittenTwiceCountsOnce(t *testing.T) {
	store := memoryStore()
	recorder := New(start, "e0", "run")
	first := window(t, recorder, 10*time.Millisecond, false)
	put(t, store, first, first, window(t, recorder, 30*time.Millisecond, true))
	report := build(t, store)
	if len(report.Rows) != 1 || report.Rows[0].Owed != 2 || report.Windows != 2 {
		t.Errorf("%d windows, rows %+v; want 2 windows and one row with 2 owed", report.Windows, report.Rows)
	}
	if tail := report.Rows[0].Tail; tail < 29 || tail > 31 {
		t.Errorf("merged tail %g ms, want 30", tail)
	}
}

func TestMissingWindowsAreNamed(t *testing.T) {
	cases := []struct {
		name   string
		stored []int
		last   bool
		alive  []string
		want   []Gap
	}{
		{"ended in order", []int{0, 1, 2}, true, nil, nil},
		{"alive: its open window is not lost", []int{0, 1, 2}, false, []string{"run"}, nil},
		{"lost with its open window", []int{0, 1, 2}, false, nil, []Gap{{"e0", "run", 3, "node was lost with its open window"}}},
		{"one was not stored", []int{0, 2}, true, nil, []Gap{{"e0", "run", 1, "window was not stored"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := memoryStore()
			recorder := New(start, "e0", "run")
			var all []Window
			for n := range 3 {
				all = append(all, window(t, recorder, time.Millisecond, c.last && n == 2))
			}
			for _, n := range c.stored {
				put(t, store, all[n])
			}
			if diff := cmp.Diff(c.want, build(t, store, c.alive...).Gaps); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestTargetsAreJudgedByWhatHasEnded(t *testing.T) {
	cases := []struct {
		name                       string
		delivered, late, cancelled int
		open                       int
		want                       string
	}{
		{"all in time", 10, 0, 0, 0, "yes"},
		{"as much as the quantile allows is late", 9, 1, 0, 0, "yes"},
		{"more is late", 8, 2, 0, 0, "no"},
		{"nothing ended", 0, 0, 0, 3, "open"},
		{"some open", 10, 0, 0, 1, "open"},
		{"all cancelled", 0, 0, 4, 0, "none owed"},
	}
	document, err := contract.Parse([]byte(targets))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			recorder := New(start, "e0", "run")
			recorder.RecordOwed("w", "preview", c.delivered+c.late+c.cancelled+c.open)
			for outcome, n := range map[Outcome]int{Delivered: c.delivered, Late: c.late, Cancelled: c.cancelled} {
				for range n {
					recorder.RecordOutcome("w", "preview", outcome, "")
				}
			}
			closed, err := recorder.Rotate(start.Add(time.Minute), 1, true)
			if err != nil {
				t.Fatal(err)
			}
			report, err := Build(Query{}, document, []Window{closed}, []record.WindowIndex{})
			if err != nil || report.Rows[0].Status != c.want {
				t.Errorf("status %q, error %v; want status %q", report.Rows[0].Status, err, c.want)
			}
		})
	}
}

// A report is not computed from a log that says that lines are missing.
func TestAnIncompleteLogIsRejected(t *testing.T) {
	document, err := contract.Parse([]byte(targets))
	if err != nil {
		t.Fatal(err)
	}
	log := "event=answer workspace=w class=preview fate=delivered timed=true us=1000\nevent=log-lines-left-out lines=7\n"
	if _, err := FromLog(strings.NewReader(log), document); err == nil || !strings.Contains(err.Error(), "7 lines") {
		t.Errorf("error %v", err)
	}
}

// A class without a point in the period of the report has no plots, and the page is written.
func TestAPageIsWrittenWithoutPoints(t *testing.T) {
	report := Report{Rows: []*Row{{Workspace: "w", Class: "preview"}}}
	var page strings.Builder
	if err := report.WriteHTML(&page); err != nil || !strings.Contains(page.String(), "preview") {
		t.Errorf("%v, page of %d bytes", err, page.Len())
	}
}
