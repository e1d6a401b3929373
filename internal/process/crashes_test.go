package process_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/internal/testcluster"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

// maxCrashingStarts is how often a task that crashes its workers may start.
const maxCrashingStarts = 5

// ownerIndex returns the index of the entry that is the owner.
func ownerIndex(t *testing.T, system *testcluster.JobCluster) int {
	t.Helper()
	index := 0
	if _, err := fmt.Sscanf(holder(t, system).Name, "e%d", &index); err != nil {
		t.Fatal(err)
	}
	return index
}

// A task that crashes its workers must not start without end, also if the owner changes meanwhile.
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, ownerDies := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner dies %v", ownerDies), func(t *testing.T) {
			withJobCluster(t, 3, 4, func(t *testing.T, system *testcluster.JobCluster) {
				long, short := newJob("long", 4, 15_000), newJob("short", 8, 1000)
				crashing := newJob("crashing", 1, 1000)
				crashing.Payload = testcluster.CrashingPayload
				for _, job := range []dispatch.Job{long, short, crashing} {
					if outcome := submit(t, system, 0, job); outcome != submission.Accepted {
						t.Fatalf("job %s: %v", job.ID, outcome)
					}
				}
				time.Sleep(4 * time.Second)
				asked := 0
				if ownerDies {
					dead := ownerIndex(t, system)
					if err := system.KillEntry(dead); err != nil {
						t.Error(err)
					}
					asked = (dead + 1) % 3
				}
				time.Sleep(60 * time.Second)
				if starts := system.Checker.StartsOf("crashing"); starts > maxCrashingStarts {
					t.Errorf("%d starts of the task that crashes its workers", starts)
				}
				wants := map[string]dispatch.State{"long": dispatch.Completed, "short": dispatch.Completed, "crashing": dispatch.Failed}
				for id, want := range wants {
					if state := stateAt(t, system, asked, id); state != want {
						t.Errorf("job %s is %v, want %v", id, state, want)
					}
				}
			})
		})
	}
}

// Jobs must not fail because all workers crash at once, however often.
func TestCrashesOfAllWorkersFailNoJob(t *testing.T) {
	withJobCluster(t, 3, 4, func(t *testing.T, system *testcluster.JobCluster) {
		const jobs = 30
		for i := range jobs {
			if outcome := submit(t, system, i%3, newJob(fmt.Sprint("j", i), 4, 700)); outcome != submission.Accepted {
				t.Errorf("job %d: %v", i, outcome)
			}
		}
		for range 4 {
			time.Sleep(1200 * time.Millisecond)
			for _, worker := range system.Workers {
				worker.Crash()
			}
			time.Sleep(time.Second)
			for _, worker := range system.Workers {
				worker.Restart()
			}
		}
		time.Sleep(40 * time.Second)
		for i := range jobs {
			id := fmt.Sprint("j", i)
			if state := stateAt(t, system, 0, id); state != dispatch.Completed {
				t.Errorf("job %s is %v", id, state)
			}
		}
	})
}

// A crash before a task has begun says nothing against the task: a start that got no answer may never
// have reached the worker.
func TestCrashesBeforeATaskHasBegunFailNoJob(t *testing.T) {
	const (
		downtime = 1500 * time.Millisecond
		settling = 450 * time.Millisecond // until the agent of a restarted worker knows that no start is in flight
	)
	withJobCluster(t, 2, 1, func(t *testing.T, system *testcluster.JobCluster) {
		worker := system.Workers[0]
		worker.Crash()
		if outcome := submit(t, system, 0, newJob("j", 1, 1000)); outcome != submission.Accepted {
			t.Fatal(outcome)
		}
		time.Sleep(downtime)
		worker.Restart()
		waitRegistered(t, system, worker)
		time.Sleep(settling)
		worker.Crash()
		time.Sleep(downtime)
		worker.Restart()
		time.Sleep(20 * time.Second)
		if state := stateAt(t, system, 0, "j"); state != dispatch.Completed {
			t.Errorf("the job is %v after %d starts", state, system.Checker.StartsOf("j"))
		}
	})
}

// waitRegistered waits until the owner has stored the worker's current incarnation.
func waitRegistered(t *testing.T, system *testcluster.JobCluster, worker *testcluster.Worker) {
	t.Helper()
	incarnation, _ := worker.Incarnation()
	stored := fmt.Sprintf(`"born":%d`, incarnation.StartedAt)
	store := system.Store.View("test")
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		rows, _, err := store.Read(t.Context(), table.Range{Table: "instances", Partition: "0"})
		if err != nil {
			t.Fatal(err)
		}
		for _, row := range rows {
			if strings.Contains(string(row.Value), stored) {
				return
			}
		}
	}
	t.Fatalf("the owner has not stored %+v", incarnation)
}
