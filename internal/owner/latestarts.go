package owner

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"go.uber.org/zap"
)

// maxCallRemaining bounds what an agent says of how long a start may be carried out, in ms: it counts its own
// timeout of the call, too.
const maxCallRemaining = link.MaxCallDelay + time.Second

// holdUnsettled keeps the tasks of an instance that is lost, and whose agent has said nothing, from starting
// elsewhere as long as a start under way may be carried out and lease the run. Its agent has sent no start
// after the last grant was over.
func (t *term) holdUnsettled(id string) {
	until := t.grantsEnd[id].Add(link.MaxUnfencedLease(t.elector.settings.MaxLease))
	t.logHeld(t.scheduler.HoldUnsettled(id, "", until))
	delete(t.grantsEnd, id)
}

// holdUnderWay is like holdUnsettled for an instance whose agent process has said that all leases are over and
// which of its own starts are under way.
func (t *term) holdUnderWay(id, agent, process string, starts []dispatch.StartUnderWay) {
	now, maxLease := time.Now(), t.elector.settings.MaxLease
	for i := range starts {
		starts[i].Remaining = min(max(starts[i].Remaining, 0), maxCallRemaining.Milliseconds())
	}
	t.logHeld(t.scheduler.HoldUnsettled(id, process, now.Add(link.MaxUnfencedLease(maxLease))))
	t.logHeld(t.scheduler.HoldUnderWay(now, id, agent, starts))
}

func (t *term) logHeld(held []dispatch.LateStart) {
	t.elector.registry.Add("late-starts", int64(len(held)))
	for _, late := range held {
		t.log.Warn("late-start-awaited", zap.Stringer("task", late.Task), zap.Int64("run", late.Run), zap.String("instance", late.Instance), zap.Duration("for", time.Until(late.Until)))
	}
}
