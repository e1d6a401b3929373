// Package metrics counts and times the stages of one node and serves them in the
// format of expvar.
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
	// lowest and highest are the range of recorded times, in microseconds.
	lowest  = 1
	highest = int64(time.Hour / time.Microsecond)
	// digits is the number of significant digits kept.
	digits = 2
)

// Registry is the metrics of one node. It is unpublished: expvar's global names would
// clash when many nodes share a process.
type Registry struct {
	vars  expvar.Map
	mu    sync.Mutex
	times map[string]*hdrhistogram.Histogram
}

// New makes an empty set.
func New() *Registry {
	s := &Registry{times: map[string]*hdrhistogram.Histogram{}}
	s.vars.Init()
	s.vars.Set("latency", expvar.Func(s.quantiles))
	return s
}

// Add adds n to the counter named.
func (s *Registry) Add(counter string, n int64) { s.vars.Add(counter, n) }

// Gauge publishes the value that read returns; read must be safe on any goroutine.
func (s *Registry) Gauge(name string, read func() any) { s.vars.Set(name, expvar.Func(read)) }

// Observe records how long a stage took.
func (s *Registry) Observe(stage string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	histogram, ok := s.times[stage]
	if !ok {
		histogram = NewHistogram()
		s.times[stage] = histogram
	}
	Record(histogram, took)
}

// NewHistogram makes a histogram of times in microseconds.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

// Record adds a time to a histogram, cut to its range.
func Record(histogram *hdrhistogram.Histogram, took time.Duration) {
	// A value cut to the range is always accepted.
	_ = histogram.RecordValue(min(max(took.Microseconds(), lowest), highest))
}

// Quantiles are the latency quantiles of one stage, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

func (s *Registry) quantiles() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	stages := make(map[string]Quantiles, len(s.times))
	for stage, histogram := range s.times {
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

// ServeHTTP writes the set as expvar writes its own.
func (s *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// A reader that is gone cannot be told more.
	_, _ = fmt.Fprintln(w, s.vars.String())
}
