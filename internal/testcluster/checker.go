package testcluster

import (
	"fmt"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/runner"
)

// Checker sees every start and end on all workers and says what should not have been.
type Checker struct {
	mu       sync.Mutex
	jobs     map[string]*dispatch.Job
	capacity dispatch.Resources // of each worker
	used     map[string]dispatch.Resources
	on       map[dispatch.TaskName]string // worker that runs the task
	done     map[dispatch.TaskName]bool   // an end as done was noted
	doneSeen map[dispatch.TaskName]bool
	failed   map[dispatch.TaskName]int // noted ends as failed
	starts   int
	begun    map[string]bool // jobs of which a task has started
	wrong    []string
}

// NewChecker makes a watch over workers of one capacity.
func NewChecker(capacity dispatch.Resources) *Checker {
	return &Checker{
		jobs: map[string]*dispatch.Job{}, capacity: capacity, used: map[string]dispatch.Resources{},
		on: map[dispatch.TaskName]string{}, done: map[dispatch.TaskName]bool{},
		doneSeen: map[dispatch.TaskName]bool{}, failed: map[dispatch.TaskName]int{}, begun: map[string]bool{},
	}
}

// Submitted takes that a job was handed in.
func (w *Checker) Submitted(job *dispatch.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job.ID] = job
}

// Violations lists what should not have been.
func (w *Checker) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{}, w.wrong...)
}

// Started tells whether a task of a job has started.
func (w *Checker) Started(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun[job]
}

// AllDone tells whether every task of a job without repetition has ended as done.
func (w *Checker) AllDone(job string) bool {
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
func (w *Checker) Starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// say notes what should not have been. The caller holds the lock.
func (w *Checker) say(format string, arguments ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf("%s %s", time.Now().Format("05.000"), fmt.Sprintf(format, arguments...)))
}

// started judges a start and tells how long the task takes.
func (w *Checker) started(worker string, call runner.StartCall) time.Duration {
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
func (w *Checker) leave(worker string, name dispatch.TaskName) {
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

func (w *Checker) gone(worker string, name dispatch.TaskName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave(worker, name)
}

func (w *Checker) ended(worker string, name dispatch.TaskName, _ int64, how dispatch.EndReason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave(worker, name)
	if how == dispatch.EndDone {
		w.doneSeen[name] = true
	}
}

func (w *Checker) noted(_ string, end dispatch.End) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch end.Reason {
	case dispatch.EndDone:
		w.done[end.Task] = true
	case dispatch.EndFailed:
		w.failed[end.Task]++
	}
}

// failing is the index of the tasks that always fail, for jobs that can never be done.
const failing = "bad"

// how tells how a task ends by itself: tasks of jobs whose payload says so fail.
func (w *Checker) how(name dispatch.TaskName) dispatch.EndReason {
	w.mu.Lock()
	defer w.mu.Unlock()
	if job := w.jobs[name.Job]; job != nil && job.Payload == failing {
		return dispatch.EndFailed
	}
	return dispatch.EndDone
}
