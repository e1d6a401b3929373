// Package submission takes jobs into the table, tells their state and cancels them, for the
// callers of one entry.
package submission

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
	// writeLeast and readLeast are how long a call of the table may take until its outcome
	// counts as unknown, beyond slowTimes what reads take lately, and writeBound at most.
	writeLeast = 500 * time.Millisecond
	readLeast  = 300 * time.Millisecond
	slowTimes  = 6
	writeBound = 1800 * time.Millisecond
	// slowTable is the duration of a read from which on the table counts as slow: jobs go
	// into commits of the owner then, many at a time.
	slowTable = 40 * time.Millisecond
	// submitBound is how long a job may wait for such a commit.
	submitBound = 2600 * time.Millisecond
	// ownerTries is how often an acceptance is tried when the owner has just changed.
	ownerTries = 4
	// finalMost is how many last states are kept in memory.
	finalMost = 4096
)

//go:generate stringer -type=Outcome -linecomment

// Outcome is what became of a call.
type Outcome int

// The verdicts.
const (
	Unknown  Outcome = iota // unknown
	Accepted                // accepted
	Refused                 // refused
	NotFound                // absent
)

// Service serves the callers of one entry.
type Service struct {
	store  *table.Store
	health *table.Health
	line   *owner.Client
	peers  *Peers
	set    *metrics.Registry

	mu    sync.Mutex
	final map[string]dispatch.State // last states never change
}

// New makes a desk.
func New(store *table.Store, health *table.Health, line *owner.Client, peers *Peers, set *metrics.Registry) *Service {
	return &Service{store: store, health: health, line: line, peers: peers, set: set, final: map[string]dispatch.State{}}
}

// errAway says that the table has not answered this entry lately, so it was not called.
var errAway = errors.Mark(errors.New("the table does not answer"), table.ErrRefused)

// bounded bounds a call of the table by how slow the table is.
func (d *Service) bounded(ctx context.Context, least time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, min(least+slowTimes*d.health.ReadLatency(), writeBound))
}

// Submit takes a job into the table, by another entry if the table turns this one away.
// Refused means that it is not there and never will be by this call; Unknown that it
// may be.
func (d *Service) Submit(ctx context.Context, job dispatch.Job) (Outcome, error) {
	began := time.Now()
	defer func() { d.set.Observe("accept", time.Since(began)) }()
	verdict, err := Refused, errAway
	if d.health.ReadLatency() < slowTable || d.line.Owns() {
		verdict, err = d.acceptHere(ctx, job)
	}
	if verdict == Accepted {
		return verdict, err
	}
	// The same job twice is one job, so it may be handed on also when this entry's own
	// write is in doubt.
	var done link.ForwardReply
	askErr := d.peers.Ask(ctx, d.line.Holder().Address, link.MethodSubmit, link.Accepted{Job: job}, &done)
	switch {
	case errors.Is(askErr, errNoPeer):
		return verdict, err
	case askErr != nil:
		return Unknown, errors.CombineErrors(err, askErr)
	case Outcome(done.Outcome) == Accepted:
		return Accepted, nil
	case Outcome(done.Outcome) == Refused:
		return verdict, err
	}
	return Unknown, err
}

// acceptHere takes a job into the table by this entry's own calls.
func (d *Service) acceptHere(ctx context.Context, job dispatch.Job) (Outcome, error) {
	if !d.health.Available() {
		return Refused, errAway
	}
	if d.line.Owns() && d.health.ReadLatency() >= slowTable {
		return d.submit(ctx, job)
	}
	job.OwnerVersion = d.line.Holder().OwnerVersion
	for range ownerTries {
		verdict, under, err := d.accept(ctx, job)
		if verdict != NotFound {
			return verdict, err
		}
		job.OwnerVersion = under // the owner has changed since it was last seen
	}
	return Refused, errors.New("the owner keeps changing")
}

// submit has the owner, which is this process, take a job in with its next commit.
func (d *Service) submit(ctx context.Context, job dispatch.Job) (Outcome, error) {
	bounded, cancel := context.WithTimeout(ctx, submitBound)
	defer cancel()
	err := d.line.Submit(bounded, job)
	switch {
	case err == nil:
		return Accepted, nil
	case errors.Is(err, table.ErrRefused):
		return Refused, err
	}
	return Unknown, err
}

// accept tries once. Absent says that the job is not there since the owner's row is at
// another version, which is returned.
func (d *Service) accept(ctx context.Context, job dispatch.Job) (Outcome, uint64, error) {
	change, err := owner.JobInsert(job)
	if err != nil {
		return Refused, 0, err
	}
	bounded, cancel := d.bounded(ctx, writeLeast)
	defer cancel()
	applied, err := d.store.Apply(bounded, change)
	switch applied.Outcome {
	case table.Committed:
		d.line.Notify(link.MethodAccepted, link.Accepted{Job: job})
		return Accepted, 0, nil
	case table.Conflict:
		known, under := owner.ReadInsertConflict(job, applied.Rows)
		if known != nil {
			d.line.Notify(link.MethodAccepted, link.Accepted{Job: *known})
			return Accepted, 0, nil
		}
		return NotFound, under, nil
	}
	if errors.Is(err, table.ErrRefused) {
		return Refused, 0, err
	}
	return Unknown, 0, err
}

// State tells the state of a job; Absent when there is none. While the table turns this
// entry away another reads it, or the owner says what it has in memory.
func (d *Service) State(ctx context.Context, id string) (dispatch.State, Outcome, error) {
	if state, ok := d.known(id); ok {
		return state, Accepted, nil
	}
	state, verdict, err := d.stateHere(ctx, id)
	if err == nil {
		return state, verdict, nil
	}
	var known link.Known
	if askErr := d.line.Ask(ctx, link.MethodKnown, link.JobID{ID: id}, &known); askErr == nil && known.Known {
		if known.State.Final() {
			d.remember(id, known.State)
		}
		return known.State, Accepted, nil
	}
	var done link.ForwardReply
	if askErr := d.peers.Ask(ctx, d.line.Holder().Address, link.MethodState, link.JobID{ID: id}, &done); askErr == nil && Outcome(done.Outcome) != Unknown {
		return done.State, Outcome(done.Outcome), nil
	}
	return 0, Unknown, err
}

func (d *Service) stateHere(ctx context.Context, id string) (dispatch.State, Outcome, error) {
	rows, err := d.read(ctx, id)
	if err != nil {
		return 0, Unknown, err
	}
	job, err := owner.ReadJob(id, rows)
	if err != nil || !job.Known {
		return 0, NotFound, err
	}
	if job.State.Final() {
		d.remember(id, job.State)
	}
	return job.State, Accepted, nil
}

func (d *Service) read(ctx context.Context, id string) ([]table.Record, error) {
	if !d.health.Available() {
		return nil, errAway
	}
	bounded, cancel := d.bounded(ctx, readLeast)
	defer cancel()
	began := time.Now()
	defer func() { d.set.Observe("read-job", time.Since(began)) }()
	rows, _, err := d.store.Read(bounded, owner.JobRange(id))
	return rows, err
}

func (d *Service) known(id string) (dispatch.State, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, ok := d.final[id]
	return state, ok
}

func (d *Service) remember(id string, state dispatch.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.final) >= finalMost {
		clear(d.final)
	}
	d.final[id] = state
}

// Cancel marks a job as cancelled. Accepted also when it had ended before; Absent when
// there is none.
func (d *Service) Cancel(ctx context.Context, id string) (Outcome, error) {
	verdict, err := d.cancelHere(ctx, id)
	if verdict != Unknown {
		return verdict, err
	}
	var done link.ForwardReply
	if askErr := d.peers.Ask(ctx, d.line.Holder().Address, link.MethodCancel, link.JobID{ID: id}, &done); askErr != nil {
		return Unknown, errors.CombineErrors(err, askErr)
	}
	return Outcome(done.Outcome), err
}

func (d *Service) cancelHere(ctx context.Context, id string) (Outcome, error) {
	rows, err := d.read(ctx, id)
	if err != nil {
		return Unknown, err
	}
	job, err := owner.ReadJob(id, rows)
	switch {
	case err != nil:
		return Unknown, err
	case !job.Known:
		return NotFound, nil
	case job.State.Final():
		return Accepted, nil
	}
	bounded, cancel := d.bounded(ctx, writeLeast)
	defer cancel()
	applied, err := d.store.Apply(bounded, owner.JobCancel(id))
	if applied.Outcome != table.Committed {
		return Unknown, err
	}
	d.line.Notify(link.MethodCancelled, link.Cancelled{ID: id})
	return Accepted, nil
}

// Backlog counts the accepted jobs of a queue of which no task has started: as the
// owner knows it, or, without one, at most as many as the table shows.
func (d *Service) Backlog(ctx context.Context, queue string) (int, error) {
	var waiting link.Backlog
	askErr := d.line.Ask(ctx, link.MethodBacklog, struct{}{}, &waiting)
	if askErr == nil {
		return waiting.Counts[queue], nil
	}
	bounded, cancel := d.bounded(ctx, readLeast)
	defer cancel()
	rows, _, err := d.store.Read(bounded, owner.AllJobs())
	if err != nil {
		return 0, errors.CombineErrors(err, askErr)
	}
	return owner.CountBacklog(queue, rows), nil
}
