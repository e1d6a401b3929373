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

// step is the time between two looks at the running tasks.
const step = 10 * time.Millisecond

// usageLag is how old the usage is that a report tells.
const usageLag = 500 * time.Millisecond

// Span is a stretch of time in which a task ran here.
type Span struct {
	Task    string    `json:"task"`
	Attempt int       `json:"attempt"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Begin   float64   `json:"begin"` // progress in seconds
	End     float64   `json:"end"`
}

// run is one task on the worker.
type run struct {
	start    placement.Start
	state    placement.RunState
	progress time.Duration
	share    float64
	why      string
	note     string
	span     int // index of the open span, -1 for none
	used     []usage
}

type usage struct {
	at         time.Time
	processors float64
}

// Worker runs tasks under leases.
type Worker struct {
	mu       sync.Mutex
	boot     string
	born     time.Time
	capacity placement.Resources
	holder   string
	number   uint64
	until    time.Duration
	runs     map[worker.AttemptID]*run
	spans    []Span
	last     time.Time
	ticking  bool
	refused  []string // holders that were superseded
}

// NewWorker makes a worker with capacity.
func NewWorker(capacity placement.Resources) *Worker {
	return &Worker{boot: rand.Text(), born: time.Now(), capacity: capacity, runs: map[worker.AttemptID]*run{}}
}

// Spans lists when each task ran here.
func (w *Worker) Spans() []Span {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.spans)
}

// Load is the share of its processors that running tasks use.
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
	for path, act := range map[string]func(worker.Call) ([]byte, *problem.Problem){
		"/task/claim":      w.claim,
		"/task/lease":      w.lease,
		"/task/start":      w.start,
		"/task/throttle":   w.throttle,
		"/task/checkpoint": w.checkpoint,
		"/task/stop":       w.stop,
		"/task/forget":     w.forget,
	} {
		router.POST(path, w.handle(act))
	}
}

func (w *Worker) handle(act func(worker.Call) ([]byte, *problem.Problem)) httprouter.Handle {
	return func(out http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var call worker.Call
		if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
			problem.New(http.StatusBadRequest, problem.Refused, "read", err.Error()).Write(out)
			return
		}
		w.mu.Lock()
		w.advance(time.Now())
		refused := w.fence(r.URL.Path, call)
		var answer []byte
		if refused == nil {
			answer, refused = act(call)
		}
		w.mu.Unlock()
		if refused != nil {
			refused.Write(out)
			return
		}
		// A holder that is gone cannot be told more.
		_, _ = out.Write(answer)
	}
}

// fence refuses all but the holder that claimed last.
func (w *Worker) fence(path string, call worker.Call) *problem.Problem {
	var p problem.Problem
	switch {
	case path == "/task/claim" && slices.Contains(w.refused, call.Agent), path != "/task/claim" && w.holder != "" && w.holder != call.Agent:
		p = problem.New(http.StatusConflict, problem.Refused, "holder", "another agent claimed this worker later")
		p.Title = worker.TitleSuperseded
	case path != "/task/claim" && w.holder == "":
		p = problem.New(http.StatusConflict, problem.Refused, "holder", "claim the worker first")
		p.Title = worker.TitleUnclaimed
	default:
		return nil
	}
	return &p
}

func refuse(step, why string) *problem.Problem {
	p := problem.New(http.StatusConflict, problem.Refused, step, why)
	return &p
}

func (w *Worker) claim(call worker.Call) ([]byte, *problem.Problem) {
	if w.holder != call.Agent {
		if w.holder != "" {
			w.refused = append(w.refused, w.holder)
		}
		w.holder = call.Agent
		w.number = 0
	}
	return w.report()
}

func (w *Worker) lease(call worker.Call) ([]byte, *problem.Problem) {
	if call.Number <= w.number {
		return nil, refuse("lease", "a later lease was seen")
	}
	w.number = call.Number
	w.until = call.LeaseDeadline
	now := time.Now()
	for of, r := range w.runs {
		keep := slices.Contains(call.Leased, of) && w.inLease(now)
		switch {
		case keep && r.state == placement.Paused:
			w.resume(now, r)
		case !keep && r.state == placement.Running:
			w.pause(now, r)
		}
	}
	w.tick()
	return w.report()
}

func (w *Worker) clock(now time.Time) time.Duration { return now.Sub(w.born) }

func (w *Worker) inLease(now time.Time) bool { return w.clock(now) < w.until }

func (w *Worker) report() ([]byte, *problem.Problem) {
	now := time.Now()
	report := worker.Report{Incarnation: w.boot, Clock: w.clock(now)}
	for of, r := range w.runs {
		report.Tasks = append(report.Tasks, worker.TaskReport{
			AttemptID: of, RunState: r.state, Need: r.start.Need, Class: r.start.Class,
			Processors: r.usedBefore(now.Add(-usageLag)), Share: r.share, Reason: r.why, CheckpointKey: r.note,
		})
	}
	answer, err := json.Marshal(report)
	if err != nil {
		return nil, refuse("report", err.Error())
	}
	return answer, nil
}

// usedBefore is the processors used as last measured at a time.
func (r *run) usedBefore(at time.Time) float64 {
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
	of := worker.AttemptID{Task: call.Start.Task, Attempt: call.Start.Attempt}
	if _, known := w.runs[of]; known {
		return nil, refuse("start", "this attempt was started before")
	}
	need := call.Start.Need
	for _, r := range w.runs {
		if !r.state.Final() {
			need = need.Plus(r.start.Need)
		}
	}
	if misfit := need.Shortage(w.capacity); misfit != "" {
		return nil, refuse(worker.StepRoom, misfit)
	}
	added := &run{start: *call.Start, state: placement.Paused, share: 1, span: -1}
	if len(call.Checkpoint) > 0 {
		seconds, err := strconv.ParseFloat(string(call.Checkpoint), 64)
		if err != nil {
			return nil, refuse(worker.StepCheckpoint, "the checkpoint cannot be read: "+err.Error())
		}
		added.progress = time.Duration(seconds * float64(time.Second))
	}
	w.runs[of] = added
	return nil, nil
}

func (w *Worker) find(call worker.Call) (*run, *problem.Problem) {
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
		r.note = call.CheckpointKey
	}
	return nil, nil
}

func (w *Worker) forget(call worker.Call) ([]byte, *problem.Problem) {
	if r, known := w.runs[call.AttemptID]; known && r.state.Final() {
		delete(w.runs, call.AttemptID)
	}
	return nil, nil
}

func (w *Worker) resume(now time.Time, r *run) {
	r.state = placement.Running
	r.span = len(w.spans)
	seconds := r.progress.Seconds()
	w.spans = append(w.spans, Span{Task: r.start.Task, Attempt: r.start.Attempt, From: now, To: now, Begin: seconds, End: seconds})
	w.measure(now, r)
}

func (w *Worker) pause(now time.Time, r *run) {
	r.state = placement.Paused
	r.span = -1
	w.measure(now, r)
}

func (w *Worker) measure(now time.Time, r *run) {
	used := 0.0
	if r.state == placement.Running {
		used = r.start.Need.Processors * r.share
	}
	r.used = append(r.used, usage{at: now, processors: used})
	if len(r.used) > 100 {
		r.used = r.used[50:]
	}
}

// tick keeps the clock going while a lease lasts.
func (w *Worker) tick() {
	if w.ticking {
		return
	}
	w.ticking = true
	time.AfterFunc(step, w.onTick)
}

func (w *Worker) onTick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	w.ticking = false
	for _, r := range w.runs {
		if r.state == placement.Running {
			w.tick()
			return
		}
	}
}

// advance moves the running tasks on to now, or to the end of the lease if that
// came first: a worker that was paused past its lease finds that out here, before
// it does anything else.
func (w *Worker) advance(now time.Time) {
	to := now
	lapsed := !w.inLease(now)
	if lapsed {
		to = w.born.Add(w.until)
	}
	passed := max(to.Sub(w.last), 0)
	w.last = now
	for _, r := range w.runs {
		if r.state != placement.Running {
			continue
		}
		w.proceed(to, r, passed)
		if lapsed && r.state == placement.Running {
			w.pause(now, r)
			r.why = "the lease lapsed"
		}
	}
}

// proceed lets one task make the progress of a stretch of time.
func (w *Worker) proceed(to time.Time, r *run, passed time.Duration) {
	span := &w.spans[r.span]
	since := min(passed, max(to.Sub(span.To), 0))
	r.progress += time.Duration(float64(since) * r.share)
	span.To = to
	span.End = r.progress.Seconds()
	switch {
	case strings.HasPrefix(r.start.Payload, "fail"):
		r.state, r.why = placement.RunFailed, "the task failed: "+r.start.Payload
	case r.progress >= r.start.Runtime:
		r.state = placement.Finished
	default:
		return
	}
	r.span = -1
	w.measure(to, r)
}

// Halt ends the worker at once, as the loss of its machine would.
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
	w.holder = "halted"
}
