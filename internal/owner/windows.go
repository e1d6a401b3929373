package owner

import (
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"go.uber.org/zap"
)

// roomGaugePeriod is the time between two readings of the gauge "room".
const roomGaugePeriod = 2 * time.Second

// room is the gauge "room": the windows that hold instances, and the fragmentation of each service.
type room struct {
	Windows  int                               `json:"windows"`
	Services map[string]dispatch.Fragmentation `json:"services"`
}

// logWindows logs and counts what has happened to windows, with the fragmentation of their service.
func (t *term) logWindows() {
	for _, change := range t.scheduler.TakeWindowChanges() {
		t.elector.registry.Add("windows-"+change.Cause.String(), 1)
		t.log.Info(
			"window", zap.String("job", change.Job), zap.Int("step", change.Step), zap.Stringer("cause", change.Cause), zap.String("instances", strings.Join(change.Instances, ",")),
			zap.Float64("wait", change.Wait.Seconds()), zap.Int("free", change.Fragmentation.Free), zap.Int("largest", change.Fragmentation.Largest),
			zap.Int("leftover", change.Fragmentation.BestEffortFree), zap.Int("largest-leftover", change.Fragmentation.BestEffortLargest),
		)
	}
}

// gaugeRoom sets the gauge "room", once per roomGaugePeriod.
func (t *term) gaugeRoom(now time.Time) {
	if now.Sub(t.roomGaugedAt) < roomGaugePeriod {
		return
	}
	t.roomGaugedAt = now
	t.elector.room.Store(&room{t.scheduler.Windows(), t.scheduler.Fragmentation(now)})
}
