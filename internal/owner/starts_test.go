package owner

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// writtenStarts returns the value of the starts row in a commit, and whether the commit has it.
func writtenStarts(b *batch) ([]byte, bool) {
	for _, put := range b.txn.Puts {
		if put.RowKey == startsRowKey() {
			return put.Value, true
		}
	}
	return nil, false
}

// Guards against a next owner that knows nothing of a start under way, or learns it from a commit that took
// effect late.
func TestStartsUnderWayAreStored(t *testing.T) {
	current, incarnation := termWithAStart(t)
	current.revisions, current.commitFailures = map[table.RowKey]uint64{}, logs.NewFailureLogger(zap.NewNop(), "commit-unanswered")
	if _, written := writtenStarts(current.nextBatch()); written {
		t.Error("the row is written before that of the earlier owner was read")
	}
	current.loaded = true
	b := current.nextBatch()
	value, written := writtenStarts(b)
	var stored []dispatch.StoredStart
	name := dispatch.TaskName{Job: "j"}
	if err := json.Unmarshal(value, &stored); err != nil || !written || len(stored) != 1 || stored[0].Instance != "a" || stored[0].Task != name.String() {
		t.Fatalf("written: %v, %s, %v", written, value, err)
	}
	if !slices.Contains(b.txn.Preconditions, table.Precondition{RowKey: startsRowKey()}) {
		t.Error("the write has no precondition on the row's revision")
	}
	current.handleCommitted(b, 70)
	if current.startsChanged() {
		t.Error("the row counts as changed after the commit")
	}
	current.scheduler.Checkpointed(time.Now(), incarnation, []dispatch.RunStatus{{Task: name, Run: stored[0].Run, Settled: true}})
	b = current.nextBatch()
	if value, written = writtenStarts(b); !written || string(value) != "null" {
		t.Errorf("written: %v, %s after the start was settled", written, value)
	}
	if !slices.Contains(b.txn.Preconditions, table.Precondition{RowKey: startsRowKey(), Revision: 70}) {
		t.Error("the second write has no precondition on the revision of the first")
	}
}

// An order is stored soon although nothing else is to be committed.
func TestAStartMakesACommitDue(t *testing.T) {
	onTerm(t, func(current *term, _ *Conn) {
		current.loaded, current.committing = true, false
		job := dispatch.Job{ID: "j", Policy: dispatch.Policy{Service: "s"}, Steps: []dispatch.Step{{Count: 1, Need: dispatch.Resources{Processors: 1000}}}}
		current.scheduler.Accept(time.Now(), &job, nil)
		current.collectInstanceChanges()
		current.changes = nil
		current.dispatch()
		if !current.commitScheduled {
			t.Error("no commit is due")
		}
		current.committing = true
	})
}

// The next owner holds the tasks of stored starts for as long as an earlier owner's agent may send them and the
// run that they start may last. A row that cannot be read holds nothing.
func TestANewOwnerHoldsStoredStarts(t *testing.T) {
	cases := []struct {
		name, value string
		wants       int
	}{
		{"a start", `[{"task":"j.0.0.0","run":1,"instance":"gone"}]`, 1},
		{"a held start", `[{"task":"j.0.0.0","run":1,"instance":"gone","remaining":3}]`, 1},
		{"a start on an instance that has a row", `[{"task":"j.0.0.0","run":1,"instance":"w"}]`, 0},
		{"an odd row", `[{"task":"j"}]`, 0},
		{"no list", `7`, 0},
	}
	for _, c := range cases {
		onTerm(t, func(current *term, _ *Conn) {
			current.elector.settings.MaxLease = testMaxLease
			current.restore(persistedRows{starts: []table.Record{oddRow(tableStarts, singleRowKey, c.value)}})
			if got := current.scheduler.LateStarts(); got != c.wants {
				t.Errorf("%s: %d late starts, want %d", c.name, got, c.wants)
			}
			if current.revisions[startsRowKey()] != 50 {
				t.Errorf("%s: the revision of the row is not known", c.name)
			}
			current.scheduler.Plan(current.claimed.Add(grantedLeaseWait + link.MaxUnfencedLease(testMaxLease) + time.Second))
			if got := current.scheduler.LateStarts(); got != 0 {
				t.Errorf("%s: %d late starts in the end", c.name, got)
			}
		})
	}
}

// A list of starts that is too long for a row keeps neither the rest of the list nor other rows from the table.
func TestTooManyStartsForARow(t *testing.T) {
	onTerm(t, func(current *term, _ *Conn) {
		current.loaded = true
		var starts []dispatch.StoredStart
		for i := range 2000 {
			starts = append(starts, dispatch.StoredStart{Task: dispatch.TaskName{Job: "j", Index: i}.String(), Run: 1, Instance: "w", Process: "0123456789abcdef"})
		}
		current.scheduler.RestoreStarts(time.Now(), starts, time.Now())
		value, changed := current.encodeStarts()
		var stored []dispatch.StoredStart
		if err := json.Unmarshal(value, &stored); err != nil || !changed || len(value) > maxRowBytes || len(stored) < 400 {
			t.Errorf("%d bytes with %d starts, changed: %v, %v", len(value), len(stored), changed, err)
		}
	})
}
