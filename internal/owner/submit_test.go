package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

func newTestPendingJob(id string) *pendingJob {
	job := dispatch.Job{ID: id, Steps: []dispatch.Step{{Count: 1}}}
	return &pendingJob{job: job, done: make(chan table.Outcome, 1)}
}

// A submitted job that the scheduler already has from the table is answered at once. It is
// in no commit, since that would conflict with the job's row.
func TestAJobThatIsInTheTableIsInNoCommit(t *testing.T) {
	current := newTestTerm(nil)
	current.revisions = map[table.RowKey]uint64{}
	known, fresh := newTestPendingJob("known"), newTestPendingJob("fresh")
	current.scheduler.Accept(time.Now(), &known.job, nil)
	current.pendingJobs = []*pendingJob{known, fresh}
	b := &batch{}
	current.putSubmissions(b)
	if len(b.pendingJobs) != 1 || b.pendingJobs[0] != fresh {
		t.Errorf("%d jobs in the commit, want only the new one", len(b.pendingJobs))
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

// A commit never has more operations than the table accepts in one transaction, however many
// changes wait.
func TestACommitStaysBelowTheLimitOfTheTable(t *testing.T) {
	current := newTestTerm(nil)
	current.revisions = map[table.RowKey]uint64{}
	for i := range 200 {
		current.pendingJobs = append(current.pendingJobs, newTestPendingJob(fmt.Sprintf("new%d", i)))
		job := newTestPendingJob(fmt.Sprintf("old%d", i)).job
		current.scheduler.Accept(time.Now(), &job, nil)
		current.scheduler.Cancel(job.ID)
		current.changes = append(current.changes, dispatch.InstanceChange{Registration: dispatch.Registration{Incarnation: dispatch.Incarnation{ID: fmt.Sprintf("i%d", i)}}})
	}
	b := current.nextBatch()
	operations := len(b.txn.Preconditions) + len(b.txn.Puts) + len(b.txn.Removes)
	if operations > maxCommitOperations || operations < maxCommitOperations-2*operationsPerRow {
		t.Errorf("%d operations in the commit, the table accepts %d", operations, maxCommitOperations)
	}
	if len(b.pendingJobs) != maxCommitSubmissions || len(b.instances) != maxCommitInstances {
		t.Errorf("%d jobs and %d instances in the commit", len(b.pendingJobs), len(b.instances))
	}
}

// A job is withdrawn only while no commit may have stored it: its caller is then told that it is not
// stored.
func TestAJobThatACommitMayHoldIsNotWithdrawn(t *testing.T) {
	for _, maybeCommitted := range []bool{false, true} {
		pending := newTestPendingJob("j")
		pending.maybeCommitted = maybeCommitted
		current := newTestTerm(nil)
		current.pendingJobs = []*pendingJob{pending}
		if withdrawn := current.withdraw(pending); withdrawn == maybeCommitted {
			t.Errorf("maybe committed %v: withdrawn %v", maybeCommitted, withdrawn)
		}
	}
}
