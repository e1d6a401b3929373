package owner

import (
	"time"

	"go.uber.org/zap"
)

// waitsLogPeriod is the time between two log lines about long-running tasks that wait.
const waitsLogPeriod = 2 * time.Second

// logWaits logs how many long-running tasks wait and why, once per waitsLogPeriod while any does.
func (t *term) logWaits(now time.Time) {
	if now.Sub(t.waitsLoggedAt) < waitsLogPeriod {
		return
	}
	t.waitsLoggedAt = now
	waits := t.scheduler.LongRunningWaits(now)
	if waits.Tasks() == 0 {
		return
	}
	t.log.Info(
		"tasks-wait", zap.Int("unconfirmed", waits.Unconfirmed), zap.Int("delayed", waits.Delayed), zap.Int("late-starts", waits.LateStarts), zap.Int("unplaced", waits.Unplaced),
		zap.Int("instances", waits.Instances), zap.Int("usable", waits.UsableInstances), zap.Int("quarantined", waits.Quarantined), zap.Int("evacuated", waits.Evacuated), zap.Int("missing", waits.MissingInstances),
	)
}
