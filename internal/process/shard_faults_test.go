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

// onShard runs a test on a system that has settled, in a bubble of its own.
func onShard(t *testing.T, entries, workers int, test func(t *testing.T, system *testcluster.QueueCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		system, err := testcluster.NewQueueCluster(ctx, entries, workers, dispatch.Resources{Processors: 8000, Memory: 10_000}, zap.NewNop())
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
		for _, wrong := range system.Checker.Violations() {
			t.Error(wrong)
		}
	})
}

// holder reads who owns the shard.
func holder(t *testing.T, system *testcluster.QueueCluster) owner.Holder {
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

func jobOf(id string, tasks int, takes int64) dispatch.Job {
	return dispatch.Job{
		ID: id, Queue: "q", Policy: dispatch.Policy{Service: "s", Attempts: 2, Stretch: 2, Latency: 500},
		Steps: []dispatch.Step{{Count: tasks, Estimate: takes, Need: dispatch.Resources{Processors: 1000}}},
	}
}

// submit hands a job in at an entry.
func submit(t *testing.T, system *testcluster.QueueCluster, entry int, job dispatch.Job) submission.Outcome {
	t.Helper()
	system.Checker.Submitted(&job)
	verdict, _ := system.Service(entry).Submit(t.Context(), job) // the verdict says all
	return verdict
}

func stateAt(t *testing.T, system *testcluster.QueueCluster, entry int, id string) dispatch.State {
	t.Helper()
	state, verdict, err := system.Service(entry).State(t.Context(), id)
	if err != nil || verdict != submission.Accepted {
		t.Errorf("state of %s: %v, %v", id, verdict, err)
	}
	return state
}

func TestASlowStoreReplacesNobody(t *testing.T) {
	onShard(t, 3, 2, func(t *testing.T, system *testcluster.QueueCluster) {
		before := holder(t, system)
		system.Store.SetFault(func(_ string, write bool) testcluster.StoreFault {
			if write {
				return testcluster.StoreFault{Slow: 470 * time.Millisecond, InTurn: true}
			}
			return testcluster.StoreFault{Slow: 236 * time.Millisecond}
		})
		for i := range 80 { // ten jobs a second, as on a busy day
			go submit(t, system, i%3, jobOf(fmt.Sprint("busy", i), 1, 100))
			time.Sleep(100 * time.Millisecond)
		}
		if verdict := submit(t, system, 1, jobOf("slow", 1, 100)); verdict != submission.Accepted {
			t.Errorf("a job handed in to a slow store: %v", verdict)
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

// An owner that lives through an outage of the store renews first: it isn't replaced.
func TestAnOutageReplacesNobody(t *testing.T) {
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
				onShard(t, 3, 2, func(t *testing.T, system *testcluster.QueueCluster) {
					for i := range 16 { // something ends, and is to be kept, all the time
						submit(t, system, i%3, jobOf(fmt.Sprint("busy", i), 1, int64(400*(i+1))))
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

// One that does not live through it is replaced soon after its end.
func TestAnOutageStillLosesADeadOwner(t *testing.T) {
	onShard(t, 3, 2, func(t *testing.T, system *testcluster.QueueCluster) {
		before := holder(t, system)
		system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Silent: true} })
		time.Sleep(time.Second)
		killOwnerNamed(t, system, before.Name)
		time.Sleep(3 * time.Second)
		system.Store.SetFault(nil)
		time.Sleep(4 * time.Second)
		if after := holder(t, system); after.Epoch == before.Epoch {
			t.Error("nobody took over within 4 s")
		}
	})
}

func TestASlowStoreStillLosesADeadOwner(t *testing.T) {
	onShard(t, 3, 2, func(t *testing.T, system *testcluster.QueueCluster) {
		before := holder(t, system)
		system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Slow: 236 * time.Millisecond} })
		time.Sleep(3 * time.Second)
		killOwner(t, system)
		time.Sleep(6 * time.Second)
		if after := holder(t, system); after.Epoch == before.Epoch {
			t.Error("nobody took over within 6 s")
		}
	})
}

// killOwner ends the entry that owns the shard.
func killOwner(t *testing.T, system *testcluster.QueueCluster) {
	t.Helper()
	killOwnerNamed(t, system, holder(t, system).Name)
}

func killOwnerNamed(t *testing.T, system *testcluster.QueueCluster, name string) {
	t.Helper()
	for i := range system.Entries {
		if system.EntryName(i) == name {
			if err := system.KillEntry(i); err != nil {
				t.Fatal(err)
			}
			return
		}
	}
	t.Fatalf("no entry is called %s", name)
}

// An owner that dies is replaced within 1.6 s, and its workers go on meanwhile.
func TestTakeover(t *testing.T) {
	onShard(t, 3, 3, func(t *testing.T, system *testcluster.QueueCluster) {
		if verdict := submit(t, system, 0, jobOf("long", 6, 4000)); verdict != submission.Accepted {
			t.Fatal(verdict)
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

// An entry that the store turns away has others do its calls, and what nobody could do is
// refused and never runs.
func TestEntriesDoEachOthersCalls(t *testing.T) {
	onShard(t, 3, 2, func(t *testing.T, system *testcluster.QueueCluster) {
		system.Store.SetFault(func(process string, _ bool) testcluster.StoreFault {
			return testcluster.StoreFault{Refuse: process == "e1"}
		})
		for _, wait := range []time.Duration{0, 2 * time.Second} { // before and after it is noticed
			time.Sleep(wait)
			id := "away" + wait.String()
			if verdict := submit(t, system, 1, jobOf(id, 1, 300)); verdict != submission.Accepted {
				t.Fatalf("handed in to an entry that is turned away: %v", verdict)
			}
			stateAt(t, system, 1, id)
			if verdict, err := system.Service(1).Cancel(t.Context(), id); verdict != submission.Accepted {
				t.Errorf("cancelled at an entry that is turned away: %v, %v", verdict, err)
			}
		}
		system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Refuse: true} })
		time.Sleep(2 * time.Second)
		if verdict := submit(t, system, 0, jobOf("nowhere", 1, 100)); verdict != submission.Refused {
			t.Errorf("handed in without a store: %v", verdict)
		}
		system.Store.SetFault(nil)
		time.Sleep(10 * time.Second)
		if system.Checker.Started("nowhere") {
			t.Error("a refused job has started")
		}
	})
}

// A worker that is gone for good while its agent lives gives its tasks up once its leases
// are over.
func TestAWorkerGoneForGood(t *testing.T) {
	onShard(t, 2, 2, func(t *testing.T, system *testcluster.QueueCluster) {
		lasting := jobOf("lasting", 4, 1_000_000)
		lasting.Steps[0].LongRunning = true
		if verdict := submit(t, system, 0, lasting); verdict != submission.Accepted {
			t.Fatal(verdict)
		}
		time.Sleep(time.Second)
		starts := system.Checker.Starts()
		lost := system.Workers[0].Running()
		if lost == 0 {
			t.Fatal("nothing runs on the worker")
		}
		system.Workers[0].Crash()
		time.Sleep(6 * time.Second)
		if got := system.Checker.Starts() - starts; got != lost {
			t.Errorf("%d of %d tasks have started again after 6 s", got, lost)
		}
	})
}

// After all processes are killed, everything is at work again within 4 s of their return.
func TestRecoveryOfAll(t *testing.T) {
	onShard(t, 3, 3, func(t *testing.T, system *testcluster.QueueCluster) {
		lasting := jobOf("lasting", 6, 1_000_000)
		lasting.Steps[0].LongRunning = true
		if verdict := submit(t, system, 0, lasting); verdict != submission.Accepted {
			t.Fatal(verdict)
		}
		time.Sleep(time.Second)
		for i := range system.Entries {
			if err := system.KillEntry(i); err != nil {
				t.Fatal(err)
			}
		}
		for i := range system.Workers {
			if err := system.KillAgent(i); err != nil {
				t.Fatal(err)
			}
			system.Workers[i].Crash()
		}
		time.Sleep(time.Second)
		for i := range system.Workers {
			system.Workers[i].Restart()
			if err := system.StartAgent(i); err != nil {
				t.Fatal(err)
			}
		}
		for i := range system.Entries {
			if err := system.StartEntry(i); err != nil {
				t.Fatal(err)
			}
		}
		starts := system.Checker.Starts()
		time.Sleep(4 * time.Second)
		if got := system.Checker.Starts() - starts; got != 6 {
			t.Errorf("%d of 6 lasting tasks are back after 4 s", got)
		}
	})
}
