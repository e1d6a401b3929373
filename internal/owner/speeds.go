package owner

import (
	"github.com/apricotwind/apricotwind/internal/decision/speeds"
	"go.uber.org/zap"
)

// logSpeeds logs which instances get more or less work than before, and counts holds.
func (t *term) logSpeeds() {
	for _, change := range t.scheduler.TakeSpeedChanges() {
		fields := []zap.Field{zap.String("instance", change.Instance), zap.Stringer("cause", change.Cause), zap.Float64("speed", change.Speed)}
		switch {
		case change.Cause == speeds.None:
			t.log.Info("instance-well", fields[0])
		case change.Hold == 0:
			t.log.Info("instance-slower", fields...)
		default:
			t.elector.registry.Add("instances-held", 1)
			t.log.Warn("instance-held", append(fields, zap.Duration("hold", change.Hold), zap.Bool("bounded", change.Bounded))...)
		}
	}
}
