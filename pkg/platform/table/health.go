package table

import (
	"context"
	"math"
	"sync/atomic"
	"time"
)

const (
	// baseMaxAge is the age of the last successful answer up to which a store counts as
	// available, before the allowance for slow reads is added.
	baseMaxAge = 800 * time.Millisecond
	// latencyFactor is the allowance for slow reads: this many times the average latency of
	// a read is added to baseMaxAge.
	latencyFactor = 4
	// smoothingDivisor sets the weight of the newest read in the moving average of read
	// latencies: one part in smoothingDivisor, that is 1/4.
	smoothingDivisor = 4
)

// Health tracks how a store has recently answered one process. It is current only if the
// process reads the store regularly. It is safe for concurrent use.
type Health struct {
	lastAnswer  atomic.Pointer[time.Time] // time of the last successful answer, nil before it
	readLatency atomic.Int64              // moving average of the latency of reads, ns
}

// WithHealth wraps a store: it returns a store that makes the same calls and records the answers to
// Read and Apply, and the Health that they are recorded in. Watch is not recorded.
func WithHealth(store *Store) (*Store, *Health) {
	h := &Health{}
	monitored := *store
	monitored.Read = func(ctx context.Context, keys Range) ([]Record, uint64, error) {
		start := time.Now()
		rows, revision, err := store.Read(ctx, keys)
		if err == nil {
			h.observeRead(time.Since(start))
		}
		return rows, revision, err
	}
	monitored.Apply = func(ctx context.Context, txn Txn) (TxnResult, error) {
		result, err := store.Apply(ctx, txn)
		if result.Outcome != Unknown {
			h.noteAnswer()
		}
		return result, err
	}
	return &monitored, h
}

// noteAnswer records a successful answer. The time has a monotonic reading, so that a jump of the
// time of day changes no age.
func (h *Health) noteAnswer() {
	now := time.Now()
	h.lastAnswer.Store(&now)
}

// observeRead records a successful read and its latency.
func (h *Health) observeRead(latency time.Duration) {
	h.noteAnswer()
	average := h.readLatency.Load()
	h.readLatency.Store(average + (int64(latency)-average)/smoothingDivisor)
}

// ReadLatency returns the moving average of the latency of reads.
func (h *Health) ReadLatency() time.Duration { return time.Duration(h.readLatency.Load()) }

// Age returns the time since the store's last successful answer. Before the first one it is the
// longest duration.
func (h *Health) Age() time.Duration {
	last := h.lastAnswer.Load()
	if last == nil {
		return math.MaxInt64
	}
	return time.Since(*last)
}

// Available reports whether the store has answered recently enough to be considered reachable.
func (h *Health) Available() bool { return h.Age() < baseMaxAge+latencyFactor*h.ReadLatency() }
