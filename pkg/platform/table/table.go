// Package table has clients for two kinds of table service. Client is for one table with keys and
// prefixes; it finds out the outcome of commits whose answer was lost. Store is for the store with
// partitioned tables of the users' platform (folder platform). The services do the storage and the
// checks of conditions.
//
// Input and output of a commit:
//
//	conditions: shard/0 at revision 7, chunk/j1/0 at revision 3
//	writes:     chunk/j1/0 = {"tasks":[...]}
//	outcome:    committed, every written row is now at revision 12
package table

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Absent is the revision of a row that does not exist.
const Absent uint64 = 0

// Row is one row of the table. Revision increases with every change of the row.
type Row struct {
	Key      string `json:"key"`
	Revision uint64 `json:"version"`
	Value    []byte `json:"value"`
}

// Condition holds if the row Key is at Revision; Absent requires that it doesn't exist.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"version"`
}

// Write sets the row Key to Value, or removes it.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Remove bool   `json:"remove,omitempty"`
}

//go:generate stringer -type=Outcome -linecomment

// Outcome is the outcome of a commit.
type Outcome int

// The outcomes of a commit. Unknown means that the answer was lost: the commit may have taken
// effect, or may do so later. Conflict means that a condition did not hold and nothing was written.
const (
	Unknown   Outcome = iota // unknown
	Committed                // committed
	Conflict                 // conflict
)

// Result is the result of a commit. If Outcome is Committed, Revision is the new revision of
// every written row.
type Result struct {
	Outcome  Outcome
	Revision uint64
}

// ErrUnavailable marks the error of a call that failed or got an unexpected status.
var ErrUnavailable = errors.New("table unavailable")

// Get reads one row. A missing row has Revision Absent and is not an error.
type Get func(ctx context.Context, key string) (Row, error)

// Scan reads all rows whose keys begin with prefix, in key order.
type Scan func(ctx context.Context, prefix string) ([]Row, error)

// Commit applies all writes if all conditions hold, and none otherwise.
type Commit func(ctx context.Context, conditions []Condition, writes []Write) (Result, error)

// Client reads and changes the table. It is safe for concurrent use if its three functions are.
type Client struct {
	get           Get
	scan          Scan
	commit        Commit
	retryInterval time.Duration
}

// commitRetryInterval is the wait between two attempts of CommitRetry.
const commitRetryInterval = 100 * time.Millisecond

// New returns a client that calls the given functions of the service.
func New(get Get, scan Scan, commit Commit) *Client {
	return &Client{get: get, scan: scan, commit: commit, retryInterval: commitRetryInterval}
}

// Get reads one row. A missing row has Revision Absent and is not an error.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	row, err := c.get(ctx, key)
	return row, errors.Wrapf(err, "table get %s", key)
}

// Scan reads all rows whose keys begin with prefix, in key order.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	rows, err := c.scan(ctx, prefix)
	return rows, errors.Wrapf(err, "table scan %s", prefix)
}

// Commit sends the commit once. With Outcome Unknown, the error says why there was no answer.
func (c *Client) Commit(ctx context.Context, conditions []Condition, writes []Write) (Result, error) {
	result, err := c.commit(ctx, conditions, writes)
	return result, errors.Wrap(err, "table commit")
}

// CommitRetry commits and, if the answer is lost, retries until the outcome is known.
//
// Every write must have a condition on its own row, and its value must be unique to this
// commit. This makes retries safe: if an earlier attempt took effect, the later one
// conflicts, and reading back the first written row shows whether it holds the value of this
// commit. CommitRetry returns Unknown only if ctx ends first.
func (c *Client) CommitRetry(ctx context.Context, conditions []Condition, writes []Write) (Result, error) {
	uncertain := false
	for {
		result, err := c.Commit(ctx, conditions, writes)
		switch {
		case result.Outcome == Committed:
			return result, nil
		case result.Outcome == Conflict && !uncertain:
			return result, nil
		case result.Outcome == Conflict:
			outcome, readErr := c.readBack(ctx, writes)
			if readErr == nil {
				return outcome, nil
			}
			err = readErr
		}
		uncertain = true
		if sleepErr := sleep(ctx, c.retryInterval); sleepErr != nil {
			return Result{Outcome: Unknown}, errors.CombineErrors(err, sleepErr)
		}
	}
}

// readBack finds out whether an earlier attempt took effect, by its first write. A read may
// be stale, so a row without the written value is checked by a commit without writes,
// conditional on the revision that was read.
func (c *Client) readBack(ctx context.Context, writes []Write) (Result, error) {
	row, err := c.Get(ctx, writes[0].Key)
	if err != nil {
		return Result{}, err
	}
	removed := writes[0].Remove && row.Revision == Absent
	written := !writes[0].Remove && row.Revision != Absent && bytes.Equal(row.Value, writes[0].Value)
	if written {
		return Result{Outcome: Committed, Revision: row.Revision}, nil
	}
	current, err := c.Commit(ctx, []Condition{{Key: writes[0].Key, Revision: row.Revision}}, nil)
	switch {
	case current.Outcome != Committed:
		return Result{}, errors.CombineErrors(err, errors.Newf("read of row %s was stale", writes[0].Key))
	case removed:
		return Result{Outcome: Committed, Revision: row.Revision}, nil
	}
	return Result{Outcome: Conflict}, nil
}

// sleep waits for d or until ctx ends, in which case it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
