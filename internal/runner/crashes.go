package runner

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"go.uber.org/zap"
)

// crashWindow is the time after its start in which a run may be the cause of a crash of its
// worker. A run that the worker reported as running after that is not.
const crashWindow = 500 * time.Millisecond

// confirmStart records that the worker has begun the run.
func (k *run) confirmStart() {
	if k.confirmedAt.IsZero() {
		k.confirmedAt = time.Now()
	}
}

// mayHaveCrashed reports whether the run may be the cause of a crash of the worker, which last
// answered at lastAnswerAt.
func (k *run) mayHaveCrashed(lastAnswerAt time.Time) bool {
	return !k.confirmedAt.IsZero() && lastAnswerAt.Sub(k.confirmedAt) < crashWindow
}

// crashSuspects returns the runs that may be the cause if the current incarnation of the worker
// has crashed. There are none if it was draining.
func (r *Runner) crashSuspects() []dispatch.RunStatus {
	if r.registration == nil || r.registration.Draining {
		return nil
	}
	var suspects []dispatch.RunStatus
	for name, known := range r.runs {
		if known.mayHaveCrashed(r.lastAnswerAt) {
			r.log.Warn("crash-suspect", zap.String("instance", r.registration.Incarnation.ID), zap.Stringer("task", name), zap.Int64("run", known.number), zap.Duration("age", r.lastAnswerAt.Sub(known.confirmedAt)))
			suspects = append(suspects, dispatch.RunStatus{Task: name, Run: known.number})
		}
	}
	return suspects
}
