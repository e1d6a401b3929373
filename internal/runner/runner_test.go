package runner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

var task = dispatch.TaskName{Job: "j", Step: 0, Index: 1}

// maxLease is the longest lease of the worker.
const maxLease = 10 * time.Second

// withRunner runs a test on a runner with a registered worker and a session with an owner of
// epoch 1. The test must access the runner's state through onLoop.
func withRunner(t *testing.T, worker Worker, test func(t *testing.T, r *Runner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := loop.New(ctx)
		r := New(Settings{Name: "a", AgentIncarnation: "p", MaxLease: maxLease}, worker, l, zap.NewNop(), metrics.New())
		r.Register(dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "w", StartedAt: 5}, Service: "s"}, 1)
		onLoop(t, r, func() {
			r.epoch, r.sessionFence = 1, 1
			r.leases.replaced() // as if no earlier incarnation had its ID
			r.session = &session{number: 1, epoch: 1, began: time.Now(), wakeup: make(chan struct{}, 1)}
			r.workerClock, r.clockReadAt = 100, time.Now()
			r.leases.extendGrant(time.Now(), 3*time.Second)
		})
		test(t, r)
		cancel()
		l.Wait()
	})
}

func onLoop(t *testing.T, r *Runner, f func()) {
	t.Helper()
	if err := r.loop.Do(f); err != nil {
		t.Error(err)
	}
}

func pollResultOf(workerClock int64, running ...dispatch.TaskName) PollResult {
	result := PollResult{Clock: workerClock, Answer: Answer{StartedAt: 5}}
	for _, name := range running {
		result.Running = append(result.Running, RunStatus{RunStatus: dispatch.RunStatus{Task: name, Run: 1}})
	}
	return result
}

// An answer that arrives after a later one must not bring back runs that have ended.
func TestAnOvertakenListChangesNothing(t *testing.T) {
	withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() {
			call, _ := r.nextPoll(0)
			now := time.Now()
			r.handlePoll(call, pollResultOf(200), nil, now, now)
			r.handlePoll(call, pollResultOf(150, task), nil, now, now)
			if len(r.runs) != 0 {
				t.Error("the older list was applied")
			}
			r.handlePoll(call, pollResultOf(250, task), nil, now, now)
			if len(r.runs) != 1 {
				t.Error("the newer list was not applied")
			}
		})
	})
}

func TestPollsOfAWorkerThatMayHaveRestarted(t *testing.T) {
	withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() {
			r.committedEnd = 7
			if call, _ := r.nextPoll(0); call.Acked != 7 {
				t.Errorf("acked %d after an answer, want 7", call.Acked)
			}
			r.handlePoll(PollCall{Incarnation: r.registration.Incarnation}, PollResult{}, errors.New("no answer"), time.Now(), time.Now())
			if call, _ := r.nextPoll(0); call.Acked != 0 {
				t.Errorf("acked %d after a failed poll, want 0", call.Acked)
			}
		})
	})
}

// The lease of a silent worker is not extended, so that it expires.
func TestASilentWorkerGetsNoLease(t *testing.T) {
	withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() {
			if call, _ := r.nextPoll(0); call.LeaseDeadline != 3100 {
				t.Errorf("lease deadline %d, want 3100", call.LeaseDeadline)
			}
		})
		time.Sleep(time.Second)
		onLoop(t, r, func() {
			r.handlePollFailure(PollResult{}, errors.New("no answer"))
			r.leases.extendGrant(time.Now(), 3*time.Second)
			if call, _ := r.nextPoll(0); call.LeaseDeadline != 0 {
				t.Errorf("lease deadline %d for a silent worker, want 0", call.LeaseDeadline)
			}
		})
		time.Sleep(4 * time.Second)
		onLoop(t, r, func() {
			if !r.leasesExpired() {
				t.Error("the worker's leases have expired, but leasesExpired is false")
			}
		})
	})
}

// A start that gets no answer is sent again with the same run number, and then settled by a
// stop. Until then the run stays known, so that no other run of the task starts.
func TestAStartWithoutAnAnswer(t *testing.T) {
	var mu sync.Mutex // guards runs: a call goes on while the next one is sent
	var runs []int64
	stopped := 0
	worker := Worker{
		Start: func(ctx context.Context, call StartCall) (Answer, error) {
			mu.Lock()
			runs = append(runs, call.Run)
			mu.Unlock()
			<-ctx.Done()
			return Answer{}, ctx.Err()
		},
		Stop: func(context.Context, StopCall) (Answer, error) {
			stopped++
			return Answer{}, nil
		},
		Poll: func(context.Context, PollCall) (PollResult, error) { return pollResultOf(9000), nil },
	}
	withRunner(t, worker, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() {
			r.applyOrders(link.Orders{Session: 1, Starts: []link.StartOrder{{Task: task, Run: 4}}})
		})
		time.Sleep(maxStartTries*(orderTimeout+orderRetryDelay) - 100*time.Millisecond)
		onLoop(t, r, func() {
			if r.runs[task] == nil {
				t.Error("the run was dropped while its start may still be carried out")
			}
		})
		time.Sleep(2 * time.Second)
		onLoop(t, r, func() {
			mu.Lock()
			defer mu.Unlock()
			if len(runs) != maxStartTries || runs[0] != 4 || runs[maxStartTries-1] != 4 || stopped != 1 {
				t.Errorf("starts of runs %v, %d stops", runs, stopped)
			}
			if r.runs[task] != nil || len(r.session.notStarted) != 1 {
				t.Errorf("after the stop: run %+v, reported as not started: %v", r.runs[task], r.session.notStarted)
			}
		})
	})
}

func TestOrdersOfAnOlderSessionAreVoid(t *testing.T) {
	withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() {
			r.applyOrders(link.Orders{Session: 0, Starts: []link.StartOrder{{Task: task, Run: 1}}})
			if len(r.runs) != 0 {
				t.Error("an order of an older session was carried out")
			}
		})
	})
}

// While a run is being stopped, the worker's lists may not show it although it still holds its
// resources. Neither the late answer to its start nor a list that shows it once more shortens the
// time for which it counts as present.
func TestARunThatIsBeingStoppedStaysKnown(t *testing.T) {
	cases := []struct {
		name string
		seen func(r *Runner) // happens while the stop is in flight
	}{
		{"the start is answered late", func(r *Runner) {
			call := StartCall{Incarnation: r.registration.Incarnation, Task: task, Run: 1}
			r.startAnswered(r.runs[task], call, 1, time.Now(), Answer{}, nil)
		}},
		{"a list shows it once more", func(r *Runner) {
			r.reconcile(pollResultOf(200, task), time.Now())
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			unanswered := Worker{
				Start: func(ctx context.Context, _ StartCall) (Answer, error) { <-ctx.Done(); return Answer{}, ctx.Err() },
				Stop:  func(ctx context.Context, _ StopCall) (Answer, error) { <-ctx.Done(); return Answer{}, ctx.Err() },
			}
			withRunner(t, unanswered, func(t *testing.T, r *Runner) {
				onLoop(t, r, func() {
					r.applyOrders(link.Orders{Session: 1, Starts: []link.StartOrder{{Task: task, Run: 1}}})
					r.applyOrders(link.Orders{Session: 1, Stops: []link.StopOrder{{Task: task, Run: 1}}})
					c.seen(r)
				})
				time.Sleep(6 * time.Millisecond)
				onLoop(t, r, func() {
					r.reconcile(pollResultOf(210), time.Now())
					if r.runs[task] == nil || len(r.session.notStarted) > 0 {
						t.Errorf("reported as not started: %v", r.session.notStarted)
					}
				})
			})
		})
	}
}

// slowestClock is the lowest rate of a worker's clock that the protocol allows, by the agent's clock.
const slowestClock = 0.98

// A lease that the agent has given to the worker counts as expired only when it has expired on the
// slowest clock that a worker may have. The clock may have been read some time before the lease is given.
func TestALeaseLastsOnASlowClock(t *testing.T) {
	for _, age := range []time.Duration{0, time.Second, 10 * time.Second} {
		withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
			time.Sleep(age)
			onLoop(t, r, func() {
				r.leases.grantedUntil = time.Time{} // the leases of an earlier agent have expired
				r.leases.extendGrant(time.Now(), 3*time.Second)
				deadline := r.grantLease()
				onWorker := time.Duration(deadline-r.workerClock) * time.Millisecond
				expiry := r.clockReadAt.Add(time.Duration(float64(onWorker) / slowestClock))
				if r.leases.grantedUntil.Before(expiry) {
					t.Errorf("clock read %v ago: counts as expired %v too early", age, expiry.Sub(r.leases.grantedUntil))
				}
			})
		})
	}
}

// No orders end the agent, whatever they hold.
func FuzzOrders(f *testing.F) {
	f.Add([]byte(`{"session":1,"starts":[{"task":"j.0.0.1","run":4}],"stops":[{"task":"j.0.0.1","run":4},{"task":"k.0.0.0","run":-1}],"traits":[{"task":"j.0.0.1","run":4,"cores":-3}],"kept":99}`))
	f.Add([]byte(`{"session":1,"starts":[{},{}],"stops":[{}]}`))
	f.Fuzz(func(t *testing.T, params []byte) {
		unanswered := Worker{
			Start: func(ctx context.Context, _ StartCall) (Answer, error) { <-ctx.Done(); return Answer{}, ctx.Err() },
			Stop:  func(ctx context.Context, _ StopCall) (Answer, error) { <-ctx.Done(); return Answer{}, ctx.Err() },
			Poll: func(ctx context.Context, _ PollCall) (PollResult, error) {
				<-ctx.Done()
				return PollResult{}, ctx.Err()
			},
		}
		withRunner(t, unanswered, func(t *testing.T, r *Runner) {
			orders, err := link.Decode[link.Orders](params)
			if err != nil {
				return
			}
			onLoop(t, r, func() { r.applyOrders(orders) })
			time.Sleep(time.Second)
			onLoop(t, r, func() { r.takeReport(r.session) })
		})
	})
}

// A report has the registration only if the owner does not know it yet. An owner of an earlier
// version needs it in each report.
func TestReportsStateAChangedRegistrationOnly(t *testing.T) {
	cases := []struct {
		name        string
		incremental bool
		change      func(r *Runner)
		stated      bool
	}{
		{"the same", true, func(*Runner) {}, false},
		{"the same, to an owner of an earlier version", false, func(*Runner) {}, true},
		{"another capacity", true, func(r *Runner) { r.registration.Capacity.Processors++; r.registrationVersion++ }, true},
		{"the worker has left", true, func(r *Runner) { r.registration.Draining = true; r.registrationVersion++ }, true},
	}
	for _, c := range cases {
		withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
			onLoop(t, r, func() {
				r.session.incremental = c.incremental
				if first := r.takeReport(r.session); first.Registration == nil {
					t.Errorf("%s: the first report states no registration", c.name)
				}
				c.change(r)
				if report := r.takeReport(r.session); (report.Registration != nil) != c.stated {
					t.Errorf("%s: stated %v, want %v", c.name, report.Registration != nil, c.stated)
				}
			})
		})
	}
}

// A registration that repeats the last one is no change.
func TestARepeatedRegistrationIsNoChange(t *testing.T) {
	withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		registration := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "w", StartedAt: 5}, Service: "s", Labels: []string{"a", "r"}}
		versions := []int{}
		for sequence := range int64(3) {
			r.Register(registration, sequence+2)
			onLoop(t, r, func() { versions = append(versions, r.registrationVersion) })
		}
		if versions[1] != versions[0] || versions[2] != versions[0] {
			t.Errorf("versions %v", versions)
		}
		registration.Draining = true
		r.Register(registration, 9)
		onLoop(t, r, func() {
			if r.registrationVersion == versions[2] {
				t.Error("a change was not counted")
			}
		})
	})
}

// A best-effort run that an earlier process of the agent has paused must not stay so: the next process
// cannot know its pace, and sets it once.
func TestTheNextAgentSetsThePaceOfARunThatItFinds(t *testing.T) {
	for _, found := range []bool{true, false} {
		var calls []PaceCall
		worker := Worker{
			Start: func(context.Context, StartCall) (Answer, error) { return Answer{}, nil },
			SetPace: func(_ context.Context, call PaceCall) (Answer, error) {
				calls = append(calls, call)
				return Answer{}, nil
			},
		}
		withRunner(t, worker, func(t *testing.T, r *Runner) {
			status := RunStatus{RunStatus: dispatch.RunStatus{Task: task, Run: 1}}
			order := link.StartOrder{Task: task, Run: 1, Image: "f", BestEffort: true}
			onLoop(t, r, func() {
				if found {
					r.runs.recordRunning(r, status)
					r.applyOrders(link.Orders{Session: 1, Specs: []link.StartOrder{order}})
				} else {
					r.applyOrders(link.Orders{Session: 1, Starts: []link.StartOrder{order}})
				}
			})
			for range 3 {
				time.Sleep(time.Second)
				onLoop(t, r, func() { r.pacer.observe(r, []RunStatus{status}, time.Now()) })
			}
			time.Sleep(time.Second)
		})
		switch {
		case found && (len(calls) != 1 || calls[0].Pace != fullPace || calls[0].Run != 1):
			t.Errorf("orders for a run that was found: %+v", calls)
		case !found && len(calls) > 0:
			t.Errorf("orders for a run of its own: %+v", calls)
		}
	}
}
