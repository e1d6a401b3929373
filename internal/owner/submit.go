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

// maxCommitSubmissions bounds the submitted jobs in one commit.
const maxCommitSubmissions = 25

// submission is a submitted job that waits for a commit of the owner. While the table is
// slow, one commit of many jobs succeeds where a separate write for each job would not.
type submission struct {
	job            dispatch.Job
	maybeCommitted bool // a commit with the job was sent and its outcome is unknown
	done           chan table.Outcome
	since          time.Time
}

// answer sends the outcome to the waiting caller. table.Unknown means that the job may be
// in the table.
func (s *submission) answer(outcome table.Outcome) { s.done <- outcome }

// ErrNotStored is returned by Submit if the job is not in the table and will not be stored by
// this call.
var ErrNotStored = errors.Mark(errors.New("the owner has not stored the job"), table.ErrRefused)

// Submit stores a job with one of the next commits of this process, which must be the owner,
// and waits for that commit. An error that is marked with table.ErrRefused means that the
// job is not in the table; after any other error it may be.
func (e *Elector) Submit(ctx context.Context, job dispatch.Job) error {
	sub := &submission{job: job, done: make(chan table.Outcome, 1), since: time.Now()}
	owned := false
	err := e.loop.Do(func() {
		if owned = e.term != nil && e.term.loaded; owned {
			e.term.submissions = append(e.term.submissions, sub)
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

// withdraw removes a submission from the waiting ones. It reports false if a commit may have
// stored the job, or if the submission does not wait in this term.
func (t *term) withdraw(sub *submission) bool {
	if t == nil {
		return false
	}
	for i, pending := range t.submissions {
		if pending == sub && !sub.maybeCommitted {
			t.submissions = append(t.submissions[:i], t.submissions[i+1:]...)
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
	waiting := t.submissions[:0]
	for _, sub := range t.submissions {
		if t.isStored(sub.job.ID) {
			sub.answer(table.Committed)
			continue
		}
		waiting = append(waiting, sub)
	}
	t.submissions = waiting
}

// putSubmissions moves waiting submissions into b, up to maxCommitSubmissions.
func (t *term) putSubmissions(b *batch) {
	t.answerStored()
	taken := map[string]bool{}
	var later []*submission
	for _, sub := range t.submissions {
		if len(b.submissions) >= maxCommitSubmissions || taken[sub.job.ID] {
			later = append(later, sub)
			continue
		}
		taken[sub.job.ID] = true
		sub.job.OwnerVersion = t.ownerVersion
		rowKey := jobRowKey(sub.job.ID, suffixJob)
		if err := t.put(b, rowKey, sub.job); err != nil {
			t.log.Error("job-encode-failed", zap.String("job", sub.job.ID), logs.Error(err))
			sub.answer(table.Conflict)
			continue
		}
		b.submissions = append(b.submissions, sub)
	}
	t.submissions = later
}

// submissionsCommitted passes the jobs of a successful commit to the scheduler and answers
// their callers.
func (t *term) submissionsCommitted(b *batch) {
	for _, sub := range b.submissions {
		t.elector.registry.Observe("submitted", time.Since(sub.since))
		job := sub.job
		t.accept(&job, nil)
		sub.answer(table.Committed)
	}
}

// submissionsConflicted handles the jobs of a commit that conflicted. Those that are in the
// table were accepted earlier and are answered; the others wait for the next commit.
func (t *term) submissionsConflicted(b *batch, rows []table.Record) {
	there := map[table.RowKey]table.Record{}
	for _, row := range rows {
		if row.Revision != table.Absent {
			there[row.RowKey] = row
		}
	}
	for _, sub := range b.submissions {
		row, known := there[jobRowKey(sub.job.ID, suffixJob)]
		if !known {
			t.submissions = append(t.submissions, sub)
			continue
		}
		t.applyRows([]table.Record{row})
		sub.answer(table.Committed)
	}
}

// submissionsUnanswered puts the jobs of a refused or unanswered commit first in the queue
// for the next commit. refused means that the commit certainly had no effect.
func (t *term) submissionsUnanswered(b *batch, refused bool) {
	for _, sub := range b.submissions {
		sub.maybeCommitted = sub.maybeCommitted || !refused
	}
	t.submissions = append(b.submissions, t.submissions...)
}

// endSubmissions answers all waiting submissions when the term ends.
func (t *term) endSubmissions() {
	for _, sub := range t.submissions {
		if sub.maybeCommitted {
			sub.answer(table.Unknown)
		} else {
			sub.answer(table.Conflict)
		}
	}
	t.submissions = nil
}
