package runner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/logs"
	"go.uber.org/zap"
)

func (r *Runner) wakeHold() {
	select {
	case r.holdWake <- struct{}{}:
	default:
	}
}

// holdLoop keeps the lease and follows the lists.
func (r *Runner) holdLoop() {
	ctx := r.loop.Context()
	for ctx.Err() == nil {
		var call PollCall
		ready := false
		if r.loop.Do(func() { call, ready = r.nextHold(holdWait) }) != nil {
			return
		}
		if !ready {
			r.pause(ctx, holdWait)
			continue
		}
		failed := r.hold(ctx, call)
		pending := false
		if r.loop.Do(func() { pending = len(r.ends) > 0 }) != nil {
			return
		}
		if failed || pending {
			r.pause(ctx, holdPause)
		}
	}
}

func (r *Runner) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.holdWake:
	case <-timer.C:
	}
}

// nextHold makes a hold; ready is false while there is no worker or no owner.
func (r *Runner) nextHold(wait time.Duration) (call PollCall, ready bool) {
	if r.offer == nil || r.fence == 0 {
		return PollCall{}, false
	}
	call = PollCall{Incarnation: r.offer.Incarnation, Fence: r.fence, LeaseDeadline: r.lease(), Acked: r.kept, Wait: wait.Milliseconds()}
	if r.unsure || time.Since(r.answered) > seenFor {
		// It may be another life under the same ID, whose ends are counted anew.
		call.Acked = 0
	}
	return call, true
}

// lease is the granted deadline on the worker's clock, for a call that is about to be
// sent: 0 when there is none to give. A silent worker gets no longer lease, so that what it
// has can run out. A reading of the clock is older than its answer, so the result is never
// later than the deadline.
func (r *Runner) lease() int64 {
	if r.silent || r.clockAt.IsZero() || !time.Now().Before(r.deadline) {
		return 0
	}
	left := time.Until(r.deadline)
	r.lapse = latest(r.lapse, r.deadline.Add(left/clockSlack+lapseExtra))
	return r.clock + r.deadline.Sub(r.clockAt).Milliseconds()
}

// hold calls the worker once and takes its answer. It tells whether that failed.
func (r *Runner) hold(ctx context.Context, call PollCall) bool {
	bounded, cancel := context.WithTimeout(ctx, time.Duration(call.Wait)*time.Millisecond+holdBound)
	defer cancel()
	sent := time.Now()
	lists, err := r.worker.Poll(bounded, call)
	got := time.Now()
	failed := false
	loopErr := r.loop.Do(func() { failed = r.held(call, lists, err, sent, got) })
	return failed || loopErr != nil
}

// look asks for the lists at once, beside the hold that may be waiting.
func (r *Runner) look() {
	call, ready := r.nextHold(0)
	if !ready {
		return
	}
	r.loop.Go(func() { r.hold(r.loop.Context(), call) })
}

// held takes the answer to a hold. It tells whether the hold failed.
func (r *Runner) held(call PollCall, lists PollResult, err error, sent, got time.Time) bool {
	if r.offer == nil || call.Incarnation != r.offer.Incarnation {
		return false
	}
	if err != nil || lists.Status != Applied {
		r.unheld(lists, err)
		return true
	}
	r.answered, r.unsure = got, false
	if r.silent {
		r.silent = false
		r.log.Info("worker-answers", zap.String("instance", call.Incarnation.ID))
	}
	if lists.StartedAt != 0 && lists.StartedAt != r.offer.Incarnation.StartedAt {
		if lists.StartedAt > r.offer.Incarnation.StartedAt {
			offer := *r.offer
			offer.Incarnation.StartedAt = lists.StartedAt
			r.newLife(offer)
		}
		return false
	}
	if lists.Clock < r.clock && !r.clockAt.IsZero() {
		return false // overtaken by an answer that the worker gave later
	}
	r.clock, r.clockAt = lists.Clock, got
	r.takeLists(lists, sent)
	if r.session != nil && call.Fence == r.session.epoch && sent.After(r.session.began) && !r.session.listed {
		r.session.listed = true
		r.news()
	}
	r.pacer.observe(r, lists.Running, got)
	return false
}

// unheld takes that a hold got no answer, or was turned away.
func (r *Runner) unheld(lists PollResult, err error) {
	r.set.Add("hold-failed", 1)
	r.unsure = true
	now := time.Now()
	if !r.silent && now.Sub(r.answered) > silentAfter {
		r.silent = true
		r.log.Warn("worker-silent", zap.String("instance", r.offer.Incarnation.ID), zap.Stringer("answer", lists.Status), logs.Error(err))
		r.news()
	}
}

// lapsed tells whether the worker is silent and holds no lease any more.
func (r *Runner) lapsed() bool { return r.silent && time.Now().After(r.lapse) }

// takeLists compares the lists with what is known of the runs.
func (r *Runner) takeLists(lists PollResult, sent time.Time) {
	changed := false
	for _, end := range lists.Ended {
		if end.Sequence <= r.listed {
			continue
		}
		r.listed = end.Sequence
		r.ends = append(r.ends, end)
		changed = true
		if known := r.runs[end.Task]; known != nil && known.number == end.Run {
			delete(r.runs, end.Task)
		}
	}
	here := make(map[dispatch.TaskName]bool, len(lists.Running))
	for _, l := range lists.Running {
		here[l.Task] = true
		changed = r.runs.sawRunning(r, l) || changed
	}
	for name, known := range r.runs {
		if !here[name] && !known.settled.IsZero() && sent.After(known.settled) {
			// It was stopped before it began, or was turned away.
			delete(r.runs, name)
			r.absent(name, known.number)
			changed = true
		}
	}
	if changed {
		r.news()
	}
}
