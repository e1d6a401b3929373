// Package queue takes jobs into the table, tells their state and cancels them, for the
// callers of one entry.
package queue

import (
	"context"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/owner"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

const (
	// writeBound is how long a write of the table may take until its outcome counts as
	// unknown.
	writeBound = 1500 * time.Millisecond
	// readBound is the same for a read.
	readBound = 1200 * time.Millisecond
	// ownerTries is how often an acceptance is tried when the owner has just changed.
	ownerTries = 4
	// finalMost is how many last states are kept in memory.
	finalMost = 4096
)

//go:generate stringer -type=Verdict -linecomment

// Verdict is what became of a call.
type Verdict int

// The verdicts.
const (
	Unknown  Verdict = iota // unknown
	Accepted                // accepted
	Refused                 // refused
	Absent                  // absent
)

// Desk serves the callers of one entry.
type Desk struct {
	store *table.Store
	line  *owner.Line
	set   *metrics.Set

	mu    sync.Mutex
	final map[string]dispatch.State // last states never change
}

// New makes a desk.
func New(store *table.Store, line *owner.Line, set *metrics.Set) *Desk {
	return &Desk{store: store, line: line, set: set, final: map[string]dispatch.State{}}
}

// Accept takes a job into the table. Refused means that it is not there and never will
// be by this call; Unknown that it may be.
func (d *Desk) Accept(ctx context.Context, job dispatch.Job) (Verdict, error) {
	began := time.Now()
	defer func() { d.set.Time("accept", time.Since(began)) }()
	job.Under = d.line.Holder().Under
	for range ownerTries {
		verdict, under, err := d.accept(ctx, job)
		if verdict != Absent {
			return verdict, err
		}
		job.Under = under // the owner has changed since it was last seen
	}
	return Refused, errors.New("the owner keeps changing")
}

// accept tries once. Absent says that the job is not there since the owner's row is at
// another version, which is returned.
func (d *Desk) accept(ctx context.Context, job dispatch.Job) (Verdict, uint64, error) {
	change, err := owner.AcceptChange(job)
	if err != nil {
		return Refused, 0, err
	}
	bounded, cancel := context.WithTimeout(ctx, writeBound)
	defer cancel()
	applied, err := d.store.Apply(bounded, change)
	switch applied.Outcome {
	case table.Committed:
		d.line.Tell(link.MethodAccepted, link.Accepted{Job: job})
		return Accepted, 0, nil
	case table.Conflict:
		known, under := owner.AcceptConflict(job, applied.Rows)
		if known != nil {
			d.line.Tell(link.MethodAccepted, link.Accepted{Job: *known})
			return Accepted, 0, nil
		}
		return Absent, under, nil
	}
	if errors.Is(err, table.ErrRefused) {
		return Refused, 0, err
	}
	return Unknown, 0, err
}

// State reads the state of a job; Absent when there is none.
func (d *Desk) State(ctx context.Context, id string) (dispatch.State, Verdict, error) {
	if state, ok := d.known(id); ok {
		return state, Accepted, nil
	}
	rows, err := d.read(ctx, id)
	if err != nil {
		return 0, Unknown, err
	}
	job, err := owner.ReadJob(id, rows)
	if err != nil || !job.Known {
		return 0, Absent, err
	}
	if job.State.Final() {
		d.remember(id, job.State)
	}
	return job.State, Accepted, nil
}

func (d *Desk) read(ctx context.Context, id string) ([]table.Cell, error) {
	bounded, cancel := context.WithTimeout(ctx, readBound)
	defer cancel()
	began := time.Now()
	defer func() { d.set.Time("read-job", time.Since(began)) }()
	rows, _, err := d.store.Read(bounded, owner.JobRange(id))
	return rows, err
}

func (d *Desk) known(id string) (dispatch.State, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, ok := d.final[id]
	return state, ok
}

func (d *Desk) remember(id string, state dispatch.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.final) >= finalMost {
		clear(d.final)
	}
	d.final[id] = state
}

// Cancel marks a job as cancelled. Accepted also when it had ended before; Absent when
// there is none.
func (d *Desk) Cancel(ctx context.Context, id string) (Verdict, error) {
	rows, err := d.read(ctx, id)
	if err != nil {
		return Unknown, err
	}
	job, err := owner.ReadJob(id, rows)
	switch {
	case err != nil:
		return Unknown, err
	case !job.Known:
		return Absent, nil
	case job.State.Final():
		return Accepted, nil
	}
	bounded, cancel := context.WithTimeout(ctx, writeBound)
	defer cancel()
	applied, err := d.store.Apply(bounded, owner.CancelChange(id))
	if applied.Outcome != table.Committed {
		return Unknown, err
	}
	d.line.Tell(link.MethodCancelled, link.Cancelled{ID: id})
	return Accepted, nil
}

// Waiting counts the accepted jobs of a queue of which no task has started: as the
// owner knows it, or, without one, at most as many as the table shows.
func (d *Desk) Waiting(ctx context.Context, queue string) (int, error) {
	var waiting link.Waiting
	askErr := d.line.Ask(ctx, link.MethodWaiting, struct{}{}, &waiting)
	if askErr == nil {
		return waiting.Counts[queue], nil
	}
	bounded, cancel := context.WithTimeout(ctx, readBound)
	defer cancel()
	rows, _, err := d.store.Read(bounded, owner.AllJobs())
	if err != nil {
		return 0, errors.CombineErrors(err, askErr)
	}
	return owner.CountWaiting(queue, rows), nil
}
