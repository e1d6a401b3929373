package submission

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/owner"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

const (
	// maxSubmitTime bounds a submission whose caller sets no deadline.
	maxSubmitTime = 4500 * time.Millisecond
	// submitTimeout bounds the time that a job waits for a commit of the owner.
	submitTimeout = 2600 * time.Millisecond
	// maxInsertAttempts bounds the attempts to insert a job while the owner changes.
	maxInsertAttempts = 4
	// replyTime is kept of the time of a forwarded submission for the way of its reply.
	replyTime = 50 * time.Millisecond
	// minFollowUpDelay and followUpDelayRange are the time between two looks for a job whose
	// outcome is unknown: at least the first, and less than both together, at random, so that what
	// an outage held up does not return at one moment.
	minFollowUpDelay   = 100 * time.Millisecond
	followUpDelayRange = 100 * time.Millisecond
)

// errTooLate is returned if nothing was sent, since no answer could come before the caller's deadline.
var errTooLate = errors.New("too late for an answer before the deadline")

// errLeftToOwner is returned if the table was not called, because it is slow.
var errLeftToOwner = errors.Mark(errors.New("the table is slow: left to the owner"), table.ErrRefused)

// errCancelledBefore is returned for a job that was cancelled before it was stored. It is not stored, and
// no write of it that is on its way to the table will be.
var errCancelledBefore = errors.New("the job was cancelled before it was stored")

// timeLeft returns the time until the deadline of ctx, which must have one.
func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// tooLate reports whether ctx has ended, or the table, at its recent latency, can't answer before its
// deadline.
func (s *Service) tooLate(ctx context.Context) bool {
	return ctx.Err() != nil || timeLeft(ctx) <= s.health.ReadLatency()
}

// Submit stores a job in the table. Accepted means that the job is stored, Refused that it is not
// and will not be by this call, and Unknown that it may be.
//
// A submission whose outcome is unknown is followed up until ctx ends: a caller that is told so may
// not be able to submit the job again.
func (s *Service) Submit(ctx context.Context, job dispatch.Job) (Outcome, error) {
	start := time.Now()
	defer func() { s.registry.Observe("accept", time.Since(start)) }()
	ctx, cancel := context.WithTimeout(ctx, maxSubmitTime)
	defer cancel()
	if s.tooLate(ctx) {
		return Refused, errTooLate
	}
	outcome, err := s.submitOnce(ctx, job)
	if outcome != Unknown {
		return outcome, err
	}
	switch s.followUp(ctx, job) {
	case Accepted:
		return Accepted, nil
	case Refused:
		return Refused, errCancelledBefore
	}
	return outcome, err
}

// followUp finds out what became of a submission with an unknown outcome: Accepted if the job is
// stored, Refused if it was cancelled before that, Unknown if ctx ends before either is known. It reads
// the job's row until it is there. Once the table answers and the row is not there, it submits the job
// again, which does no harm, since a job is stored once per ID. It does so once only: more writes would
// keep a table slow that is slow already.
func (s *Service) followUp(ctx context.Context, job dispatch.Job) Outcome {
	for again := true; ; {
		loop.Sleep(ctx, minFollowUpDelay+rand.N(followUpDelayRange))
		if s.tooLate(ctx) {
			return Unknown
		}
		rows, err := s.read(ctx, job.ID)
		if err != nil {
			continue // the table still does not answer
		}
		conflict := owner.ReadInsertConflict(job, rows)
		switch {
		case conflict.Stored != nil:
			s.ownerClient.Notify(link.MethodAccepted, link.Accepted{Job: *conflict.Stored})
			return Accepted
		case conflict.Tombstone:
			return Refused
		case again:
			again = false
			s.registry.Add("accept-repeated", 1)
			// Any other outcome tells nothing of the first submission.
			if outcome, _ := s.submitOnce(ctx, job); outcome == Accepted {
				return Accepted
			}
		}
	}
}

// submitOnce tries to store a job. While the table is slow it leaves that to the owner, whose
// commits store many jobs each. If this entry's write is refused or its outcome is unknown,
// another entry tries, the owner first.
func (s *Service) submitOnce(ctx context.Context, job dispatch.Job) (Outcome, error) {
	outcome, err := Refused, errLeftToOwner
	if s.health.ReadLatency() < slowReadLatency || s.ownerClient.Owns() {
		outcome, err = s.submitLocally(ctx, job)
	}
	if outcome == Accepted || errors.Is(err, errCancelledBefore) {
		return outcome, err
	}
	wait := min(timeLeft(ctx), forwardTimeout) - replyTime
	if wait < time.Millisecond {
		return outcome, err
	}
	// A job is stored once per ID, so it may be forwarded even if the outcome of this
	// entry's own write is unknown.
	var reply link.ForwardReply
	callErr := s.peers.Forward(ctx, s.ownerClient.Holder().Address, link.MethodSubmit, link.Submit{Job: job, Wait: wait.Milliseconds()}, &reply)
	switch {
	case errors.Is(callErr, errNoPeer):
		return outcome, err
	case callErr != nil:
		return Unknown, errors.Wrapf(callErr, "forward after %v", err)
	case Outcome(reply.Outcome) == Accepted:
		return Accepted, nil
	case Outcome(reply.Outcome) == Refused:
		return outcome, err
	}
	return Unknown, err
}

// submitFor stores a job for another entry. What has not been tried when that stops to wait is not
// tried any more, so that it learns the outcome.
func (s *Service) submitFor(ctx context.Context, submit link.Submit) (Outcome, error) {
	wait := submitTimeout
	if submit.Wait > 0 {
		wait = min(wait, time.Duration(submit.Wait)*time.Millisecond)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return s.submitLocally(callCtx, submit.Job)
}

// submitLocally stores a job without calling another entry.
func (s *Service) submitLocally(ctx context.Context, job dispatch.Job) (Outcome, error) {
	if !s.health.Available() {
		return Refused, errTableUnavailable
	}
	if s.ownerClient.Owns() && s.health.ReadLatency() >= slowReadLatency {
		return s.submitToOwner(ctx, job)
	}
	job.OwnerRevision = s.ownerClient.Holder().OwnerRevision
	for range maxInsertAttempts {
		outcome, ownerRevision, err := s.insert(ctx, job)
		if outcome != NotFound {
			return outcome, err
		}
		job.OwnerRevision = ownerRevision // the owner has changed since this entry last saw it
	}
	return Refused, errors.New("the owner changed during each attempt to insert the job")
}

// submitToOwner has the owner, which is this process, store a job with its next commit.
func (s *Service) submitToOwner(ctx context.Context, job dispatch.Job) (Outcome, error) {
	callCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	err := s.ownerClient.Submit(callCtx, job)
	switch {
	case err == nil:
		return Accepted, nil
	case errors.Is(err, table.ErrRefused):
		return Refused, err
	}
	return Unknown, err
}

// insert tries once to insert a job into the table. NotFound does not mean here that there is
// no such job, but that the job was not inserted because the owner's row is at another revision,
// which is returned.
func (s *Service) insert(ctx context.Context, job dispatch.Job) (Outcome, uint64, error) {
	txn, err := owner.JobInsertTxn(job)
	if err != nil {
		return Refused, 0, err
	}
	result, err := s.apply(ctx, txn)
	switch result.Outcome {
	case table.Committed:
		s.ownerClient.Notify(link.MethodAccepted, link.Accepted{Job: job})
		return Accepted, 0, nil
	case table.Conflict:
		conflict := owner.ReadInsertConflict(job, result.Rows)
		switch {
		case conflict.Stored != nil:
			s.ownerClient.Notify(link.MethodAccepted, link.Accepted{Job: *conflict.Stored})
			return Accepted, 0, nil
		case conflict.Tombstone:
			return Refused, 0, errCancelledBefore
		}
		return NotFound, conflict.OwnerRevision, nil
	}
	if errors.Is(err, table.ErrRefused) {
		return Refused, 0, err
	}
	return Unknown, 0, err
}
