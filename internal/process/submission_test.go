package process_test

import (
	"context"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/submission"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// An entry whose store calls are refused forwards them to other entries. A job that no entry
// could store is refused and never runs.
func TestEntriesForwardRefusedCalls(t *testing.T) {
	withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
		system.Store.SetFault(func(process string, _ bool) testcluster.StoreFault {
			return testcluster.StoreFault{Refuse: process == "e1"}
		})
		for _, wait := range []time.Duration{0, 2 * time.Second} { // before and after the entry detects the fault
			time.Sleep(wait)
			id := "away" + wait.String()
			if outcome := submit(t, system, 1, newJob(id, 1, 300)); outcome != submission.Accepted {
				t.Fatalf("submitted to an entry that the store refuses: %v", outcome)
			}
			stateAt(t, system, 1, id)
			if outcome, err := system.Service(1).Cancel(t.Context(), id); outcome != submission.Accepted {
				t.Errorf("cancelled at an entry that the store refuses: %v, %v", outcome, err)
			}
		}
		system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Refuse: true} })
		time.Sleep(2 * time.Second)
		if outcome := submit(t, system, 0, newJob("nowhere", 1, 100)); outcome != submission.Refused {
			t.Errorf("submitted while the store is unavailable: %v", outcome)
		}
		system.Store.SetFault(nil)
		time.Sleep(10 * time.Second)
		if system.Checker.Started("nowhere") {
			t.Error("a refused job has started")
		}
	})
}

// A submission whose answer was lost is repeated while its caller waits, so that the caller learns
// that the job is stored; a submission that stays unknown is never reported as refused.
func TestALostAnswerIsFoundOutWhileTheCallerWaits(t *testing.T) {
	cases := []struct {
		what   string
		fault  testcluster.StoreFault
		length time.Duration
		want   submission.Outcome
	}{
		{"stored, and not answered", testcluster.StoreFault{DropReply: true}, 1500 * time.Millisecond, submission.Accepted},
		{"not stored, and not answered", testcluster.StoreFault{Silent: true}, 1500 * time.Millisecond, submission.Accepted},
		{"stored late", testcluster.StoreFault{DropReply: true, Late: time.Second}, 1500 * time.Millisecond, submission.Accepted},
		{"not answered for longer than the caller waits", testcluster.StoreFault{Silent: true}, 4 * time.Second, submission.Unknown},
	}
	for _, c := range cases {
		t.Run(c.what, func(t *testing.T) {
			withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
				time.Sleep(time.Second)
				system.Store.SetFault(func(string, bool) testcluster.StoreFault { return c.fault })
				time.AfterFunc(c.length, func() { system.Store.SetFault(nil) })
				job := newJob("lost", 1, 300)
				system.Checker.Submitted(&job)
				ctx, cancel := context.WithTimeout(t.Context(), 2900*time.Millisecond)
				defer cancel()
				began := time.Now()
				outcome, err := system.Service(1).Submit(ctx, job)
				if outcome != c.want {
					t.Errorf("submitted: %v (%v), want %v", outcome, err, c.want)
				}
				if took := time.Since(began); took > 2900*time.Millisecond {
					t.Errorf("answered after %v", took)
				}
				time.Sleep(10 * time.Second)
				if c.want == submission.Accepted && system.Checker.Starts() != 1 {
					t.Errorf("%d starts of a task that was submitted once", system.Checker.Starts())
				}
			})
		})
	}
}

// A submission with an unknown outcome ends when its caller leaves, also long before the deadline.
func TestASubmissionEndsWithItsCaller(t *testing.T) {
	withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
		time.Sleep(time.Second)
		system.Store.SetFault(func(string, bool) testcluster.StoreFault { return testcluster.StoreFault{Silent: true} })
		deadlineCtx, cancelDeadline := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancelDeadline()
		ctx, leave := context.WithCancel(deadlineCtx)
		time.AfterFunc(1500*time.Millisecond, leave)
		began := time.Now()
		outcome, _ := system.Service(1).Submit(ctx, newJob("left", 1, 300))
		if took := time.Since(began); outcome != submission.Unknown || took > 1600*time.Millisecond {
			t.Errorf("%v after %v, the caller left after 1.5s", outcome, took)
		}
	})
}

// A job that waits for a commit of the owner when its caller stops to wait is withdrawn, so that the
// caller learns that it is not stored. One that comes too late for an answer is refused at once.
func TestAJobIsWithdrawnAtItsDeadline(t *testing.T) {
	withJobCluster(t, 3, 2, func(t *testing.T, system *testcluster.JobCluster) {
		time.Sleep(time.Second)
		system.Store.SetFault(func(string, bool) testcluster.StoreFault {
			return testcluster.StoreFault{Slow: 100 * time.Millisecond}
		})
		time.Sleep(2 * time.Second)
		system.Store.SetFault(func(_ string, write bool) testcluster.StoreFault {
			if write {
				return testcluster.StoreFault{Slow: 6 * time.Second}
			}
			return testcluster.StoreFault{Slow: 100 * time.Millisecond}
		})
		first := newJob("first", 1, 300)
		system.Checker.Submitted(&first)
		firstCtx, cancelFirst := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancelFirst()
		if outcome, _ := system.Service(1).Submit(firstCtx, first); outcome != submission.Unknown {
			t.Errorf("submitted while the commit takes 6 s: %v", outcome)
		}
		for _, wait := range []time.Duration{1500 * time.Millisecond, 50 * time.Millisecond} {
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			outcome, err := system.Service(1).Submit(ctx, newJob("withdrawn", 1, 300))
			cancel()
			if outcome != submission.Refused {
				t.Errorf("submitted with %v left: %v (%v)", wait, outcome, err)
			}
		}
		system.Store.SetFault(nil)
		time.Sleep(10 * time.Second)
		if system.Checker.Started("withdrawn") {
			t.Error("a refused job has started")
		}
	})
}
