package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

func newTestSubmission(id string) *submission {
	job := dispatch.Job{ID: id, Steps: []dispatch.Step{{Count: 1}}}
	return &submission{job: job, done: make(chan table.Outcome, 1)}
}

// A submitted job that the scheduler already has from the table is answered at once. It is
// in no commit, since that would conflict with the job's row.
func TestAJobThatIsInTheTableIsInNoCommit(t *testing.T) {
	current := newTestTerm(nil)
	current.versions = map[table.RowKey]uint64{}
	known, fresh := newTestSubmission("known"), newTestSubmission("fresh")
	current.scheduler.Accept(time.Now(), &known.job, nil)
	current.submissions = []*submission{known, fresh}
	b := &batch{}
	current.putSubmissions(b)
	if len(b.submissions) != 1 || b.submissions[0] != fresh {
		t.Errorf("%d jobs in the commit, want only the new one", len(b.submissions))
	}
	select {
	case outcome := <-known.done:
		if outcome != table.Committed {
			t.Errorf("outcome of the known job is %v, want committed", outcome)
		}
	default:
		t.Error("the known job got no answer")
	}
}

// A commit never has more entries than the table accepts in one transaction, however many
// changes wait.
func TestACommitStaysBelowTheLimitOfTheTable(t *testing.T) {
	current := newTestTerm(nil)
	current.versions = map[table.RowKey]uint64{}
	for i := range 200 {
		current.submissions = append(current.submissions, newTestSubmission(fmt.Sprintf("new%d", i)))
		job := newTestSubmission(fmt.Sprintf("old%d", i)).job
		current.scheduler.Accept(time.Now(), &job, nil)
		current.scheduler.Cancel(job.ID)
		current.changes = append(current.changes, dispatch.InstanceChange{Registration: dispatch.Registration{Incarnation: dispatch.Incarnation{ID: fmt.Sprintf("i%d", i)}}})
	}
	b := current.nextBatch()
	entries := len(b.change.Preconditions) + len(b.change.Puts) + len(b.change.Removes)
	if entries > maxCommitEntries || entries < maxCommitEntries-2*entriesPerRow {
		t.Errorf("%d entries in the commit, the table accepts %d", entries, maxCommitEntries)
	}
	if len(b.submissions) != maxCommitSubmissions || len(b.instances) != maxCommitInstances {
		t.Errorf("%d jobs and %d instances in the commit", len(b.submissions), len(b.instances))
	}
}
