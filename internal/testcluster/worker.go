package testcluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/runner"
	"github.com/cockroachdb/errors"
)

const (
	// workerAnswer is how long the stand-in of a worker takes to answer.
	workerAnswer = time.Millisecond
	// workerStop is how long it takes to stop a run.
	workerStop = 200 * time.Millisecond
	// unseenFor is how long nobody can know of a worker's new life. A late order to the
	// life before that is carried out then can't be prevented, and isn't played.
	unseenFor = 700 * time.Millisecond
	// workerTick is how often it looks at its runs.
	workerTick = 20 * time.Millisecond
)

// OrderFault is what befalls one order to a worker.
type OrderFault struct {
	DropReply bool          // carried out, no answer
	Late      time.Duration // with DropReply: carried out only so much later
}

// Worker is a stand-in of a worker that obeys whatever it is ordered, and a witness
// that tells Checker of each start.
type Worker struct {
	mu     sync.Mutex
	name   string
	watch  *Checker
	life   dispatch.Incarnation
	begun  time.Time
	down   bool
	agents int
	fence  uint64
	until  int64
	runs   map[dispatch.TaskName]*workerRun
	over   map[dispatch.TaskName]int64 // highest run that was stopped or ended
	ended  []dispatch.End
	count  int64
	news   chan struct{}
	fault  atomic.Pointer[func() OrderFault]
}

type workerRun struct {
	number   int64
	ends     time.Time // by itself
	stopping time.Time // when a stop is done; zero without one
}

// NewWorker makes a worker of the capacity that watch knows by its name.
func NewWorker(name string, watch *Checker) *Worker {
	w := &Worker{name: name, watch: watch, news: make(chan struct{})}
	w.begin()
	return w
}

func (w *Worker) begin() {
	w.life = dispatch.Incarnation{ID: w.name, StartedAt: time.Now().UnixMilli()}
	w.begun, w.fence, w.until, w.count = time.Now(), 0, 0, 0
	w.runs, w.over, w.ended = map[dispatch.TaskName]*workerRun{}, map[dispatch.TaskName]int64{}, nil
}

// Crash ends everything that runs; Restart begins another life under the same ID.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
	for name := range w.runs {
		w.watch.gone(w.name, name)
	}
	w.runs = map[dispatch.TaskName]*workerRun{}
}

// Restart begins the next life of a worker, if it has crashed.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.down {
		return
	}
	w.down = false
	w.begin()
}

// Incarnation is the life of the worker now, and whether it is up.
func (w *Worker) Incarnation() (dispatch.Incarnation, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life, !w.down
}

// SetFault sets what befalls an order; nil is nothing.
func (w *Worker) SetFault(fault func() OrderFault) { w.fault.Store(&fault) }

func (w *Worker) faultOf() OrderFault {
	if fault := w.fault.Load(); fault != nil && *fault != nil {
		return (*fault)()
	}
	return OrderFault{}
}

// Running counts what runs on the worker.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Calls is how the agent beside the worker calls it.
func (w *Worker) Calls() runner.Worker {
	return runner.Worker{
		Poll: w.hold,
		Start: func(ctx context.Context, call runner.StartCall) (runner.Answer, error) {
			return w.order(ctx, call.Incarnation, call.Fence, false, func() runner.Answer { return w.start(call) })
		},
		Stop: func(ctx context.Context, call runner.StopCall) (runner.Answer, error) {
			return w.order(ctx, call.Incarnation, call.Fence, false, func() runner.Answer { return w.stop(call) })
		},
		SetPace: func(ctx context.Context, call runner.PaceCall) (runner.Answer, error) {
			return w.order(ctx, call.Incarnation, call.Fence, false, func() runner.Answer { return runner.Answer{} })
		},
	}
}

// Run lets time pass for the worker until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.pass()
		w.mu.Unlock()
		_ = sleepOrDone(ctx, workerTick) // its only error is the end of ctx
	}
}

func (w *Worker) clock() int64 { return time.Since(w.begun).Milliseconds() }

// pass ends what is over by now.
func (w *Worker) pass() {
	now := time.Now()
	for name, run := range w.runs {
		switch {
		case w.clock() > w.until:
			w.end(name, run, dispatch.EndExpired)
		case !run.stopping.IsZero() && now.After(run.stopping):
			w.end(name, run, dispatch.EndStopped)
		case run.stopping.IsZero() && now.After(run.ends):
			w.end(name, run, w.watch.how(name))
		}
	}
}

func (w *Worker) end(name dispatch.TaskName, run *workerRun, how dispatch.EndReason) {
	delete(w.runs, name)
	w.over[name] = max(w.over[name], run.number)
	w.count++
	w.ended = append(w.ended, dispatch.End{Sequence: w.count, Task: name, Run: run.number, Reason: how})
	w.watch.ended(w.name, name, run.number, how)
	close(w.news)
	w.news = make(chan struct{})
}

// AgentDied takes that the agent beside the worker is gone. Orders of it that are still
// on their way then do not outlive the worker's life as well: nobody is left who knows
// of them, and nothing in the protocol would tell them from new ones.
func (w *Worker) AgentDied() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents++
}

// sentTo is the life of the worker and the count of the agents it has had.
func (w *Worker) sentTo() (dispatch.Incarnation, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life, w.agents
}

var errWorkerDown = errors.New("worker is down")

// order carries an order out, unless its life or fence is not the worker's. An order
// that is ofLife is not carried out by a later life under the same ID: a hold would make
// that forget ends which nobody has seen, and nothing in the protocol prevents it.
func (w *Worker) order(ctx context.Context, life dispatch.Incarnation, fence uint64, ofLife bool, do func() runner.Answer) (runner.Answer, error) {
	fault := w.faultOf()
	obey := func() (runner.Answer, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.down {
			return runner.Answer{}, errWorkerDown
		}
		if life.ID != w.life.ID {
			return runner.Answer{Status: runner.WrongIncarnation}, nil
		}
		if fence < w.fence {
			return runner.Answer{Status: runner.Rejected, Reason: "fence"}, nil
		}
		w.fence = fence
		w.pass()
		return do(), nil
	}
	if fault.DropReply {
		sent, agents := w.sentTo()
		time.AfterFunc(workerAnswer+fault.Late, func() {
			life, now := w.sentTo()
			unseen := time.Since(time.UnixMilli(life.StartedAt)) < unseenFor
			if life != sent && (now != agents || ofLife || unseen) {
				return
			}
			// Nobody waits for the answer.
			_, _ = obey()
		})
		<-ctx.Done()
		return runner.Answer{}, ctx.Err()
	}
	if err := sleepOrDone(ctx, workerAnswer); err != nil {
		return runner.Answer{}, err
	}
	return obey()
}

func (w *Worker) start(call runner.StartCall) runner.Answer {
	if call.LeaseDeadline <= w.clock() {
		return runner.Answer{Status: runner.Rejected, Reason: "late"}
	}
	w.until = max(w.until, call.LeaseDeadline)
	if run := w.runs[call.Task]; run != nil && run.number == call.Run {
		return runner.Answer{}
	}
	if call.Run <= w.over[call.Task] || w.runs[call.Task] != nil {
		return runner.Answer{Status: runner.Rejected, Reason: "old"}
	}
	w.runs[call.Task] = &workerRun{number: call.Run, ends: time.Now().Add(w.watch.started(w.name, call))}
	return runner.Answer{}
}

func (w *Worker) stop(call runner.StopCall) runner.Answer {
	w.over[call.Task] = max(w.over[call.Task], call.Run)
	if run := w.runs[call.Task]; run != nil && run.number <= call.Run && run.stopping.IsZero() {
		run.stopping = time.Now().Add(workerStop)
	}
	return runner.Answer{}
}

func (w *Worker) hold(ctx context.Context, call runner.PollCall) (runner.PollResult, error) {
	deadline := time.After(time.Duration(call.Wait) * time.Millisecond)
	for {
		var lists runner.PollResult
		answer, err := w.order(ctx, call.Incarnation, call.Fence, true, func() runner.Answer {
			lists = w.lists(call)
			return runner.Answer{}
		})
		if err != nil {
			return runner.PollResult{}, err // a late order may still write its lists
		}
		lists.Answer = answer
		if answer.Status != runner.Applied || len(lists.Ended) > 0 || call.Wait == 0 {
			return lists, nil
		}
		w.mu.Lock()
		news := w.news
		w.mu.Unlock()
		select {
		case <-news:
		case <-deadline:
			if now, up := w.Incarnation(); !up || now.StartedAt != lists.StartedAt {
				return runner.PollResult{}, errWorkerDown
			}
			return lists, nil
		case <-ctx.Done():
			return runner.PollResult{}, ctx.Err()
		}
	}
}

func (w *Worker) lists(call runner.PollCall) runner.PollResult {
	w.until = max(w.until, call.LeaseDeadline)
	left := w.ended[:0:0]
	for _, end := range w.ended {
		if end.Sequence > call.Acked {
			left = append(left, end)
		} else {
			w.watch.noted(w.name, end)
		}
	}
	w.ended = left
	lists := runner.PollResult{Clock: w.clock(), StartedAt: w.life.StartedAt, Ended: append([]dispatch.End{}, left...)}
	for name, run := range w.runs {
		if run.stopping.IsZero() {
			lists.Running = append(lists.Running, runner.RunStatus{RunStatus: dispatch.RunStatus{Task: name, Run: run.number}})
		}
	}
	return lists
}
