//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// advancePeriod is the time between two looks of a worker at what has ended.
	advancePeriod = 5 * time.Millisecond
	// heartbeatPeriod is the time between two registrations.
	heartbeatPeriod = 1100 * time.Millisecond
	// maxLease is the longest lease, max_hold_ms of the settings.
	maxLease = 10 * time.Second
	// maxListed is the number of ends in one response.
	maxListed = 500
	// maxConnections is how many connections a worker has, max_conns of its service.
	maxConnections = 64
	// gangTimeout is gang_timeout_ms of the settings.
	gangTimeout = 3 * time.Second
)

// fate is what becomes of a run that nobody stops.
type fate struct {
	after   time.Duration
	how     string // done or failed
	members int    // of the gang that the run belongs to, all of which are on this worker; 0: of none
}

// run is one run on a worker.
type run struct {
	number int64
	began  time.Time
	fate   fate
	stopAt time.Time // zero without a stop
	since  time.Time // since when all members of its gang are present
}

// worker is a stand-in of an application worker and its machine.
type worker struct {
	record  *record
	machine string
	ip      string
	zone    string
	kind    string
	rack    string
	control string // address of the agent beside it
	service string
	cpu     int
	memory  int
	decide  func(w *worker, task, spec string) fate
	stop    time.Duration // how long a stop takes
	seen    *sightings

	mu      sync.Mutex
	up      bool
	life    int
	id      string
	born    time.Time
	seq     int64
	ends    int64
	fence   uint64
	until   int64
	runs    map[string]*run
	barred  map[string]int64 // highest run that was stopped or has ended
	ended   [][]any          // rows that are not taken note of
	changed chan struct{}
	server  *http.Server
	done    chan struct{}
}

func (w *worker) address() string { return w.ip + ":8080" }

// begin starts a life of the worker.
func (w *worker) begin() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.up, w.id = true, fmt.Sprintf("i-%s-%d", w.machine, w.life)
	w.born, w.seq, w.ends, w.fence, w.until = time.Now(), 0, 0, 0, 0
	w.runs, w.barred, w.ended, w.changed = map[string]*run{}, map[string]int64{}, nil, make(chan struct{})
	w.done = make(chan struct{})
	listener, err := net.Listen("tcp", w.address())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/hold", w.hold)
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.halt)
	mux.HandleFunc("POST /api/pace", w.pace)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: mux}
	go func(server *http.Server) { _ = server.Serve(newLimited(listener, maxConnections)) }(w.server)
	w.record.note("worker %s up as %s", w.machine, w.id)
	go w.beat(w.life, w.done)
	go w.advanceAlways(w.done)
	return nil
}

// crash ends a life of the worker without a word.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	close(w.done)
	go func(server *http.Server) { _ = server.Close() }(w.server)
	for task, r := range w.runs {
		w.seen.over(w, task, r.number, "crashed")
	}
	w.runs = map[string]*run{}
	w.record.note("worker %s crashed", w.machine)
}

func (w *worker) beat(life int, done chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		w.mu.Lock()
		if w.life != life || !w.up {
			w.mu.Unlock()
			return
		}
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.memory, "gpu": 0},
			"labels": []string{w.kind, w.rack}, "clock_ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		id := w.id
		w.mu.Unlock()
		request, _ := http.NewRequest(http.MethodPut, "http://"+w.control+"/api/instances/"+id, strings.NewReader(string(body)))
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-done:
			return
		case <-time.After(heartbeatPeriod):
		}
	}
}

func (w *worker) advanceAlways(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(advancePeriod):
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// advance ends what is due. The caller holds the lock.
func (w *worker) advance() {
	if !w.up {
		return
	}
	now := time.Now()
	expired := w.clock() > w.until
	for task, r := range w.runs {
		if r.fate.members > 0 && !expired && r.stopAt.IsZero() {
			w.advanceMember(now, task, r)
			continue
		}
		switch {
		case expired:
			w.end(task, r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(task, r, "stopped")
		case r.stopAt.IsZero() && r.fate.after > 0 && now.Sub(r.began) > r.fate.after:
			w.end(task, r, r.fate.how)
		}
	}
}

// advanceMember ends a member of a gang: with the others, if one of them has ended, or if they do not
// come. The caller holds the lock.
func (w *worker) advanceMember(now time.Time, task string, r *run) {
	step := task[:strings.LastIndex(task, ".")+1]
	present := 0
	for other, o := range w.runs {
		if strings.HasPrefix(other, step) && o.number == r.number {
			present++
		}
	}
	switch {
	case present == r.fate.members && r.since.IsZero():
		r.since = now
	case present == r.fate.members && now.Sub(r.since) > r.fate.after:
		for other, o := range w.runs {
			if strings.HasPrefix(other, step) && o.number == r.number {
				w.end(other, o, "done")
			}
		}
	case present < r.fate.members && !r.since.IsZero():
		w.end(task, r, "broken")
	case r.since.IsZero() && now.Sub(r.began) > gangTimeout:
		w.end(task, r, "alone")
	}
}

func (w *worker) end(task string, r *run, how string) {
	delete(w.runs, task)
	w.barred[task] = max(w.barred[task], r.number)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, task, r.number, how, ""})
	w.seen.over(w, task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// call is the body of a call of the agent.
type call struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until_ms"`
	Fence    uint64 `json:"fence"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// accept reads a call and takes the lock. It answers calls that are for another life or have a lower
// fence, and then returns false without the lock.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (c call, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	w.mu.Lock()
	status := 0
	switch {
	case !w.up:
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	case r.Header.Get("Expected-Instance") != "" && r.Header.Get("Expected-Instance") != w.id:
		status = http.StatusMisdirectedRequest
	case c.Fence < w.fence:
		status = http.StatusConflict
	}
	if status != 0 {
		reply := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "reason": "fence"}
		w.mu.Unlock()
		answer(rw, status, reply)
		return c, false
	}
	w.fence = c.Fence
	w.advance()
	return c, true
}

func answer(rw http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(text)
}

func (w *worker) extend(until int64) {
	w.until = max(w.until, min(until, w.clock()+maxLease.Milliseconds()))
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	reply := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	known := w.runs[c.Task]
	reason := ""
	switch {
	case known != nil && known.number == c.Run:
		w.extend(c.Until)
	case c.Until <= w.clock():
		reason = "late"
	case known != nil || c.Run <= w.barred[c.Task]:
		w.extend(c.Until)
		reason = "old"
	default:
		w.extend(c.Until)
		started := &run{number: c.Run, began: time.Now(), fate: w.decide(w, c.Task, c.Spec)}
		w.runs[c.Task] = started
		w.seen.began(w, c.Task, c.Run)
	}
	if reason != "" {
		reply["reason"] = reason
		answer(rw, http.StatusConflict, reply)
		return
	}
	answer(rw, http.StatusOK, reply)
}

func (w *worker) halt(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if known := w.runs[c.Task]; known != nil && known.number <= c.Run && known.stopAt.IsZero() {
		known.stopAt = time.Now().Add(w.stop)
		w.record.note("%s stops %s run %d", w.machine, c.Task, known.number)
	}
	w.barred[c.Task] = max(w.barred[c.Task], c.Run)
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.accept(rw, r); !ok {
		return
	}
	defer w.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	c, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.extend(c.Until)
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= c.LastSeen {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && c.Wait > 0 {
		changed, done := w.changed, w.done
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-done:
			panic(http.ErrAbortHandler)
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	running := [][]any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, "", 100, 0})
	}
	answer(rw, http.StatusOK, map[string]any{
		"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": w.ended[:min(len(w.ended), maxListed)],
	})
}
