package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// RowKey is where a row stands. A change is atomic within one part; the part may be "".
type RowKey struct {
	Table, Partition, Key string
}

// Record is a row of a partitioned table. Revision comes from one counter for the whole
// store, so that the greater version is the later change.
type Record struct {
	RowKey
	Value    []byte
	Revision uint64
	Removed  bool // in a feed: the row is gone
}

// Range selects keys of one part: From <= key < To; an empty To has no end.
type Range struct {
	Table, Partition, From, To string
}

// Precondition is a condition of a change: the row is at Revision (Absent: does not exist).
type Precondition struct {
	RowKey
	Revision uint64
}

// Put gives a row a value.
type Put struct {
	RowKey
	Value []byte
}

// Txn is applied as a whole or not at all. All its places share one part.
type Txn struct {
	Preconditions []Precondition
	Puts          []Put
	Removes       []RowKey
}

// TxnResult answers a change. With Conflict, Rows are the expected rows as they stand.
type TxnResult struct {
	Outcome  Outcome
	Revision uint64
	Rows     []Record
}

// ErrCompacted marks a feed whose history is no longer kept: read the rows again.
var ErrCompacted = errors.New("history is no longer available")

// ErrRefused marks a call that the store turned away: it has done nothing.
var ErrRefused = errors.New("store refused the call")

// Feed is what changed in a table since a version.
type Feed struct {
	Rows     []Record
	Revision uint64 // to go on from
}

// Store is the client of a store with partitioned tables. Its calls are seams; each
// takes its bound from ctx.
type Store struct {
	// Read returns the rows of a range, of one moment, and the store's version then.
	Read func(ctx context.Context, of Range) ([]Record, uint64, error)
	// Follow waits until a table has changed after a version, or for as long as wait.

	Watch func(ctx context.Context, table string, after uint64, wait time.Duration) (Feed, error)
	// Apply makes a change. Its error marks ErrRefused when nothing was done; any other
	// error leaves open whether the change took effect, or will.
	Apply func(ctx context.Context, change Txn) (TxnResult, error)
}
