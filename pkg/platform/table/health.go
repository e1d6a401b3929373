package table

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// freshFor is how old the last answer of a store may be while it counts as there,
	// beyond the time that its answers take.
	freshFor = 800 * time.Millisecond
	// slowFactor adds so many times the duration of a read to freshFor.
	slowFactor = 4
	// smoothing is the weight of the newest duration in the average of reads, one part in
	// so many.
	smoothing = 4
)

// Health tells how a store has answered one process lately. Something must read the
// store regularly for it to be true.
type Health struct {
	answered atomic.Int64 // Unix ns
	reads    atomic.Int64 // average duration of a read, ns
}

// WithHealth returns a store that works like the one given, and its health.
func WithHealth(store *Store) (*Store, *Health) {
	h := &Health{}
	watched := *store
	watched.Read = func(ctx context.Context, of Range) ([]Record, uint64, error) {
		began := time.Now()
		rows, version, err := store.Read(ctx, of)
		if err == nil {
			h.read(time.Since(began))
		}
		return rows, version, err
	}
	watched.Apply = func(ctx context.Context, change Txn) (TxnResult, error) {
		applied, err := store.Apply(ctx, change)
		if applied.Outcome != Unknown {
			h.answered.Store(time.Now().UnixNano())
		}
		return applied, err
	}
	return &watched, h
}

func (h *Health) read(took time.Duration) {
	h.answered.Store(time.Now().UnixNano())
	average := h.reads.Load()
	h.reads.Store(average + (int64(took)-average)/smoothing)
}

// ReadLatency is how long a read takes lately.
func (h *Health) ReadLatency() time.Duration { return time.Duration(h.reads.Load()) }

// Age is how long ago the store answered last.
func (h *Health) Age() time.Duration { return time.Since(time.Unix(0, h.answered.Load())) }

// Available tells whether the store can be expected to answer.
func (h *Health) Available() bool { return h.Age() < freshFor+slowFactor*h.ReadLatency() }
