package process_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/runner"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// usableBound is the time from its registration within which a sound worker is used, if its agent and
// the owner run and can reach each other: the users' bound for a task that is ready while there is room.
const usableBound = 3 * time.Second

// submitOnePerWorker submits long-running tasks, one for each worker.
func submitOnePerWorker(t *testing.T, system *testcluster.JobCluster) {
	t.Helper()
	job := newJob("everywhere", len(system.Workers), 60_000)
	job.Steps[0].LongRunning, job.Steps[0].MaxPerInstance = true, 1
	system.Checker.Submitted(&job)
	if outcome, err := firstService(t, system).Submit(t.Context(), job); outcome != submission.Accepted {
		t.Fatalf("submitted: %v, %v", outcome, err)
	}
}

// checkUsable checks that each worker is used. All must be up, and their agents.
func checkUsable(t *testing.T, system *testcluster.JobCluster) {
	t.Helper()
	submitOnePerWorker(t, system)
	time.Sleep(usableBound)
	for i, worker := range system.Workers {
		if worker.Running() == 0 {
			t.Errorf("UNUSED worker %d, within %v", i, usableBound)
		}
	}
}

// Guards against a sound worker that is never used: another agent showed it a higher fencing token than
// that of its own agent's session, as the agent of a machine does that a registration has reached by mistake.
func TestAWorkerThatAnotherAgentHasCalledIsUsed(t *testing.T) {
	withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
		for i := range system.Workers {
			incarnation, _ := system.Workers[i].Incarnation()
			// The last of the agents' tokens: four sessions have begun.
			call := runner.PollCall{Incarnation: incarnation, Fence: link.Fence(holder(t, system).Epoch, uint64(len(system.Workers)))}
			if answer, err := system.Workers[i].Calls().Poll(t.Context(), call); err != nil || answer.Status != runner.Applied {
				t.Fatalf("%+v, %v", answer, err)
			}
		}
		time.Sleep(time.Second)
		checkUsable(t, system)
	})
}

// Guards against a sound worker that is never used: the agent had reconnected, its worker was replaced by
// one with another ID, and the agent showed that one a higher fencing token than the owner gave out for it.
func TestAWorkerThatReplacesAnotherIsUsed(t *testing.T) {
	for _, c := range []struct {
		name      string
		reconnect func(t *testing.T, system *testcluster.JobCluster)
	}{
		{"the agent has attached once", func(*testing.T, *testcluster.JobCluster) {}},
		{"the agent has restarted", func(t *testing.T, system *testcluster.JobCluster) { agentReplaced.replace(t, system) }},
		{"the agent was cut off", func(_ *testing.T, system *testcluster.JobCluster) {
			system.SetMachineCut(0, true)
			time.Sleep(2 * time.Second)
			system.SetMachineCut(0, false)
		}},
		{"the worker has restarted under its ID", func(_ *testing.T, system *testcluster.JobCluster) {
			system.Workers[0].Crash()
			time.Sleep(workerDownFor)
			system.Workers[0].Restart()
		}},
		{"the owner has failed after that", func(t *testing.T, system *testcluster.JobCluster) {
			agentReplaced.replace(t, system)
			time.Sleep(2 * time.Second)
			ownerReplaced.replace(t, system)
		}},
	} {
		for _, times := range []int{1, 3} {
			t.Run(fmt.Sprint(c.name, " ", times), func(t *testing.T) {
				withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
					submitOnePerWorker(t, system)
					for range times {
						time.Sleep(2 * time.Second)
						c.reconnect(t, system)
						time.Sleep(10 * time.Second)
						system.Workers[0].Crash()
						time.Sleep(workerDownFor)
						system.Workers[0].Replace()
						time.Sleep(usableBound)
						if system.Workers[0].Running() == 0 {
							t.Errorf("a worker that replaces another is not used within %v", usableBound)
						}
					}
				})
			})
		}
	}
}
