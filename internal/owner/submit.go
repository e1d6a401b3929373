package owner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// maxCommitSubmissions bounds the submitted jobs in one commit.
	maxCommitSubmissions = 25
	// maxSubmissionBytes is the size of a commit, in bytes, from which on it takes no further submitted
	// job. The rest has room for one, and for progress.
	maxSubmissionBytes = maxCommitBytes / 2
)

// pendingJob is a submitted job that waits for a commit of the owner. While the table is
// slow, one commit of many jobs succeeds where a separate write for each job would not.
type pendingJob struct {
	job            dispatch.Job
	maybeCommitted bool // a commit with the job was sent and its outcome is unknown
	done           chan table.Outcome
	since          time.Time
}

// answer sends the outcome to the waiting caller: Committed if the job is in the table,
// Conflict if it is not and will not be, Unknown if it may be.
func (s *pendingJob) answer(outcome table.Outcome) { s.done <- outcome }

// ErrNotStored is returned by Submit if the job is not in the table and will not be stored by
// this call.
var ErrNotStored = errors.Mark(errors.New("the owner has not stored the job"), table.ErrRefused)

// Submit stores a job with one of the next commits of this process, which must be the owner,
// and waits for that commit. An error that is marked with table.ErrRefused means that the
// job is not in the table; after any other error it may be.
func (e *Elector) Submit(ctx context.Context, job dispatch.Job) error {
	sub := &pendingJob{job: job, done: make(chan table.Outcome, 1), since: time.Now()}
	owned := false
	err := e.loop.Do(func() {
		if owned = e.term != nil && e.term.loaded; owned {
			e.term.pendingJobs = append(e.term.pendingJobs, sub)
			e.term.schedulePlan()
		}
	})
	if err != nil || !owned {
		return errors.Mark(errors.CombineErrors(ErrNotOwner, err), table.ErrRefused)
	}
	select {
	case outcome := <-sub.done:
		return outcomeError(outcome)
	case <-ctx.Done():
	}
	withdrawn := false
	err = e.loop.Do(func() { withdrawn = e.term.withdraw(sub) })
	switch {
	case withdrawn && err == nil:
		return ErrNotStored
	default:
		return errors.CombineErrors(ctx.Err(), err)
	}
}

func outcomeError(outcome table.Outcome) error {
	switch outcome {
	case table.Committed:
		return nil
	case table.Conflict:
		return ErrNotStored
	}
	return errors.New("the outcome of the commit is unknown")
}

// withdraw removes a job from the waiting ones. It reports false if a commit may have stored
// the job, or if the job does not wait in this term.
func (t *term) withdraw(sub *pendingJob) bool {
	if t == nil {
		return false
	}
	for i, pending := range t.pendingJobs {
		if pending == sub && !sub.maybeCommitted {
			t.pendingJobs = append(t.pendingJobs[:i], t.pendingJobs[i+1:]...)
			return true
		}
	}
	return false
}

// isStored reports whether a job is in the table already, as far as the scheduler knows. An
// entry may have written the job with a call that got no answer, and then passed the job to
// the owner. A single such job would make a whole commit conflict.
func (t *term) isStored(id string) bool {
	_, done := t.scheduler.Finished(id)
	return done || t.scheduler.Active(id)
}

// answerStored answers the waiting submissions whose jobs are in the table already.
func (t *term) answerStored() {
	waiting := t.pendingJobs[:0]
	for _, sub := range t.pendingJobs {
		if t.isStored(sub.job.ID) {
			sub.answer(table.Committed)
			continue
		}
		waiting = append(waiting, sub)
	}
	t.pendingJobs = waiting
}

// putSubmissions moves waiting submissions into b, up to maxCommitSubmissions.
func (t *term) putSubmissions(b *batch) {
	t.answerStored()
	taken := map[string]bool{}
	var later []*pendingJob
	for _, sub := range t.pendingJobs {
		if len(b.pendingJobs) >= maxCommitSubmissions || b.bytes > maxSubmissionBytes || taken[sub.job.ID] {
			later = append(later, sub)
			continue
		}
		taken[sub.job.ID] = true
		sub.job.OwnerRevision = t.ownerRevision
		rowKey := jobRowKey(sub.job.ID, suffixJob)
		if err := t.put(b, rowKey, sub.job); err != nil {
			t.log.Error("job-encode-failed", zap.String("job", sub.job.ID), logs.Error(err))
			sub.answer(table.Conflict)
			continue
		}
		b.pendingJobs = append(b.pendingJobs, sub)
	}
	t.pendingJobs = later
}

// submissionsCommitted passes the jobs of a successful commit to the scheduler and answers
// their callers.
func (t *term) submissionsCommitted(b *batch) {
	for _, sub := range b.pendingJobs {
		t.elector.registry.Observe("submitted", time.Since(sub.since))
		job := sub.job
		t.accept(&job, nil)
		sub.answer(table.Committed)
	}
}

// submissionsConflicted handles the jobs of a commit that conflicted. Those that are in the
// table were accepted earlier and are answered, and those that were cancelled before they were stored
// will not be; the others wait for the next commit.
func (t *term) submissionsConflicted(b *batch, rows []table.Record) {
	there := map[table.RowKey]table.Record{}
	for _, row := range rows {
		if row.Revision != table.Absent {
			there[row.RowKey] = row
		}
	}
	for _, sub := range b.pendingJobs {
		row, known := there[jobRowKey(sub.job.ID, suffixJob)]
		if !known {
			t.pendingJobs = append(t.pendingJobs, sub)
			continue
		}
		t.applyRows([]table.Record{row})
		if ReadInsertConflict(sub.job, []table.Record{row}).Tombstone {
			sub.answer(table.Conflict)
			continue
		}
		sub.answer(table.Committed)
	}
}

// requeueSubmissions puts the jobs of a refused or unanswered commit first in the queue
// for the next commit. refused means that the commit certainly had no effect.
func (t *term) requeueSubmissions(b *batch, refused bool) {
	for _, sub := range b.pendingJobs {
		sub.maybeCommitted = sub.maybeCommitted || !refused
	}
	t.pendingJobs = append(b.pendingJobs, t.pendingJobs...)
}

// endSubmissions answers all waiting submissions when the term ends.
func (t *term) endSubmissions() {
	for _, sub := range t.pendingJobs {
		if sub.maybeCommitted {
			sub.answer(table.Unknown)
		} else {
			sub.answer(table.Conflict)
		}
	}
	t.pendingJobs = nil
}
