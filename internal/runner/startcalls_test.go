package runner

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

var errRefused = errors.Wrap(&net.OpError{Op: "dial", Err: errors.New("refused")}, "call the worker")

// Guards against a start that counts as settled while the next incarnation may carry it out, and against one
// that counts as under way after it was carried out.
func TestStartsUnderWay(t *testing.T) {
	unanswered := func(ctx context.Context, _ StartCall) (Answer, error) {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	slow := func(ctx context.Context, _ StartCall) (Answer, error) {
		select {
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		case <-time.After(700 * time.Millisecond):
			return Answer{}, nil
		}
	}
	lists := func(r *Runner) {
		call, _ := r.nextPoll(0)
		r.handlePoll(call, pollResultOf(200, task), nil, time.Now(), time.Now())
	}
	cases := []struct {
		name    string
		start   func(context.Context, StartCall) (Answer, error)
		elapsed time.Duration
		then    func(r *Runner)
		want    bool
	}{
		{"answered", func(context.Context, StartCall) (Answer, error) { return Answer{}, nil }, time.Millisecond, nil, false},
		{"rejected", func(context.Context, StartCall) (Answer, error) { return Answer{Status: Rejected}, nil }, time.Millisecond, nil, false},
		{"no connection", func(context.Context, StartCall) (Answer, error) { return Answer{}, errRefused }, time.Millisecond, nil, false},
		{"no answer yet", unanswered, time.Millisecond, nil, true},
		{"no answer, but the run is listed", unanswered, time.Millisecond, lists, false},
		{"no answer to two calls, and the run is listed", unanswered, 500 * time.Millisecond, lists, true},
		{"a slow answer is not there yet", slow, 600 * time.Millisecond, nil, true},
		{"two slow answers", slow, 1300 * time.Millisecond, nil, false},
		{"no answer until the calls are too old", unanswered, link.MaxCallDelay + 3*time.Second, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stop := func(context.Context, StopCall) (Answer, error) { return Answer{}, nil }
			withRunner(t, Worker{Poll: unansweredPoll, Start: c.start, Stop: stop}, func(t *testing.T, r *Runner) {
				onLoop(t, r, func() { r.start(link.StartOrder{Task: task, Run: 1}) })
				time.Sleep(c.elapsed)
				onLoop(t, r, func() {
					if c.then != nil {
						c.then(r)
					}
					if got := len(r.startCalls.pending(task)) > 0; got != c.want {
						t.Errorf("under way: %v, want %v", got, c.want)
					}
				})
				time.Sleep(time.Second) // until the call in flight ends
			})
		})
	}
}

// Guards against a call that expires before the worker's next incarnation has dropped it: it may have waited for
// its connection.
func TestAStartCallExpiresLate(t *testing.T) {
	withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() { r.startCalls.add(task, 1) })
		time.Sleep(orderTimeout + link.MaxCallDelay - time.Millisecond)
		onLoop(t, r, func() {
			if _, pending := r.startCalls.list()[task]; !pending {
				t.Error("the call expires too early")
			}
		})
		time.Sleep(time.Millisecond)
		onLoop(t, r, func() {
			if calls := r.startCalls.list(); len(calls) > 0 || len(r.startCalls) > 0 {
				t.Errorf("calls %v, kept %v, want none", calls, r.startCalls)
			}
		})
	})
}

// Guards against a start that the owner never learns to be settled, and against one that it takes for settled
// too early: of a call under way, or of a run that another process of the agent has started.
func TestSettledStartsAreReportedOnce(t *testing.T) {
	settled := func(r *Runner) (names []dispatch.TaskName) {
		for _, status := range r.takeRunning(false) {
			if status.Settled {
				names = append(names, status.Task)
			}
		}
		return names
	}
	found := dispatch.TaskName{Job: "found"}
	start := func(ctx context.Context, _ StartCall) (Answer, error) {
		time.Sleep(10 * time.Millisecond)
		return Answer{}, ctx.Err()
	}
	withRunner(t, Worker{Poll: unansweredPoll, Start: start}, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() {
			r.runs.recordRunning(r, RunStatus{RunStatus: dispatch.RunStatus{Task: found, Run: 1}})
			r.start(link.StartOrder{Task: task, Run: 1})
			if got := settled(r); len(got) != 0 {
				t.Errorf("settled %v before the answer", got)
			}
		})
		time.Sleep(20*time.Millisecond + settledReportDelay)
		onLoop(t, r, func() {
			if len(r.session.wakeup) == 0 {
				t.Error("no report is due")
			}
			if diff := cmp.Diff([]dispatch.TaskName{task}, settled(r)); diff != "" {
				t.Errorf("settled (-want +got):\n%s", diff)
			}
			if got := settled(r); len(got) != 0 {
				t.Errorf("settled %v once more", got)
			}
		})
		time.Sleep(link.MaxCallDelay + orderTimeout)
		onLoop(t, r, func() {
			if diff := cmp.Diff([]dispatch.TaskName{found}, settled(r)); diff != "" {
				t.Errorf("settled (-want +got):\n%s", diff)
			}
		})
	})
}

// With the news that all leases are over, the agent says which of its starts are under way.
func TestAnAgentReportsStartsUnderWay(t *testing.T) {
	withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() { r.startCalls.add(task, 3) })
		time.Sleep(5 * time.Second)
		onLoop(t, r, func() {
			if report := r.takeReport(r.session); report.UnderWay != nil {
				t.Errorf("%v without the news", report.UnderWay)
			}
			r.reportNotStarted(task, 3)
			if ends := r.takeReport(r.session).Ends; len(ends) != 1 || ends[0].UnderWay != (orderTimeout+link.MaxCallDelay-5*time.Second).Milliseconds()+1 {
				t.Errorf("the end of a run is reported as %+v", ends)
			}
			r.silent = true
			want := []dispatch.StartUnderWay{{Task: task, Run: 3, Remaining: (orderTimeout + link.MaxCallDelay - 5*time.Second).Milliseconds() + 1}}
			if diff := cmp.Diff(want, r.takeReport(r.session).UnderWay); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(want, r.newAttach(1).UnderWay); diff != "" {
				t.Errorf("attach (-want +got):\n%s", diff)
			}
		})
	})
}

// Guards against a start that is tried or stopped although its slow answer says that it was carried out, and
// against a restart that only a slow answer tells of.
func TestASlowAnswerCounts(t *testing.T) {
	for _, startedAt := range []int64{5, 9} {
		var calls atomic.Int32
		worker := Worker{
			Poll: unansweredPoll,
			Start: func(context.Context, StartCall) (Answer, error) {
				calls.Add(1)
				time.Sleep(600 * time.Millisecond)
				return Answer{StartedAt: startedAt}, nil
			},
			Stop: func(context.Context, StopCall) (Answer, error) { return Answer{StartedAt: startedAt}, nil },
		}
		withRunner(t, worker, func(t *testing.T, r *Runner) {
			onLoop(t, r, func() { r.start(link.StartOrder{Task: task, Run: 1}) })
			time.Sleep(500 * time.Millisecond)
			onLoop(t, r, func() { r.session = nil }) // it has no link that could be closed
			time.Sleep(1500 * time.Millisecond)
			onLoop(t, r, func() {
				if r.registration.Incarnation.StartedAt != startedAt {
					t.Errorf("the worker counts as incarnation %d, want %d", r.registration.Incarnation.StartedAt, startedAt)
				}
				known := r.runs[task]
				if known == nil || known.stopping != (startedAt == 9) || known.settledAt.IsZero() {
					t.Errorf("incarnation %d: the run is %+v", startedAt, known)
				}
			})
		})
		if calls.Load() != 2 {
			t.Errorf("%d calls, want 2: the second is sent before the first is answered", calls.Load())
		}
	}
}
