package owner

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

const (
	// costsPeriod is the least time between two comparisons of the estimates with the costs
	// row, and so between two writes of it.
	costsPeriod = 2 * time.Second
	// maxCostPairs bounds the image pairs in the costs row, which keeps the row below 64 KB.
	maxCostPairs = 700
)

// putCosts adds a write of the estimated interference costs of image pairs to b, if they
// have changed and costsPeriod has passed. The next owner starts with these estimates
// instead of measuring again.
func (t *term) putCosts(b *batch) {
	if time.Since(t.costsComparedAt) < costsPeriod {
		return
	}
	t.costsComparedAt = time.Now()
	known := t.scheduler.LearnedCosts(maxCostPairs)
	if slices.Equal(known, t.costs) {
		return
	}
	value, err := json.Marshal(known)
	if err != nil {
		t.log.Error("costs-encode-failed", logs.Error(err))
		return
	}
	t.costs = known
	b.txn.Puts = append(b.txn.Puts, table.Put{RowKey: costsRowKey(), Value: value})
}

// restoreCosts gives the scheduler the estimates, and what was learned of durations, that earlier
// owners wrote to the table.
func (t *term) restoreCosts(rows []table.Record) {
	for _, row := range rows {
		if row.RowKey == durationsRowKey() {
			t.restoreDurations(row)
			continue
		}
		var known []interference.Estimate
		if err := json.Unmarshal(row.Value, &known); err != nil {
			t.log.Warn("row-ignored", zap.String("table", row.Table), zap.String("key", row.Key), logs.Error(err))
			continue
		}
		t.scheduler.RestoreCosts(known)
		t.log.Info("costs-restored", zap.Int("pairs", len(known)), zap.Uint64("row", row.Revision))
	}
}
