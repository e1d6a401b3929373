package owner

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// putStarts adds a write of the starts that may be under way to b, if they have changed. The next owner
// cannot learn of them from an agent that it does not reach. A commit that takes effect late does not
// replace a later list, since the row's revision is a precondition.
func (t *term) putStarts(b *batch) {
	t.startsOrdered = false
	if value, changed := t.encodeStarts(); changed {
		t.putValue(b, startsRowKey(), value)
	}
}

// startsChanged reports whether the starts row differs from what it should hold.
func (t *term) startsChanged() bool {
	_, changed := t.encodeStarts()
	return changed
}

// encodeStarts returns the value of the starts row, and whether it has changed since its last commit. Before
// the row of the earlier owner has been read, it has not. A row has room for some 380 starts, which is far more
// than are under way at a time unless workers stop answering; the others are left out and counted.
func (t *term) encodeStarts() (value []byte, changed bool) {
	if !t.loaded {
		return nil, false
	}
	starts := t.scheduler.StoredStarts(time.Now())
	for stored := starts; ; stored = stored[:len(stored)*3/4] {
		var err error
		if value, err = json.Marshal(stored); err != nil {
			t.log.Error("starts-encode-failed", logs.Error(err))
			return nil, false
		}
		if len(value) <= maxRowBytes {
			t.elector.registry.Add("starts-not-stored", int64(len(starts)-len(stored)))
			break
		}
	}
	return value, !bytes.Equal(value, t.starts)
}

// restoreStarts gives the scheduler the starts that an earlier owner has stored, after the instances. An
// instance without a row was lost before the claim.
func (t *term) restoreStarts(rows []table.Record) {
	until := t.claimed.Add(grantedLeaseWait + link.MaxUnfencedLease(t.elector.settings.MaxLease))
	for _, row := range rows {
		var starts []dispatch.StoredStart
		if err := json.Unmarshal(row.Value, &starts); err != nil {
			t.log.Warn("row-ignored", zap.String("table", row.Table), zap.String("key", row.Key), logs.Error(err))
			starts = nil
		}
		t.revisions[row.RowKey], t.starts = row.Revision, row.Value
		t.scheduler.RestoreStarts(time.Now(), starts, until)
		t.log.Info("starts-restored", zap.Int("starts", len(starts)), zap.Uint64("row", row.Revision))
	}
	t.logHeld(t.scheduler.FormerStartsLost(until))
}
