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
