package runner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/logs"
	"go.uber.org/zap"
)

func (r *Runner) wakePoll() {
	select {
	case r.pollWake <- struct{}{}:
	default:
	}
}

// pollLoop polls the worker until the loop ends. Each poll renews the worker's lease and
// returns its running and ended runs.
func (r *Runner) pollLoop() {
	ctx := r.loop.Context()
	for ctx.Err() == nil {
		var call PollCall
		ready := false
		if r.loop.Do(func() {
			r.stopUngranted()
			call, ready = r.nextPoll(pollWait)
		}) != nil {
			return
		}
		if !ready {
			r.pause(ctx, pollWait)
			continue
		}
		failed := r.pollOnce(ctx, call)
		pending := false
		if r.loop.Do(func() { pending = len(r.ends) > 0 }) != nil {
			return
		}
		if failed || pending {
			r.pause(ctx, pollPause)
		}
	}
}

func (r *Runner) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.pollWake:
	case <-timer.C:
	}
}

// nextPoll returns the parameters of the next poll. ready is false until the worker has
// registered and an owner has attached.
func (r *Runner) nextPoll(wait time.Duration) (call PollCall, ready bool) {
	if r.registration == nil || r.sessionFence == 0 {
		return PollCall{}, false
	}
	call = PollCall{Incarnation: r.registration.Incarnation, Fence: r.sessionFence, LeaseDeadline: r.grantLease(), Acked: r.committedEnd, Wait: wait.Milliseconds()}
	if r.incarnationUncertain || time.Since(r.lastAnswerAt) > incarnationTrustPeriod {
		// The worker may be another incarnation with the same ID, which numbers its ends
		// from the start again.
		call.Acked = 0
	}
	return call, true
}

// pollOnce polls the worker once and handles its answer on the loop. It reports whether the
// poll failed.
func (r *Runner) pollOnce(ctx context.Context, call PollCall) bool {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(call.Wait)*time.Millisecond+pollTimeoutMargin)
	defer cancel()
	sent := time.Now()
	result, err := r.worker.Poll(callCtx, call)
	got := time.Now()
	failed := false
	loopErr := r.loop.Do(func() { failed = r.handlePoll(call, result, err, sent, got) })
	return failed || loopErr != nil
}

// pollNow starts a poll that the worker answers at once, in addition to the long poll that
// may be in flight.
func (r *Runner) pollNow() {
	call, ready := r.nextPoll(0)
	if !ready {
		return
	}
	r.loop.Go(func() { r.pollOnce(r.loop.Context(), call) })
}

// handlePoll handles the answer to a poll. It reports whether the poll failed.
func (r *Runner) handlePoll(call PollCall, result PollResult, err error, sent, got time.Time) bool {
	if r.registration == nil || call.Incarnation != r.registration.Incarnation {
		return false
	}
	if err == nil && result.Fenced {
		r.noteFencedOff(call, got)
		return true
	}
	if err != nil || result.Status != Applied {
		r.handlePollFailure(result, err)
		return true
	}
	if result.StartedAt != 0 && result.StartedAt != r.registration.Incarnation.StartedAt {
		// The poll was sent after the registration, so the worker has restarted since then, or the
		// registration is not its own.
		registration := *r.registration
		registration.Incarnation.StartedAt = result.StartedAt
		r.startIncarnation(registration)
		return false
	}
	r.recordAnswer(got)
	if result.Clock < r.workerClock && !r.clockReadAt.IsZero() {
		return false // a later answer of the worker arrived first
	}
	r.workerClock, r.clockReadAt = result.Clock, got
	r.reconcile(result, sent)
	if r.session != nil && call.Fence == r.sessionFence && !sent.Before(r.session.began) {
		r.leases.fence(got)
		r.noteListed(result)
	}
	r.pacer.observe(r, result.Running, got)
	return false
}

// noteListed records that a poll of the current session has listed all runs and ends.
func (r *Runner) noteListed(result PollResult) {
	if !r.session.listed && !result.EndsCutOff {
		r.session.listed = true
		r.requestReport()
	}
}

// recordAnswer records that the current incarnation of the worker has answered a poll.
func (r *Runner) recordAnswer(got time.Time) {
	r.lastAnswerAt, r.incarnationUncertain = got, false
	if r.silent {
		r.silent = false
		r.log.Info("worker-answers", zap.String("instance", r.registration.Incarnation.ID))
	}
}

// noteFencedOff handles a poll that the worker rejected since it has seen a higher fencing token than that of
// the current session. So another session began later, or another agent has called the worker. The agent
// ends its session, and attaches again for a higher token once the worker registers here again: a worker
// registers with the one agent that is to drive it. Until then it reports nothing of the worker,
// which answers, and which another agent may drive.
func (r *Runner) noteFencedOff(call PollCall, got time.Time) {
	r.registry.Add("hold-failed", 1)
	r.recordAnswer(got)
	r.incarnationUncertain = true
	if r.fencedOff || call.Fence != r.sessionFence {
		return
	}
	r.fencedOff = true
	r.registry.Add("fenced-off", 1)
	r.log.Warn("fenced-off", zap.String("instance", call.Incarnation.ID), zap.Uint64("fence", call.Fence), zap.String("reason", "the worker has seen a higher token"))
	r.endSession()
}

// handlePollFailure handles a poll that the worker rejected or did not answer.
func (r *Runner) handlePollFailure(result PollResult, err error) {
	r.registry.Add("hold-failed", 1)
	r.incarnationUncertain = true
	now := time.Now()
	if !r.silent && now.Sub(r.lastAnswerAt) > silenceTimeout {
		r.silent = true
		r.log.Warn("worker-silent", zap.String("instance", r.registration.Incarnation.ID), zap.Stringer("answer", result.Status), zap.String("reason", result.Reason), logs.Error(err))
		r.logStartCalls()
		r.requestReport()
	}
}

// reconcile updates the known runs from the result of a poll that was sent at the time sent. If the list
// of ends is cut off, nothing is known of a run that is not listed: its end may come next.
func (r *Runner) reconcile(result PollResult, sent time.Time) {
	changed := false
	for _, end := range result.Ended {
		if end.Sequence <= r.lastListedEnd {
			continue
		}
		r.lastListedEnd = end.Sequence
		r.ends = append(r.ends, end)
		changed = true
		if known := r.runs[end.Task]; known != nil && known.number == end.Run {
			r.startCalls.noteListed(end.Task, known)
			delete(r.runs, end.Task)
		}
	}
	listed := make(map[dispatch.TaskName]bool, len(result.Running))
	for _, l := range result.Running {
		listed[l.Task] = true
		changed = r.runs.recordRunning(r, l) || changed
	}
	for name, known := range r.runs {
		if !listed[name] && !result.EndsCutOff && !known.settledAt.IsZero() && sent.After(known.settledAt) {
			// The run was stopped before it began, or the worker rejected its start.
			delete(r.runs, name)
			r.reportNotStarted(name, known.number)
			changed = true
		}
	}
	if changed {
		r.requestReport()
	}
}
