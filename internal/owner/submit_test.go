package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

func submissionOf(id string) *submission {
	job := dispatch.Job{ID: id, Steps: []dispatch.Step{{Count: 1}}}
	return &submission{job: job, done: make(chan table.Outcome, 1)}
}

// A job that the book has from the table is accepted at once, and is in no commit, which
// would conflict with its row.
func TestAJobThatIsInTheTableIsInNoCommit(t *testing.T) {
	of := termOf(nil)
	of.versions = map[table.RowKey]uint64{}
	known, fresh := submissionOf("known"), submissionOf("fresh")
	of.book.Accept(time.Now(), &known.job, nil)
	of.submits = []*submission{known, fresh}
	b := &batch{}
	of.putSubmits(b)
	if len(b.submits) != 1 || b.submits[0] != fresh {
		t.Errorf("%d jobs in the commit, want the new one alone", len(b.submits))
	}
	select {
	case outcome := <-known.done:
		if outcome != table.Committed {
			t.Errorf("the known job is answered with %v", outcome)
		}
	default:
		t.Error("the known job has no answer")
	}
}

// However much waits, a commit stays below what the table takes in one change.
func TestACommitStaysBelowTheLimitOfTheTable(t *testing.T) {
	of := termOf(nil)
	of.versions = map[table.RowKey]uint64{}
	for i := range 200 {
		of.submits = append(of.submits, submissionOf(fmt.Sprintf("new%d", i)))
		job := submissionOf(fmt.Sprintf("old%d", i)).job
		of.book.Accept(time.Now(), &job, nil)
		of.book.Cancel(job.ID)
		of.changes = append(of.changes, dispatch.InstanceChange{Registration: dispatch.Registration{Incarnation: dispatch.Incarnation{ID: fmt.Sprintf("i%d", i)}}})
	}
	b := of.nextBatch()
	entries := len(b.change.Preconditions) + len(b.change.Puts) + len(b.change.Removes)
	if entries > entriesACommit || entries < entriesACommit-2*entriesARow {
		t.Errorf("%d entries in a commit, the table takes %d", entries, entriesACommit)
	}
	if len(b.submits) != submitsACommit || len(b.instances) != instancesACommit {
		t.Errorf("%d jobs and %d instances in it", len(b.submits), len(b.instances))
	}
}
