package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// RowKey identifies a row. A Txn is atomic within one partition; Partition may be empty.
type RowKey struct {
	Table, Partition, Key string
}

// Record is a row of a partitioned table. Revision comes from one counter for the whole
// store, so of two changes the one with the greater revision is the later.
type Record struct {
	RowKey
	Value    []byte
	Revision uint64
	Removed  bool // in a WatchResult: the row was removed
}

// Range selects keys of one partition: From <= key < To. An empty To means no upper bound.
type Range struct {
	Table, Partition, From, To string
}

// Precondition holds if the row is at Revision; Absent requires that it doesn't exist.
type Precondition struct {
	RowKey
	Revision uint64
}

// Put sets the value of a row.
type Put struct {
	RowKey
	Value []byte
}

// Txn is a transaction: it is applied as a whole or not at all. All its rows are in one
// partition.
type Txn struct {
	Preconditions []Precondition
	Puts          []Put
	Removes       []RowKey
}

// TxnResult is the result of a Txn. With Conflict, Rows holds the current rows of the
// preconditions.
type TxnResult struct {
	Outcome  Outcome
	Revision uint64
	Rows     []Record
}

// ErrCompacted marks the error of a Watch whose history the store has discarded. The caller
// reads the rows again.
var ErrCompacted = errors.New("history has been compacted")

// ErrRefused marks the error of a call that the store rejected without any effect.
var ErrRefused = errors.New("store rejected the call")

// WatchResult holds the changes of a table since a revision.
type WatchResult struct {
	Rows     []Record
	Revision uint64 // to pass as after to the next Watch
}

// Store is the client of a store with partitioned tables. Its calls are fields, so that they
// can be replaced or wrapped. Each call is bounded by its ctx.
type Store struct {
	// Read returns a consistent snapshot of the rows in a range, and the store's revision of
	// that snapshot.
	Read func(ctx context.Context, keys Range) ([]Record, uint64, error)
	// Watch returns the changes of a table after a revision. If there are none it waits for
	// the next one, at most for the duration wait.
	Watch func(ctx context.Context, table string, after uint64, wait time.Duration) (WatchResult, error)
	// Apply applies a transaction. An error that is marked with ErrRefused means that it had no
	// effect. After any other error it may have taken effect, or may do so later.
	Apply func(ctx context.Context, txn Txn) (TxnResult, error)
}
