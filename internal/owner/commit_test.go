package owner

import (
	"encoding/json"
	"fmt"
	"strings"
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

// acceptWithCheckpoints accepts a job of whose tasks all have a checkpoint and one is done, so that its
// progress holds them all.
func acceptWithCheckpoints(t *testing.T, current *term, id string, tasks int) {
	t.Helper()
	stored := &dispatch.Progress{Occurrences: []*dispatch.Occurrence{{Checkpoints: map[string]string{}, Failed: map[string][]int64{"0.0": {1}}}}}
	for i := range tasks {
		stored.Occurrences[0].Checkpoints[fmt.Sprintf("0.%d", i)] = strings.Repeat("c", 16)
	}
	job := dispatch.Job{ID: id, Policy: dispatch.Policy{Service: "s", Attempts: 3}, Steps: []dispatch.Step{{Count: tasks, Need: dispatch.Resources{Memory: 1}, Checkpoints: true}}}
	current.scheduler.Accept(time.Now(), &job, stored)
	end := dispatch.End{Sequence: 1, Task: dispatch.TaskName{Job: id, Index: 1}, Run: 1, Reason: dispatch.EndDone}
	current.scheduler.Ended(time.Now(), dispatch.Incarnation{ID: "w", StartedAt: 1}, []dispatch.End{end})
}

// A job whose progress does not fit into a row is stored without some of its checkpoints, and a commit
// takes no more than fits into one call. Otherwise the table refuses the commit for ever, with all that is
// in it.
func TestACommitIsNotTooLargeForTheTable(t *testing.T) {
	onTerm(t, func(current *term, _ *Conn) {
		const jobs = 20
		for i := range jobs {
			acceptWithCheckpoints(t, current, fmt.Sprintf("j%02d", i), 4000)
		}
		acceptWithCheckpoints(t, current, "small", 10)
		stored := map[string]dispatch.Progress{}
		commits := 0
		for dirty := true; dirty && commits < jobs; commits++ {
			b := current.nextBatch()
			size := 0
			for _, put := range b.txn.Puts {
				size += len(put.Value)
				if len(put.Value) > maxRowBytes {
					t.Fatalf("the row %s has %d bytes", put.Key, len(put.Value))
				}
				if strings.HasSuffix(put.Key, suffixProgress) {
					var progress dispatch.Progress
					if err := json.Unmarshal(put.Value, &progress); err != nil {
						t.Fatal(err)
					}
					stored[strings.TrimSuffix(put.Key, suffixProgress)] = progress
				}
			}
			if size > maxCommitBytes {
				t.Fatalf("a commit with values of %d bytes", size)
			}
			current.handleCommitted(b, uint64(10+commits))
			dirty, _ = current.scheduler.HasDirty()
		}
		if len(stored) != jobs+1 {
			t.Fatalf("%d of %d jobs are stored after %d commits", len(stored), jobs+1, commits)
		}
		small, large := stored["small"].Occurrences[0], stored["j00"].Occurrences[0]
		if len(small.Checkpoints) != 9 {
			t.Errorf("%d checkpoints of the small job, want 9", len(small.Checkpoints))
		}
		if len(large.Done) != 1 || large.Done[0] != "2" || len(large.Failed) != 1 || len(large.Checkpoints) < 1000 {
			t.Errorf("done %v, failed %v, %d checkpoints of the large job", large.Done, large.Failed, len(large.Checkpoints))
		}
	})
}
