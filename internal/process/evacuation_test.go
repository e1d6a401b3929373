package process_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/testcluster"
)

const (
	// calmEvacuation bounds the time from the request to the last start in the domain while nothing
	// fails, and missedEvacuation the same while no watch shows the request.
	calmEvacuation   = 500 * time.Millisecond
	missedEvacuation = 5 * time.Second
)

// submitSteadily submits small jobs until d has passed.
func submitSteadily(t *testing.T, system *testcluster.JobCluster, prefix string, d time.Duration) {
	t.Helper()
	for began, i := time.Now(), 0; time.Since(began) < d; i++ {
		for entry := range system.Entries {
			if system.Service(entry) != nil {
				submit(t, system, entry, newJob(fmt.Sprint(prefix, i), 2, 300))
				break
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkEvacuated reports the starts in evacuated domains later than bound after the request, but for
// those that a worker carried out late.
func checkEvacuated(t *testing.T, system *testcluster.JobCluster, bound time.Duration) {
	t.Helper()
	var last time.Duration
	for _, start := range system.Checker.EvacuatedStarts() {
		if !start.Late {
			last = max(last, start.Delay)
		}
	}
	t.Logf("the last start in an evacuated domain was %v after the request", last)
	if last > bound {
		t.Errorf("the last start in an evacuated domain was %v after the request, want %v at most", last, bound)
	}
}

func TestNothingStartsInAnEvacuatedDomain(t *testing.T) {
	withJobCluster(t, 3, 4, func(t *testing.T, system *testcluster.JobCluster) {
		submitSteadily(t, system, "before", time.Second)
		if system.Checker.StartsIn("d0") == 0 || system.Checker.StartsIn("d1") == 0 {
			t.Error("the tasks do not use both domains")
		}
		system.Evacuate("d0")
		submitSteadily(t, system, "evacuated", 3*time.Second)
		checkEvacuated(t, system, calmEvacuation)
		system.TakeBack("d0")
		starts := system.Checker.StartsIn("d0")
		submitSteadily(t, system, "back", 500*time.Millisecond)
		if system.Checker.StartsIn("d0") == starts {
			t.Error("nothing starts in the domain half a second after it was taken back")
		}
		if outcome := stateAt(t, system, 0, "evacuated0"); !outcome.Final() {
			t.Errorf("a job submitted during the evacuation is %v", outcome)
		}
	})
}

// The bound of a calm evacuation holds at each size, while tasks start in the domain all the time.
func TestAnEvacuationAtEachSize(t *testing.T) {
	for _, workers := range fleetSizes {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			withJobCluster(t, 3, workers, func(t *testing.T, system *testcluster.JobCluster) {
				submit(t, system, 0, newJob("wide", 30*workers, 300))
				time.Sleep(300 * time.Millisecond)
				system.Evacuate("d0")
				time.Sleep(3 * calmEvacuation)
				checkEvacuated(t, system, calmEvacuation)
				starts := system.Checker.StartsIn("d1")
				time.Sleep(calmEvacuation)
				if system.Checker.StartsIn("d1") == starts {
					t.Error("no tasks were left to start")
				}
			})
		})
	}
}

// What runs in a domain that is evacuated goes on.
func TestAnEvacuationStopsNothing(t *testing.T) {
	withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
		tasks := submitLongRunning(t, system)
		system.Evacuate("d0")
		system.Evacuate("d1")
		if shortfall := longestShortfall(system, tasks, 5*time.Second); shortfall != 0 {
			t.Errorf("tasks did not run for %v", shortfall)
		}
	})
}

// While all domains are evacuated tasks wait, and start when one is taken back.
func TestTasksWaitWhileAllDomainsAreEvacuated(t *testing.T) {
	withJobCluster(t, 3, 4, func(t *testing.T, system *testcluster.JobCluster) {
		system.Evacuate("d0")
		system.Evacuate("d1")
		time.Sleep(calmEvacuation)
		submit(t, system, 0, newJob("waiting", 4, 300))
		time.Sleep(2 * time.Second)
		if starts := system.Checker.StartsOf("waiting"); starts != 0 {
			t.Errorf("%d tasks started", starts)
		}
		system.TakeBack("d1")
		time.Sleep(time.Second)
		if !system.Checker.AllDone("waiting") {
			t.Error("the tasks have not run")
		}
		checkEvacuated(t, system, calmEvacuation)
	})
}

// A gang that does not fit without the domain waits as a whole, and an occurrence that falls due starts
// elsewhere.
func TestGangsAndOccurrencesDuringAnEvacuation(t *testing.T) {
	withJobCluster(t, 3, 4, func(t *testing.T, system *testcluster.JobCluster) {
		gang := newJob("gang", 3, 500)
		gang.Steps[0].Gang, gang.Steps[0].Need.Processors = true, 8000
		due := newJob("due", 2, 500)
		due.FirstDue, due.Interval, due.Repeat = time.Now().Add(2*time.Second).UnixMilli(), 500, 3
		submit(t, system, 0, due)
		system.Evacuate("d0")
		time.Sleep(calmEvacuation)
		submit(t, system, 0, gang)
		time.Sleep(4 * time.Second)
		if starts := system.Checker.StartsOf("gang"); starts != 0 {
			t.Errorf("%d members of the gang have started", starts)
		}
		if starts := system.Checker.StartsOf("due"); starts != 6 {
			t.Errorf("%d tasks of the occurrences have started, want 6", starts)
		}
		checkEvacuated(t, system, calmEvacuation)
		system.TakeBack("d0")
		time.Sleep(time.Second)
		if starts := system.Checker.StartsOf("gang"); starts != 3 {
			t.Errorf("%d members of the gang have started after the domain was taken back, want 3", starts)
		}
	})
}

// A new owner knows the requests before its first plan, also one that was written while there was
// no owner.
func TestANewOwnerKnowsTheEvacuations(t *testing.T) {
	cases := []struct {
		name    string
		restart bool // the entries start again, else an agent becomes the owner
	}{
		{"an entry", true},
		{"an agent", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
				submit(t, system, 0, newJob("queued", 400, 1000))
				time.Sleep(500 * time.Millisecond)
				for i := range system.Entries {
					if err := system.KillEntry(i); err != nil {
						t.Error(err)
					}
				}
				system.Evacuate("d0")
				for i := range system.Entries {
					if !c.restart {
						break
					}
					if err := system.StartEntry(i); err != nil {
						t.Error(err)
					}
				}
				time.Sleep(6 * time.Second)
				starts := system.Checker.StartsOf("queued")
				time.Sleep(2 * time.Second)
				if system.Checker.StartsOf("queued") == starts {
					t.Error("nothing starts under the new owner")
				}
				checkEvacuated(t, system, calmEvacuation)
				before := system.Checker.StartsIn("d0")
				system.TakeBack("d0")
				time.Sleep(time.Second)
				if system.Checker.StartsIn("d0") == before {
					t.Error("nothing starts in the domain after it was taken back")
				}
			})
		})
	}
}

// An owner that is cut off from the store learns of requests from the other entries. Without them it
// keeps what it last knew.
func TestAnOwnerCutOffFromTheStore(t *testing.T) {
	withJobCluster(t, 3, 4, func(t *testing.T, system *testcluster.JobCluster) {
		cut := holder(t, system).Name
		system.Store.SetFault(func(process string, _ bool) testcluster.StoreFault {
			return testcluster.StoreFault{Silent: process == cut}
		})
		time.Sleep(200 * time.Millisecond)
		system.Evacuate("d0")
		submitSteadily(t, system, "cut", 800*time.Millisecond)
		checkEvacuated(t, system, calmEvacuation)
		system.Store.SetFault(nil)
		time.Sleep(2 * time.Second)
		system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Silent: true} })
		submitSteadily(t, system, "outage", 3*time.Second)
		system.Store.SetFault(nil)
		checkEvacuated(t, system, calmEvacuation)
	})
}

// A watch may leave changes out. The rows are read from time to time, so that neither a request nor
// its removal is missed.
func TestAChangeThatNoWatchShows(t *testing.T) {
	withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
		system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Omit: true} })
		time.Sleep(time.Second)
		system.Evacuate("d0")
		submitSteadily(t, system, "evacuated", missedEvacuation+3*time.Second)
		checkEvacuated(t, system, missedEvacuation)
		system.TakeBack("d0")
		submitSteadily(t, system, "waiting", missedEvacuation)
		starts := system.Checker.StartsIn("d0")
		submitSteadily(t, system, "back", time.Second)
		if system.Checker.StartsIn("d0") == starts {
			t.Error("nothing starts in the domain after it was taken back")
		}
	})
}

// Requests that name no domain of an instance, or that change fast, change nothing else.
func TestOddEvacuations(t *testing.T) {
	cases := []struct {
		name      string
		change    func(system *testcluster.JobCluster)
		evacuated bool // d0, in the end
	}{
		{"an unknown domain", func(system *testcluster.JobCluster) { system.Evacuate("elsewhere") }, false},
		{"no domain", func(system *testcluster.JobCluster) { system.Evacuate("") }, false},
		{"twice", func(system *testcluster.JobCluster) { system.Evacuate("d0"); system.Evacuate("d0") }, true},
		{"taken back and evacuated again within a second", func(system *testcluster.JobCluster) {
			system.Evacuate("d0")
			time.Sleep(500 * time.Millisecond)
			system.TakeBack("d0")
			time.Sleep(300 * time.Millisecond)
			system.Evacuate("d0")
		}, true},
		{"taken back and evacuated again at once", func(system *testcluster.JobCluster) {
			system.Evacuate("d0")
			system.TakeBack("d0")
			system.Evacuate("d0")
		}, true},
		{"evacuated and taken back at once", func(system *testcluster.JobCluster) {
			system.Evacuate("d0")
			system.TakeBack("d0")
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withJobCluster(t, 2, 4, func(t *testing.T, system *testcluster.JobCluster) {
				c.change(system)
				submitSteadily(t, system, "first", time.Second)
				starts := system.Checker.StartsIn("d0")
				submitSteadily(t, system, "second", time.Second)
				if evacuated := system.Checker.StartsIn("d0") == starts; evacuated != c.evacuated {
					t.Errorf("evacuated %v, want %v", evacuated, c.evacuated)
				}
				checkEvacuated(t, system, calmEvacuation)
			})
		})
	}
}

// scheduleEvacuationBound bounds the time from the request to the last start in the domain under the
// faults of a schedule, among them outages of the store.
const scheduleEvacuationBound = 5 * time.Second

// evacuations evacuates random domains, also both at once, and takes them back, until faultDuration
// is over.
func (s *scenario) evacuations(random *lockedRand) {
	ends := time.Now().Add(faultDuration)
	wait := func(ms int) {
		time.Sleep(min(time.Duration(random.intN(ms))*time.Millisecond, time.Until(ends)))
	}
	for time.Now().Before(ends) {
		wait(6000)
		domain := s.system.DomainOf(random.intN(2))
		s.system.Evacuate(domain)
		if random.intN(4) == 0 {
			wait(1000)
			s.system.TakeBack(domain)
			s.system.Evacuate(domain)
		}
		wait(14_000)
		if random.intN(3) > 0 {
			s.system.TakeBack(domain)
		}
	}
	s.system.TakeBack("d0")
	s.system.TakeBack("d1")
}
