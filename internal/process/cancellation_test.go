package process_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/owner"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/internal/testcluster"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

// patience is how long a caller waits for the answer to a submission.
const patience = 2900 * time.Millisecond

// lateWrites returns the fault in which the store answers nothing to writes of a job's rows, and carries
// them out late.
func lateWrites(id string, late time.Duration) func(string, table.Txn) testcluster.StoreFault {
	return func(_ string, change table.Txn) testcluster.StoreFault {
		for _, put := range change.Puts {
			if strings.HasPrefix(put.Key, id+"/") {
				return testcluster.StoreFault{DropReply: true, Late: late}
			}
		}
		return testcluster.StoreFault{}
	}
}

// submitPatiently submits a job to the first entry that runs, and waits for as long as callers do.
func submitPatiently(t *testing.T, system *testcluster.JobCluster, id string, change func(*dispatch.Job)) submission.Outcome {
	t.Helper()
	job := newJob(id, 2, 300)
	if change != nil {
		change(&job)
	}
	system.Checker.Submitted(&job)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	outcome, _ := firstService(t, system).Submit(ctx, job) // the outcome says all that is checked
	return outcome
}

// firstService returns the service of the first entry that runs.
func firstService(t *testing.T, system *testcluster.JobCluster) *submission.Service {
	t.Helper()
	for i := range system.Entries {
		if service := system.Service(i); service != nil {
			return service
		}
	}
	t.Fatal("no entry runs")
	return nil
}

// Guards against a job that runs after its caller was told that no such job exists: the cancellation
// found no row, and the store carried out a write of the job later.
func TestAJobThatWasCancelledUnseenNeverRuns(t *testing.T) {
	const id = "0123456789abcdef"
	for _, c := range []struct {
		name   string
		change func(*dispatch.Job)
		cancel func(t *testing.T, system *testcluster.JobCluster) submission.Outcome
	}{
		{"cancelled at the entry that it was submitted to", nil, func(t *testing.T, system *testcluster.JobCluster) submission.Outcome {
			return cancelAt(t, system, 0, id)
		}},
		{"cancelled at another entry", nil, func(t *testing.T, system *testcluster.JobCluster) submission.Outcome {
			return cancelAt(t, system, 1, id)
		}},
		{"the cancellation is forwarded", nil, func(t *testing.T, system *testcluster.JobCluster) submission.Outcome {
			system.Store.SetFault(func(process string, _ bool) testcluster.StoreFault {
				return testcluster.StoreFault{Refuse: process == system.EntryName(1)}
			})
			defer system.Store.SetFault(nil)
			return cancelAt(t, system, 1, id)
		}},
		{"writes of the cancellation are late too", nil, func(t *testing.T, system *testcluster.JobCluster) submission.Outcome {
			system.Store.SetTxnFault(lateWrites(id, time.Second))
			if outcome := cancelAt(t, system, 1, id); outcome != submission.Unknown {
				t.Errorf("cancelled while the store does not answer: %v", outcome)
			}
			system.Store.SetTxnFault(nil)
			return cancelAt(t, system, 1, id)
		}},
		{"a scheduled job", func(job *dispatch.Job) {
			job.FirstDue, job.Interval, job.Repeat = time.Now().Add(6*time.Second).UnixMilli(), 500, 3
		}, func(t *testing.T, system *testcluster.JobCluster) submission.Outcome {
			return cancelAt(t, system, 2, id)
		}},
		{"the owner changes after the cancellation", nil, func(t *testing.T, system *testcluster.JobCluster) submission.Outcome {
			outcome := cancelAt(t, system, 1, id)
			killOwner(t, system)
			return outcome
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
				time.Sleep(time.Second)
				system.Store.SetTxnFault(lateWrites(id, 5*time.Second))
				if outcome := submitPatiently(t, system, id, c.change); outcome != submission.Unknown {
					t.Fatalf("submitted while the store does not answer: %v", outcome)
				}
				system.Store.SetTxnFault(nil)
				if outcome := c.cancel(t, system); outcome != submission.NotFound {
					t.Errorf("cancelled: %v, want %v", outcome, submission.NotFound)
				}
				time.Sleep(15 * time.Second)
				if system.Checker.Started(id) {
					t.Error("a job starts after its caller was told that there is no such job")
				}
			})
		})
	}
}

// A job that is stored after its cancellation has read the table, and before the tombstone, is cancelled.
func TestAJobThatIsStoredDuringItsCancellationIsCancelled(t *testing.T) {
	withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
		const id = "0123456789abcdef"
		job := newJob(id, 1, 60_000)
		job.OwnerRevision = holder(t, system).OwnerRevision
		system.Checker.Submitted(&job)
		insert, err := owner.JobInsertTxn(job)
		if err != nil {
			t.Fatal(err)
		}
		system.Store.SetTxnFault(func(_ string, change table.Txn) testcluster.StoreFault {
			if len(change.Puts) == 1 && strings.Contains(string(change.Puts[0].Value), "tombstone") {
				if stored, err := system.Store.View("late").Apply(t.Context(), insert); err != nil || stored.Outcome != table.Committed {
					t.Errorf("insert: %v, %v", stored.Outcome, err)
				}
			}
			return testcluster.StoreFault{}
		})
		if outcome := cancelAt(t, system, 1, id); outcome != submission.Accepted {
			t.Errorf("cancelled: %v, want %v", outcome, submission.Accepted)
		}
		time.Sleep(2 * time.Second)
		if state := stateAt(t, system, 2, id); state != dispatch.Cancelled {
			t.Errorf("shown as %v", state)
		}
	})
}

// A job that is submitted after it was cancelled, as by a repeated request that arrives late, is refused
// and never runs, whether entries store jobs themselves or leave that to the owner.
func TestAJobIsRefusedAfterItsCancellation(t *testing.T) {
	for _, slow := range []time.Duration{0, 60 * time.Millisecond} {
		t.Run(fmt.Sprint("a store slower by ", slow), func(t *testing.T) {
			withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
				system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Slow: slow} })
				time.Sleep(3 * time.Second)
				for range 2 {
					if outcome := cancelAt(t, system, 0, "0123456789abcdef"); outcome != submission.NotFound {
						t.Errorf("cancelled before it was submitted: %v", outcome)
					}
				}
				if outcome := submitPatiently(t, system, "0123456789abcdef", nil); outcome != submission.Refused {
					t.Errorf("submitted after it was cancelled: %v", outcome)
				}
				if state, outcome, err := system.Service(2).State(t.Context(), "0123456789abcdef"); outcome != submission.NotFound {
					t.Errorf("shown as %v (%v, %v), and nobody has stored it", state, outcome, err)
				}
				time.Sleep(10 * time.Second)
				if system.Checker.Started("0123456789abcdef") {
					t.Error("a refused job has started")
				}
			})
		})
	}
}

// Clients that cancel IDs of their own invention cost the store few writes, and keep nobody else from
// being served.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
		time.Sleep(6 * time.Second)               // until the entries know of each other
		const calls, burst, rate = 1000, 50, 10.0 // of the writes: at once, and a second
		writes, began := 0, time.Now()
		system.Store.SetTxnFault(func(_ string, change table.Txn) testcluster.StoreFault {
			for _, put := range change.Puts {
				if strings.HasPrefix(put.Key, "f") {
					writes++
				}
			}
			return testcluster.StoreFault{}
		})
		refused := 0
		for i := range calls {
			if cancelAt(t, system, 0, fmt.Sprintf("f%015x", i)) == submission.Refused {
				refused++
			}
		}
		if writes > burst+int(rate*time.Since(began).Seconds()) || refused < calls-writes || refused == calls {
			t.Errorf("%d writes for %d cancellations of unknown jobs, %d refused", writes, calls, refused)
		}
		if outcome := submit(t, system, 0, newJob("0123456789abcdef", 1, 300)); outcome != submission.Accepted {
			t.Errorf("submitted meanwhile: %v", outcome)
		}
		if outcome := cancelAt(t, system, 0, "0123456789abcdef"); outcome != submission.Accepted {
			t.Errorf("a stored job cancelled meanwhile: %v", outcome)
		}
	})
}

// The ID of a job that was cancelled before it was stored is free again after the retention time, and
// no row stays behind.
func TestTombstonesAreRemoved(t *testing.T) {
	withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
		time.Sleep(time.Second)
		cancelAt(t, system, 0, "0123456789abcdef")
		time.Sleep(time.Second)
		killOwner(t, system) // the next one counts the time anew
		time.Sleep(10 * time.Second)
		if outcome := submitPatiently(t, system, "0123456789abcdef", nil); outcome != submission.Refused {
			t.Errorf("submitted while the tombstone stands: %v", outcome)
		}
		time.Sleep(testcluster.JobRetention + 10*time.Second)
		if outcome := submitPatiently(t, system, "0123456789abcdef", nil); outcome != submission.Accepted {
			t.Errorf("submitted after the retention time: %v", outcome)
		}
	})
}

func cancelAt(t *testing.T, system *testcluster.JobCluster, entry int, id string) submission.Outcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	outcome, _ := system.Service(entry).Cancel(ctx, id) // the outcome says all that is checked
	return outcome
}
