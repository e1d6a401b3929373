package owner

import (
	"encoding/json"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// putAlive writes the alive row along with a commit.
func (t *term) putAlive(b *batch) {
	t.beat++
	holder := Holder{Epoch: t.epoch, Name: t.seat.settings.Name, Address: t.seat.settings.Address, OwnerVersion: t.under, Heartbeat: t.beat}
	value, err := json.Marshal(holder)
	if err != nil {
		t.log.Error("alive-row", logs.Error(err))
		return
	}
	b.change.Puts = append(b.change.Puts, table.Put{RowKey: alivePlace(), Value: value})
}

// keepAlive writes the alive row, which confirms the epoch too, unless a commit does.
func (t *term) keepAlive() {
	if t.committing || time.Since(t.confirmed) < alivePeriod {
		return
	}
	b := &batch{change: table.Txn{Preconditions: []table.Precondition{t.guard()}}}
	t.putAlive(b)
	t.putCosts(b)
	change := b.change
	began := time.Now()
	t.seat.loop.Go(func() {
		applied, err := t.seat.apply(change)
		t.post(func() {
			switch applied.Outcome {
			case table.Committed:
				t.confirmed = maxTime(t.confirmed, began)
			case table.Conflict:
				t.seat.depose("the alive row found another owner")
			default:
				t.log.Debug("alive-unanswered", logs.Error(err))
			}
		})
	})
}

// catchUp takes jobs and cancellations that no entry has told of.
func (t *term) catchUp() {
	after := t.feed
	t.seat.loop.Go(func() {
		bounded, cancel := t.seat.bounded(t.ctx)
		defer cancel()
		feed, err := t.seat.store.Watch(bounded, tableJobs, after, 0)
		if errors.Is(err, table.ErrCompacted) {
			var rows []table.Record
			rows, feed.Revision, err = t.seat.store.Read(bounded, table.Range{Table: tableJobs, Partition: shardPart})
			feed.Rows = rows
		}
		t.post(func() {
			if err != nil {
				t.log.Debug("catch-up-failed", logs.Error(err))
				return
			}
			if after == t.feed {
				t.feed = feed.Revision
				t.takeRows(feed.Rows)
				t.answerKnown()
			}
		})
	})
}

// handOver commits what is to be kept and gives the ownership up.
func (t *term) handOver(done func()) {
	called := false
	t.handedOver = func() {
		if !called {
			called = true
			done()
		}
	}
	t.tryHandOver()
}

func (t *term) tryHandOver() {
	if t.committing {
		return
	}
	if dirty, _ := t.book.HasDirty(); dirty {
		t.commit()
		return
	}
	change, err := handChange(t.under, Holder{Epoch: t.epoch})
	if err != nil {
		t.log.Error("hand-over", logs.Error(err))
		return
	}
	t.committing = true
	t.seat.loop.Go(func() {
		applied, err := t.seat.apply(change)
		t.post(func() {
			t.log.Info("handed-over", zap.Stringer("outcome", applied.Outcome), logs.Error(err))
			t.seat.depose("handed over")
		})
	})
}
