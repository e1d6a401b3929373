package runner

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"go.uber.org/zap"
)

// noteEvacuation records what the owner says of the worker's failure domain. It ignores what is older
// than what is known, so that an owner behind the times takes nothing back. nil says nothing.
func (r *Runner) noteEvacuation(notice *link.Evacuation) {
	if notice == nil || notice.Revision < r.evacuation.Revision {
		return
	}
	if notice.Evacuated != r.evacuation.Evacuated {
		r.log.Info("evacuation", zap.String("domain", r.registration.Domain), zap.Bool("evacuated", notice.Evacuated), zap.Uint64("revision", notice.Revision))
		r.evacuatedAt = time.Now()
	}
	r.evacuation = *notice
}

// knownEvacuation returns what the owner is told, or nil while the domain is not evacuated.
func (r *Runner) knownEvacuation() *link.Evacuation {
	if !r.evacuation.Evacuated {
		return nil
	}
	known := r.evacuation
	return &known
}

// forgetOtherDomain forgets the evacuation of the last worker's domain if the next worker is in
// another one.
func (r *Runner) forgetOtherDomain(next dispatch.Registration) {
	if r.registration != nil && r.registration.Domain != next.Domain {
		r.evacuation = link.Evacuation{}
	}
}

// startAgain sends a start without an answer again. While the domain is evacuated the run is stopped
// instead, since the worker may still carry out an earlier try.
func (r *Runner) startAgain(known *run, name dispatch.TaskName, try int) {
	if r.evacuation.Evacuated {
		r.log.Info("start-given-up", zap.Stringer("task", name), zap.Int64("run", known.number), zap.String("reason", "failure domain is evacuated"))
		r.settleByStop(known, name)
		return
	}
	r.tryStart(known, try)
}

// noteStarted logs a start that was sent before the domain was evacuated and answered after.
func (r *Runner) noteStarted(call StartCall) {
	if r.evacuation.Evacuated {
		r.log.Info("started-during-evacuation", zap.Stringer("task", call.Task), zap.Int64("run", call.Run), zap.Duration("after", time.Since(r.evacuatedAt)))
		r.registry.Observe("last-start-of-evacuation", time.Since(r.evacuatedAt))
	}
}
