package rig

import (
	"context"
	"fmt"
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
	Lost bool          // carried out, no answer
	Late time.Duration // with Lost: carried out only so much later
}

// Worker is a stand-in of a worker that obeys whatever it is ordered, and a witness
// that tells Watch of each start.
type Worker struct {
	mu     sync.Mutex
	name   string
	watch  *Watch
	life   dispatch.Life
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
func NewWorker(name string, watch *Watch) *Worker {
	w := &Worker{name: name, watch: watch, news: make(chan struct{})}
	w.begin()
	return w
}

func (w *Worker) begin() {
	w.life = dispatch.Life{ID: w.name, Born: time.Now().UnixMilli()}
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

// Life is the life of the worker now, and whether it is up.
func (w *Worker) Life() (dispatch.Life, bool) {
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
		Hold: w.hold,
		Start: func(ctx context.Context, call runner.StartCall) (runner.Answer, error) {
			return w.order(ctx, call.Life, call.Fence, false, func() runner.Answer { return w.start(call) })
		},
		Stop: func(ctx context.Context, call runner.StopCall) (runner.Answer, error) {
			return w.order(ctx, call.Life, call.Fence, false, func() runner.Answer { return w.stop(call) })
		},
		Pace: func(ctx context.Context, call runner.PaceCall) (runner.Answer, error) {
			return w.order(ctx, call.Life, call.Fence, false, func() runner.Answer { return runner.Answer{} })
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
			w.end(name, run, dispatch.EndLapsed)
		case !run.stopping.IsZero() && now.After(run.stopping):
			w.end(name, run, dispatch.EndStopped)
		case run.stopping.IsZero() && now.After(run.ends):
			w.end(name, run, w.watch.how(name))
		}
	}
}

func (w *Worker) end(name dispatch.TaskName, run *workerRun, how dispatch.How) {
	delete(w.runs, name)
	w.over[name] = max(w.over[name], run.number)
	w.count++
	w.ended = append(w.ended, dispatch.End{Sequence: w.count, Task: name, Run: run.number, How: how})
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
func (w *Worker) sentTo() (dispatch.Life, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life, w.agents
}

var errWorkerDown = errors.New("worker is down")

// order carries an order out, unless its life or fence is not the worker's. An order
// that is ofLife is not carried out by a later life under the same ID: a hold would make
// that forget ends which nobody has seen, and nothing in the protocol prevents it.
func (w *Worker) order(ctx context.Context, life dispatch.Life, fence uint64, ofLife bool, do func() runner.Answer) (runner.Answer, error) {
	fault := w.faultOf()
	obey := func() (runner.Answer, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.down {
			return runner.Answer{}, errWorkerDown
		}
		if life.ID != w.life.ID {
			return runner.Answer{Kind: runner.OtherLife}, nil
		}
		if fence < w.fence {
			return runner.Answer{Kind: runner.Rejected, Reason: "fence"}, nil
		}
		w.fence = fence
		w.pass()
		return do(), nil
	}
	if fault.Lost {
		sent, agents := w.sentTo()
		time.AfterFunc(workerAnswer+fault.Late, func() {
			life, now := w.sentTo()
			unseen := time.Since(time.UnixMilli(life.Born)) < unseenFor
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
	if call.Until <= w.clock() {
		return runner.Answer{Kind: runner.Rejected, Reason: "late"}
	}
	w.until = max(w.until, call.Until)
	if run := w.runs[call.Task]; run != nil && run.number == call.Run {
		return runner.Answer{}
	}
	if call.Run <= w.over[call.Task] || w.runs[call.Task] != nil {
		return runner.Answer{Kind: runner.Rejected, Reason: "old"}
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

func (w *Worker) hold(ctx context.Context, call runner.HoldCall) (runner.Lists, error) {
	deadline := time.After(time.Duration(call.Wait) * time.Millisecond)
	for {
		var lists runner.Lists
		answer, err := w.order(ctx, call.Life, call.Fence, true, func() runner.Answer {
			lists = w.lists(call)
			return runner.Answer{}
		})
		if err != nil {
			return runner.Lists{}, err // a late order may still write its lists
		}
		lists.Answer = answer
		if answer.Kind != runner.Obeyed || len(lists.Ended) > 0 || call.Wait == 0 {
			return lists, nil
		}
		w.mu.Lock()
		news := w.news
		w.mu.Unlock()
		select {
		case <-news:
		case <-deadline:
			if now, up := w.Life(); !up || now.Born != lists.Born {
				return runner.Lists{}, errWorkerDown
			}
			return lists, nil
		case <-ctx.Done():
			return runner.Lists{}, ctx.Err()
		}
	}
}

func (w *Worker) lists(call runner.HoldCall) runner.Lists {
	w.until = max(w.until, call.Until)
	left := w.ended[:0:0]
	for _, end := range w.ended {
		if end.Sequence > call.Seen {
			left = append(left, end)
		} else {
			w.watch.noted(w.name, end)
		}
	}
	w.ended = left
	lists := runner.Lists{Clock: w.clock(), Born: w.life.Born, Ended: append([]dispatch.End{}, left...)}
	for name, run := range w.runs {
		if run.stopping.IsZero() {
			lists.Running = append(lists.Running, runner.Listed{Listed: dispatch.Listed{Task: name, Run: run.number}})
		}
	}
	return lists
}

// Watch sees every start and end on all workers and says what should not have been.
type Watch struct {
	mu       sync.Mutex
	jobs     map[string]*dispatch.Job
	capacity dispatch.Need // of each worker
	used     map[string]dispatch.Need
	on       map[dispatch.TaskName]string // worker that runs the task
	done     map[dispatch.TaskName]bool   // an end as done was noted
	doneSeen map[dispatch.TaskName]bool
	failed   map[dispatch.TaskName]int // noted ends as failed
	starts   int
	begun    map[string]bool // jobs of which a task has started
	wrong    []string
}

// NewWatch makes a watch over workers of one capacity.
func NewWatch(capacity dispatch.Need) *Watch {
	return &Watch{
		jobs: map[string]*dispatch.Job{}, capacity: capacity, used: map[string]dispatch.Need{},
		on: map[dispatch.TaskName]string{}, done: map[dispatch.TaskName]bool{},
		doneSeen: map[dispatch.TaskName]bool{}, failed: map[dispatch.TaskName]int{}, begun: map[string]bool{},
	}
}

// Submitted takes that a job was handed in.
func (w *Watch) Submitted(job *dispatch.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job.ID] = job
}

// Wrong lists what should not have been.
func (w *Watch) Wrong() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{}, w.wrong...)
}

// Started tells whether a task of a job has started.
func (w *Watch) Started(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun[job]
}

// AllDone tells whether every task of a job without repetition has ended as done.
func (w *Watch) AllDone(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	of := w.jobs[job]
	if of == nil {
		return false
	}
	for s, step := range of.Steps {
		for i := range step.Count {
			if !w.doneSeen[dispatch.TaskName{Job: job, Step: s, Index: i}] {
				return false
			}
		}
	}
	return true
}

// Starts counts the starts.
func (w *Watch) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// say notes what should not have been. The caller holds the lock.
func (w *Watch) say(format string, arguments ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf("%s %s", time.Now().Format("05.000"), fmt.Sprintf(format, arguments...)))
}

// started judges a start and tells how long the task takes.
func (w *Watch) started(worker string, call runner.StartCall) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.begun[call.Task.Job] = true
	job := w.jobs[call.Task.Job]
	if job == nil {
		w.say("UNASKED %v: nobody handed the job in", call.Task)
		return time.Second
	}
	step := job.Steps[call.Task.Step]
	if other, runs := w.on[call.Task]; runs {
		w.say("TWICE %v run %d on %s while it runs on %s", call.Task, call.Run, worker, other)
	}
	if w.done[call.Task] {
		w.say("TWICE %v run %d on %s after it was noted as done", call.Task, call.Run, worker)
	}
	for _, before := range step.After {
		for i := range job.Steps[before].Count {
			if name := (dispatch.TaskName{Job: job.ID, Occurrence: call.Task.Occurrence, Step: before, Index: i}); !w.doneSeen[name] {
				w.say("ORDER %v before %v", call.Task, name)
			}
		}
	}
	if w.failed[call.Task] >= job.Policy.Attempts {
		w.say("BUDGET %v run %d after %d failed", call.Task, call.Run, w.failed[call.Task])
	}
	used := w.used[worker]
	used.Processors += step.Need.Processors
	used.Memory += step.Need.Memory
	w.used[worker] = used
	if used.Processors > w.capacity.Processors || used.Memory > w.capacity.Memory {
		w.say("LIMIT %v on %s: %+v of %+v", call.Task, worker, used, w.capacity)
	}
	w.on[call.Task] = worker
	return time.Duration(step.Estimate) * time.Millisecond
}

// leave gives the room of a run back. The caller holds the lock.
func (w *Watch) leave(worker string, name dispatch.TaskName) {
	if job := w.jobs[name.Job]; job != nil {
		used := w.used[worker]
		used.Processors -= job.Steps[name.Step].Need.Processors
		used.Memory -= job.Steps[name.Step].Need.Memory
		w.used[worker] = used
	}
	if w.on[name] == worker {
		delete(w.on, name)
	}
}

func (w *Watch) gone(worker string, name dispatch.TaskName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave(worker, name)
}

func (w *Watch) ended(worker string, name dispatch.TaskName, _ int64, how dispatch.How) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave(worker, name)
	if how == dispatch.EndDone {
		w.doneSeen[name] = true
	}
}

func (w *Watch) noted(_ string, end dispatch.End) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch end.How {
	case dispatch.EndDone:
		w.done[end.Task] = true
	case dispatch.EndFailed:
		w.failed[end.Task]++
	}
}

// failing is the index of the tasks that always fail, for jobs that can never be done.
const failing = "bad"

// how tells how a task ends by itself: tasks of jobs whose payload says so fail.
func (w *Watch) how(name dispatch.TaskName) dispatch.How {
	w.mu.Lock()
	defer w.mu.Unlock()
	if job := w.jobs[name.Job]; job != nil && job.Payload == failing {
		return dispatch.EndFailed
	}
	return dispatch.EndDone
}
