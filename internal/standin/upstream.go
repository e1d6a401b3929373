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

// Headers with which a caller controls the stand-in upstream.
const (
	HeaderWork    = "Standin-Work"    // service time in milliseconds
	HeaderRequest = "Standin-Request" // request ID, whose runs are counted
	HeaderEcho    = "Standin-Echo"    // true: the response is the request's body
)

// interferenceFactor is the relative increase of a request's service time while batch tasks use
// all processors of the instance: it takes 1 + 1.5 times as long. When they use a share of the
// processors, the increase is that share of 1.5. Package replay uses the same value.
const interferenceFactor = 1.5

// Upstream is a stand-in instance that serves requests and runs tasks. It may be used
// concurrently.
type Upstream struct {
	name               string
	worker             *Worker
	slots              int
	inFlight           atomic.Int64
	peakInFlight       atomic.Int64
	overruns           atomic.Int64
	failing            atomic.Bool
	serviceTimePercent atomic.Int64 // service time in percent of the usual one
	mu                 sync.Mutex
	runCounts          map[string]int
}

// NewUpstream returns an instance for the given number of concurrent requests, with a worker
// of the given capacity. The number is not enforced; requests above it count as overruns.
func NewUpstream(name string, slots int, capacity placement.Resources) *Upstream {
	u := &Upstream{name: name, slots: slots, worker: NewWorker(capacity), runCounts: map[string]int{}}
	u.serviceTimePercent.Store(100)
	return u
}

// Worker returns the worker that runs the instance's tasks.
func (u *Upstream) Worker() *Worker { return u.worker }

// Fail sets whether every request fails at once with status 500.
func (u *Upstream) Fail(failing bool) { u.failing.Store(failing) }

// Slow sets the service time of requests, in percent of the usual one.
func (u *Upstream) Slow(percent int64) { u.serviceTimePercent.Store(percent) }

// Observations is what a stand-in upstream has observed. The checks in verify.go compare it with
// what callers were told.
//
// PeakInFlight is the highest number of concurrent requests, Overruns the number of requests
// that started while all slots were in use, Requests the number of runs per request ID, and
// Spans the times in which tasks ran.
type Observations struct {
	Name         string         `json:"name"`
	PeakInFlight int64          `json:"most"`
	Overruns     int64          `json:"over"`
	Requests     map[string]int `json:"requests"`
	Spans        []Span         `json:"spans"`
}

// Observations returns what this upstream has observed so far.
func (u *Upstream) Observations() Observations {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Observations{
		Name: u.name, PeakInFlight: u.peakInFlight.Load(), Overruns: u.overruns.Load(),
		Requests: maps.Clone(u.runCounts), Spans: u.worker.Spans(),
	}
}

// Handler returns the HTTP handler. It serves the task interface below /task/, the
// observations at /standin/witness and requests on every other path.
func (u *Upstream) Handler() http.Handler {
	router := httprouter.New()
	u.worker.Routes(router)
	router.GET("/standin/witness", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, u.Observations())
	})
	router.NotFound = http.HandlerFunc(u.serve)
	router.HandleMethodNotAllowed = false
	return router
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	u.recordStart(r.Header.Get(HeaderRequest))
	defer u.inFlight.Add(-1)
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
	u.simulateWork(r)
	w.Header().Set("Standin-Name", u.name)
	// A write error means that the client has disconnected.
	_, _ = io.WriteString(w, u.name+" read "+strconv.FormatInt(read, 10)+" bytes of "+r.Method+" "+r.URL.Path+"\n")
}

func (u *Upstream) recordStart(id string) {
	inFlight := u.inFlight.Add(1)
	for peakInFlight := u.peakInFlight.Load(); inFlight > peakInFlight; peakInFlight = u.peakInFlight.Load() {
		if u.peakInFlight.CompareAndSwap(peakInFlight, inFlight) {
			break
		}
	}
	if inFlight > int64(u.slots) {
		u.overruns.Add(1)
	}
	if id != "" {
		u.mu.Lock()
		u.runCounts[id]++
		u.mu.Unlock()
	}
}

// simulateWork waits for the service time that the request's header gives, increased by the
// load of batch tasks.
func (u *Upstream) simulateWork(r *http.Request) {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64)
	if err != nil || ms <= 0 {
		return
	}
	ms *= float64(u.serviceTimePercent.Load()) / 100 * (1 + interferenceFactor*u.worker.Load())
	timer := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// echo streams the request body back and adds its length as a trailer.
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
