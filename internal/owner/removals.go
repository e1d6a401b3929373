package owner

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// removeExpired starts to remove the rows of disconnected instances whose leases have
// expired. Such an instance counts as lost only after its row is removed: the removal has the
// owner's row as a precondition, so it confirms that this process still is the owner. Two other
// kinds of instance count as lost at once, and a later commit removes their rows: one whose
// agent reports LeasesExpired or Vacant, and one whose agent attaches with a later incarnation of
// the worker under another ID. There the report or the attach shows that nothing runs any more.
func (t *term) removeExpired() {
	now := time.Now()
	for id, expiry := range t.leaseExpiry {
		if now.Before(expiry) || t.removing[id] {
			continue
		}
		t.removing[id] = true
		rowKey := instanceRowKey(id)
		txn := table.Txn{Preconditions: []table.Precondition{t.ownerPrecondition()}}
		t.putRemoval(&txn, rowKey)
		t.elector.loop.Go(func() {
			applied, err := t.elector.apply(txn)
			t.post(func() { t.handleRemoval(id, expiry, txn, applied, err) })
		})
	}
}

// handleRemoval handles the result of the removal of an instance's row, which was started
// because the instance's leases expired at expiry.
func (t *term) handleRemoval(id string, expiry time.Time, txn table.Txn, applied table.TxnResult, err error) {
	delete(t.removing, id)
	switch applied.Outcome {
	case table.Committed:
	case table.Conflict:
		if !t.refreshRevisions(txn.Preconditions, applied.Rows) {
			t.elector.stepDown("the removal of an instance found another owner")
		}
		return
	default:
		t.removalUncertain[id] = true
		t.log.Warn("instance-loss-unconfirmed", zap.String("instance", id), logs.Error(err))
		return
	}
	delete(t.revisions, instanceRowKey(id))
	delete(t.removalUncertain, id)
	if newExpiry, disconnected := t.leaseExpiry[id]; !disconnected || newExpiry.After(expiry) {
		// The instance has attached again in the meantime. It still is connected, or it
		// disconnected again with a later lease. Its row must be written again.
		t.scheduler.RowDeleted(id)
		t.schedulePlan()
		return
	}
	delete(t.leaseExpiry, id)
	t.log.Warn("instance-lost", zap.String("instance", id), zap.String("reason", "silent until its grants were over"))
	t.holdUnsettled(id)
	t.scheduler.LostByID(time.Now(), id)
	t.schedulePlan()
}
