package process_test

import (
	"strings"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// maxUnownedTime bounds how long a long-running task does not run after the loss of its owner. The
// operators allow 3 s, from 6 s after its last run.
const maxUnownedTime = 3 * time.Second

// submitLongRunning submits a job of long-running tasks that leave no instance idle.
func submitLongRunning(t *testing.T, system *testcluster.JobCluster) (tasks int) {
	t.Helper()
	tasks = 6
	submitLasting(t, system, tasks)
	time.Sleep(time.Second)
	return tasks
}

// longestShortfall returns the longest time within d in which fewer tasks than wanted ran.
func longestShortfall(system *testcluster.JobCluster, wanted int, d time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	var longest, current time.Duration
	for began := time.Now(); time.Since(began) < d; time.Sleep(step) {
		running := 0
		for _, worker := range system.Workers {
			running += worker.Running()
		}
		current += step
		if running >= wanted {
			current = 0
		}
		longest = max(longest, current)
	}
	return longest
}

func TestLongRunningTasksRunAfterAllEntriesHaveLeft(t *testing.T) {
	cases := []struct {
		name  string
		leave func(system *testcluster.JobCluster, entry int) error
	}{
		{"told to stop", (*testcluster.JobCluster).DrainEntry},
		{"killed", (*testcluster.JobCluster).KillEntry},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withJobCluster(t, 3, 4, func(t *testing.T, system *testcluster.JobCluster) {
				tasks := submitLongRunning(t, system)
				for i := range system.Entries {
					go func() {
						if err := c.leave(system, i); err != nil {
							t.Error(err)
						}
					}()
				}
				if shortfall := longestShortfall(system, tasks, 20*time.Second); shortfall > maxUnownedTime {
					t.Errorf("for %v, tasks did not run", shortfall)
				}
				system.Workers[0].Crash()
				if shortfall := longestShortfall(system, tasks, 20*time.Second); shortfall > 6*time.Second+maxUnownedTime {
					t.Errorf("after the loss of an instance, tasks did not run for %v", shortfall)
				}
			})
		})
	}
}

func TestAnEntryTakesTheShardFromAnAgent(t *testing.T) {
	withJobCluster(t, 2, 3, func(t *testing.T, system *testcluster.JobCluster) {
		tasks := submitLongRunning(t, system)
		for i := range system.Entries {
			if err := system.KillEntry(i); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
		if standby := holder(t, system); !standby.Standby || !strings.HasPrefix(standby.Name, "a") {
			t.Fatalf("without entries, the owner is %+v", standby)
		}
		starts := system.Checker.Starts()
		if err := system.StartEntry(1); err != nil {
			t.Fatal(err)
		}
		if shortfall := longestShortfall(system, tasks, 5*time.Second); shortfall > 0 {
			t.Errorf("while an entry took over, tasks did not run for %v", shortfall)
		}
		if after := holder(t, system); after.Name != "e1" {
			t.Errorf("the owner is %+v", after)
		}
		if more := system.Checker.Starts() - starts; more > 0 {
			t.Errorf("%d tasks started again", more)
		}
	})
}

func TestAgentsDoNotClaimWhileEntriesRun(t *testing.T) {
	withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
		submitLongRunning(t, system)
		for range 4 {
			for i := range system.Entries {
				if holder(t, system).Name == system.EntryName(i) {
					if err := system.KillEntry(i); err != nil {
						t.Fatal(err)
					}
					for range 50 {
						if now := holder(t, system); now.Standby {
							t.Fatalf("the owner is %+v", now)
						}
						time.Sleep(100 * time.Millisecond)
					}
					if err := system.StartEntry(i); err != nil {
						t.Fatal(err)
					}
				}
			}
			time.Sleep(2 * time.Second)
		}
	})
}
