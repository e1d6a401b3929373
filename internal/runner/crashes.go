package runner

import (
	"io"
	"syscall"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// crashWindow is the time after its start in which a run may be the cause of a crash of its
// worker. A run that the worker reported as running after that is not.
const crashWindow = 200 * time.Millisecond

// crashReportPeriod is how long after a crash an agent reports it. Owners after that have it from
// the table.
const crashReportPeriod = 20 * time.Second

// recordBegun records that the run has begun, or counts as begun.
func (k *run) recordBegun() {
	if k.begunAt.IsZero() {
		k.begunAt = time.Now()
	}
}

// recordStartAnswer records the answer to a start that was sent at the time sent. A run has begun if the
// worker says so. It counts as begun, too, if the connection broke while the worker had the start: that
// is all that is seen of a run which crashes the worker at once. A start that is refused or stays without
// an answer may never have reached the worker, and a job must not fail for a run that never was.
func (r *Runner) recordStartAnswer(known *run, call StartCall, sent time.Time, answer Answer, err error) {
	if r.registration == nil || r.registration.Incarnation != call.Incarnation {
		return
	}
	if err == nil {
		r.lastStartAnswerAt = time.Now()
	}
	if err == nil && answer.Status == Applied || isBroken(err) && r.hadStart(sent) {
		known.recordBegun()
	}
}

// hadStart reports whether a start that was sent at the time sent, and whose connection has just broken,
// had reached a worker that was alive: it had answered shortly before, and the start was not under way for
// long.
func (r *Runner) hadStart(sent time.Time) bool {
	return sent.Sub(r.aliveAt()) < incarnationTrustPeriod && time.Since(sent) < crashWindow
}

// isBroken reports whether a call failed because its connection broke.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// mayHaveCrashed reports whether the run may be the cause of a crash of the worker, which last
// answered a call at lastAliveAt.
func (k *run) mayHaveCrashed(lastAliveAt time.Time) bool {
	return !k.begunAt.IsZero() && lastAliveAt.Sub(k.begunAt) < crashWindow
}

// crash is a crash of the worker. The zero value is none.
type crash struct {
	at       time.Time // when the worker last answered
	suspects []dispatch.RunStatus
}

// report returns what the owner learns of the crash, or nil if there was none lately.
func (c crash) report() *link.Crash {
	if c.at.IsZero() || time.Since(c.at) > crashReportPeriod {
		return nil
	}
	return &link.Crash{Age: time.Since(c.at).Milliseconds(), Suspects: c.suspects}
}

// recordCrash records the end of the current incarnation of the worker if it may have crashed.
func (r *Runner) recordCrash() {
	if r.registration != nil && !r.registration.Draining {
		r.lastCrash = crash{r.aliveAt(), r.crashSuspects()}
	}
}

// aliveAt returns when the worker last answered a poll or a start.
func (r *Runner) aliveAt() time.Time { return latest(r.lastStartAnswerAt, r.lastAnswerAt) }

// crashSuspects returns the runs that may be the cause if the current incarnation of the worker
// has crashed.
func (r *Runner) crashSuspects() []dispatch.RunStatus {
	var suspects []dispatch.RunStatus
	lastAliveAt := r.aliveAt()
	for name, known := range r.runs {
		if known.mayHaveCrashed(lastAliveAt) {
			r.log.Warn("crash-suspect", zap.String("instance", r.registration.Incarnation.ID), zap.Stringer("task", name), zap.Int64("run", known.number), zap.Duration("age", lastAliveAt.Sub(known.begunAt)))
			suspects = append(suspects, dispatch.RunStatus{Task: name, Run: known.number})
		}
	}
	return suspects
}
