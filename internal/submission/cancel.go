package submission

import (
	"context"

	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/owner"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// maxCancelAttempts bounds the attempts to cancel a job whose rows change meanwhile.
	maxCancelAttempts = 3
	// maxTombstoneRate bounds the tombstones that all entries together write, per second, and
	// maxTombstoneBurst those that one entry writes at once. Clients may cancel any number of IDs that
	// nobody has submitted, and the owner removes rows of jobs only between its other commits.
	maxTombstoneRate  = 10
	maxTombstoneBurst = 50
)

var (
	// errTooManyTombstones is returned for the cancellation of an unknown job over the rate.
	errTooManyTombstones = errors.New("too many unknown jobs are cancelled")
	// errJobChanged is returned if the job's rows changed during each attempt to cancel it.
	errJobChanged = errors.New("the job's rows changed during each attempt to cancel it")
)

// Cancel marks a job as cancelled, through another entry if this one cannot. The outcome is Accepted
// also if the job has ended already. NotFound means that there is no such job, and that no submission
// of it that is on its way takes effect any more. Refused and Unknown ask the caller to try again.
func (s *Service) Cancel(ctx context.Context, id string) (Outcome, error) {
	outcome, err := s.cancelLocally(ctx, id)
	if outcome != Unknown {
		return outcome, err
	}
	var reply link.ForwardReply
	if callErr := s.peers.Forward(ctx, s.ownerClient.Holder().Address, link.MethodCancel, link.JobID{ID: id}, &reply); callErr != nil {
		return Unknown, errors.CombineErrors(err, callErr)
	}
	return Outcome(reply.Outcome), err
}

// cancelLocally cancels a job without calling another entry.
func (s *Service) cancelLocally(ctx context.Context, id string) (Outcome, error) {
	for range maxCancelAttempts {
		outcome, conflict, err := s.cancelOnce(ctx, id)
		if !conflict {
			return outcome, err
		}
	}
	return Unknown, errJobChanged
}

// cancelOnce tries once to cancel a job. conflict means that it has done nothing, since the job's rows
// have changed after it read them.
func (s *Service) cancelOnce(ctx context.Context, id string) (outcome Outcome, conflict bool, err error) {
	rows, err := s.read(ctx, id)
	if err != nil {
		return Unknown, false, err
	}
	job, err := owner.ReadJob(id, rows)
	switch {
	case err != nil:
		return Unknown, false, err
	case !job.Known:
		return s.putTombstone(ctx, id, job)
	case job.State.Final():
		return Accepted, false, nil
	}
	result, err := s.apply(ctx, owner.JobCancelTxn(id, job.Revision))
	if result.Outcome != table.Committed {
		return Unknown, result.Outcome == table.Conflict, err
	}
	s.ownerClient.Notify(link.MethodCancelled, link.Cancelled{ID: id})
	return Accepted, false, nil
}

// putTombstone puts a tombstone in the place of a job that is not stored, unless there is one. A
// submission of the job may still be on its way to the table, and must not be stored any more once its
// caller has been told that there is no such job.
func (s *Service) putTombstone(ctx context.Context, id string, job owner.JobState) (outcome Outcome, conflict bool, err error) {
	if job.Tombstone {
		return NotFound, false, nil
	}
	if !s.mayWriteTombstone() {
		s.registry.Add("tombstone-refused", 1)
		return Refused, false, errTooManyTombstones
	}
	txn, err := owner.TombstoneTxn(id)
	if err != nil {
		return Refused, false, err
	}
	s.registry.Add("tombstone", 1)
	result, err := s.apply(ctx, txn)
	if result.Outcome != table.Committed {
		return Unknown, result.Outcome == table.Conflict, err
	}
	return NotFound, false, nil
}

// mayWriteTombstone reports whether this entry's share of maxTombstoneRate has room for one more.
func (s *Service) mayWriteTombstone() bool {
	s.tombstones.SetLimit(rate.Limit(maxTombstoneRate / float64(1+s.peers.Count())))
	return s.tombstones.Allow()
}

// apply sends a transaction to the table, with the timeout of a write.
func (s *Service) apply(ctx context.Context, txn table.Txn) (table.TxnResult, error) {
	callCtx, cancel := s.withCallTimeout(ctx, minWriteTimeout)
	defer cancel()
	return s.store.Apply(callCtx, txn)
}
