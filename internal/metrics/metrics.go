// Package metrics provides the counters, gauges and latency histograms of one node and
// serves them as JSON in the format of expvar. The packages that use it choose the names.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicros and maxMicros are the range of recorded durations, in microseconds.
	minMicros = 1
	maxMicros = int64(time.Hour / time.Microsecond)
	// sigDigits is the precision of the histograms, in significant decimal digits.
	sigDigits = 2
)

// Registry is the metrics registry of one node. It is safe for concurrent use. It is not
// published in expvar's global registry, where the names of several nodes in one process
// would collide.
type Registry struct {
	vars       expvar.Map
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{histograms: map[string]*hdrhistogram.Histogram{}}
	r.vars.Init()
	r.vars.Set("latency", expvar.Func(r.quantiles))
	return r
}

// Add adds n to the named counter and creates the counter if needed.
func (r *Registry) Add(counter string, n int64) { r.vars.Add(counter, n) }

// Gauge registers a gauge whose value is what read returns. The function read must be safe
// for concurrent use.
func (r *Registry) Gauge(name string, read func() any) { r.vars.Set(name, expvar.Func(read)) }

// Observe records a duration in the histogram of the named stage, a step in the handling
// of a request.
func (r *Registry) Observe(stage string, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	histogram, ok := r.histograms[stage]
	if !ok {
		histogram = NewHistogram()
		r.histograms[stage] = histogram
	}
	Record(histogram, duration)
}

// NewHistogram returns an empty histogram of durations in microseconds.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minMicros, maxMicros, sigDigits) }

// Record adds a duration to a histogram, clamped to the range of the histogram.
func Record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	// RecordValue accepts every value in the range.
	_ = histogram.RecordValue(min(max(duration.Microseconds(), minMicros), maxMicros))
}

// Quantiles are the number of recorded durations of one stage and their quantiles, in
// microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

func (r *Registry) quantiles() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	stages := make(map[string]Quantiles, len(r.histograms))
	for stage, histogram := range r.histograms {
		stages[stage] = Quantiles{
			Count: histogram.TotalCount(),
			P50:   histogram.ValueAtQuantile(50),
			P99:   histogram.ValueAtQuantile(99),
			P999:  histogram.ValueAtQuantile(99.9),
			Max:   histogram.Max(),
		}
	}
	return stages
}

// ServeHTTP writes all metrics as JSON, in the format of expvar.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// An error means that the client has disconnected.
	_, _ = fmt.Fprintln(w, r.vars.String())
}
