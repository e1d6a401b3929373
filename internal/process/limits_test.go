package process_test

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// While the table is down, no end can be acknowledged, and workers list a limited number of ends. Tasks
// whose ends are not among them must not run again, whoever looks at the list meanwhile.
func TestTasksWhoseEndsAreNotListedDoNotRunAgain(t *testing.T) {
	const (
		tasks  = 6000
		outage = 4 * time.Second
	)
	cases := []struct {
		name      string
		meanwhile func(t *testing.T, system *testcluster.JobCluster, owner int)
	}{
		{"the table is down", func(*testing.T, *testcluster.JobCluster, int) {}},
		{"an agent restarts", func(t *testing.T, system *testcluster.JobCluster, _ int) {
			if err := system.KillAgent(0); err != nil {
				t.Error(err)
			}
			if err := system.StartAgent(0); err != nil {
				t.Error(err)
			}
		}},
		{"the owner is killed", func(t *testing.T, system *testcluster.JobCluster, owner int) {
			if err := system.KillEntry(owner); err != nil {
				t.Error(err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withJobCluster(t, 2, 2, func(t *testing.T, system *testcluster.JobCluster) {
				job := newJob("many", tasks, 300)
				job.Steps[0].Need = dispatch.Resources{Processors: 60}
				if outcome := submit(t, system, 0, job); outcome != submission.Accepted {
					t.Fatal(outcome)
				}
				time.Sleep(time.Second)
				owner := ownerIndex(t, system)
				system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Refuse: true} })
				time.Sleep(outage - time.Second)
				c.meanwhile(t, system, owner)
				time.Sleep(time.Second)
				system.Store.SetFault(nil)
				time.Sleep(60 * time.Second)
				if starts := system.Checker.StartsOf("many"); starts != tasks {
					t.Errorf("%d starts of %d tasks", starts, tasks)
				}
				if !system.Checker.AllDone("many") {
					t.Error("not all tasks have ended as done")
				}
			})
		})
	}
}
