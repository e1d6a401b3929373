package testcluster

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/runner"
	"github.com/cockroachdb/errors"
)

const (
	// workerReplyDelay is how long the stand-in of a worker takes to answer a call.
	workerReplyDelay = time.Millisecond
	// workerStopDelay is how long the worker takes to stop a run.
	workerStopDelay = 200 * time.Millisecond
	// maxLease is the longest lease that the worker accepts, on its own clock, which is slow by
	// one part in clockSlowness. The clock of a new incarnation starts anew.
	maxLease      = 10 * time.Second
	clockSlowness = 50
	// workerPollInterval is how often the worker checks its runs.
	workerPollInterval = 20 * time.Millisecond
	// maxListedEnds is the number of ends that a worker lists at a time.
	maxListedEnds = 500
	// crashDelay is how long a task of a job with CrashingPayload runs before it crashes the
	// worker, and crashDowntime how long the worker is down then.
	crashDelay    = 10 * time.Millisecond
	crashDowntime = 3 * time.Second
)

// Worker is a stand-in of a worker that runs steps of jobs, with the protocol of package runner
// (standin.Worker has that of package worker). It executes every valid call and reports each start
// and end to a Checker. It may be used concurrently.
type Worker struct {
	mu            sync.Mutex
	name          string
	checker       *Checker
	replacements  int // how often another ID has replaced its ID
	incarnation   dispatch.Incarnation
	startedAt     time.Time
	down          bool
	dark          bool // while it is down, calls wait instead of failing
	cut           bool // no call of the agent arrives, and no answer
	draining      bool // it says in its registrations that it will leave
	fence         uint64
	leaseDeadline int64
	runs          map[dispatch.TaskName]*workerRun
	finishedRuns  map[dispatch.TaskName]int64 // highest run that was stopped or ended
	ended         []dispatch.End
	sequence      int64
	changed       chan struct{}
	restarted     chan struct{} // receives a value after each restart
	fault         atomic.Pointer[func() OrderFault]
	startFault    atomic.Pointer[func(runner.StartCall) OrderFault]
}

type workerRun struct {
	number int64
	endsAt time.Time // when it ends unless it is stopped
	stopAt time.Time // when a requested stop takes effect; zero without one
}

// NewWorker returns a worker that reports to checker, which also holds its capacity.
func NewWorker(name string, checker *Checker) *Worker {
	w := &Worker{name: name, checker: checker, changed: make(chan struct{}), restarted: make(chan struct{}, 1)}
	w.reset()
	return w
}

func (w *Worker) reset() {
	id := w.name
	if w.replacements > 0 {
		id = fmt.Sprint(w.name, "-", w.replacements)
	}
	w.incarnation = dispatch.Incarnation{ID: id, StartedAt: time.Now().UnixMilli()}
	w.startedAt, w.fence, w.leaseDeadline, w.sequence = time.Now(), 0, 0, 0
	w.runs, w.finishedRuns, w.ended = map[dispatch.TaskName]*workerRun{}, map[dispatch.TaskName]int64{}, nil
}

// Incarnation returns the worker's current incarnation and whether it is up.
func (w *Worker) Incarnation() (dispatch.Incarnation, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation, !w.down
}

// Running returns the number of runs on the worker.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Calls returns the functions with which the agent beside the worker calls it.
func (w *Worker) Calls() runner.Worker {
	return runner.Worker{
		Poll: w.poll,
		Start: func(ctx context.Context, call runner.StartCall) (runner.Answer, error) {
			sent := time.Now()
			return w.executeWith(ctx, w.faultOf(call), call.Incarnation, call.Fence, func() runner.Answer {
				return w.start(call, time.Since(sent) > workerReplyDelay)
			})
		},
		Stop: func(ctx context.Context, call runner.StopCall) (runner.Answer, error) {
			return w.execute(ctx, call.Incarnation, call.Fence, func() runner.Answer { return w.stop(call) })
		},
		SetPace: func(ctx context.Context, call runner.PaceCall) (runner.Answer, error) {
			return w.execute(ctx, call.Incarnation, call.Fence, func() runner.Answer { return runner.Answer{} })
		},
	}
}

// Run ends runs as their time comes, until ctx is done.
func (w *Worker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
		_ = sleepOrDone(ctx, workerPollInterval) // its only error is the end of ctx
	}
}

func (w *Worker) clock() int64 {
	elapsed := time.Since(w.startedAt)
	return (elapsed - elapsed/clockSlowness).Milliseconds()
}

// extendLease extends the lease to the deadline, on the worker's clock, but not beyond maxLease from now.
func (w *Worker) extendLease(deadline int64) {
	w.leaseDeadline = max(w.leaseDeadline, min(deadline, w.clock()+maxLease.Milliseconds()))
}

// advance ends the runs whose lease has expired, whose requested stop takes effect, or whose
// duration is over. The caller holds the lock.
func (w *Worker) advance() {
	now := time.Now()
	for name, run := range w.runs {
		switch {
		case w.clock() > w.leaseDeadline:
			w.end(name, run, dispatch.EndExpired)
		case !run.stopAt.IsZero() && now.After(run.stopAt):
			w.end(name, run, dispatch.EndStopped)
		case run.stopAt.IsZero() && now.After(run.endsAt):
			w.end(name, run, w.checker.endReason(name))
		}
	}
}

func (w *Worker) end(name dispatch.TaskName, run *workerRun, reason dispatch.EndReason) {
	delete(w.runs, name)
	w.finishedRuns[name] = max(w.finishedRuns[name], run.number)
	w.sequence++
	w.ended = append(w.ended, dispatch.End{Sequence: w.sequence, Task: name, Run: run.number, Reason: reason})
	w.checker.taskEnded(w.name, name, run.number, reason)
	close(w.changed)
	w.changed = make(chan struct{})
}

var errWorkerDown = errors.New("worker is down")

// execute is executeWith with the current fault.
func (w *Worker) execute(ctx context.Context, incarnation dispatch.Incarnation, fence uint64, do func() runner.Answer) (runner.Answer, error) {
	return w.executeWith(ctx, w.currentFault(), incarnation, fence, do)
}

// executeWith runs do unless the call is for another worker ID or has an outdated fence. The next
// incarnation with the same ID carries out a call that was sent to the previous one.
func (w *Worker) executeWith(ctx context.Context, fault OrderFault, incarnation dispatch.Incarnation, fence uint64, do func() runner.Answer) (runner.Answer, error) {
	apply := func() (runner.Answer, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.down {
			return runner.Answer{}, errWorkerDown
		}
		if incarnation.ID != w.incarnation.ID {
			return runner.Answer{Status: runner.WrongIncarnation}, nil
		}
		if fence < w.fence {
			return runner.Answer{Status: runner.Rejected, Reason: "fence", Fenced: true}, nil
		}
		w.fence = fence
		w.advance()
		answer := do()
		answer.AnsweredAt = max(w.clock(), 1)
		return answer, nil
	}
	if fault.DropReply {
		time.AfterFunc(workerReplyDelay+fault.Late, func() {
			// The caller no longer waits for the answer.
			_, _ = apply()
		})
		<-ctx.Done()
		return runner.Answer{}, ctx.Err()
	}
	if err := w.awaitDelivery(ctx); err != nil {
		return runner.Answer{}, err
	}
	answer, err := apply()
	if err == nil && w.isCut() {
		<-ctx.Done()
		err = ctx.Err()
	}
	return answer, err
}

// awaitDelivery waits until a call reaches the worker.
func (w *Worker) awaitDelivery(ctx context.Context) error {
	for {
		if err := sleepOrDone(ctx, workerReplyDelay); err != nil {
			return err
		}
		w.mu.Lock()
		delivered := !w.cut && !(w.down && w.dark)
		w.mu.Unlock()
		if delivered {
			return nil
		}
	}
}

func (w *Worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// start carries out a start, late or in time.
func (w *Worker) start(call runner.StartCall, late bool) runner.Answer {
	if call.LeaseDeadline <= w.clock() {
		return runner.Answer{Status: runner.Rejected, Reason: "late"}
	}
	w.extendLease(call.LeaseDeadline)
	if run := w.runs[call.Task]; run != nil && run.number == call.Run {
		return runner.Answer{}
	}
	if call.Run <= w.finishedRuns[call.Task] || w.runs[call.Task] != nil {
		return runner.Answer{Status: runner.Rejected, Reason: "old"}
	}
	w.runs[call.Task] = &workerRun{number: call.Run, endsAt: time.Now().Add(w.checker.checkStart(w.name, call, late))}
	if w.checker.crashesWorkers(call.Task) {
		time.AfterFunc(crashDelay, w.Crash)
		time.AfterFunc(crashDelay+crashDowntime, w.Restart)
	}
	return runner.Answer{}
}

func (w *Worker) stop(call runner.StopCall) runner.Answer {
	w.finishedRuns[call.Task] = max(w.finishedRuns[call.Task], call.Run)
	if run := w.runs[call.Task]; run != nil && run.number <= call.Run && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(workerStopDelay)
	}
	return runner.Answer{}
}

func (w *Worker) poll(ctx context.Context, call runner.PollCall) (runner.PollResult, error) {
	var deadline <-chan time.Time
	for {
		var result runner.PollResult
		answer, err := w.execute(ctx, call.Incarnation, call.Fence, func() runner.Answer {
			result = w.result(call)
			return runner.Answer{StartedAt: w.incarnation.StartedAt} // no other answer says so
		})
		if err != nil {
			return runner.PollResult{}, err // a late call may still write result
		}
		result.Answer = answer
		if deadline == nil { // the wait counts from when the call has arrived
			deadline = time.After(time.Duration(call.Wait) * time.Millisecond)
		}
		if answer.Status != runner.Applied || len(result.Ended) > 0 || call.Wait == 0 {
			return result, nil
		}
		w.mu.Lock()
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			if w.isCut() {
				<-ctx.Done()
				return runner.PollResult{}, ctx.Err()
			}
			if now, up := w.Incarnation(); !up || now.StartedAt != result.StartedAt {
				return runner.PollResult{}, errWorkerDown
			}
			return result, nil
		case <-ctx.Done():
			return runner.PollResult{}, ctx.Err()
		}
	}
}

func (w *Worker) result(call runner.PollCall) runner.PollResult {
	w.extendLease(call.LeaseDeadline)
	unacked := w.ended[:0:0]
	for _, end := range w.ended {
		if end.Sequence > call.Acked {
			unacked = append(unacked, end)
		} else {
			w.checker.endAcked(w.name, end)
		}
	}
	w.ended = unacked
	listed := unacked[:min(len(unacked), maxListedEnds)]
	result := runner.PollResult{
		Clock: w.clock(), Ended: slices.Clone(listed), EndsCutOff: len(listed) == maxListedEnds,
	}
	for name, run := range w.runs {
		if run.stopAt.IsZero() {
			result.Running = append(result.Running, runner.RunStatus{RunStatus: dispatch.RunStatus{Task: name, Run: run.number}})
		}
	}
	return result
}
