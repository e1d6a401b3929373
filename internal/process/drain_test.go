package process_test

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// gracePeriod is the time after SIGTERM at which the operators kill a process that still runs.
const gracePeriod = 6 * time.Second

// openUnreadRequests sends each entry a request of a client that does not read the answer.
func openUnreadRequests(t *testing.T, system *testcluster.JobCluster) {
	t.Helper()
	for i := range system.Entries {
		conn, err := system.Net.Dial(t.Context(), "client", system.APIAddress(i))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
	}
}

// An entry that is told to stop ends in time also if the store is silent, its clients read nothing and
// any of its periodic calls to the store is in flight.
func TestADrainEndsInTimeAtAnyMoment(t *testing.T) {
	for wait := time.Duration(0); wait < 11*time.Second; wait += 600 * time.Millisecond {
		withJobCluster(t, 1, 1, func(t *testing.T, system *testcluster.JobCluster) {
			time.Sleep(wait)
			system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Silent: true} })
			openUnreadRequests(t, system)
			time.Sleep(time.Second)
			began := time.Now()
			_ = system.DrainEntry(0) // its error names the connections that did not end in time
			if took := time.Since(began); took > gracePeriod {
				t.Errorf("told to stop %v after the start: ended after %v", wait, took)
			}
		})
	}
}

// A process that is told to stop ends within the grace period, whatever it waits for.
func TestADrainEndsWithinTheGracePeriod(t *testing.T) {
	storeFault := func(fault testcluster.StoreFault) func(*testing.T, *testcluster.JobCluster) {
		return func(_ *testing.T, system *testcluster.JobCluster) {
			system.Store.SetFault(func(string, bool) testcluster.StoreFault { return fault })
		}
	}
	cases := []struct {
		name  string
		fault func(t *testing.T, system *testcluster.JobCluster)
	}{
		{"calm", func(*testing.T, *testcluster.JobCluster) {}},
		{"the store is silent", storeFault(testcluster.StoreFault{Silent: true})},
		{"the store refuses", storeFault(testcluster.StoreFault{Refuse: true})},
		{"the store is slow", storeFault(testcluster.StoreFault{Slow: 3 * time.Second})},
		{"the store loses answers", storeFault(testcluster.StoreFault{DropReply: true, Late: 4 * time.Second})},
		{"all links are silent", func(_ *testing.T, system *testcluster.JobCluster) {
			for i := range system.Entries {
				for _, agent := range []string{"a0", "a1"} {
					system.Net.SetPartition(agent, system.EntryName(i), true)
				}
			}
		}},
		{"the workers answer no order", func(_ *testing.T, system *testcluster.JobCluster) {
			for _, worker := range system.Workers {
				worker.SetFault(func() testcluster.OrderFault { return testcluster.OrderFault{DropReply: true} })
			}
		}},
		{"a client reads no answer", openUnreadRequests},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withJobCluster(t, 2, 2, func(t *testing.T, system *testcluster.JobCluster) {
				if outcome := submit(t, system, 0, newJob("work", 6, 60_000)); outcome != submission.Accepted {
					t.Fatal(outcome)
				}
				time.Sleep(time.Second)
				c.fault(t, system)
				time.Sleep(200 * time.Millisecond)
				began := time.Now()
				ended := make(chan struct{}, 4)
				drain := func(stop func(int) error, i int) {
					_ = stop(i) // its error names the connections that did not end in time
					ended <- struct{}{}
				}
				for i := range 2 {
					go drain(system.DrainEntry, i)
					go drain(system.DrainAgent, i)
				}
				for range cap(ended) {
					<-ended
				}
				if took := time.Since(began); took > gracePeriod {
					t.Errorf("the last process ended after %v", took)
				}
			})
		})
	}
}
