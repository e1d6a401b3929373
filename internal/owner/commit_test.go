package owner

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

// applyBatch applies the instance rows of a commit to rows, and passes the result to the term.
func applyBatch(t *term, b *batch, rows map[table.RowKey]uint64, revision uint64) {
	for _, put := range b.txn.Puts {
		rows[put.RowKey] = revision
	}
	for _, rowKey := range b.txn.Removes {
		delete(rows, rowKey)
	}
	t.handleCommitted(b, revision)
}

// An instance may be lost, and attach again, before its row is committed. A task starts there only
// while the row is in the table: a later owner waits for the instances that have a row.
func TestTasksStartOnlyWhereTheRowIsInTheTable(t *testing.T) {
	onTerm(t, func(current *term, _ *Conn) {
		registration := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "x", StartedAt: 1}, Service: "x", Capacity: dispatch.Resources{Processors: 8000, Memory: 8000}}
		job := dispatch.Job{ID: "j", Policy: dispatch.Policy{Service: "x"}, Steps: []dispatch.Step{{Count: 1, Need: dispatch.Resources{Processors: 1000}}}}
		current.scheduler.Accept(time.Now(), &job, nil)
		for range 2 {
			current.scheduler.Register(time.Now(), registration)
			current.collectInstanceChanges()
			current.scheduler.Lost(time.Now(), registration.Incarnation)
			current.collectInstanceChanges()
		}
		current.scheduler.Register(time.Now(), registration)
		current.scheduler.Reconcile(time.Now(), registration.Incarnation, nil)
		current.collectInstanceChanges()
		rows := map[table.RowKey]uint64{}
		for revision := uint64(10); len(current.changes) > 0; revision++ {
			applyBatch(current, current.nextBatch(), rows, revision)
			current.scheduler.Plan(time.Now())
			if _, written := rows[instanceRowKey("x")]; len(current.scheduler.Runs("x")) > 0 && !written {
				t.Fatalf("after commit %d, a task runs on an instance without a row", revision)
			}
		}
		if len(current.scheduler.Runs("x")) != 1 {
			t.Error("the task does not run")
		}
	})
}

// The last change of a row is the one that holds, whatever waits in between.
func TestTheLastChangeOfARowHolds(t *testing.T) {
	onTerm(t, func(current *term, _ *Conn) {
		current.collectInstanceChanges()
		current.changes = nil
		change := func(id string, gone bool) {
			current.queueChange(dispatch.InstanceChange{Registration: dispatch.Registration{Incarnation: dispatch.Incarnation{ID: id}}, Gone: gone})
		}
		change("x", false)
		change("x", true)
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			change(id, false)
		}
		change("x", false)
		rows := map[table.RowKey]uint64{}
		for revision := uint64(10); len(current.changes) > 0; revision++ {
			applyBatch(current, current.nextBatch(), rows, revision)
		}
		if _, written := rows[instanceRowKey("x")]; !written {
			t.Error("the row was removed after its last write")
		}
	})
}

// Commits that fail do not multiply the changes that wait.
func TestChangesDoNotMultiplyInAnOutage(t *testing.T) {
	onTerm(t, func(current *term, _ *Conn) {
		registration := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "x", StartedAt: 1}}
		for _, gone := range []bool{false, true, false} {
			current.changes = append(current.changes, dispatch.InstanceChange{Registration: registration, Gone: gone})
		}
		for range 100 {
			current.handleCommitResult(current.nextBatch(), table.TxnResult{}, table.ErrRefused)
		}
		if len(current.changes) > 4 {
			t.Errorf("%d changes of 2 rows wait", len(current.changes))
		}
	})
}
