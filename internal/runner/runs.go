package runner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"go.uber.org/zap"
)

const (
	// orderTimeout bounds the time in which the worker must answer an order.
	orderTimeout = 400 * time.Millisecond
	// orderRetryDelay is the delay before an order is sent again.
	orderRetryDelay = 50 * time.Millisecond
	// maxStopDuration is the longest time that a worker takes to stop a run. Until then its
	// poll results may show the run neither as running nor as ended.
	maxStopDuration = 450 * time.Millisecond
	// maxStartTries is the number of times that a start is sent without an answer before the
	// run is stopped instead.
	maxStartTries = 3
)

// run is a run that exists on the worker, or that an order may still start there.
type run struct {
	number            int64
	startTries        int // calls of this process that start it
	order             link.StartOrder
	checkpoint        string
	checkpointChanged bool
	settledReported   bool // the owner has received that its start is settled
	stopping          bool
	found             bool // an earlier agent or owner started it, or a late order
	// settledAt is the time from which on no order in flight can start the run any more. If the
	// result of a poll that is sent later does not show the run, it does not exist. The zero
	// time means that a start may be in flight.
	settledAt time.Time
	begunAt   time.Time // since when the run counts as begun, see recordStartAnswer; zero before that
}

// settleStart records that the start has reached the worker. A stop that is in flight settles
// the run later: until the worker has carried it out, its lists may omit the run.
func (k *run) settleStart() {
	k.recordBegun()
	if !k.stopping && k.settledAt.IsZero() {
		k.settledAt = time.Now()
	}
}

// runsByTask holds the runs of a worker, at most one for each task.
type runsByTask map[dispatch.TaskName]*run

// recordRunning records a run that a poll result shows as running. It reports whether the run
// was unknown.
func (m runsByTask) recordRunning(r *Runner, l RunStatus) bool {
	known := m[l.Task]
	if known == nil || known.number < l.Run {
		// An earlier agent or owner started the run, or a late order did. The owner decides
		// what happens to it.
		r.log.Info("run-found", zap.Stringer("task", l.Task), zap.Int64("run", l.Run))
		m[l.Task] = &run{number: l.Run, checkpoint: l.Checkpoint, checkpointChanged: true, settledAt: time.Now(), found: true}
		return true
	}
	if known.number != l.Run {
		return false
	}
	r.startCalls.noteListed(l.Task, known)
	known.settleStart()
	if !known.settledReported {
		r.reportSettledSoon()
	}
	if known.checkpoint != l.Checkpoint {
		known.checkpoint, known.checkpointChanged = l.Checkpoint, true
	}
	return false
}

// applyOrders carries out orders of the current session. It ignores orders of older sessions:
// each session sends a full status report, and the owner decides again from that.
func (r *Runner) applyOrders(orders link.Orders) {
	if r.session == nil || r.session.number != orders.Session {
		r.log.Info("orders-ignored", zap.Uint64("session", orders.Session))
		return
	}
	r.forget(orders.Committed)
	r.noteEvacuation(orders.Evacuation)
	for _, spec := range orders.Specs {
		if known := r.runs[spec.Task]; known != nil && known.number == spec.Run {
			known.order.Image, known.order.Millicores = spec.Image, spec.Millicores
			known.order.BestEffort, known.order.Target = spec.BestEffort, spec.Target
		}
	}
	for _, order := range orders.Starts {
		r.start(order)
	}
	for _, order := range orders.Stops {
		r.stop(order)
	}
}

func (r *Runner) start(order link.StartOrder) {
	reason := ""
	known := r.runs[order.Task]
	switch {
	case known != nil && (known.number >= order.Run || known.settledAt.IsZero()):
		reason = "another run of the task is open"
	case r.registration.Draining:
		reason = "worker is leaving"
	case r.evacuation.Evacuated:
		reason = "failure domain is evacuated"
	}
	if reason != "" {
		r.log.Warn("start-refused", zap.Stringer("task", order.Task), zap.Int64("run", order.Run), zap.String("reason", reason))
		r.reportNotStarted(order.Task, order.Run)
		r.requestReport()
		return
	}
	known = &run{number: order.Run, order: order, checkpoint: order.Checkpoint}
	r.runs[order.Task] = known
	r.tryStart(known, 1)
}

// isCurrent reports whether known still is the run of its task and incarnation still is the
// worker's.
func (r *Runner) isCurrent(incarnation dispatch.Incarnation, known *run, name dispatch.TaskName) bool {
	return r.registration != nil && r.registration.Incarnation == incarnation && r.runs[name] == known
}

// tryStart sends the start of a run to the worker.
func (r *Runner) tryStart(known *run, try int) {
	order := known.order
	call := StartCall{
		Incarnation: r.registration.Incarnation, Fence: r.sessionFence, LeaseDeadline: r.grantLease(),
		Task: order.Task, Run: order.Run, Payload: order.Payload, Checkpoint: order.Checkpoint,
	}
	sent := time.Now()
	if call.LeaseDeadline == 0 {
		r.log.Warn("start-refused", zap.Stringer("task", order.Task), zap.String("reason", "no lease"), zap.Int("try", try))
		r.startRejected(known, call, try)
		return
	}
	known.startTries++
	sending, leastClock := r.startCalls.add(order.Task, order.Run), r.leastClock()
	r.callStart(call, func(answer Answer, err error) {
		r.registry.Observe("start-order", time.Since(sent))
		if r.answeredByOther(call.Incarnation, leastClock, answer, err) {
			r.settleOther(known, call)
			return
		}
		if !r.startCallEnded(call, sending, err) {
			r.registry.Add("start-unanswered", 1)
		}
		r.startAnswered(known, call, try, sent, answer, err)
	}, func(answer Answer, err error) {
		if r.answeredByOther(call.Incarnation, leastClock, answer, err) {
			return
		}
		r.startCallEnded(call, sending, err)
		r.startAnsweredLate(known, call, answer, err)
	})
}

// settleOther settles a start that another incarnation has answered by a stop, unless that has become known as the
// worker's by then, which settles all starts. The call counts as under way: it has begun the run there.
func (r *Runner) settleOther(known *run, call StartCall) {
	r.postAfter(orderTimeout, func() {
		if r.isCurrent(call.Incarnation, known, call.Task) {
			r.settleByStop(known, call.Task)
		}
	})
}

// startCallEnded records that a call was answered or failed. It reports whether the call is not under way any more.
func (r *Runner) startCallEnded(call StartCall, sending startCall, err error) bool {
	ended := err == nil || neverSent(err)
	if ended {
		r.startCalls.remove(call.Task, sending)
	}
	return ended
}

// startAnswered handles the answer of the known incarnation to a start, or its lack after orderTimeout.
func (r *Runner) startAnswered(known *run, call StartCall, try int, sent time.Time, answer Answer, err error) {
	r.recordStartAnswer(known, call, sent, answer, err)
	if !r.isCurrent(call.Incarnation, known, call.Task) {
		return
	}
	switch {
	case err == nil && answer.Status == Applied:
		r.startApplied(known, call)
	case err == nil:
		r.log.Warn("start-denied", zap.Stringer("task", call.Task), zap.Int64("run", call.Run), zap.Stringer("answer", answer.Status), zap.String("reason", answer.Reason), zap.Int("try", try))
		r.registry.Add("start-denied", 1)
		r.startRejected(known, call, try)
	case known.stopping:
	case try >= maxStartTries:
		r.log.Warn("start-unanswered", zap.Stringer("task", call.Task), zap.Int64("run", call.Run), zap.Int("tries", try), logs.Error(err))
		r.settleByStop(known, call.Task)
	default:
		r.registry.Add("start-again", 1)
		r.postAfter(orderRetryDelay, func() {
			if r.isCurrent(call.Incarnation, known, call.Task) && known.settledAt.IsZero() && !known.stopping {
				r.startAgain(known, call.Task, try+1)
			}
		})
	}
}

// startApplied records that the worker has carried out a start.
func (r *Runner) startApplied(known *run, call StartCall) {
	r.noteStarted(call)
	known.settleStart()
	r.reportSettledSoon()
	if known.order.BestEffort {
		r.pacer.set(r, known, call.Task)
	}
}

// startAnsweredLate handles the answer to a start after orderTimeout, when the run may have been started by
// another try, or stopped.
func (r *Runner) startAnsweredLate(known *run, call StartCall, answer Answer, err error) {
	if !r.isCurrent(call.Incarnation, known, call.Task) {
		return
	}
	if err == nil && answer.Status == Applied && !known.stopping && known.settledAt.IsZero() {
		r.startApplied(known, call)
		return
	}
	r.reportSettledSoon()
}

// answeredByOther reports whether another incarnation of the worker answered an order than the one that
// it was meant for, whose clock had reached leastClock. Such an answer settles nothing: the order is stopped as
// one that is in flight, by startIncarnation, at once or when a poll shows the incarnation.
func (r *Runner) answeredByOther(meant dispatch.Incarnation, leastClock int64, answer Answer, err error) bool {
	byStart := answer.StartedAt != 0 && answer.StartedAt != meant.StartedAt
	byClock := answer.AnsweredAt != 0 && answer.AnsweredAt < leastClock
	if err != nil || !byStart && !byClock {
		return false
	}
	r.log.Warn("answered-by-other-life", zap.String("instance", meant.ID), zap.Int64("born", meant.StartedAt), zap.Int64("answered", answer.StartedAt), zap.Int64("clock", answer.AnsweredAt), zap.Int64("least", leastClock), zap.Stringer("answer", answer.Status))
	r.registry.Add("answered-by-other-life", 1)
	if r.registration != nil && r.registration.Incarnation == meant && answer.StartedAt > meant.StartedAt {
		registration := *r.registration
		registration.Incarnation.StartedAt = answer.StartedAt
		r.startIncarnation(registration)
	} else {
		r.pollNow()
	}
	return true
}

// startRejected handles a start that the worker rejected, or that was not sent for lack of a
// lease. An earlier try that got no answer may still be carried out, so after any try but the
// first the run is stopped instead of being settled at once.
func (r *Runner) startRejected(known *run, call StartCall, try int) {
	if known.stopping || !known.settledAt.IsZero() {
		return
	}
	if try > 1 {
		r.settleByStop(known, call.Task)
		return
	}
	known.settledAt = time.Now()
	r.pollNow()
}

// postAfter runs f on the loop after d.
func (r *Runner) postAfter(d time.Duration, f func()) {
	time.AfterFunc(d, func() { r.loop.Post(f) })
}

func (r *Runner) stop(order link.StopOrder) {
	known := r.runs[order.Task]
	if known == nil {
		known = &run{number: order.Run}
		r.runs[order.Task] = known
	}
	if known.number != order.Run {
		return
	}
	r.settleByStop(known, order.Task)
}

// settleByStop sends a stop of a run until the worker confirms it. After that the run has
// ended or can never start.
func (r *Runner) settleByStop(known *run, name dispatch.TaskName) {
	if known.stopping || r.runs[name] != known {
		return
	}
	known.stopping = true
	known.settledAt = time.Time{}
	r.tryStop(known, name)
}

func (r *Runner) tryStop(known *run, name dispatch.TaskName) {
	call := StopCall{Incarnation: r.registration.Incarnation, Fence: r.sessionFence, Task: name, Run: known.number}
	leastClock := r.leastClock()
	r.loop.Go(func() {
		callCtx, cancel := context.WithTimeout(r.loop.Context(), orderTimeout)
		defer cancel()
		answer, err := r.worker.Stop(callCtx, call)
		r.loop.Post(func() { r.stopAnswered(known, call, leastClock, answer, err) })
	})
}

func (r *Runner) stopAnswered(known *run, call StopCall, leastClock int64, answer Answer, err error) {
	other := r.answeredByOther(call.Incarnation, leastClock, answer, err)
	if !r.isCurrent(call.Incarnation, known, call.Task) {
		return
	}
	if err == nil && answer.Status == Applied && !other {
		known.settledAt = time.Now().Add(maxStopDuration)
		r.postAfter(maxStopDuration+orderRetryDelay, r.pollNow)
		return
	}
	r.registry.Add("stop-again", 1)
	r.postAfter(orderRetryDelay, func() {
		if r.isCurrent(call.Incarnation, known, call.Task) {
			r.tryStop(known, call.Task)
		}
	})
}
