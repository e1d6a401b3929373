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
	// costsPeriod is the least time between two writes of what is known of image pairs.
	costsPeriod = 2 * time.Second
	// costsMost bounds the pairs kept, so that their row stays below 64 KB.
	costsMost = 700
)

// putCosts writes what is known of the costs of image pairs along with a commit, so that
// the next owner need not learn it again.
func (t *term) putCosts(b *batch) {
	if time.Since(t.costsAt) < costsPeriod {
		return
	}
	t.costsAt = time.Now()
	known := t.book.Estimates(costsMost)
	if slices.Equal(known, t.costs) {
		return
	}
	value, err := json.Marshal(known)
	if err != nil {
		t.log.Error("costs-row", logs.Error(err))
		return
	}
	t.costs = known
	b.change.Puts = append(b.change.Puts, table.Put{RowKey: costsPlace(), Value: value})
}

// takeCosts learns what earlier owners have kept.
func (t *term) takeCosts(rows []table.Record) {
	for _, row := range rows {
		var known []interference.Estimate
		if err := json.Unmarshal(row.Value, &known); err != nil {
			t.log.Warn("row-ignored", zap.String("table", row.Table), zap.String("key", row.Key), logs.Error(err))
			continue
		}
		t.book.RestoreEstimates(known)
		t.log.Info("costs-learned", zap.Int("pairs", len(known)), zap.Uint64("row", row.Revision))
	}
}
