//go:build review

package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job: what is sent, and how its tasks behave here.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	MemMB       int    `json:"mem_mb,omitempty"`
	EstimateMS  int64  `json:"estimate_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Checkpoint  bool   `json:"checkpoint,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Requires    string `json:"requires,omitempty"`
	Anti        int    `json:"anti_affinity,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Image       string `json:"image,omitempty"`
	TargetMS    int64  `json:"target_ms,omitempty"`
	Fills       bool   `json:"fills,omitempty"`
	MayMiss     int    `json:"may_miss,omitempty"`

	work  time.Duration                          // of a task at full speed
	fails func(index int, nth int) bool          // whether the nth run of a task fails by its own fault
	after func(index int, nth int) time.Duration // when it fails; nil: at the end of its work
}

// job is a job that the clients of a case hand in.
type job struct {
	ID       string `json:"-"`
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	FirstMS  int64  `json:"first_run_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`
	Repeat   int    `json:"repeat_count,omitempty"`

	sent       time.Time // when it was first sent
	accepted   time.Time // when it was acknowledged; zero: never
	cancelSent time.Time
	cancelled  time.Time // when its cancelling was acknowledged
	rejected   bool      // all attempts to hand it in were rejected
}

// taskID names a task.
type taskID struct {
	job              string
	occ, step, index int
}

func (t taskID) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.job, t.occ, t.step, t.index) }

func parseTask(text string) (taskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return taskID{}, fmt.Errorf("task %q", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil {
			return taskID{}, err
		}
		numbers[i] = n
	}
	return taskID{parts[0], numbers[0], numbers[1], numbers[2]}, nil
}

// taskState is what the workers together have seen of a task.
type taskState struct {
	starts    int
	on        map[*worker]int64 // runs now, by worker
	done      bool              // a run has ended done
	doneNoted time.Time         // that end was taken note of
	failed    int               // runs that ended failed
	noted     int               // of those, taken note of
	lastEnd   time.Time         // when the last run ended
	lastStart time.Time
	ordered   bool      // its last run was ended by a stop, and it has not been at work since
	atWork    time.Time // of one that lasts: when it was last at work
}

// Bounds of the small sites.
const (
	maxHold      = 10 * time.Second
	stopTime     = 200 * time.Millisecond
	gangTimeout  = 3 * time.Second
	cancelBound  = 3 * time.Second
	contactBound = 3 * time.Second
	startupTime  = 300 * time.Millisecond // of a task that lasts
	saveEvery    = 500 * time.Millisecond
	restoreTime  = 600 * time.Millisecond
	beatEvery    = time.Second
	maxAttempts  = 2
	finishTime   = 14 * time.Second
	earlyBound   = 250 * time.Millisecond
	worldTick    = 5 * time.Millisecond
	noticeBound  = 4500 * time.Millisecond
)

// world is what all workers share: the jobs that were handed in, and what has run. Its mutex guards
// the workers too.
type world struct {
	mu      sync.Mutex
	rec     *recorder
	jobs    map[string]*job
	tasks   map[taskID]*taskState
	workers []*worker
	store   *store
	onStart func(w *worker, t taskID, run int64) // called without the mutex
}

func newWorld(rec *recorder, s *store) *world {
	return &world{rec: rec, store: s, jobs: map[string]*job{}, tasks: map[taskID]*taskState{}}
}

func (w *world) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = j
}

// state returns the state of a task. The caller holds the mutex.
func (w *world) state(t taskID) *taskState {
	s := w.tasks[t]
	if s == nil {
		s = &taskState{on: map[*worker]int64{}}
		w.tasks[t] = s
	}
	return s
}

// run lets time pass for all workers until stop is closed.
func (w *world) run(stop <-chan struct{}) {
	ticker := time.NewTicker(worldTick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.mu.Lock()
			for _, each := range w.workers {
				each.advance(time.Now())
			}
			w.mu.Unlock()
		}
	}
}

// checkStart checks a start against the rules that need no outside view. The caller holds the mutex.
func (w *world) checkStart(on *worker, t taskID, run int64, spec, saved string) {
	j := w.jobs[t.job]
	if j == nil || t.step >= len(j.Steps) || t.index >= j.Steps[t.step].Count {
		w.rec.broken("UNASKED", "%s starts %v, which nobody sent", on.name, t)
		return
	}
	s, st := &j.Steps[t.step], w.state(t)
	if spec != j.Spec {
		w.rec.broken("UNASKED", "%s starts %v with another spec", on.name, t)
	}
	if saved != "" && !strings.HasPrefix(saved, fmt.Sprintf("%s.%d.%d.", t.job, t.occ, t.step)) || saved != "" && !s.Gang && !strings.HasPrefix(saved, t.String()+"@") {
		w.rec.broken("UNASKED", "%s starts %v from %q", on.name, t, saved)
	}
	if j.rejected {
		w.rec.broken("REFUSED", "%s starts %v", on.name, t)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelBound && w.store.calmFor() > contactBound {
		w.rec.broken("UNASKED", "%s starts %v %.1f s after its job was cancelled", on.name, t, time.Since(j.cancelled).Seconds())
	}
	for other, number := range st.on {
		if other != on || number != run {
			w.rec.broken("TWICE", "%s starts %v run %d while %s runs %d", on.name, t, run, other.name, number)
		}
	}
	if !st.doneNoted.IsZero() && !s.LongRunning {
		w.rec.broken("TWICE", "%s starts %v run %d after its end done was taken note of", on.name, t, run)
	}
	if !s.LongRunning && st.noted >= maxAttempts {
		w.rec.broken("BUDGET", "%s starts %v run %d after %d failed", on.name, t, run, st.noted)
	}
	for _, before := range s.After {
		for i := range j.Steps[before].Count {
			if !w.state(taskID{t.job, t.occ, before, i}).done {
				w.rec.broken("ORDER", "%s starts %v before step %d is done", on.name, t, before)
				break
			}
		}
	}
	if j.FirstMS > 0 {
		due := time.UnixMilli(j.FirstMS + int64(t.occ)*j.Interval)
		if time.Until(due) > earlyBound {
			w.rec.broken("ORDER", "%s starts %v %.3f s before its time", on.name, t, time.Until(due).Seconds())
		}
	}
	if s.Requires != "" && s.Requires != on.kind && s.Requires != on.rack {
		w.rec.broken("ROUTE", "%s (%s, %s) starts %v, which requires %s", on.name, on.kind, on.rack, t, s.Requires)
	}
	w.checkRoom(on, t, s)
}

// checkRoom checks the capacity of a worker and anti_affinity before a start.
func (w *world) checkRoom(on *worker, t taskID, s *step) {
	cpu, mem, same := 0, s.MemMB, 1
	if !s.Fills {
		cpu = s.CPU
	}
	for _, r := range on.runs {
		if !r.step.Fills {
			cpu += r.step.CPU
		}
		mem += r.step.MemMB
		if r.task.job == t.job && r.task.occ == t.occ && r.task.step == t.step {
			same++
		}
	}
	if cpu > on.cpu || mem > on.mem {
		w.rec.broken("LIMIT", "%s has %d of %d cpu and %d of %d MB with %v", on.name, cpu, on.cpu, mem, on.mem, t)
	}
	if s.Anti > 0 && same > s.Anti {
		w.rec.broken("ROUTE", "%s runs %d tasks of step %d of %s, at most %d", on.name, same, t.step, t.job, s.Anti)
	}
}

// member returns the present members of a gang run. The caller holds the mutex.
func (w *world) members(of *taskRun) []*taskRun {
	var all []*taskRun
	for _, each := range w.workers {
		for _, r := range each.runs {
			if r.task.job == of.task.job && r.task.occ == of.task.occ && r.task.step == of.task.step && r.number == of.number {
				all = append(all, r)
			}
		}
	}
	return all
}

// running returns how many tasks of a job run. The caller holds the mutex.
func (w *world) running(id string) int {
	count := 0
	for _, each := range w.workers {
		for _, r := range each.runs {
			if r.task.job == id {
				count++
			}
		}
	}
	return count
}

// allDone reports whether all tasks of a job have ended done. The caller holds the mutex.
func (w *world) allDone(j *job) bool {
	for occ := range max(j.Repeat, 1) {
		for i := range j.Steps {
			for index := range j.Steps[i].Count {
				if !w.state(taskID{j.ID, occ, i, index}).done {
					return false
				}
			}
		}
	}
	return true
}

// failedTask returns the most failed runs of one task of a job. The caller holds the mutex.
func (w *world) failedTask(id string) int {
	most := 0
	for t, s := range w.tasks {
		if t.job == id {
			most = max(most, s.failed)
		}
	}
	return most
}

// free returns the processors and the memory that are free on all workers that are up, and the whole
// processors. The caller holds the mutex.
func (w *world) free() (cpu, mem, whole int) {
	for _, each := range w.workers {
		if each.mode != up {
			continue
		}
		cpu, mem, whole = cpu+each.cpu, mem+each.mem, whole+each.cpu
		for _, r := range each.runs {
			if !r.step.Fills {
				cpu -= r.step.CPU
			}
			mem -= r.step.MemMB
		}
	}
	return cpu, mem, whole
}

// checkAway checks AVAIL as a run that was at work ends by a stop. The caller holds the mutex.
func (w *world) checkAway(on *worker, r *taskRun) {
	j := w.jobs[r.task.job]
	if r.step.MayMiss == 0 || on.draining || !j.cancelSent.IsZero() {
		return
	}
	var away []string
	for i := range r.step.Count {
		other := taskID{r.task.job, r.task.occ, r.task.step, i}
		s := w.state(other)
		if i == r.task.index || s.atWork.IsZero() || time.Since(s.atWork) < 4*worldTick {
			continue
		}
		if s.ordered || time.Since(s.atWork) >= noticeBound {
			away = append(away, fmt.Sprintf("%v for %.2f s (stopped: %v)", other, time.Since(s.atWork).Seconds(), s.ordered))
		}
	}
	w.rec.note("%v was at work and is stopped on %s, away are %v", r.task, on.name, away)
	if len(away) >= r.step.MayMiss {
		w.rec.broken("AVAIL", "%v is stopped on %s while %s is away, and the step may miss %d", r.task, on.name, strings.Join(away, ", "), r.step.MayMiss)
	}
}
