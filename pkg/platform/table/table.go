// Package table is the client of the platform's transactional table service.
//
// Data going in and out of a commit:
//
//	conditions: shard/0 at version 7, chunk/j1/0 at version 3
//	writes:     chunk/j1/0 = {"tasks":[...]}
//	outcome:    committed, every written row is now at version 12
package table

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Absent is the version of a row that does not exist.
const Absent uint64 = 0

// Row is one row of the table. Revision grows with every change of the row.
type Row struct {
	Key      string `json:"key"`
	Revision uint64 `json:"version"`
	Value    []byte `json:"value"`
}

// Condition holds when the row Key is at Revision (Absent: does not exist).
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

// Outcome is how a commit ended.
type Outcome int

// The outcomes of a commit.
const (
	Unknown   Outcome = iota // unknown
	Committed                // committed
	Conflict                 // conflict
)

// Result of a commit. Revision is the revision of every written row when
// Outcome is Committed.
type Result struct {
	Outcome  Outcome
	Revision uint64
}

// ErrUnavailable marks errors of a platform that did not answer.
var ErrUnavailable = errors.New("table unavailable")

// Get reads one row; a missing row has Revision Absent and no error.
type Get func(ctx context.Context, key string) (Row, error)

// Scan reads all rows whose key begins with prefix, in key order.
type Scan func(ctx context.Context, prefix string) ([]Row, error)

// Commit applies all writes if all conditions hold, else none.
type Commit func(ctx context.Context, conditions []Condition, writes []Write) (Result, error)

// Client reads and changes the table.
type Client struct {
	get    Get
	scan   Scan
	commit Commit
	pause  time.Duration
}

// settlePause is the wait between two tries to settle a commit.
const settlePause = 100 * time.Millisecond

// New makes a client from the three calls of the service.
func New(get Get, scan Scan, commit Commit) *Client {
	return &Client{get: get, scan: scan, commit: commit, pause: settlePause}
}

// Get reads one row; a missing row has Revision Absent.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	row, err := c.get(ctx, key)
	return row, errors.Wrapf(err, "table get %s", key)
}

// Scan reads all rows below prefix in key order.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	rows, err := c.scan(ctx, prefix)
	return rows, errors.Wrapf(err, "table scan %s", prefix)
}

// Commit tries once. Outcome Unknown comes with the error that hid the answer.
func (c *Client) Commit(ctx context.Context, conditions []Condition, writes []Write) (Result, error) {
	result, err := c.commit(ctx, conditions, writes)
	return result, errors.Wrap(err, "table commit")
}

// CommitRetry commits and, when the answer is lost, finds out what took effect.
//
// Every write must be guarded by a condition on its own row, and its value must
// be unique to this commit. The same commit may then be sent again without harm:
// if an earlier copy took effect the later one conflicts, and reading the first
// written row back shows whose value it holds. CommitRetry returns Unknown only when
// ctx ends first.
func (c *Client) CommitRetry(ctx context.Context, conditions []Condition, writes []Write) (Result, error) {
	doubted := false
	for {
		result, err := c.Commit(ctx, conditions, writes)
		switch {
		case result.Outcome == Committed:
			return result, nil
		case result.Outcome == Conflict && !doubted:
			return result, nil
		case result.Outcome == Conflict:
			settled, readErr := c.readBack(ctx, writes)
			if readErr == nil {
				return settled, nil
			}
			err = readErr
		}
		doubted = true
		if waitErr := wait(ctx, c.pause); waitErr != nil {
			return Result{Outcome: Unknown}, errors.CombineErrors(err, waitErr)
		}
	}
}

// readBack tells whether the first write of an earlier copy took effect. A read may
// be old; that it is not is checked by a commit without writes, conditional on the
// version that was read.
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
		return Result{}, errors.CombineErrors(err, errors.Newf("the row %s that was read is old", writes[0].Key))
	case removed:
		return Result{Outcome: Committed, Revision: row.Revision}, nil
	}
	return Result{Outcome: Conflict}, nil
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
