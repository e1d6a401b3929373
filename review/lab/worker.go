package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the workers, as the users' pages state them.
const (
	heartbeatPeriod  = 1100 * time.Millisecond
	maxHold          = 10 * time.Second
	stopTime         = 100 * time.Millisecond
	checkpointPeriod = 2 * time.Second
	maxListedEnds    = 500
	workerTick       = 5 * time.Millisecond
	maxConnections   = 64
)

type resources struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem_mb"`
	GPU int `json:"gpu"`
}

// span is a run as the worker saw it. Spans outlive the incarnation of the worker.
type span struct {
	task         string
	run          int64
	worker       string // ID of the incarnation
	began, ended time.Time
	how          string    // "" while it runs, "gone" if it ended with its worker
	noted        time.Time // when its end was acknowledged by last_seen; zero if it was not
}

type running struct {
	*span
	until      time.Time // when its work is done
	stopAt     time.Time // when a stop takes effect; zero if none was ordered
	saved      string
	checkpoint bool
}

type ended struct {
	n int64
	*span
	saved string
}

// worker is a stand-in worker at one address, in one incarnation after another.
type worker struct {
	rec      *record
	name     string
	zone     string
	labels   []string
	capacity resources
	address  string // where it takes calls
	control  string // of the agent beside it

	mu        sync.Mutex
	server    *http.Server
	up        bool
	dark      bool // it takes connections and calls, and answers none
	id        string
	born      time.Time
	lives     int
	seq       int64
	fence     uint64
	lease     time.Time
	lapses    map[string][]time.Time // by ID of the incarnation: when its lease lapsed
	runs      map[string]*running
	ends      []ended
	lastEnd   int64
	highest   map[string]int64 // by task: highest run that was stopped or has ended
	spans     []*span
	lostCalls int // calls that arrived while it was dark
	changed   chan struct{}
	peak      int // most ends that were not acknowledged
}

// start starts a new incarnation.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.lives++
	w.id, w.born = fmt.Sprintf("i-%s-%d", w.name, w.lives), time.Now()
	w.up, w.dark, w.seq, w.fence, w.lease = true, false, 0, 0, time.Time{}
	w.runs, w.ends, w.lastEnd, w.highest = map[string]*running{}, nil, 0, map[string]int64{}
	w.changed = make(chan struct{})
	id := w.id
	server := &http.Server{Handler: w.handler(id)}
	w.server = server
	w.mu.Unlock()
	w.rec.add("worker %s: starts as %s", w.name, id)
	limited := &limitedListener{Listener: listener, slots: make(chan struct{}, maxConnections)}
	go func() { _ = server.Serve(limited) }() // it ends with the incarnation
	go w.work(id)
	go w.beat(id)
	return nil
}

// crash ends the incarnation and all that runs on it: its connections close.
func (w *worker) crash() {
	w.mu.Lock()
	server := w.server
	w.end()
	w.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// goDark ends all that runs, and leaves the address silent until crash is called.
func (w *worker) goDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end()
	w.dark = true
}

// end ends the incarnation. w.mu is held.
func (w *worker) end() {
	if !w.up {
		return
	}
	w.up = false
	w.rec.add("worker %s: %s crashes with %d runs and %d ends that nobody has noted", w.name, w.id, len(w.runs), len(w.ends))
	for _, r := range w.runs {
		r.how, r.ended = "gone", time.Now()
	}
	close(w.changed)
}

func (w *worker) alive(id string) bool { return w.up && w.id == id }

// clock returns the worker's steady clock, in ms.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// work advances the runs of an incarnation.
func (w *worker) work(id string) {
	for {
		time.Sleep(workerTick)
		w.mu.Lock()
		if !w.alive(id) {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		if !w.lease.IsZero() && now.After(w.lease) {
			w.lapses[id] = append(w.lapses[id], now)
			w.rec.add("worker %s: the lease of %s lapses", w.name, id)
			for _, r := range w.runs {
				w.finish(r, "lapsed")
			}
			w.lease = time.Time{}
		}
		for _, r := range w.runs {
			if r.checkpoint {
				if n := int64(now.Sub(r.began) / checkpointPeriod); n > 0 {
					r.saved = checkpointData(r.task, n)
				}
			}
			switch {
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.finish(r, "stopped")
			case now.After(r.until):
				w.finish(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// checkpointData returns 16 hexadecimal digits, as in the example of the pages.
func checkpointData(task string, n int64) string {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, task, n)
	return fmt.Sprintf("%016x", h.Sum64())
}

func (w *worker) finish(r *running, how string) {
	delete(w.runs, r.task)
	r.how, r.ended = how, time.Now()
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r.span, r.saved})
	w.peak = max(w.peak, len(w.ends))
	close(w.changed)
	w.changed = make(chan struct{})
}

// beat sends heartbeats of an incarnation to the agent.
func (w *worker) beat(id string) {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		if !w.alive(id) {
			w.mu.Unlock()
			return
		}
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": "svc", "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": w.capacity, "labels": w.labels, "clock_ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		request, _ := http.NewRequest(http.MethodPut, "http://"+w.control+"/api/instances/"+id, bytes.NewReader(body))
		pause := heartbeatPeriod
		if response, err := client.Do(request); err != nil {
			pause = 200 * time.Millisecond // no node took it: again soon
		} else {
			_ = response.Body.Close()
		}
		time.Sleep(pause)
	}
}

type workerCall struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"until_ms"`
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"checkpoint_data"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) handler(id string) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, serve func(call workerCall) (int, map[string]any)) {
		mux.HandleFunc("POST "+path, func(out http.ResponseWriter, r *http.Request) {
			var call workerCall
			if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
				reply(out, http.StatusBadRequest, struct{}{})
				return
			}
			w.mu.Lock()
			if !w.alive(id) {
				w.lostCalls++
				w.rec.add("worker %s: dark, no answer to %s %s", w.name, path, call.Task)
				w.mu.Unlock()
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			if r.Header.Get("Expected-Instance") != id {
				w.mu.Unlock()
				reply(out, http.StatusMisdirectedRequest, struct{}{})
				return
			}
			status, body := http.StatusConflict, map[string]any{"reason": "fence"}
			if call.Fence >= w.fence {
				w.fence = call.Fence
				status, body = serve(call)
			}
			gone := !w.alive(id)
			body["clock_ms"], body["born"] = w.clock(), w.born.UnixMilli()
			w.mu.Unlock()
			if gone {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			reply(out, status, body)
		})
	}
	handle("/api/run-start", w.startRun)
	handle("/api/run-stop", w.stopRun)
	handle("/api/hold", w.hold)
	handle("/api/pace", func(workerCall) (int, map[string]any) { return http.StatusOK, map[string]any{} })
	return mux
}

// extend extends the lease to a time on the worker's clock.
func (w *worker) extend(untilMS int64) {
	until := time.Now().Add(min(time.Duration(untilMS-w.clock())*time.Millisecond, maxHold))
	if untilMS > 0 && until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) startRun(call workerCall) (int, map[string]any) {
	if call.UntilMS <= w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extend(call.UntilMS)
	known := w.runs[call.Task]
	switch {
	case known != nil && known.run == call.Run:
		return http.StatusOK, map[string]any{}
	case known != nil || call.Run <= w.highest[call.Task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	s := &span{task: call.Task, run: call.Run, worker: w.id, began: time.Now()}
	w.spans = append(w.spans, s)
	spec := parseSpec(call.Spec)
	w.runs[call.Task] = &running{span: s, until: s.began.Add(spec.workOf(call.Task)), saved: call.Checkpoint, checkpoint: spec.checkpoint}
	w.rec.add("worker %s: starts %s run %d", w.name, call.Task, call.Run)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stopRun(call workerCall) (int, map[string]any) {
	w.highest[call.Task] = max(w.highest[call.Task], call.Run)
	if known := w.runs[call.Task]; known != nil && known.run <= call.Run && known.stopAt.IsZero() {
		known.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, map[string]any{}
}

// hold acknowledges ends, extends the lease and returns the lists. w.mu is held, but not while it waits.
func (w *worker) hold(call workerCall) (int, map[string]any) {
	w.extend(call.UntilMS)
	for len(w.ends) > 0 && w.ends[0].n <= call.LastSeen {
		w.ends[0].noted = time.Now()
		w.ends = w.ends[1:]
	}
	timeout := time.After(time.Duration(min(call.WaitMS, 2000)) * time.Millisecond)
	for len(w.ends) == 0 && call.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		waited := false
		select {
		case <-changed:
		case <-timeout:
			waited = true
		}
		w.mu.Lock()
		if waited || !w.up {
			break
		}
	}
	runs, ends := [][]any{}, [][]any{}
	for _, r := range w.runs {
		runs = append(runs, []any{r.task, r.run, r.saved, 100, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": runs, "ended": ends}
}

// jobSpec is what a job's spec says of its tasks.
type jobSpec struct {
	work       time.Duration
	checkpoint bool
}

func (s jobSpec) String() string {
	return fmt.Sprintf("work=%d checkpoint=%v", s.work.Milliseconds(), s.checkpoint)
}

func parseSpec(text string) jobSpec {
	var s jobSpec
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "work":
			ms, _ := strconv.Atoi(value)
			s.work = time.Duration(ms) * time.Millisecond
		case "checkpoint":
			s.checkpoint = value == "true"
		}
	}
	return s
}

// workOf returns how long a task works: 0.7 to 1.3 times the work of its job.
func (s jobSpec) workOf(task string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return s.work*7/10 + s.work*6/10*time.Duration(h.Sum32()%1000)/1000
}

// runningOf returns how many tasks of a job run on the worker.
func (w *worker) runningOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task := range w.runs {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// runningTasks returns how many tasks run on the worker.
func (w *worker) runningTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// lapsedBetween reports whether a lease of an incarnation lapsed between two times.
func (w *worker) lapsedBetween(id string, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.lapses[id], func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// allSpans returns copies of the spans of all workers, in the order of their beginning.
func allSpans(workers []*worker) []span {
	var spans []span
	for _, w := range workers {
		w.mu.Lock()
		for _, s := range w.spans {
			spans = append(spans, *s)
		}
		w.mu.Unlock()
	}
	slices.SortFunc(spans, func(a, b span) int { return a.began.Compare(b.began) })
	return spans
}

// limitedListener has as many connections open as it has slots; others wait to be accepted.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
