package process_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/owner"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/internal/testcluster"
	"go.uber.org/zap"
)

// withJobCluster runs a test on a newly started cluster in a synctest bubble of its own.
// It waits 2 s for the cluster to elect an owner first, and reports the checker's
// violations afterwards.
func withJobCluster(t *testing.T, entries, workers int, test func(t *testing.T, system *testcluster.JobCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		system, err := testcluster.NewJobCluster(ctx, entries, workers, dispatch.Resources{Processors: 8000, Memory: 10_000}, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			cancel()
			if err := system.Stop(); err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(2 * time.Second)
		test(t, system)
		for _, violation := range system.Checker.Violations() {
			t.Error(violation)
		}
	})
}

// holder reads which entry is the owner.
func holder(t *testing.T, system *testcluster.JobCluster) owner.Holder {
	t.Helper()
	store := system.Store.View("test")
	rows, _, err := store.Read(t.Context(), owner.RowRange())
	if err != nil || len(rows) != 1 {
		t.Fatalf("owner's row: %v, %v", rows, err)
	}
	read, err := owner.ReadHolder(rows[0])
	if err != nil {
		t.Fatal(err)
	}
	return read
}

func newJob(id string, tasks int, estimate int64) dispatch.Job {
	return dispatch.Job{
		ID: id, Queue: "q", Policy: dispatch.Policy{Service: "s", Attempts: 2, Stretch: 2, Latency: 500},
		Steps: []dispatch.Step{{Count: tasks, Estimate: estimate, Need: dispatch.Resources{Processors: 1000}}},
	}
}

// submit submits a job to an entry.
func submit(t *testing.T, system *testcluster.JobCluster, entry int, job dispatch.Job) submission.Outcome {
	t.Helper()
	system.Checker.Submitted(&job)
	outcome, _ := system.Service(entry).Submit(t.Context(), job) // the error adds nothing to the outcome
	return outcome
}

// submitLasting submits a job of long-running tasks.
func submitLasting(t *testing.T, system *testcluster.JobCluster, tasks int) {
	t.Helper()
	job := newJob("lasting", tasks, 1_000_000)
	job.Steps[0].LongRunning = true
	if outcome := submit(t, system, 0, job); outcome != submission.Accepted {
		t.Fatalf("submission: %v", outcome)
	}
}

func stateAt(t *testing.T, system *testcluster.JobCluster, entry int, id string) dispatch.State {
	t.Helper()
	state, outcome, err := system.Service(entry).State(t.Context(), id)
	if err != nil || outcome != submission.Accepted {
		t.Errorf("state of %s: %v, %v", id, outcome, err)
	}
	return state
}

func TestOwnerSurvivesASlowStore(t *testing.T) {
	withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
		before := holder(t, system)
		system.Store.SetFault(func(_ string, write bool) testcluster.StoreFault {
			if write {
				return testcluster.StoreFault{Slow: 470 * time.Millisecond, InTurn: true}
			}
			return testcluster.StoreFault{Slow: 236 * time.Millisecond}
		})
		for i := range 80 { // ten jobs a second, as under peak load
			go submit(t, system, i%3, newJob(fmt.Sprint("busy", i), 1, 100))
			time.Sleep(100 * time.Millisecond)
		}
		if outcome := submit(t, system, 1, newJob("slow", 1, 100)); outcome != submission.Accepted {
			t.Errorf("a job submitted while the store is slow: %v", outcome)
		}
		time.Sleep(4 * time.Second)
		system.Store.SetFault(nil)
		time.Sleep(time.Second)
		if after := holder(t, system); after.Epoch != before.Epoch {
			t.Errorf("epoch %d became %d", before.Epoch, after.Epoch)
		}
		if state := stateAt(t, system, 2, "slow"); state != dispatch.Completed {
			t.Errorf("the job is %v", state)
		}
	})
}

// An owner that survives an outage of the store writes the alive row before any other entry
// claims, so it is not replaced.
func TestOwnerSurvivesAnOutage(t *testing.T) {
	cases := []struct {
		name  string
		fault testcluster.StoreFault
	}{
		{"silent", testcluster.StoreFault{Silent: true}},
		{"refuses", testcluster.StoreFault{Refuse: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for outage := 2000; outage <= 6000; outage += 350 {
				withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
					for i := range 16 { // jobs end, and must be stored, throughout the outage
						submit(t, system, i%3, newJob(fmt.Sprint("busy", i), 1, int64(400*(i+1))))
					}
					before := holder(t, system)
					system.Store.SetFault(func(string, bool) testcluster.StoreFault { return c.fault })
					time.Sleep(time.Duration(outage) * time.Millisecond)
					system.Store.SetFault(nil)
					time.Sleep(4 * time.Second)
					if after := holder(t, system); after.Epoch != before.Epoch {
						t.Errorf("after %d ms epoch %d became %d", outage, before.Epoch, after.Epoch)
					}
				})
			}
		})
	}
}

// An owner that fails during an outage of the store is replaced within 4 s after the
// outage ends.
func TestFailedOwnerIsReplacedAfterAnOutage(t *testing.T) {
	withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
		before := holder(t, system)
		system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Silent: true} })
		time.Sleep(time.Second)
		killEntryNamed(t, system, before.Name)
		time.Sleep(3 * time.Second)
		system.Store.SetFault(nil)
		time.Sleep(4 * time.Second)
		if after := holder(t, system); after.Epoch == before.Epoch {
			t.Error("no entry took over within 4 s")
		}
	})
}

func TestFailedOwnerIsReplacedDespiteASlowStore(t *testing.T) {
	withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
		before := holder(t, system)
		system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Slow: 236 * time.Millisecond} })
		time.Sleep(3 * time.Second)
		killOwner(t, system)
		time.Sleep(6 * time.Second)
		if after := holder(t, system); after.Epoch == before.Epoch {
			t.Error("no entry took over within 6 s")
		}
	})
}

// killOwner kills the entry that is the owner.
func killOwner(t *testing.T, system *testcluster.JobCluster) {
	t.Helper()
	killEntryNamed(t, system, holder(t, system).Name)
}

func killEntryNamed(t *testing.T, system *testcluster.JobCluster, name string) {
	t.Helper()
	for i := range system.Entries {
		if system.EntryName(i) == name {
			if err := system.KillEntry(i); err != nil {
				t.Fatal(err)
			}
			return
		}
	}
	t.Fatalf("no entry is named %s", name)
}

// An owner that fails is replaced within 1.6 s. The workers continue their tasks in the
// meantime.
func TestTakeover(t *testing.T) {
	withJobCluster(t, 3, 3, func(t *testing.T, system *testcluster.JobCluster) {
		if outcome := submit(t, system, 0, newJob("long", 6, 4000)); outcome != submission.Accepted {
			t.Fatal(outcome)
		}
		time.Sleep(500 * time.Millisecond)
		before := holder(t, system)
		starts := system.Checker.Starts()
		killOwner(t, system)
		time.Sleep(1600 * time.Millisecond)
		if after := holder(t, system); after.Epoch != before.Epoch+1 {
			t.Errorf("epoch %d after 1.6 s, %d before", after.Epoch, before.Epoch)
		}
		time.Sleep(4 * time.Second)
		if again := system.Checker.Starts(); again != starts {
			t.Errorf("%d tasks started again", again-starts)
		}
		for i := range system.Entries {
			if system.Service(i) != nil {
				if state := stateAt(t, system, i, "long"); state != dispatch.Completed {
					t.Errorf("the job is %v", state)
				}
				return
			}
		}
	})
}

// If a worker fails for good while its agent keeps running, its tasks start on another worker after
// their leases have expired.
func TestTasksOfAFailedWorkerRestart(t *testing.T) {
	testTasksRestart(t, func(system *testcluster.JobCluster) { system.Workers[0].Crash() })
}

// An agent whose link turns silent without a close, and which cannot connect again, is given up:
// its tasks start on another worker once its leases have expired.
func TestTasksBehindASilentLinkRestart(t *testing.T) {
	testTasksRestart(t, func(system *testcluster.JobCluster) {
		for i := range system.Entries {
			system.Net.SetPartition("a0", system.EntryName(i), true)
		}
	})
}

// testTasksRestart checks that the tasks of worker 0 start elsewhere within 6 s after lose has made it
// unusable.
func testTasksRestart(t *testing.T, lose func(system *testcluster.JobCluster)) {
	withJobCluster(t, 2, 2, func(t *testing.T, system *testcluster.JobCluster) {
		submitLasting(t, system, 4)
		time.Sleep(time.Second)
		starts := system.Checker.Starts()
		lost := system.Workers[0].Running()
		if lost == 0 {
			t.Fatal("no task runs on the worker")
		}
		lose(system)
		time.Sleep(6 * time.Second)
		if got := system.Checker.Starts() - starts; got != lost {
			t.Errorf("%d of %d tasks have restarted after 6 s", got, lost)
		}
	})
}

// After all processes were killed and restarted, all tasks run again within 4 s.
func TestRecoveryOfAll(t *testing.T) {
	withJobCluster(t, 3, 3, func(t *testing.T, system *testcluster.JobCluster) {
		submitLasting(t, system, 6)
		time.Sleep(time.Second)
		restartAll(t, system)
		starts := system.Checker.Starts()
		time.Sleep(4 * time.Second)
		if got := system.Checker.Starts() - starts; got != 6 {
			t.Errorf("%d of 6 long-running tasks run again after 4 s", got)
		}
	})
}
