package process_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// fleetSizes are the numbers of instances at which the bounds on takeover and recovery must hold.
var fleetSizes = []int{11, 77, 300}

const (
	// takeoverBound is the longest time from the loss of the owner until all instances may be used
	// again.
	takeoverBound = 1500 * time.Millisecond
	// recoveryBound is the longest time from the return of all processes and workers until all
	// long-running tasks run again.
	recoveryBound = 4 * time.Second
)

// A job that needs the processors of all instances starts everywhere within takeoverBound of the
// loss of the owner, whatever the number of instances.
func TestTakeoverAtEachSize(t *testing.T) {
	for _, workers := range fleetSizes {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			withJobCluster(t, 3, workers, func(t *testing.T, system *testcluster.JobCluster) {
				killOwner(t, system)
				submitted := time.Now()
				wide := newJob("wide", 8*workers, 60_000)
				for i := range system.Entries {
					if system.Service(i) != nil && submit(t, system, i, wide) != submission.Accepted {
						t.Fatalf("entry e%d did not accept the job", i)
					}
				}
				for system.Checker.Starts() < 8*workers && time.Since(submitted) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(submitted); took > takeoverBound {
					t.Errorf("%d of %d tasks had started %v after the loss of the owner", system.Checker.Starts(), 8*workers, took)
				}
			})
		})
	}
}

// restartAll kills all processes and workers and starts them again a second later.
func restartAll(t *testing.T, system *testcluster.JobCluster) {
	t.Helper()
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
}

// After the loss of all processes and workers, all long-running tasks run again within
// recoveryBound, whatever the number of instances.
func TestRecoveryAtEachSize(t *testing.T) {
	for _, workers := range fleetSizes {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			withJobCluster(t, 3, workers, func(t *testing.T, system *testcluster.JobCluster) {
				longRunning := newJob("lasting", 4*workers, 1_000_000)
				longRunning.Steps[0].LongRunning = true
				if outcome := submit(t, system, 0, longRunning); outcome != submission.Accepted {
					t.Fatal(outcome)
				}
				time.Sleep(time.Second)
				restartAll(t, system)
				starts := system.Checker.Starts()
				time.Sleep(recoveryBound)
				if got := system.Checker.Starts() - starts; got != 4*workers {
					t.Errorf("%d of %d long-running tasks run again %v after the return of all", got, 4*workers, recoveryBound)
				}
			})
		})
	}
}

// heavyDay submits jobs at the rates of a day at 300 instances for the given time: small jobs, wide
// best-effort jobs and services that last.
func heavyDay(t *testing.T, system *testcluster.JobCluster, length time.Duration) {
	t.Helper()
	const step = 50 * time.Millisecond
	policy := dispatch.Policy{Service: "s", Attempts: 3, Stretch: 1.5, Latency: 300}
	service := dispatch.Step{Count: 24, Estimate: 1_000_000, Need: dispatch.Resources{Processors: 1000}, LongRunning: true, Image: "service", Target: 50}
	small := dispatch.Step{Count: 13, Estimate: 800, Need: dispatch.Resources{Processors: 1400}, Image: "small"}
	wide := dispatch.Step{Count: 40, Estimate: 1700, Need: dispatch.Resources{Processors: 3500}, BestEffort: true, Image: "wide"}
	second := wide
	second.After = []int{0}
	for n := range int(length / step) {
		jobs := []dispatch.Job{{ID: fmt.Sprintf("small%d", n), Queue: "small", Steps: []dispatch.Step{small}}}
		if n%3 == 0 {
			jobs = append(jobs, dispatch.Job{ID: fmt.Sprintf("wide%d", n), Queue: "wide", Steps: []dispatch.Step{wide, second}})
		}
		if n < 20 {
			jobs = append(jobs, dispatch.Job{ID: fmt.Sprintf("service%d", n), Queue: "service", Steps: []dispatch.Step{service}})
		}
		for _, job := range jobs {
			job.Policy = policy
			if outcome := submit(t, system, n%len(system.Entries), job); outcome != submission.Accepted {
				t.Errorf("job %s: %v", job.ID, outcome)
			}
		}
		time.Sleep(step)
	}
}

// linkBudget is the traffic that control may cause at an instance, in bytes a second in both
// directions (the users' target).
const linkBudget = 3000

// ownerTraffic returns how much the owner and all agents send while during runs: the bytes of the
// owner and of the agents, and the messages of both, each in a second.
func ownerTraffic(t *testing.T, system *testcluster.JobCluster, during func()) (owner, agents, messages float64) {
	t.Helper()
	name := holder(t, system).Name
	count := func() (ownerBytes, agentBytes, writes int64) {
		ownerBytes, writes = system.Net.Sent(name)
		for i := range system.Workers {
			bytes, sent := system.Net.Sent(fmt.Sprintf("a%d", i))
			agentBytes += bytes
			writes += sent
		}
		return ownerBytes, agentBytes, writes
	}
	began := time.Now()
	ownerBefore, agentsBefore, writesBefore := count()
	during()
	ownerAfter, agentsAfter, writesAfter := count()
	seconds := time.Since(began).Seconds()
	return float64(ownerAfter-ownerBefore) / seconds, float64(agentsAfter-agentsBefore) / seconds, float64(writesAfter-writesBefore) / seconds
}

// On a heavy day at 240 instances the traffic of an instance stays within the users' budget.
func TestTrafficOfAHeavyDay(t *testing.T) {
	withJobCluster(t, 5, 240, func(t *testing.T, system *testcluster.JobCluster) {
		owner, agents, messages := ownerTraffic(t, system, func() { heavyDay(t, system, 10*time.Second) })
		t.Logf("owner sends %.0f B/s, agents %.0f B/s, %.0f messages/s, of the owner and the agents together", owner, agents, messages)
		if perInstance := (owner + agents) / float64(len(system.Workers)); perInstance > linkBudget {
			t.Errorf("%.0f B/s for each instance, wanted %d at most", perInstance, linkBudget)
		}
	})
}

// handoverBound is the longest time from the stop of an owner until another entry owns the shard.
const handoverBound = time.Second

// An owner that is told to stop hands the shard over at once, although tasks end during each commit.
func TestABusyOwnerHandsOverAtOnce(t *testing.T) {
	withJobCluster(t, 3, 77, func(t *testing.T, system *testcluster.JobCluster) {
		busy := newJob("busy", 1, 1000)
		for i := range 400 {
			step := busy.Steps[0]
			step.Estimate += int64(10 * i)
			busy.Steps = append(busy.Steps, step)
		}
		if outcome := submit(t, system, 0, busy); outcome != submission.Accepted {
			t.Fatal(outcome)
		}
		time.Sleep(2 * time.Second)
		system.Store.SetFault(func(_ string, write bool) testcluster.StoreFault {
			if write {
				return testcluster.StoreFault{Slow: 100 * time.Millisecond}
			}
			return testcluster.StoreFault{}
		})
		before := holder(t, system)
		drained := make(chan error, 1)
		for i := range system.Entries {
			if system.EntryName(i) == before.Name {
				go func() { drained <- system.DrainEntry(i) }()
			}
		}
		time.Sleep(handoverBound)
		if now := holder(t, system); now.Name == "" || now.Name == before.Name {
			t.Errorf("%v after the stop of %s the owner is %q", handoverBound, before.Name, now.Name)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}
