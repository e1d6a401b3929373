package runner

import (
	"context"
	"net"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// settledReportDelay is the longest time after which an agent reports that a start is settled. Until then the
// owner must count with a late start if the instance is lost.
const settledReportDelay = 100 * time.Millisecond

// startCalls holds, by task, the calls of starts that may still be carried out: by the worker or, since it
// may start again under its ID, by its next incarnation. A call leaves it once it was answered, once the
// worker has listed the run that only this call can have started, or when it is too old.
type startCalls map[dispatch.TaskName][]startCall

// startCall is one call that starts a run.
type startCall struct {
	run  int64
	sent time.Time // when it was sent at the latest
}

// expiresAt returns when the call is not carried out any more.
func (c startCall) expiresAt() time.Time { return c.sent.Add(link.MaxCallDelay) }

// add records that a call is sent now. It may wait for its connection until its timeout is over.
func (s startCalls) add(name dispatch.TaskName, run int64) startCall {
	call := startCall{run, time.Now().Add(orderTimeout)}
	s[name] = append(s.pending(name), call)
	return call
}

// remove drops a call that is not carried out any more, or has been.
func (s startCalls) remove(name dispatch.TaskName, call startCall) {
	s.keep(name, func(other startCall) bool { return other != call })
}

// removeRun drops the calls of a run.
func (s startCalls) removeRun(name dispatch.TaskName, run int64) {
	s.keep(name, func(other startCall) bool { return other.run != run })
}

// pending returns the calls that may still start a run of the task, in the order in which they were sent.
func (s startCalls) pending(name dispatch.TaskName) []startCall {
	now := time.Now()
	s.keep(name, func(call startCall) bool { return now.Before(call.expiresAt()) })
	return s[name]
}

// keep drops the calls of a task for which wanted is false.
func (s startCalls) keep(name dispatch.TaskName, wanted func(startCall) bool) {
	var kept []startCall
	for _, call := range s[name] {
		if wanted(call) {
			kept = append(kept, call)
		}
	}
	if len(kept) == 0 {
		delete(s, name)
		return
	}
	s[name] = kept
}

// list returns, for each task with pending calls, the last of them.
func (s startCalls) list() map[dispatch.TaskName]startCall {
	last := map[dispatch.TaskName]startCall{}
	for name := range s {
		if calls := s.pending(name); len(calls) > 0 {
			last[name] = calls[len(calls)-1]
		}
	}
	return last
}

// noteListed records that a list of the worker shows the run, running or ended: a call that starts it was
// carried out.
func (s startCalls) noteListed(name dispatch.TaskName, known *run) {
	if known.startTries == 1 {
		s.removeRun(name, known.number)
	}
}

// remaining returns for how long a call may still start a run of the task, in ms.
func (s startCalls) remaining(name dispatch.TaskName) int64 {
	calls := s.pending(name)
	if len(calls) == 0 {
		return 0
	}
	return time.Until(calls[len(calls)-1].expiresAt()).Milliseconds() + 1 // a started millisecond counts whole
}

// underWay returns what the owner learns of the starts that may still be carried out.
func (s startCalls) underWay() []dispatch.StartUnderWay {
	var starts []dispatch.StartUnderWay
	for name, call := range s.list() {
		starts = append(starts, dispatch.StartUnderWay{Task: name, Run: call.run, Remaining: s.remaining(name)})
	}
	return starts
}

// settled reports whether the run is on the worker, or was, and no call is under way any more that starts it.
// Another process of the agent may have sent calls of a run that was found.
func (r *Runner) settled(name dispatch.TaskName, known *run) bool {
	if known.settledAt.IsZero() || known.found && time.Since(r.createdAt) < orderTimeout+link.MaxCallDelay {
		return false
	}
	return len(r.startCalls.pending(name)) == 0
}

// reportSettledSoon makes the session report the runs that are settled now, with those of the next
// settledReportDelay.
func (r *Runner) reportSettledSoon() {
	if r.settledReportDue {
		return
	}
	r.settledReportDue = true
	r.postAfter(settledReportDelay, func() {
		r.settledReportDue = false
		r.requestReport()
	})
}

// errStartUnanswered is the error of a start that has no answer after orderTimeout.
var errStartUnanswered = errors.New("no answer yet")

// callStart sends a start. It calls answered on the loop with the answer, or with an error once orderTimeout is
// over. An answer after that goes to late: it tells that the call is not under way any more. The call is given
// up when it is not carried out any more.
func (r *Runner) callStart(call StartCall, answered, late func(Answer, error)) {
	ctx, cancel := context.WithTimeout(r.loop.Context(), link.MaxCallDelay)
	answeredBefore := false // belongs to the loop
	timer := time.AfterFunc(orderTimeout, func() {
		r.loop.Post(func() {
			if !answeredBefore {
				answeredBefore = true
				answered(Answer{}, errStartUnanswered)
			}
		})
	})
	r.loop.Go(func() {
		defer cancel()
		answer, err := r.worker.Start(ctx, call)
		timer.Stop()
		r.loop.Post(func() {
			if answeredBefore {
				late(answer, err)
				return
			}
			answeredBefore = true
			answered(answer, err)
		})
	})
}

// logStartCalls logs the starts that the next incarnation of the worker may carry out.
func (r *Runner) logStartCalls() {
	for name, call := range r.startCalls.list() {
		r.log.Info("start-under-way", zap.String("instance", r.registration.Incarnation.ID), zap.Stringer("task", name), zap.Int64("run", call.run), zap.Duration("expires", time.Until(call.expiresAt())))
	}
}

// neverSent reports whether a call failed before anything of it was sent, since no connection was opened.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
