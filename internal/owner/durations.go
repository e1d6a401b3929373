package owner

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/durations"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// putDurations adds a write of what was learned of the durations of tasks to b, if that has changed
// and costsPeriod has passed. The next owner starts with it instead of the users' estimates. A commit
// without outcome changes nothing here: a later one writes the row again.
func (t *term) putDurations(b *batch) {
	if time.Since(t.durationsComparedAt) < costsPeriod {
		return
	}
	t.durationsComparedAt = time.Now()
	state := t.scheduler.LearnedDurations()
	if len(state.Queues) == 0 {
		return
	}
	value, err := json.Marshal(state)
	if err != nil || len(value) > maxRowBytes {
		t.log.Error("durations-encode-failed", zap.Int("bytes", len(value)), logs.Error(err))
		return
	}
	if bytes.Equal(value, t.durations) {
		return
	}
	b.txn.Puts = append(b.txn.Puts, table.Put{RowKey: durationsRowKey(), Value: value})
}

// restoreDurations gives the scheduler what earlier owners wrote to the table.
func (t *term) restoreDurations(row table.Record) {
	var state durations.State
	if err := json.Unmarshal(row.Value, &state); err != nil {
		t.log.Warn("row-ignored", zap.String("table", row.Table), zap.String("key", row.Key), logs.Error(err))
		return
	}
	restored := t.scheduler.RestoreDurations(state)
	t.log.Info("durations-restored", zap.Int("queues", restored), zap.Int("ignored", len(state.Queues)-restored), zap.Uint64("row", row.Revision))
}

// logStepDurations logs what the steps took that have ended.
func (t *term) logStepDurations() {
	for _, step := range t.scheduler.TakeStepDurations() {
		t.log.Info(
			"step-took", zap.String("job", step.Job), zap.Int("step", step.Step), zap.Duration("estimate", step.Estimate),
			zap.Duration("predicted", step.Predicted), zap.Duration("took", step.Took), zap.Int("runs", step.Runs), zap.Int("left-out", step.LeftOut),
		)
		t.elector.registry.Add("duration-runs", int64(step.Runs))
		t.elector.registry.Add("duration-runs-left-out", int64(step.LeftOut))
	}
}
