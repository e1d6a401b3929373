package owner

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
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
	fields := []zap.Field{
		zap.Int("unconfirmed", waits.Unconfirmed), zap.Int("delayed", waits.Delayed), zap.Int("late-starts", waits.LateStarts), zap.Int("unplaced", waits.Unplaced),
		zap.Int("instances", waits.Instances), zap.Int("usable", waits.UsableInstances), zap.Int("quarantined", waits.Quarantined), zap.Int("evacuated", waits.Evacuated), zap.Int("missing", waits.MissingInstances),
	}
	if waits.Unplaced > 0 {
		fields = append(fields, zap.Stringer("task", waits.Example), zap.String("obstacles", formatObstacles(waits.Obstacles)))
	}
	t.log.Info("tasks-wait", fields...)
}

// formatObstacles returns the number of instances by obstacle, such as "draining 1, resources 9".
func formatObstacles(counts map[dispatch.Obstacle]int) string {
	var parts []string
	for _, obstacle := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprint(obstacle, " ", counts[obstacle]))
	}
	return strings.Join(parts, ", ")
}
