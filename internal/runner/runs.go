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
	// orderBound is how long the worker may take to answer an order.
	orderBound = 400 * time.Millisecond
	// orderPause is the wait before an order is sent again.
	orderPause = 50 * time.Millisecond
	// stopTime is how long a worker may take to stop a run; until then its lists may show
	// the run neither as running nor as ended.
	stopTime = 450 * time.Millisecond
	// lateMost is how long after it was sent an order may still be carried out.
	lateMost = 15 * time.Second
	// startTries is how often a start is sent until the run is settled by a stop.
	startTries = 3
)

// run is one run that may be on the worker, or that an order may still start there.
type run struct {
	number    int64
	order     link.StartOrder
	saved     string
	savedNews bool
	stopping  bool
	// settled is when it became certain that no order is on its way that could still
	// start the run: a list asked for later shows it or it is not there.
	settled time.Time
}

// runsByTask are the runs of a worker.
type runsByTask map[dispatch.TaskName]*run

// sawRunning takes a run on the worker's list. It tells whether that is news.
func (m runsByTask) sawRunning(r *Runner, l RunStatus) bool {
	known := m[l.Task]
	if known == nil || known.number < l.Run {
		// Of an earlier agent or owner, or a late order: the owner decides.
		r.log.Info("run-found", zap.Stringer("task", l.Task), zap.Int64("run", l.Run))
		m[l.Task] = &run{number: l.Run, saved: l.Checkpoint, savedNews: true, settled: time.Now()}
		return true
	}
	if known.number != l.Run {
		return false
	}
	if known.settled.IsZero() {
		known.settled = time.Now()
	}
	if known.saved != l.Checkpoint {
		known.saved, known.savedNews = l.Checkpoint, true
	}
	return false
}

// obey carries out orders of the session with the number. Orders of older sessions are
// void: the owner has a full list that does not have them.
func (r *Runner) obey(orders link.Orders) {
	if r.session == nil || r.session.number != orders.Session {
		r.log.Info("orders-void", zap.Uint64("session", orders.Session))
		return
	}
	r.forget(orders.Committed)
	for _, trait := range orders.Specs {
		if known := r.runs[trait.Task]; known != nil && known.number == trait.Run {
			known.order.Image, known.order.Millicores = trait.Image, trait.Millicores
			known.order.BestEffort, known.order.Target = trait.BestEffort, trait.Target
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
	why := ""
	known := r.runs[order.Task]
	switch {
	case known != nil && (known.number >= order.Run || known.settled.IsZero()):
		why = "another run of the task is open"
	case r.offer.Draining:
		why = "worker is leaving"
	}
	if why != "" {
		r.log.Warn("start-refused", zap.Stringer("task", order.Task), zap.Int64("run", order.Run), zap.String("reason", why))
		r.absent(order.Task, order.Run)
		r.news()
		return
	}
	known = &run{number: order.Run, order: order, saved: order.Checkpoint}
	r.runs[order.Task] = known
	r.tryStart(known, 1)
}

// current tells whether a run is still the one of its task in this life.
func (r *Runner) current(life dispatch.Incarnation, known *run, name dispatch.TaskName) bool {
	return r.offer != nil && r.offer.Incarnation == life && r.runs[name] == known
}

// tryStart sends the start of a run.
func (r *Runner) tryStart(known *run, try int) {
	order := known.order
	call := StartCall{
		Incarnation: r.offer.Incarnation, Fence: r.fence, LeaseDeadline: r.lease(),
		Task: order.Task, Run: order.Run, Payload: order.Payload, Checkpoint: order.Checkpoint,
	}
	sent := time.Now()
	if call.LeaseDeadline == 0 {
		r.log.Warn("start-refused", zap.Stringer("task", order.Task), zap.String("reason", "no lease"), zap.Int("try", try))
		r.startDenied(known, call, try)
		return
	}
	r.loop.Go(func() {
		bounded, cancel := context.WithTimeout(r.loop.Context(), orderBound)
		defer cancel()
		answer, err := r.worker.Start(bounded, call)
		r.loop.Post(func() {
			r.set.Observe("start-order", time.Since(sent))
			r.startAnswered(known, call, try, answer, err)
		})
	})
}

func (r *Runner) startAnswered(known *run, call StartCall, try int, answer Answer, err error) {
	if err != nil {
		r.noteUnanswered(call)
	}
	if !r.current(call.Incarnation, known, call.Task) {
		return
	}
	switch {
	case err == nil && answer.Status == Applied:
		known.settled = time.Now()
		if known.order.BestEffort {
			r.pacer.set(r, known, call.Task)
		}
	case err == nil:
		r.log.Warn("start-denied", zap.Stringer("task", call.Task), zap.Int64("run", call.Run), zap.Stringer("answer", answer.Status), zap.String("reason", answer.Reason), zap.Int("try", try))
		r.set.Add("start-denied", 1)
		r.startDenied(known, call, try)
	case known.stopping:
	case try >= startTries:
		r.log.Warn("start-unanswered", zap.Stringer("task", call.Task), zap.Int64("run", call.Run), zap.Int("tries", try), logs.Error(err))
		r.settleByStop(known, call.Task)
	default:
		r.set.Add("start-again", 1)
		r.after(orderPause, func() {
			if r.current(call.Incarnation, known, call.Task) && known.settled.IsZero() && !known.stopping {
				r.tryStart(known, try+1)
			}
		})
	}
}

// unansweredStart is a start that got no answer.
type unansweredStart struct {
	run int64
	at  time.Time
}

func (r *Runner) noteUnanswered(call StartCall) {
	now := time.Now()
	for name, order := range r.unanswered {
		if now.Sub(order.at) > lateMost {
			delete(r.unanswered, name)
		}
	}
	r.unanswered[call.Task] = unansweredStart{call.Run, now}
}

// startDenied takes that a start was turned away. An earlier try without an answer may
// still be carried out; a stop rules that out.
func (r *Runner) startDenied(known *run, call StartCall, try int) {
	if known.stopping || !known.settled.IsZero() {
		return
	}
	if try > 1 {
		r.settleByStop(known, call.Task)
		return
	}
	known.settled = time.Now()
	r.look()
}

// after runs f on the loop later.
func (r *Runner) after(d time.Duration, f func()) {
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

// settleByStop stops a run until the worker confirms it. Then the run is over, or never
// will be.
func (r *Runner) settleByStop(known *run, name dispatch.TaskName) {
	if known.stopping || r.runs[name] != known {
		return
	}
	known.stopping = true
	known.settled = time.Time{}
	r.tryStop(known, name)
}

func (r *Runner) tryStop(known *run, name dispatch.TaskName) {
	call := StopCall{Incarnation: r.offer.Incarnation, Fence: r.fence, Task: name, Run: known.number}
	r.loop.Go(func() {
		bounded, cancel := context.WithTimeout(r.loop.Context(), orderBound)
		defer cancel()
		answer, err := r.worker.Stop(bounded, call)
		r.loop.Post(func() { r.stopAnswered(known, call, answer, err) })
	})
}

func (r *Runner) stopAnswered(known *run, call StopCall, answer Answer, err error) {
	if !r.current(call.Incarnation, known, call.Task) {
		return
	}
	if err == nil && answer.Status == Applied {
		known.settled = time.Now().Add(stopTime)
		r.after(stopTime+orderPause, r.look)
		return
	}
	r.set.Add("stop-again", 1)
	r.after(orderPause, func() {
		if r.current(call.Incarnation, known, call.Task) {
			r.tryStop(known, call.Task)
		}
	})
}
