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

// submitsACommit bounds the jobs that one commit takes in.
const submitsACommit = 25

// submission is a job that waits for a commit of the owner. While the table is slow, one
// commit for many jobs gets through where a write for each would not.
type submission struct {
	job   dispatch.Job
	sent  bool // a commit with it was sent whose outcome is not known
	done  chan table.Outcome
	since time.Time
}

// answer tells the outcome; Unknown when it may be in the table.
func (s *submission) answer(outcome table.Outcome) { s.done <- outcome }

// ErrNotTaken says that a job is not in the table and will not be by this call.
var ErrNotTaken = errors.Mark(errors.New("the owner has not taken the job"), table.ErrRefused)

// Submit has this process, as the owner, take a job in with its next commit. Its error
// marks table.ErrRefused when the job is not in the table.
func (s *Elector) Submit(ctx context.Context, job dispatch.Job) error {
	sub := &submission{job: job, done: make(chan table.Outcome, 1), since: time.Now()}
	owned := false
	err := s.loop.Do(func() {
		if owned = s.term != nil && s.term.loaded; owned {
			s.term.submits = append(s.term.submits, sub)
			s.term.wake()
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
	err = s.loop.Do(func() { withdrawn = s.term.withdraw(sub) })
	switch {
	case withdrawn && err == nil:
		return ErrNotTaken
	default:
		return errors.CombineErrors(ctx.Err(), err)
	}
}

func outcomeError(outcome table.Outcome) error {
	switch outcome {
	case table.Committed:
		return nil
	case table.Conflict:
		return ErrNotTaken
	}
	return errors.New("the outcome of the commit is not known")
}

// withdraw takes a submission back that no commit has been sent with. It tells whether
// that is so.
func (t *term) withdraw(sub *submission) bool {
	if t == nil {
		return false
	}
	for i, waiting := range t.submits {
		if waiting == sub && !sub.sent {
			t.submits = append(t.submits[:i], t.submits[i+1:]...)
			return true
		}
	}
	return false
}

// inTable tells whether a job is in the table already, as far as the book knows. An entry
// may have written it by a call without an answer before it handed the job on; one such job
// in a commit would make all of it conflict.
func (t *term) inTable(id string) bool {
	_, done := t.book.Finished(id)
	return done || t.book.Active(id)
}

// answerKnown answers the jobs that wait and turn out to be in the table.
func (t *term) answerKnown() {
	waiting := t.submits[:0]
	for _, sub := range t.submits {
		if t.inTable(sub.job.ID) {
			sub.answer(table.Committed)
			continue
		}
		waiting = append(waiting, sub)
	}
	t.submits = waiting
}

// putSubmits puts the jobs that wait into a commit.
func (t *term) putSubmits(b *batch) {
	t.answerKnown()
	taken := map[string]bool{}
	var later []*submission
	for _, sub := range t.submits {
		if len(b.submits) >= submitsACommit || taken[sub.job.ID] {
			later = append(later, sub)
			continue
		}
		taken[sub.job.ID] = true
		sub.job.OwnerVersion = t.under
		place := jobPlace(sub.job.ID, suffixJob)
		if err := t.put(b, place, sub.job); err != nil {
			t.log.Error("commit-left-out", zap.String("job", sub.job.ID), logs.Error(err))
			sub.answer(table.Conflict)
			continue
		}
		b.submits = append(b.submits, sub)
	}
	t.submits = later
}

// submitsCommitted takes that a commit's jobs are in the table.
func (t *term) submitsCommitted(b *batch) {
	for _, sub := range b.submits {
		t.seat.set.Observe("submitted", time.Since(sub.since))
		job := sub.job
		t.accept(&job, nil)
		sub.answer(table.Committed)
	}
}

// submitsConflicted sorts out the jobs of a commit that conflicted: those that are in
// the table were accepted before, the others are tried again.
func (t *term) submitsConflicted(b *batch, rows []table.Record) {
	there := map[table.RowKey]table.Record{}
	for _, row := range rows {
		if row.Revision != table.Absent {
			there[row.RowKey] = row
		}
	}
	for _, sub := range b.submits {
		row, known := there[jobPlace(sub.job.ID, suffixJob)]
		if !known {
			t.submits = append(t.submits, sub)
			continue
		}
		t.takeRows([]table.Record{row})
		sub.answer(table.Committed)
	}
}

// submitsUnanswered keeps the jobs of a commit without outcome for the next one.
func (t *term) submitsUnanswered(b *batch, refused bool) {
	for _, sub := range b.submits {
		sub.sent = sub.sent || !refused
	}
	t.submits = append(b.submits, t.submits...)
}

// endSubmits answers the jobs that wait when the term ends.
func (t *term) endSubmits() {
	for _, sub := range t.submits {
		if sub.sent {
			sub.answer(table.Unknown)
		} else {
			sub.answer(table.Conflict)
		}
	}
	t.submits = nil
}
