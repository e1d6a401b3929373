package standin

import (
	"crypto/rand"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/internal/worker"
	"github.com/julienschmidt/httprouter"
)

// updateInterval is the time between two updates of the running tasks.
const updateInterval = 10 * time.Millisecond

// usageLag is the age of the processor usage in a report.
const usageLag = 500 * time.Millisecond

// Span is a period in which a task ran on a worker without interruption.
type Span struct {
	Task    string    `json:"task"`
	Attempt int       `json:"attempt"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Begin   float64   `json:"begin"` // progress in seconds; End likewise
	End     float64   `json:"end"`
}

// taskRun is one attempt of a task on the worker.
type taskRun struct {
	start         placement.Start
	state         placement.RunState
	progress      time.Duration
	share         float64
	reason        string
	checkpointKey string
	span          int // index of the open span, -1 for none
	used          []usage
}

type usage struct {
	at         time.Time
	processors float64
}

// Worker is a stand-in worker that simulates tasks while it holds a lease. It obeys only the
// agent that claimed it last. It may be used concurrently.
type Worker struct {
	mu            sync.Mutex
	incarnation   string
	startedAt     time.Time
	capacity      placement.Resources
	agent         string
	leaseNumber   uint64
	leaseDeadline time.Duration
	runs          map[worker.AttemptID]*taskRun
	spans         []Span
	advancedAt    time.Time
	timerPending  bool
	superseded    []string // agents whose claim a later one replaced
}

// NewWorker returns an unclaimed worker with the given capacity.
func NewWorker(capacity placement.Resources) *Worker {
	return &Worker{incarnation: rand.Text(), startedAt: time.Now(), capacity: capacity, runs: map[worker.AttemptID]*taskRun{}}
}

// Spans returns the periods in which tasks ran on this worker.
func (w *Worker) Spans() []Span {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.spans)
}

// Load returns the fraction of the worker's processors that running tasks use.
func (w *Worker) Load() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	used := 0.0
	for _, r := range w.runs {
		if r.state == placement.Running {
			used += r.start.Need.Processors * r.share
		}
	}
	return used / math.Max(w.capacity.Processors, 1)
}

// Routes adds the task interface to router.
func (w *Worker) Routes(router *httprouter.Router) {
	for path, handler := range map[string]func(worker.Call) ([]byte, *problem.Problem){
		"/task/claim":      w.claim,
		"/task/lease":      w.lease,
		"/task/start":      w.start,
		"/task/throttle":   w.throttle,
		"/task/checkpoint": w.checkpoint,
		"/task/stop":       w.stop,
		"/task/forget":     w.forget,
	} {
		router.POST(path, w.handle(handler))
	}
}

func (w *Worker) handle(handler func(worker.Call) ([]byte, *problem.Problem)) httprouter.Handle {
	return func(out http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var call worker.Call
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			problem.New(http.StatusBadRequest, problem.Refused, "read", err.Error()).Write(out)
			return
		}
		w.mu.Lock()
		w.advance(time.Now())
		refused := w.checkAgent(r.URL.Path, call)
		var answer []byte
		if refused == nil {
			answer, refused = handler(call)
		}
		w.mu.Unlock()
		if refused != nil {
			refused.Write(out)
			return
		}
		// A write error means that the agent has disconnected.
		_, _ = out.Write(answer)
	}
}

// checkAgent refuses calls of all agents but the one that claimed the worker last.
func (w *Worker) checkAgent(path string, call worker.Call) *problem.Problem {
	var p problem.Problem
	switch {
	case path == "/task/claim" && slices.Contains(w.superseded, call.Agent), path != "/task/claim" && w.agent != "" && w.agent != call.Agent:
		p = problem.New(http.StatusConflict, problem.Refused, "holder", "another agent claimed this worker later")
		p.Title = worker.TitleSuperseded
	case path != "/task/claim" && w.agent == "":
		p = problem.New(http.StatusConflict, problem.Refused, "holder", "claim the worker first")
		p.Title = worker.TitleUnclaimed
	default:
		return nil
	}
	return &p
}

func refuse(step, reason string) *problem.Problem {
	p := problem.New(http.StatusConflict, problem.Refused, step, reason)
	return &p
}

func (w *Worker) claim(call worker.Call) ([]byte, *problem.Problem) {
	if w.agent != call.Agent {
		if w.agent != "" {
			w.superseded = append(w.superseded, w.agent)
		}
		w.agent = call.Agent
		w.leaseNumber = 0
	}
	return w.status()
}

func (w *Worker) lease(call worker.Call) ([]byte, *problem.Problem) {
	if call.Number <= w.leaseNumber {
		return nil, refuse("lease", "a later lease was seen")
	}
	w.leaseNumber = call.Number
	w.leaseDeadline = call.LeaseDeadline
	now := time.Now()
	for id, r := range w.runs {
		keep := slices.Contains(call.Leased, id) && w.leaseValid(now)
		switch {
		case keep && r.state == placement.Paused:
			w.resume(now, r)
		case !keep && r.state == placement.Running:
			w.pause(now, r)
		}
	}
	w.scheduleAdvance()
	return w.status()
}

func (w *Worker) clock(now time.Time) time.Duration { return now.Sub(w.startedAt) }

func (w *Worker) leaseValid(now time.Time) bool { return w.clock(now) < w.leaseDeadline }

func (w *Worker) status() ([]byte, *problem.Problem) {
	now := time.Now()
	status := worker.Status{Incarnation: w.incarnation, Clock: w.clock(now)}
	for id, r := range w.runs {
		status.Tasks = append(status.Tasks, worker.TaskReport{
			AttemptID: id, RunState: r.state, Need: r.start.Need, Class: r.start.Class,
			UsedProcessors: r.usedBefore(now.Add(-usageLag)), Share: r.share, Reason: r.reason, CheckpointKey: r.checkpointKey,
		})
	}
	answer, err := json.Marshal(status)
	if err != nil {
		return nil, refuse("report", err.Error())
	}
	return answer, nil
}

// usedBefore returns the processors used according to the last measurement up to a time.
func (r *taskRun) usedBefore(at time.Time) float64 {
	used := 0.0
	for _, each := range r.used {
		if !each.at.After(at) {
			used = each.processors
		}
	}
	return used
}

func (w *Worker) start(call worker.Call) ([]byte, *problem.Problem) {
	if call.Start == nil {
		return nil, refuse("start", "no task was given")
	}
	id := worker.AttemptID{Task: call.Start.Task, Attempt: call.Start.Attempt}
	if _, known := w.runs[id]; known {
		return nil, refuse("start", "this attempt was started before")
	}
	need := call.Start.Need
	for _, r := range w.runs {
		if !r.state.Final() {
			need = need.Plus(r.start.Need)
		}
	}
	if shortage := need.Shortage(w.capacity); shortage != "" {
		return nil, refuse(worker.StepRoom, shortage)
	}
	added := &taskRun{start: *call.Start, state: placement.Paused, share: 1, span: -1}
	if len(call.Checkpoint) > 0 {
		seconds, err := strconv.ParseFloat(string(call.Checkpoint), 64)
		if err != nil {
			return nil, refuse(worker.StepCheckpoint, "the checkpoint cannot be read: "+err.Error())
		}
		added.progress = time.Duration(seconds * float64(time.Second))
	}
	w.runs[id] = added
	return nil, nil
}

func (w *Worker) find(call worker.Call) (*taskRun, *problem.Problem) {
	r, known := w.runs[call.AttemptID]
	if !known {
		return nil, refuse("find", "no such task here")
	}
	return r, nil
}

func (w *Worker) throttle(call worker.Call) ([]byte, *problem.Problem) {
	r, refused := w.find(call)
	if refused == nil {
		r.share = min(max(call.Share, 0), 1)
		w.measure(time.Now(), r)
	}
	return nil, refused
}

func (w *Worker) checkpoint(call worker.Call) ([]byte, *problem.Problem) {
	r, refused := w.find(call)
	if refused != nil {
		return nil, refused
	}
	if r.state.Final() {
		return nil, refuse("checkpoint", "the task is "+r.state.String())
	}
	w.pause(time.Now(), r)
	return []byte(strconv.FormatFloat(r.progress.Seconds(), 'f', -1, 64)), nil
}

func (w *Worker) stop(call worker.Call) ([]byte, *problem.Problem) {
	r, refused := w.find(call)
	if refused != nil {
		return nil, refused
	}
	if !r.state.Final() {
		w.pause(time.Now(), r)
		r.state = placement.Stopped
		r.checkpointKey = call.CheckpointKey
	}
	return nil, nil
}

func (w *Worker) forget(call worker.Call) ([]byte, *problem.Problem) {
	if r, known := w.runs[call.AttemptID]; known && r.state.Final() {
		delete(w.runs, call.AttemptID)
	}
	return nil, nil
}

func (w *Worker) resume(now time.Time, r *taskRun) {
	r.state = placement.Running
	r.span = len(w.spans)
	seconds := r.progress.Seconds()
	w.spans = append(w.spans, Span{Task: r.start.Task, Attempt: r.start.Attempt, From: now, To: now, Begin: seconds, End: seconds})
	w.measure(now, r)
}

func (w *Worker) pause(now time.Time, r *taskRun) {
	r.state = placement.Paused
	r.span = -1
	w.measure(now, r)
}

func (w *Worker) measure(now time.Time, r *taskRun) {
	used := 0.0
	if r.state == placement.Running {
		used = r.start.Need.Processors * r.share
	}
	r.used = append(r.used, usage{at: now, processors: used})
	// At most 100 measurements of a task are kept; the older half, 50, is dropped beyond that.
	if len(r.used) > 100 {
		r.used = r.used[50:]
	}
}

// scheduleAdvance schedules the next update of the tasks, unless one is scheduled already.
func (w *Worker) scheduleAdvance() {
	if w.timerPending {
		return
	}
	w.timerPending = true
	time.AfterFunc(updateInterval, w.advanceAndReschedule)
}

func (w *Worker) advanceAndReschedule() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	w.timerPending = false
	for _, r := range w.runs {
		if r.state == placement.Running {
			w.scheduleAdvance()
			return
		}
	}
}

// advance updates the running tasks to now, or to the end of the lease if that came first.
// A worker process that was suspended past the end of its lease detects this here, before
// it handles any call.
func (w *Worker) advance(now time.Time) {
	to := now
	expired := !w.leaseValid(now)
	if expired {
		to = w.startedAt.Add(w.leaseDeadline)
	}
	elapsed := max(to.Sub(w.advancedAt), 0)
	w.advancedAt = now
	for _, r := range w.runs {
		if r.state != placement.Running {
			continue
		}
		w.advanceRun(to, r, elapsed)
		if expired && r.state == placement.Running {
			w.pause(now, r)
			r.reason = "the lease lapsed"
		}
	}
}

// advanceRun adds the progress of the elapsed time to one task.
func (w *Worker) advanceRun(to time.Time, r *taskRun, elapsed time.Duration) {
	span := &w.spans[r.span]
	since := min(elapsed, max(to.Sub(span.To), 0))
	r.progress += time.Duration(float64(since) * r.share)
	span.To = to
	span.End = r.progress.Seconds()
	switch {
	case strings.HasPrefix(r.start.Payload, "fail"):
		r.state, r.reason = placement.RunFailed, "the task failed: "+r.start.Payload
	case r.progress >= r.start.Runtime:
		r.state = placement.Finished
	default:
		return
	}
	r.span = -1
	w.measure(to, r)
}

// Halt stops the worker at once, as the loss of its machine would. Its agent can no longer
// control it.
func (w *Worker) Halt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	for _, r := range w.runs {
		if r.state == placement.Running {
			w.pause(now, r)
		}
	}
	w.agent = "halted"
}
