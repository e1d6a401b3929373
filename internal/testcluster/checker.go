package testcluster

import (
	"fmt"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/runner"
)

// Checker observes every start and end of a task on all stand-in workers and records
// violations of the scheduler's guarantees. It may be used concurrently.
type Checker struct {
	mu            sync.Mutex
	jobs          map[string]*dispatch.Job
	capacity      dispatch.Resources // of each worker
	used          map[string]dispatch.Resources
	runningOn     map[dispatch.TaskName]string // worker that runs the task
	ackedDone     map[dispatch.TaskName]bool   // the agent acknowledged that the task is done
	endedDone     map[dispatch.TaskName]bool   // the task has ended as done on its worker, acknowledged or not
	ackedFailures map[dispatch.TaskName]int    // acknowledged failed runs
	starts        map[string]int               // by job
	violations    []string

	observe         func(event string)   // see Observe; nil: nobody observes
	domainOf        map[string]string    // failure domain of each worker
	evacuatedAt     map[string]time.Time // of the evacuated domains
	startsIn        map[string]int       // by domain
	evacuatedStarts []EvacuatedStart
}

// NewChecker returns a checker for workers that all have the given capacity.
func NewChecker(capacity dispatch.Resources) *Checker {
	return &Checker{
		jobs: map[string]*dispatch.Job{}, capacity: capacity, used: map[string]dispatch.Resources{},
		runningOn: map[dispatch.TaskName]string{}, ackedDone: map[dispatch.TaskName]bool{},
		endedDone: map[dispatch.TaskName]bool{}, ackedFailures: map[dispatch.TaskName]int{}, starts: map[string]int{},
		domainOf: map[string]string{}, evacuatedAt: map[string]time.Time{}, startsIn: map[string]int{},
	}
}

// Submitted registers a job before it is submitted. A start of a task of any other job is a
// violation.
func (c *Checker) Submitted(job *dispatch.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job.ID] = job
}

// Observe makes the checker call observe with each start, end and loss of a task, for a log. It is called
// with the checker's lock held and must not call the checker.
func (c *Checker) Observe(observe func(event string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe = observe
}

// note passes an event to the observer. The caller holds the lock.
func (c *Checker) note(format string, arguments ...any) {
	if c.observe != nil {
		c.observe(fmt.Sprintf(format, arguments...))
	}
}

// Violations returns the violations recorded so far, each with its time.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.violations...)
}

// Started reports whether any task of the job has started.
func (c *Checker) Started(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[job] > 0
}

// AllDone reports whether every task of a job without repetition has ended as done.
func (c *Checker) AllDone(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	of := c.jobs[job]
	if of == nil {
		return false
	}
	for s, step := range of.Steps {
		for i := range step.Count {
			if !c.endedDone[dispatch.TaskName{Job: job, Step: s, Index: i}] {
				return false
			}
		}
	}
	return true
}

// Starts returns the number of task starts on all workers.
func (c *Checker) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, starts := range c.starts {
		sum += starts
	}
	return sum
}

// StartsOf returns the number of starts of tasks of one job.
func (c *Checker) StartsOf(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[job]
}

// addViolation records a violation. The caller holds the lock.
func (c *Checker) addViolation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	c.note("WRONG %s", text)
	c.violations = append(c.violations, fmt.Sprintf("%s %s", time.Now().Format("05.000"), text))
}

// checkStart checks a start for violations, which the worker may have carried out late, and returns how long the task takes.
func (c *Checker) checkStart(worker string, call runner.StartCall, late bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("%s starts %v run %d, fence %d, lease until %d, late: %v", worker, call.Task, call.Run, call.Fence, call.LeaseDeadline, late)
	c.recordStartIn(worker, late)
	c.starts[call.Task.Job]++
	job := c.jobs[call.Task.Job]
	if job == nil {
		c.addViolation("UNASKED %v: nobody handed the job in", call.Task)
		return time.Second
	}
	step := job.Steps[call.Task.Step]
	if other, runs := c.runningOn[call.Task]; runs {
		c.addViolation("TWICE %v run %d on %s while it runs on %s", call.Task, call.Run, worker, other)
	}
	if c.ackedDone[call.Task] {
		c.addViolation("TWICE %v run %d on %s after it was noted as done", call.Task, call.Run, worker)
	}
	for _, before := range step.After {
		for i := range job.Steps[before].Count {
			if name := (dispatch.TaskName{Job: job.ID, Occurrence: call.Task.Occurrence, Step: before, Index: i}); !c.endedDone[name] {
				c.addViolation("ORDER %v before %v", call.Task, name)
			}
		}
	}
	if due := job.FirstDue + int64(call.Task.Occurrence)*job.Interval; time.Now().UnixMilli() < due {
		c.addViolation("ORDER %v %d ms before it is due", call.Task, due-time.Now().UnixMilli())
	}
	if c.ackedFailures[call.Task] >= job.Policy.Attempts {
		c.addViolation("BUDGET %v run %d after %d failed", call.Task, call.Run, c.ackedFailures[call.Task])
	}
	used := c.used[worker]
	used.Processors += reservedProcessors(step)
	used.Memory += step.Need.Memory
	c.used[worker] = used
	if used.Processors > c.capacity.Processors || used.Memory > c.capacity.Memory {
		c.addViolation("LIMIT %v on %s: %+v of %+v", call.Task, worker, used, c.capacity)
	}
	c.runningOn[call.Task] = worker
	return time.Duration(step.Estimate) * time.Millisecond
}

// reservedProcessors returns the processors that a task of step takes from the capacity of its
// worker. A best-effort task takes none: it gets what the other tasks leave unused.
func reservedProcessors(step dispatch.Step) int {
	if step.BestEffort {
		return 0
	}
	return step.Need.Processors
}

// release frees the resources of a run. The caller holds the lock.
func (c *Checker) release(worker string, name dispatch.TaskName) {
	if job := c.jobs[name.Job]; job != nil {
		used := c.used[worker]
		used.Processors -= reservedProcessors(job.Steps[name.Step])
		used.Memory -= job.Steps[name.Step].Need.Memory
		c.used[worker] = used
	}
	if c.runningOn[name] == worker {
		delete(c.runningOn, name)
	}
}

func (c *Checker) taskLost(worker string, name dispatch.TaskName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("%s loses %v in a crash", worker, name)
	c.release(worker, name)
}

func (c *Checker) taskEnded(worker string, name dispatch.TaskName, run int64, endReason dispatch.EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("%s ends %v run %d: %v", worker, name, run, endReason)
	c.release(worker, name)
	if endReason == dispatch.EndDone {
		c.endedDone[name] = true
	}
}

func (c *Checker) endAcked(worker string, end dispatch.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("%s forgets %v run %d: %v", worker, end.Task, end.Run, end.Reason)
	switch end.Reason {
	case dispatch.EndDone:
		c.ackedDone[end.Task] = true
	case dispatch.EndFailed:
		c.ackedFailures[end.Task]++
	}
}

const (
	// failingPayload is the payload of jobs whose tasks always fail.
	failingPayload = "bad"
	// CrashingPayload is the payload of jobs whose first task in each step crashes its worker.
	CrashingPayload = "crashing"
)

// crashesWorkers reports whether the task crashes each worker that starts it.
func (c *Checker) crashesWorkers(name dispatch.TaskName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := c.jobs[name.Job]
	return job != nil && job.Payload == CrashingPayload && name.Index == 0
}

// endReason returns how a task ends if it is not stopped: tasks of jobs with failingPayload
// fail, all others are done.
func (c *Checker) endReason(name dispatch.TaskName) dispatch.EndReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job := c.jobs[name.Job]; job != nil && job.Payload == failingPayload {
		return dispatch.EndFailed
	}
	return dispatch.EndDone
}
