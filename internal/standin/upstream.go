package standin

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/julienschmidt/httprouter"
)

// Headers that a caller may send to the stand-in.
const (
	HeaderWork    = "Standin-Work"    // milliseconds of service
	HeaderRequest = "Standin-Request" // an id; how often it was run is counted
	HeaderEcho    = "Standin-Echo"    // true: the answer is the request's body
)

// disturbance is how much longer a request takes when batch tasks use all
// processors of the instance: that share more.
const disturbance = 1.5

// Upstream is an instance that serves requests and runs tasks.
type Upstream struct {
	name    string
	worker  *Worker
	slots   int
	busy    atomic.Int64
	most    atomic.Int64
	over    atomic.Int64
	failing atomic.Bool
	slow    atomic.Int64 // percent of the usual time
	mu      sync.Mutex
	runs    map[string]int
}

// NewUpstream makes an instance with slots and a worker of capacity.
func NewUpstream(name string, slots int, capacity placement.Resources) *Upstream {
	u := &Upstream{name: name, slots: slots, worker: NewWorker(capacity), runs: map[string]int{}}
	u.slow.Store(100)
	return u
}

// Worker is the instance's task side.
func (u *Upstream) Worker() *Worker { return u.worker }

// Fail makes every request fail fast, or no longer.
func (u *Upstream) Fail(failing bool) { u.failing.Store(failing) }

// Slow makes requests take percent of their usual time.
func (u *Upstream) Slow(percent int64) { u.slow.Store(percent) }

// Observations is what the stand-in saw, for checks from outside.
//
// PeakInFlight is the highest number of requests that ran at a time, Overruns how often that
// was above the slots, Requests how often each request id was run.
type Observations struct {
	Name         string         `json:"name"`
	PeakInFlight int64          `json:"most"`
	Overruns     int64          `json:"over"`
	Requests     map[string]int `json:"requests"`
	Spans        []Span         `json:"spans"`
}

// Observations is what this upstream saw so far.
func (u *Upstream) Observations() Observations {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Observations{
		Name: u.name, PeakInFlight: u.most.Load(), Overruns: u.over.Load(),
		Requests: maps.Clone(u.runs), Spans: u.worker.Spans(),
	}
}

// Handler serves requests on every path, the task interface below /task/, and what
// it saw at /standin/witness.
func (u *Upstream) Handler() http.Handler {
	router := httprouter.New()
	u.worker.Routes(router)
	router.GET("/standin/witness", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		reply(w, u.Observations())
	})
	router.NotFound = http.HandlerFunc(u.serve)
	router.HandleMethodNotAllowed = false
	return router
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.enter(r.Header.Get(HeaderRequest))
	defer u.busy.Add(-1)
	if u.failing.Load() {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if r.Header.Get(HeaderEcho) == "true" {
		u.echo(w, r)
		return
	}
	read, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.work(r)
	w.Header().Set("Standin-Name", u.name)
	// A reader that is gone cannot be told more.
	_, _ = io.WriteString(w, u.name+" read "+strconv.FormatInt(read, 10)+" bytes of "+r.Method+" "+r.URL.Path+"\n")
}

func (u *Upstream) enter(id string) {
	now := u.busy.Add(1)
	for most := u.most.Load(); now > most; most = u.most.Load() {
		if u.most.CompareAndSwap(most, now) {
			break
		}
	}
	if now > int64(u.slots) {
		u.over.Add(1)
	}
	if id != "" {
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
	}
}

// work takes the time the caller names, longer beside busy batch tasks.
func (u *Upstream) work(r *http.Request) {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64)
	if err != nil || ms <= 0 {
		return
	}
	ms *= float64(u.slow.Load()) / 100 * (1 + disturbance*u.worker.Load())
	timer := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// echo streams the body back with a trailer.
func (u *Upstream) echo(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	if err := controller.EnableFullDuplex(); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Trailer", "Standin-Length")
	buffer := make([]byte, 16<<10)
	total := 0
	for {
		n, err := r.Body.Read(buffer)
		total += n
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			break
		}
		if controller.Flush() != nil {
			return
		}
	}
	w.Header().Set("Standin-Length", strconv.Itoa(total))
}
