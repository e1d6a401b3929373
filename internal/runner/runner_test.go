package runner

import (
	"context"
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

// onRunner runs a test on a runner that knows its worker and has an owner of epoch 1. The
// functions of the test that touch its state run on its loop.
func onRunner(t *testing.T, worker Worker, test func(t *testing.T, r *Runner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := loop.New(ctx)
		r := New(Settings{Name: "a", AgentIncarnation: "p"}, worker, l, zap.NewNop(), metrics.New())
		r.Register(dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "w", StartedAt: 5}, Service: "s"}, 1)
		on(t, r, func() {
			r.fence = 1
			r.session = &session{number: 1, epoch: 1, began: time.Now(), woken: make(chan struct{}, 1)}
			r.clock, r.clockAt = 100, time.Now()
			r.granted(time.Now(), 3*time.Second)
		})
		test(t, r)
		cancel()
		l.Wait()
	})
}

func on(t *testing.T, r *Runner, f func()) {
	t.Helper()
	if err := r.loop.Do(f); err != nil {
		t.Error(err)
	}
}

func listOf(clock int64, running ...dispatch.TaskName) PollResult {
	lists := PollResult{Clock: clock, StartedAt: 5}
	for _, name := range running {
		lists.Running = append(lists.Running, RunStatus{RunStatus: dispatch.RunStatus{Task: name, Run: 1}})
	}
	return lists
}

// An answer that was overtaken by a later one must not bring back what has ended.
func TestAnOvertakenListChangesNothing(t *testing.T) {
	onRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		on(t, r, func() {
			call, _ := r.nextHold(0)
			now := time.Now()
			r.held(call, listOf(200), nil, now, now)
			r.held(call, listOf(150, task), nil, now, now)
			if len(r.runs) != 0 {
				t.Error("the older list was believed")
			}
			r.held(call, listOf(250, task), nil, now, now)
			if len(r.runs) != 1 {
				t.Error("the newer list was not believed")
			}
		})
	})
}

func TestHoldsOfAWorkerThatMayBeAnother(t *testing.T) {
	onRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		on(t, r, func() {
			r.kept = 7
			if call, _ := r.nextHold(0); call.Acked != 7 {
				t.Errorf("seen %d after an answer, want 7", call.Acked)
			}
			r.held(PollCall{Incarnation: r.offer.Incarnation}, PollResult{}, errors.New("no answer"), time.Now(), time.Now())
			if call, _ := r.nextHold(0); call.Acked != 0 {
				t.Errorf("seen %d after no answer, want 0", call.Acked)
			}
		})
	})
}

// A worker that is silent is given no longer lease, so that what it has runs out.
func TestASilentWorkerGetsNoLease(t *testing.T) {
	onRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		on(t, r, func() {
			if call, _ := r.nextHold(0); call.LeaseDeadline != 3100 {
				t.Errorf("until %d, want 3100", call.LeaseDeadline)
			}
		})
		time.Sleep(time.Second)
		on(t, r, func() {
			r.unheld(PollResult{}, errors.New("no answer"))
			r.granted(time.Now(), 3*time.Second)
			if call, _ := r.nextHold(0); call.LeaseDeadline != 0 {
				t.Errorf("until %d for a silent worker", call.LeaseDeadline)
			}
		})
		time.Sleep(4 * time.Second)
		on(t, r, func() {
			if !r.lapsed() {
				t.Error("its leases are over, and it does not count as lapsed")
			}
		})
	})
}

// A start without an answer is tried again with the same run, then settled by a stop; it
// holds its place until then.
func TestAStartWithoutAnAnswer(t *testing.T) {
	var runs []int64
	stopped := 0
	worker := Worker{
		Start: func(ctx context.Context, call StartCall) (Answer, error) {
			runs = append(runs, call.Run)
			<-ctx.Done()
			return Answer{}, ctx.Err()
		},
		Stop: func(context.Context, StopCall) (Answer, error) {
			stopped++
			return Answer{}, nil
		},
		Poll: func(context.Context, PollCall) (PollResult, error) { return listOf(9000), nil },
	}
	onRunner(t, worker, func(t *testing.T, r *Runner) {
		on(t, r, func() {
			r.obey(link.Orders{Session: 1, Starts: []link.StartOrder{{Task: task, Run: 4}}})
		})
		time.Sleep(startTries*(orderBound+orderPause) - 100*time.Millisecond)
		on(t, r, func() {
			if r.runs[task] == nil {
				t.Error("the run has lost its place while it is in doubt")
			}
		})
		time.Sleep(2 * time.Second)
		on(t, r, func() {
			if len(runs) != startTries || runs[0] != 4 || runs[startTries-1] != 4 || stopped != 1 {
				t.Errorf("starts of runs %v, %d stops", runs, stopped)
			}
			if r.runs[task] != nil || len(r.session.absents) != 1 {
				t.Errorf("after the stop: %+v, told: %v", r.runs[task], r.session.absents)
			}
		})
	})
}

func TestOrdersOfAnOlderSessionAreVoid(t *testing.T) {
	onRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		on(t, r, func() {
			r.obey(link.Orders{Session: 0, Starts: []link.StartOrder{{Task: task, Run: 1}}})
			if len(r.runs) != 0 {
				t.Error("an order of an older session was obeyed")
			}
		})
	})
}
