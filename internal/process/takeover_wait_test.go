package process_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// A worker's leases may expire before or after the owner is replaced.
func TestATakeoverDoesNotWaitForAWorkerWhoseLeasesAreOver(t *testing.T) {
	for lostBefore := 3 * time.Second; lostBefore <= 6*time.Second; lostBefore += 250 * time.Millisecond {
		t.Run(fmt.Sprint(lostBefore), func(t *testing.T) {
			withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
				tasks := submitLongRunning(t, system)
				system.Workers[0].Crash()
				time.Sleep(lostBefore)
				owning := holder(t, system).Name
				for i := range system.Entries {
					if system.EntryName(i) != owning {
						continue
					}
					go func() {
						if err := system.DrainEntry(i); err != nil {
							t.Error(err)
						}
					}()
				}
				if shortfall := longestShortfall(system, tasks, 15*time.Second); shortfall > maxUnownedTime {
					t.Errorf("after a handover, tasks did not run for %v", shortfall)
				}
			})
		})
	}
}

// When a worker is gone for good and its agent has restarted, the next owner finds the worker's row and
// nobody who remembers its leases. Long-running tasks must not wait for long.
func TestATakeoverDoesNotWaitForAWorkerThatNobodyRemembers(t *testing.T) {
	const (
		outage   = 300 * time.Millisecond // of an agent that restarts
		lostFor  = 3 * time.Second        // of the worker, when the owner is replaced: its leases are not over
		maxShort = 6*time.Second + maxUnownedTime
	)
	cases := []struct {
		name    string
		replace func(system *testcluster.JobCluster, entry int) error
	}{
		{"the agent restarts, the owner is killed", (*testcluster.JobCluster).KillEntry},
		{"the agent restarts, the owner hands over", (*testcluster.JobCluster).DrainEntry},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
				tasks := submitLongRunning(t, system)
				system.Workers[0].Crash()
				if err := system.KillAgent(0); err != nil {
					t.Error(err)
				}
				go func() {
					time.Sleep(outage)
					if err := system.StartAgent(0); err != nil {
						t.Error(err)
					}
				}()
				dead := ownerIndex(t, system)
				go func() {
					time.Sleep(lostFor)
					if err := c.replace(system, dead); err != nil {
						t.Error(err)
					}
				}()
				if shortfall := longestShortfall(system, tasks, 20*time.Second); shortfall > maxShort {
					t.Errorf("tasks did not run for %v", shortfall)
				}
			})
		})
	}
}

// A worker leaves and its agent stops while the owner is replaced. The next owner finds the worker's row,
// and must not wait for leases that nobody uses any more.
func TestATakeoverDoesNotWaitForAWorkerThatHasLeft(t *testing.T) {
	const stopAfter = time.Second // of the agent, after its worker has left
	cases := []struct {
		name    string
		replace func(system *testcluster.JobCluster, entry int) error
	}{
		{"the owner is killed", (*testcluster.JobCluster).KillEntry},
		{"the owner hands over", (*testcluster.JobCluster).DrainEntry},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
				tasks := submitLongRunning(t, system)
				dead := ownerIndex(t, system)
				go func() {
					if err := c.replace(system, dead); err != nil {
						t.Error(err)
					}
				}()
				system.Leave(0)
				go func() {
					time.Sleep(stopAfter)
					if err := system.DrainAgent(0); err != nil {
						t.Error(err)
					}
				}()
				if shortfall := longestShortfall(system, tasks, 15*time.Second); shortfall > maxUnownedTime {
					t.Errorf("tasks did not run for %v", shortfall)
				}
			})
		})
	}
}

// The tasks of a worker that drains have moved, and it ends without a word. Its agent attaches to the next
// owner and stops. The owner after that must not wait for the worker, on which nothing ran any more.
func TestATakeoverDoesNotWaitForADrainedWorkerThatHasEnded(t *testing.T) {
	const (
		drainTime  = 3 * time.Second
		attachTime = 1500 * time.Millisecond // from a handover until all agents have attached to the next owner
	)
	withJobCluster(t, 3, 5, func(t *testing.T, system *testcluster.JobCluster) {
		tasks := submitLongRunning(t, system)
		system.Workers[0].SetDraining(true)
		time.Sleep(drainTime)
		if running := system.Workers[0].Running(); running > 0 {
			t.Fatalf("%d tasks run on the worker that drains", running)
		}
		system.Workers[0].Crash()
		if err := system.DrainEntry(ownerIndex(t, system)); err != nil {
			t.Error(err)
		}
		time.Sleep(attachTime)
		if err := system.DrainAgent(0); err != nil {
			t.Error(err)
		}
		if err := system.KillEntry(ownerIndex(t, system)); err != nil {
			t.Error(err)
		}
		system.Workers[1].Crash() // tasks that the next owner finds nowhere
		system.Workers[1].Restart()
		if shortfall := longestShortfall(system, tasks, 15*time.Second); shortfall > maxUnownedTime {
			t.Errorf("tasks did not run for %v", shortfall)
		}
	})
}
