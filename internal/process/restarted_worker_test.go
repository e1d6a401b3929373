package process_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// restartAndCut is one schedule: the worker 0 crashes while calls are sent to it, starts again under its
// ID, carries out the calls that wait, and is cut off. All times count from the crash.
type restartAndCut struct {
	cutAt    time.Duration
	cut      cutKind
	late     time.Duration // when orders that are sent shortly before the crash are carried out; 0: at once
	replaced replacedProcess
	at       time.Duration // when that process is replaced
}

// cutKind is what the worker is cut off from.
type cutKind struct {
	name               string
	machine, fromAgent bool
}

var (
	machineCut          = cutKind{"machine", true, false}
	machineAndWorkerCut = cutKind{"machine and worker", true, true}
	workerCut           = cutKind{"worker", false, true}
	cutKinds            = []cutKind{machineCut, machineAndWorkerCut, workerCut}
)

// replacedProcess is which process is killed and starts again.
type replacedProcess struct {
	name         string
	owner, agent bool
}

var (
	nobodyReplaced    = replacedProcess{name: "nobody"}
	ownerReplaced     = replacedProcess{"owner", true, false}
	agentReplaced     = replacedProcess{"agent", false, true}
	bothReplaced      = replacedProcess{"owner and agent", true, true}
	replacedProcesses = []replacedProcess{nobodyReplaced, ownerReplaced, agentReplaced, bothReplaced}
)

const (
	// workerDownFor is how long the worker is down. It registers when it starts.
	workerDownFor = 600 * time.Millisecond
	// clockAhead is how long the worker has run when it crashes: a deadline on the clock of that
	// incarnation is then beyond the longest lease of the next one.
	clockAhead = 20 * time.Second
	// workerCutFor is longer than the longest lease.
	workerCutFor = 16 * time.Second
	// replacementDownFor is how long the process that is replaced is down.
	replacementDownFor = 300 * time.Millisecond
	// lastingTasks is the number of long-running tasks: too many for three of the four workers.
	lastingTasks = 26
)

func (c restartAndCut) String() string {
	return fmt.Sprintf("%s cut at %v, late %v, %s replaced at %v", c.cut.name, c.cutAt, c.late, c.replaced.name, c.at)
}

// schedules returns the grid of schedules. The race detector, under which a schedule takes five times as long, gets
// those with a cut after the restart and calls that are late by a second at most.
func schedules() []restartAndCut {
	cutTimes := []time.Duration{800 * time.Millisecond, 1300 * time.Millisecond, 2300 * time.Millisecond, 3800 * time.Millisecond}
	delays := []time.Duration{0, 950 * time.Millisecond}
	if !raceDetector {
		cutTimes = append(cutTimes, 100*time.Millisecond, 300*time.Millisecond, 550*time.Millisecond)
		delays = append(delays, 4*time.Second, 9*time.Second, 14*time.Second)
	}
	var all []restartAndCut
	for _, replaced := range replacedProcesses {
		for _, cut := range cutKinds {
			for _, cutAt := range cutTimes {
				for _, late := range delays {
					c := restartAndCut{cutAt: cutAt, cut: cut, late: late, replaced: replaced}
					if replaced.name == "nobody" {
						all = append(all, c)
						continue
					}
					for c.at = 100 * time.Millisecond; c.at <= cutAt+time.Second; c.at += 500 * time.Millisecond {
						all = append(all, c)
					}
				}
			}
		}
	}
	return all
}

// play plays the schedule while long-running tasks run and short ones start.
func (c restartAndCut) play(t *testing.T, system *testcluster.JobCluster) {
	submitLasting(t, system, lastingTasks)
	time.Sleep(clockAhead)
	worker := system.Workers[0]
	if c.late > 0 {
		worker.SetFault(func() testcluster.OrderFault { return testcluster.OrderFault{DropReply: true, Late: c.late} })
	}
	submitToAny(t, system, "before")
	worker.CrashDark()
	time.AfterFunc(c.at, func() { c.replaced.replace(t, system) })
	time.AfterFunc(c.cutAt, func() {
		system.SetMachineCut(0, c.cut.machine)
		worker.SetCut(c.cut.fromAgent)
	})
	time.Sleep(workerDownFor)
	worker.SetFault(nil)
	worker.Restart()
	time.Sleep(c.cutAt - workerDownFor) // returns at once if the cut came first
	submitToAny(t, system, "after")
	time.Sleep(workerCutFor)
	system.SetMachineCut(0, false)
	worker.SetCut(false)
	time.Sleep(6 * time.Second)
}

// submitToAny submits a job of short tasks to the first entry that is up.
func submitToAny(t *testing.T, system *testcluster.JobCluster, id string) {
	for i := range system.Entries {
		if system.Service(i) != nil {
			submit(t, system, i, newJob(id, 4, 3000))
			return
		}
	}
}

// replace kills the processes that are replaced and starts them again.
func (p replacedProcess) replace(t *testing.T, system *testcluster.JobCluster) {
	if p.agent {
		killAndStart(t, func() error { return system.KillAgent(0) }, func() error { return system.StartAgent(0) })
	}
	if p.owner {
		entry := ownerIndex(t, system)
		killAndStart(t, func() error { return system.KillEntry(entry) }, func() error { return system.StartEntry(entry) })
	}
}

func killAndStart(t *testing.T, kill, start func() error) {
	if err := kill(); err != nil {
		t.Error(err)
	}
	time.AfterFunc(replacementDownFor, func() {
		if err := start(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a second run of a task whose worker has restarted under its ID and is cut off: a call
// that was meant for its previous incarnation has given the new one a lease beyond each grant.
func TestAWorkerThatRestartedAndIsCutOffKeepsItsTasks(t *testing.T) {
	for _, c := range schedules() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			withJobCluster(t, 2, 4, c.play)
		})
	}
}

// Guards against a second run of a task whose start was under way as its worker restarted: the new
// incarnation carries it out late, cut off from everybody who could tell.
func TestAStartUnderWayAtARestartRunsOnce(t *testing.T) {
	cases := []restartAndCut{
		{550 * time.Millisecond, machineAndWorkerCut, 950 * time.Millisecond, nobodyReplaced, 0},
		{300 * time.Millisecond, machineAndWorkerCut, 4 * time.Second, agentReplaced, 600 * time.Millisecond},
		{800 * time.Millisecond, machineCut, 4 * time.Second, agentReplaced, 600 * time.Millisecond},
		{300 * time.Millisecond, workerCut, 4 * time.Second, ownerReplaced, 600 * time.Millisecond},
		{550 * time.Millisecond, machineAndWorkerCut, 4 * time.Second, ownerReplaced, 100 * time.Millisecond},
		{1300 * time.Millisecond, workerCut, 4 * time.Second, bothReplaced, 600 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			withJobCluster(t, 2, 4, c.play)
		})
	}
}

// Guards against a second run of a task whose start another incarnation has answered than the one that it was meant
// for: that one is cut off before a poll or a registration has told of it.
func TestAStartThatAnotherIncarnationAnswersRunsOnce(t *testing.T) {
	for _, cut := range cutKinds {
		for cutAt := workerDownFor; cutAt <= 2*workerDownFor; cutAt += 20 * time.Millisecond {
			t.Run(fmt.Sprintf("%s cut at %v", cut.name, cutAt), func(t *testing.T) {
				t.Parallel()
				withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
					submitLasting(t, system, lastingTasks/3)
					time.Sleep(clockAhead)
					system.RegistrationDelay = workerDownFor / 2
					worker := system.Workers[0]
					worker.CrashDark()
					time.AfterFunc(cutAt, func() {
						system.SetMachineCut(0, cut.machine)
						worker.SetCut(cut.fromAgent)
					})
					time.Sleep(workerDownFor - 100*time.Millisecond)
					submit(t, system, 0, newJob("before", 12, 20_000))
					time.Sleep(100 * time.Millisecond)
					worker.Restart()
					time.Sleep(2 * workerCutFor)
					system.SetMachineCut(0, false)
					worker.SetCut(false)
					time.Sleep(6 * time.Second)
				})
			})
		}
	}
}
