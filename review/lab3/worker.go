//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// mode is how a worker answers.
type mode int

const (
	up   mode = iota
	dark      // it has ended, and nothing answers: its machine has no power
	gone      // it has ended, and connections are refused
)

// taskRun is a run on a worker.
type taskRun struct {
	on        *worker
	task      taskID
	step      *step
	number    int64
	nth       int // start of the task, counted from 1
	began     time.Time
	advanced  time.Time
	progress  time.Duration
	saved     string
	savedAt   time.Duration // progress at which it was saved
	restoring time.Duration // time that restoring from a save still takes
	stopAt    time.Time
	pace      int
	share     float64 // of its full speed, for a task that fills
	// stoppedAtWork says that it lasts and was at work as it was told to stop.
	stoppedAtWork bool
}

// endRow is an end that has not been taken note of.
type endRow struct {
	n     int64
	task  taskID
	run   int64
	how   string
	saved string
	at    time.Time
}

// worker is the stand-in of a worker. Its world's mutex guards it.
type worker struct {
	world    *world
	name     string
	address  string // app
	control  string // of the agent beside it
	zone     string
	kind     string
	rack     string
	cpu, mem int

	mode      mode
	id        string
	lives     int
	born      time.Time
	fence     uint64
	until     int64
	lapsed    time.Time // when its lease last lapsed
	runs      map[taskID]*taskRun
	barred    map[taskID]int64 // highest run that was stopped or has ended
	ended     []endRow
	lastEnd   int64
	seq       int64
	draining  bool
	leavesAt  time.Time
	changed   chan struct{}
	listener  *silentListener
	server    *http.Server
	stopBeats chan struct{}
	sameID    bool // it comes back under its ID
	cut       bool // it runs on, and nothing passes between it and its agent
	// delays returns by how much an order is carried out late; it gets no answer then. 0: it does at once.
	delays func(c call) time.Duration
}

func newWorker(w *world, name, address, control, zone, kind, rack string, cpu, mem int) *worker {
	each := &worker{world: w, name: name, address: address, control: control, zone: zone, kind: kind, rack: rack, cpu: cpu, mem: mem, mode: gone, changed: make(chan struct{}), stopBeats: make(chan struct{})}
	w.workers = append(w.workers, each)
	go each.beat()
	return each
}

// start starts the next life of the worker.
func (w *worker) start() error {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.lives++
	if w.id == "" || !w.sameID {
		w.id = fmt.Sprintf("i-%s-%d", w.name, w.lives)
	}
	w.mode, w.born, w.fence, w.until, w.seq, w.lastEnd = up, time.Now(), 0, 0, 0, 0
	w.runs, w.barred, w.ended, w.draining = map[taskID]*taskRun{}, map[taskID]int64{}, nil, false
	w.world.rec.note("worker %s starts as %s", w.name, w.id)
	if w.listener != nil {
		return nil
	}
	listener, err := listenSmall(w.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.handler()}
	w.listener, w.server = listener, server
	go func() { _ = server.Serve(listener) }() // its error says that it was closed
	return nil
}

// end ends the worker. All its runs end with it. With dark, calls wait for an answer that does not
// come; otherwise connections break and are refused.
func (w *worker) end(as mode) {
	w.world.mu.Lock()
	w.world.rec.note("worker %s ends, %d runs end with it", w.name, len(w.runs))
	now := time.Now()
	for t := range w.runs {
		s := w.world.state(t)
		delete(s.on, w)
		s.lastEnd = now
	}
	w.runs, w.ended, w.mode = map[taskID]*taskRun{}, nil, as
	server, listener := w.server, w.listener
	if as == gone {
		w.listener, w.server = nil, nil
	}
	w.world.mu.Unlock()
	switch {
	case server == nil:
	case as == gone:
		_ = server.Close() // nothing depends on a clean end
	default:
		listener.silence()
	}
}

func (w *worker) clock(now time.Time) int64 { return now.Sub(w.born).Milliseconds() }

// beat sends the heartbeats.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.sendBeat(client)
		select {
		case <-w.stopBeats:
			return
		case <-time.After(beatEvery):
		}
	}
}

func (w *worker) sendBeat(client *http.Client) {
	w.world.mu.Lock()
	if w.mode != up || w.cut {
		w.world.mu.Unlock()
		return
	}
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": "svc", "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": []string{w.kind, w.rack},
		"clock_ms": w.clock(time.Now()), "seq": w.seq, "born": w.born.UnixMilli(),
	}
	if w.draining {
		body["remaining_ms"] = max(time.Until(w.leavesAt).Milliseconds(), 0)
	}
	url := "http://" + w.control + "/api/instances/" + w.id
	w.world.mu.Unlock()
	text, err := json.Marshal(body)
	if err != nil {
		return
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(text))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close() // the next heartbeat repeats the content
	}
}

// call is the body of each call to a worker.
type call struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"checkpoint_data"`
	Percent    int    `json:"percent"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serve(w.runStart))
	mux.HandleFunc("POST /api/run-stop", w.serve(w.runStop))
	mux.HandleFunc("POST /api/pace", w.serve(w.setPace))
	mux.HandleFunc("POST /api/hold", w.serve(w.hold))
	return mux
}

// answer is the status and the body of an answer.
type answer struct {
	status int
	body   map[string]any
}

// serve wraps a call: it checks the instance and the fence, under the mutex.
func (w *worker) serve(handle func(r *http.Request, c call) answer) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var c call
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			writeJSON(out, http.StatusBadRequest, struct{}{})
			return
		}
		w.world.mu.Lock()
		if w.mode != up || w.cut {
			w.world.mu.Unlock()
			hang(r)
		}
		if late := w.delay(r, c); late > 0 {
			w.world.rec.note("no answer to the start of %s run %d on %s, carried out %v late", c.Task, c.Run, w.name, late)
			expected := r.Header.Get("Expected-Instance")
			time.AfterFunc(late, func() { w.carryOut(expected, c) })
			w.world.mu.Unlock()
			hang(r)
		}
		life := w.lives
		var a answer
		switch {
		case r.Header.Get("Expected-Instance") != w.id:
			a = answer{http.StatusMisdirectedRequest, map[string]any{}}
		case c.Fence < w.fence:
			a = answer{http.StatusConflict, map[string]any{"reason": "fence"}}
		default:
			w.fence = c.Fence
			a = handle(r, c) // hold releases the mutex while it waits
		}
		a.body["clock_ms"], a.body["born"] = w.clock(time.Now()), w.born.UnixMilli()
		sameLife := w.mode == up && life == w.lives && !w.cut
		w.world.mu.Unlock()
		if !sameLife {
			hang(r)
		}
		writeJSON(out, a.status, a.body)
	}
}

// delay returns by how much a call is carried out late. The caller holds the mutex.
func (w *worker) delay(r *http.Request, c call) time.Duration {
	if w.delays == nil || r.URL.Path != "/api/run-start" {
		return 0
	}
	return w.delays(c)
}

// carryOut carries out a start that is late, by whichever life of the worker is there.
func (w *worker) carryOut(expected string, c call) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if w.mode != up || expected != w.id || c.Fence < w.fence {
		w.world.rec.note("the late start of %s run %d on %s is rejected", c.Task, c.Run, w.name)
		return
	}
	w.fence = c.Fence
	a := w.runStart(nil, c)
	w.world.rec.note("the late start of %s run %d on %s: %d %v", c.Task, c.Run, w.name, a.status, a.body)
}

func conflict(reason string) answer {
	return answer{http.StatusConflict, map[string]any{"reason": reason}}
}

func ok() answer { return answer{http.StatusOK, map[string]any{}} }

func (w *worker) extend(now time.Time, until int64) {
	w.until = max(w.until, min(until, w.clock(now)+maxHold.Milliseconds()))
}

func (w *worker) runStart(_ *http.Request, c call) answer {
	now := time.Now()
	w.advance(now)
	t, err := parseTask(c.Task)
	if err != nil {
		return answer{http.StatusBadRequest, map[string]any{}}
	}
	if c.UntilMS <= w.clock(now) {
		return conflict("late")
	}
	w.extend(now, c.UntilMS)
	if r := w.runs[t]; r != nil && r.number == c.Run {
		return ok()
	}
	if c.Run <= w.barred[t] || w.runs[t] != nil {
		return conflict("old")
	}
	w.world.rec.note("start %v run %d on %s fence %d", t, c.Run, w.name, c.Fence)
	w.world.checkStart(w, t, c.Run, c.Spec, c.Checkpoint)
	j := w.world.jobs[t.job]
	if j == nil {
		return answer{http.StatusBadRequest, map[string]any{}}
	}
	s := w.world.state(t)
	s.starts++
	s.on[w], s.lastStart = c.Run, now
	r := &taskRun{on: w, task: t, step: &j.Steps[t.step], number: c.Run, nth: s.starts, began: now, advanced: now, saved: c.Checkpoint, pace: 100, share: 1}
	if _, at, found := strings.Cut(c.Checkpoint, "@"); found {
		if d, err := time.ParseDuration(at); err == nil {
			r.progress, r.savedAt, r.restoring = d, d, restoreTime
		}
	}
	w.runs[t] = r
	if w.world.onStart != nil {
		go w.world.onStart(w, t, c.Run)
	}
	return ok()
}

func (w *worker) runStop(_ *http.Request, c call) answer {
	now := time.Now()
	w.advance(now)
	t, err := parseTask(c.Task)
	if err != nil {
		return answer{http.StatusBadRequest, map[string]any{}}
	}
	w.barred[t] = max(w.barred[t], c.Run)
	if r := w.runs[t]; r != nil && r.number <= c.Run && r.stopAt.IsZero() {
		w.world.rec.note("stop %v run %d on %s", t, r.number, w.name)
		r.stoppedAtWork = r.step.LongRunning && r.atWork()
		r.stopAt = now.Add(stopTime)
	}
	return ok()
}

func (w *worker) setPace(_ *http.Request, c call) answer {
	w.advance(time.Now())
	if t, err := parseTask(c.Task); err == nil {
		if r := w.runs[t]; r != nil && r.number == c.Run {
			w.world.rec.note("pace %v run %d on %s: %d", t, c.Run, w.name, c.Percent)
			r.pace = c.Percent
		}
	}
	return ok()
}

func (w *worker) hold(request *http.Request, c call) answer {
	w.advance(time.Now())
	w.extend(time.Now(), c.UntilMS)
	kept := w.ended[:0:0]
	for _, e := range w.ended {
		if e.n > c.LastSeen {
			kept = append(kept, e)
			continue
		}
		w.noteEnd(e)
	}
	w.ended = kept
	deadline := time.After(time.Duration(c.WaitMS) * time.Millisecond)
	life := w.lives
	for len(w.ended) == 0 && c.WaitMS > 0 && w.mode == up && life == w.lives {
		changed := w.changed
		w.world.mu.Unlock()
		stop := false
		select {
		case <-changed:
		case <-deadline:
			stop = true
		case <-request.Context().Done():
			stop = true
		}
		w.world.mu.Lock()
		if stop {
			break
		}
	}
	now := time.Now()
	w.advance(now)
	a := ok()
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task.String(), r.number, r.saved, r.percent(), r.figure(now)})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.n, e.task.String(), e.run, e.how, e.saved})
	}
	a.body["running"], a.body["ended"] = running, ended
	return a
}

// noteEnd records that an end was taken note of.
func (w *worker) noteEnd(e endRow) {
	s := w.world.state(e.task)
	switch e.how {
	case "done":
		if w.lapsed.After(e.at) {
			return
		}
		if s.doneNoted.IsZero() {
			s.doneNoted = time.Now()
		}
		if s.lastStart.After(e.at) && !w.world.jobs[e.task.job].Steps[e.task.step].LongRunning {
			w.world.rec.broken("TWICE", "%v was started %.3f s after run %d had ended done on %s, and that end is taken note of", e.task, s.lastStart.Sub(e.at).Seconds(), e.run, w.name)
		}
	case "failed":
		s.noted++
	}
}

// percent returns how far a run is; for one that lasts, 100 while it is at work.
func (r *taskRun) percent() int {
	if r.step.LongRunning {
		if r.atWork() {
			return 100
		}
		return 0
	}
	return min(int(100*r.progress/max(r.step.work, 1)), 99)
}

// atWork reports whether a task that lasts is at work.
func (r *taskRun) atWork() bool {
	return r.stopAt.IsZero() && r.restoring <= 0 && r.advanced.Sub(r.began) >= startupTime
}

// figure returns the tail latency of a task that serves, the processors that another one uses.
func (r *taskRun) figure(time.Time) int {
	if r.step.TargetMS > 0 {
		return max(int(r.step.TargetMS)*7/10, 1)
	}
	return int(float64(r.step.CPU) * r.share * float64(r.pace) / 100)
}

// advance lets the time pass until now.
func (w *worker) advance(now time.Time) {
	if w.mode != up {
		return
	}
	if w.clock(now) > w.until {
		w.lapsed = now
		for _, r := range w.sorted() {
			w.finish(r, "lapsed")
		}
		return
	}
	w.setShares()
	for _, r := range w.sorted() {
		if w.runs[r.task] == r {
			w.advanceRun(now, r)
		}
	}
}

func (w *worker) sorted() []*taskRun {
	var all []*taskRun
	for _, r := range w.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *taskRun) int { return strings.Compare(a.task.String(), b.task.String()) })
	return all
}

// setShares gives the tasks that fill what the others leave unused.
func (w *worker) setShares() {
	left, wanted := w.cpu, 0
	for _, r := range w.runs {
		if r.step.Fills {
			wanted += r.step.CPU * r.pace / 100
		} else {
			left -= r.step.CPU
		}
	}
	share := 1.0
	if wanted > 0 {
		share = min(max(float64(left), 0)/float64(wanted), 1)
	}
	for _, r := range w.runs {
		if r.step.Fills {
			r.share = share
		}
	}
}

func (w *worker) advanceRun(now time.Time, r *taskRun) {
	elapsed := now.Sub(r.advanced)
	r.advanced = now
	if !r.stopAt.IsZero() {
		if now.After(r.stopAt) {
			r.save()
			w.finish(r, "stopped")
		}
		return
	}
	if r.step.Gang {
		if present := w.world.members(r); len(present) < r.step.Count {
			if now.Sub(r.began) > gangTimeout {
				w.finish(r, "alone")
			}
			return
		}
	}
	if r.restoring > 0 {
		r.restoring -= elapsed
		return
	}
	if r.step.LongRunning && r.atWork() {
		s := w.world.state(r.task)
		s.ordered, s.atWork = false, now
	}
	r.progress += time.Duration(float64(elapsed) * r.share * float64(r.pace) / 100)
	if r.step.Checkpoint && r.progress-r.savedAt >= saveEvery {
		r.save()
	}
	failing := r.step.fails != nil && r.step.fails(r.task.index, r.nth)
	failAfter := r.step.work
	if failing && r.step.after != nil {
		failAfter = r.step.after(r.task.index, r.nth)
	}
	switch {
	case failing && r.progress >= failAfter:
		w.finish(r, "failed")
	case !r.step.LongRunning && r.progress >= r.step.work:
		w.finish(r, "done")
	}
}

// save makes a checkpoint.
func (r *taskRun) save() {
	if r.step.Checkpoint && r.progress > 0 {
		r.savedAt = r.progress
		r.saved = fmt.Sprintf("%v@%v", r.task, r.progress.Round(time.Millisecond))
	}
}

// finish ends a run, and with it the others of its gang.
func (w *worker) finish(r *taskRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	var others []*taskRun
	if r.step.Gang {
		others = w.world.members(r)
	}
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, r.task, r.number, how, r.saved, time.Now()})
	s := w.world.state(r.task)
	delete(s.on, w)
	s.lastEnd = time.Now()
	switch how {
	case "stopped":
		if r.stoppedAtWork {
			w.world.checkAway(w, r)
			s.ordered = true
		}
	case "done":
		s.done = true
	case "failed":
		s.failed++
	}
	w.world.rec.note("end %v run %d on %s: %s", r.task, r.number, w.name, how)
	close(w.changed)
	w.changed = make(chan struct{})
	for _, other := range others {
		switch {
		case other == r:
		case how == "done":
			other.on.finish(other, "done")
		case how != "alone" && how != "lapsed" || other.on != w:
			if other.stopAt.IsZero() && how != "alone" {
				other.on.finish(other, "broken")
			}
		}
	}
}
