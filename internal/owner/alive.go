package owner

import (
	"encoding/json"

	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// putAliveRow adds a write of the alive row to b.
func (t *term) putAliveRow(b *batch) {
	t.heartbeat++
	holder := t.elector.self(t.epoch)
	holder.OwnerRevision, holder.Heartbeat = t.ownerRevision, t.heartbeat
	value, err := json.Marshal(holder)
	if err != nil {
		t.log.Error("alive-row-encode-failed", logs.Error(err))
		return
	}
	b.txn.Puts = append(b.txn.Puts, table.Put{RowKey: aliveRowKey(), Value: value})
}

// renewAliveRow writes the alive row unless a commit is in flight or the epoch was confirmed
// less than alivePeriod ago: every commit writes the alive row too. A successful write confirms
// the epoch, since the owner's row is its precondition. If the starts under way have changed, a
// commit writes both rows.
func (t *term) renewAliveRow() {
	if t.committing || t.elector.now().since(t.epochConfirmed) < alivePeriod {
		return
	}
	if t.startsChanged() {
		t.commit()
		return
	}
	b := &batch{txn: table.Txn{Preconditions: []table.Precondition{t.ownerPrecondition()}}}
	t.putAliveRow(b)
	t.putCosts(b)
	txn := b.txn
	sent := t.elector.now()
	t.elector.loop.Go(func() {
		applied, err := t.elector.apply(txn)
		t.post(func() {
			switch applied.Outcome {
			case table.Committed:
				t.confirmEpoch(sent)
			case table.Conflict:
				t.elector.stepDown("the alive row found another owner")
			default:
				t.log.Debug("alive-unanswered", logs.Error(err))
			}
		})
	})
}

// pollJobs reads the changes of the jobs table since the last poll, and so finds jobs and
// cancellations of which no entry has notified the owner.
func (t *term) pollJobs() {
	after := t.jobsRevision
	t.elector.loop.Go(func() {
		callCtx, cancel := t.elector.withCallTimeout(t.ctx)
		defer cancel()
		changes, err := t.elector.store.Watch(callCtx, tableJobs, after, 0)
		if errors.Is(err, table.ErrCompacted) {
			var rows []table.Record
			rows, changes.Revision, err = t.elector.store.Read(callCtx, table.Range{Table: tableJobs, Partition: shardPartition})
			changes.Rows = rows
		}
		t.post(func() {
			if err != nil {
				t.log.Debug("jobs-poll-failed", logs.Error(err))
				return
			}
			if after == t.jobsRevision {
				t.jobsRevision = changes.Revision
				t.applyRows(changes.Rows)
				t.answerStored()
			}
		})
	})
}

// maxHandoverCommits bounds the commits of unsaved progress that a handover waits for. While tasks end
// all the time there is always some more. It is not lost, since workers list the ends that are not in
// the table to the next owner.
const maxHandoverCommits = 2

// handOver commits unsaved progress and then gives up the ownership. It calls done once, when the
// term ends.
func (t *term) handOver(done func()) {
	called := false
	t.onEnd = func() {
		if !called {
			called = true
			done()
		}
	}
	t.commitsLeft = maxHandoverCommits
	t.tryHandOver()
}

// tryHandOver starts a commit of unsaved progress and starts or, if there is none or no commit is left, the
// transaction that gives up the ownership. It does nothing while a commit is in flight.
func (t *term) tryHandOver() {
	if t.committing {
		return
	}
	if dirty, _ := t.scheduler.HasDirty(); (dirty || t.startsChanged()) && t.commitsLeft > 0 {
		t.commitsLeft--
		t.commit() // handleCommitted calls tryHandOver again
		return
	}
	txn, err := handoverTxn(t.ownerRevision, Holder{Epoch: t.epoch})
	if err != nil {
		t.log.Error("hand-over-failed", logs.Error(err))
		return
	}
	t.committing = true
	t.elector.loop.Go(func() {
		applied, err := t.elector.apply(txn)
		t.post(func() {
			t.log.Info("handed-over", zap.Stringer("outcome", applied.Outcome), logs.Error(err))
			t.elector.stepDown("handed over")
		})
	})
}
