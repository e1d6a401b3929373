package process_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/runner"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// lateStarts returns the fault that carries all starts out late, without an answer.
func lateStarts(late time.Duration) func(runner.StartCall) testcluster.OrderFault {
	return func(runner.StartCall) testcluster.OrderFault {
		return testcluster.OrderFault{DropReply: true, Late: late}
	}
}

// lateFirstTries returns the fault that carries the first call of each run out late, without an answer.
func lateFirstTries(late time.Duration) func(runner.StartCall) testcluster.OrderFault {
	type start struct {
		task dispatch.TaskName
		run  int64
	}
	var mu sync.Mutex
	tried := map[start]bool{}
	return func(call runner.StartCall) testcluster.OrderFault {
		mu.Lock()
		defer mu.Unlock()
		if key := (start{call.Task, call.Run}); !tried[key] {
			tried[key] = true
			return testcluster.OrderFault{DropReply: true, Late: late}
		}
		return testcluster.OrderFault{}
	}
}

// crashAndCut crashes worker 0, starts it again under its ID and cuts it off before that, for longer than any start is
// under way.
func crashAndCut(system *testcluster.JobCluster) {
	worker := system.Workers[0]
	worker.SetStartFault(nil)
	worker.CrashDark()
	time.Sleep(workerDownFor / 2)
	system.SetMachineCut(0, true)
	worker.SetCut(true)
	time.Sleep(workerDownFor / 2)
	worker.Restart()
	time.Sleep(2 * workerCutFor)
	system.SetMachineCut(0, false)
	worker.SetCut(false)
	time.Sleep(6 * time.Second)
}

// submitToOwner submits short tasks to the owner.
func submitToOwner(t *testing.T, system *testcluster.JobCluster, estimate int64) {
	submit(t, system, ownerIndex(t, system), newJob("before", 12, estimate))
}

// Guards against a start of which the next owner knows nothing: it was ordered just before a handover.
func TestAStartBeforeAHandoverRunsOnce(t *testing.T) {
	for at := time.Duration(0); at <= 100*time.Millisecond; at += 5 * time.Millisecond {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
				submitLasting(t, system, lastingTasks/3)
				time.Sleep(clockAhead)
				system.Workers[0].SetStartFault(lateStarts(14 * time.Second))
				owning := ownerIndex(t, system)
				submitToOwner(t, system, 20_000)
				time.AfterFunc(at, func() {
					if err := system.DrainEntry(owning); err != nil {
						t.Error(err)
					}
				})
				time.Sleep(150 * time.Millisecond)
				crashAndCut(system)
			})
		})
	}
}

// Guards against a second run of a task whose worker an earlier incarnation seems to have deregistered.
func TestALateDeregistrationEndsNoLease(t *testing.T) {
	for _, cutAfter := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(fmt.Sprint(cutAfter), func(t *testing.T) {
			withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
				submitLasting(t, system, lastingTasks/3)
				time.Sleep(5 * time.Second)
				system.Workers[0].Crash()
				time.Sleep(workerDownFor)
				system.Workers[0].Restart()
				time.Sleep(10 * time.Second)
				submitToOwner(t, system, 20_000)
				time.Sleep(2 * time.Second)
				system.DeregisterLate(0)
				time.Sleep(cutAfter)
				system.Workers[0].SetCut(true)
				time.Sleep(workerCutFor)
				system.Workers[0].SetCut(false)
				time.Sleep(6 * time.Second)
			})
		})
	}
}

// Guards against a start that counts as settled for the next incarnation because an earlier one has confirmed its
// stop, or has run it on another try.
func TestAStartThatAnEarlierIncarnationSettledRunsOnce(t *testing.T) {
	cases := []struct {
		name  string
		fault func(runner.StartCall) testcluster.OrderFault
		lasts int64         // ms
		crash time.Duration // after the submission
	}{
		{"the stop was confirmed", lateStarts(9 * time.Second), 20_000, 2500 * time.Millisecond},
		{"another try is done", lateFirstTries(9 * time.Second), 2000, 4500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
				submitLasting(t, system, lastingTasks/3)
				time.Sleep(clockAhead)
				system.Workers[0].SetStartFault(c.fault)
				submitToOwner(t, system, c.lasts)
				time.Sleep(c.crash)
				crashAndCut(system)
			})
		})
	}
}

// Guards against a start that the owner has ordered and not stored yet when it fails.
func TestAStartThatIsNotStoredYetRunsOnce(t *testing.T) {
	for _, kill := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(fmt.Sprint(kill), func(t *testing.T) {
			withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
				submitLasting(t, system, lastingTasks/3)
				time.Sleep(clockAhead)
				system.Workers[0].SetStartFault(lateStarts(14 * time.Second))
				submitToOwner(t, system, 20_000)
				time.AfterFunc(kill, func() { ownerReplaced.replace(t, system) })
				time.Sleep(150 * time.Millisecond)
				crashAndCut(system)
			})
		})
	}
}
