package runner

import (
	"context"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"go.uber.org/zap"
)

const (
	// holdWait is how long the worker may wait for an end before it answers a hold. It
	// also bounds how late a new grant reaches the worker.
	holdWait = 300 * time.Millisecond
	// holdBound is how long a hold may take beyond its wait.
	holdBound = 600 * time.Millisecond
	// holdPause is the wait between two holds while the worker lists ends that are not
	// kept yet, since it answers at once then.
	holdPause = 25 * time.Millisecond
	// silentAfter is how long a worker may leave its agent without an answer until
	// nothing more is started there.
	silentAfter = 900 * time.Millisecond
	// seenFor is how long after its last answer a worker is taken for the same life.
	seenFor = 450 * time.Millisecond
	// clockSlack is what a lease may last longer than granted: the worker's clock may
	// be 2 % slow.
	clockSlack = 40
	lapseExtra = 100 * time.Millisecond
	// firstLapse is how long a lease may last that an earlier agent gave.
	firstLapse = 4 * time.Second
)

// Settings of a runner.
type Settings struct {
	Name    string // of the agent
	Process string // its incarnation
}

// Runner is the agent's state for its worker. All fields are owned by the loop.
type Runner struct {
	settings Settings
	worker   Worker
	loop     *loop.Loop
	log      *zap.Logger
	set      *metrics.Set

	offer    *dispatch.Offer // nil until the worker has registered
	sequence int64           // of its last registration
	fence    uint64          // highest epoch obeyed
	runs     runsByTask
	// unanswered are the last starts that got no answer, which may be carried out late.
	unanswered map[dispatch.TaskName]unansweredStart
	ends       []dispatch.End // listed and not kept
	listed     int64          // highest number of a listed end
	kept       int64          // ends up to here are in the table

	deadline time.Time // until when the lease is granted
	lapse    time.Time // when all leases given are over for certain
	clock    int64     // a reading of the worker's clock
	clockAt  time.Time // and when it had been read
	answered time.Time // when the worker answered last
	silent   bool
	unsure   bool // the last hold got no answer
	holdWake chan struct{}

	session *session
	number  uint64 // of the last session
	pacer   pacer
}

// New makes a runner for a worker that has not registered yet.
func New(settings Settings, worker Worker, l *loop.Loop, log *zap.Logger, set *metrics.Set) *Runner {
	return &Runner{
		settings: settings, worker: worker, loop: l, log: log, set: set,
		runs: runsByTask{}, unanswered: map[dispatch.TaskName]unansweredStart{}, lapse: time.Now().Add(firstLapse),
		answered: time.Now(), holdWake: make(chan struct{}, 1), pacer: newPacer(),
	}
}

// Register takes what the worker says of itself. Registrations that are older than the
// last change nothing.
func (r *Runner) Register(offer dispatch.Offer, sequence int64) {
	offer.Agent, offer.Process = r.settings.Name, r.settings.Process
	r.loop.Post(func() {
		switch {
		case r.offer == nil || offer.Life.Born > r.offer.Life.Born:
			r.newLife(offer)
		case offer.Life != r.offer.Life || sequence <= r.sequence:
			return
		}
		news := offer.Leaving != r.offer.Leaving
		r.sequence = sequence
		*r.offer = offer
		if news {
			r.log.Info("worker", zap.String("instance", offer.Life.ID), zap.Bool("leaving", offer.Leaving), zap.Int64("remaining", offer.Remaining))
			r.news()
		}
	})
}

// newLife takes that another life of the worker has begun: nothing of before is there.
func (r *Runner) newLife(offer dispatch.Offer) {
	r.log.Info("worker-life", zap.String("instance", offer.Life.ID), zap.Int64("born", offer.Life.Born), zap.Int("lost", len(r.runs)))
	unsettled := r.unsettled(offer)
	if r.offer != nil && r.offer.Life.ID == offer.Life.ID {
		r.lapse = latest(r.lapse, time.Now().Add(link.RebornLapse))
	}
	r.offer = &offer
	r.sequence = 0
	r.runs = unsettled
	r.ends, r.listed, r.kept = nil, 0, 0
	r.clockAt, r.answered, r.silent = time.Time{}, time.Now(), false
	r.endSession()
	r.wakeHold()
}

// unsettled are the runs whose orders may still be on their way, if the next life has
// the ID of the last: it would obey them. A stop settles each.
func (r *Runner) unsettled(next dispatch.Offer) runsByTask {
	left := runsByTask{}
	if r.offer == nil || r.offer.Life.ID != next.Life.ID {
		return left
	}
	for name, known := range r.runs {
		if known.settled.IsZero() {
			left[name] = &run{number: known.number, order: known.order}
		}
	}
	for name, order := range r.unanswered {
		if time.Since(order.at) < lateMost && (left[name] == nil || left[name].number < order.run) {
			left[name] = &run{number: order.run}
		}
	}
	for name, known := range left {
		r.loop.Post(func() { r.settleByStop(known, name) })
	}
	return left
}

// Deregister takes that the worker has left.
func (r *Runner) Deregister(id string) {
	r.loop.Post(func() {
		if r.offer != nil && r.offer.Life.ID == id {
			r.log.Info("worker-left", zap.String("instance", id))
			r.offer.Leaving = true
			r.news()
		}
	})
}

// Run drives the worker until the loop ends.
func (r *Runner) Run() {
	r.loop.Go(r.holdLoop)
}

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
		var call HoldCall
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
func (r *Runner) nextHold(wait time.Duration) (call HoldCall, ready bool) {
	if r.offer == nil || r.fence == 0 {
		return HoldCall{}, false
	}
	call = HoldCall{Life: r.offer.Life, Fence: r.fence, Until: r.lease(), Seen: r.kept, Wait: wait.Milliseconds()}
	if r.unsure || time.Since(r.answered) > seenFor {
		// It may be another life under the same ID, whose ends are counted anew.
		call.Seen = 0
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
func (r *Runner) hold(ctx context.Context, call HoldCall) bool {
	bounded, cancel := context.WithTimeout(ctx, time.Duration(call.Wait)*time.Millisecond+holdBound)
	defer cancel()
	sent := time.Now()
	lists, err := r.worker.Hold(bounded, call)
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
func (r *Runner) held(call HoldCall, lists Lists, err error, sent, got time.Time) bool {
	if r.offer == nil || call.Life != r.offer.Life {
		return false
	}
	if err != nil || lists.Kind != Obeyed {
		r.unheld(lists, err)
		return true
	}
	r.answered, r.unsure = got, false
	if r.silent {
		r.silent = false
		r.log.Info("worker-answers", zap.String("instance", call.Life.ID))
	}
	if lists.Born != 0 && lists.Born != r.offer.Life.Born {
		if lists.Born > r.offer.Life.Born {
			offer := *r.offer
			offer.Life.Born = lists.Born
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
func (r *Runner) unheld(lists Lists, err error) {
	r.set.Add("hold-failed", 1)
	r.unsure = true
	now := time.Now()
	if !r.silent && now.Sub(r.answered) > silentAfter {
		r.silent = true
		r.log.Warn("worker-silent", zap.String("instance", r.offer.Life.ID), zap.Stringer("answer", lists.Kind), logs.Error(err))
		r.news()
	}
}

// lapsed tells whether the worker is silent and holds no lease any more.
func (r *Runner) lapsed() bool { return r.silent && time.Now().After(r.lapse) }

// takeLists compares the lists with what is known of the runs.
func (r *Runner) takeLists(lists Lists, sent time.Time) {
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

func (r *Runner) absent(name dispatch.TaskName, number int64) {
	r.log.Info("run-absent", zap.Stringer("task", name), zap.Int64("run", number))
	if r.session != nil {
		r.session.absents = append(r.session.absents, dispatch.End{Task: name, Run: number, How: dispatch.EndAbsent})
	}
}

// forget drops ends that are in the table.
func (r *Runner) forget(kept int64) {
	if kept <= r.kept {
		return
	}
	r.kept = kept
	left := r.ends[:0]
	for _, end := range r.ends {
		if end.Sequence > kept {
			left = append(left, end)
		}
	}
	r.ends = left
	r.wakeHold()
}

// granted takes a grant for a report that was sent at a time.
func (r *Runner) granted(sent time.Time, ttl time.Duration) {
	if ttl <= 0 {
		return
	}
	if deadline := sent.Add(ttl); deadline.After(r.deadline) {
		r.deadline = deadline
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// news makes the session report soon.
func (r *Runner) news() {
	if r.session != nil {
		r.session.wake()
	}
}

// report is what the owner is told next.
func (r *Runner) report(s *session) link.Report {
	report := link.Report{Offer: *r.offer, Silent: r.silent, Lapsed: r.lapsed(), Figures: slices.Clone(r.pacer.figures)}
	for _, end := range r.ends {
		if end.Sequence > s.reported {
			report.Ends = append(report.Ends, end)
			s.reporting = max(s.reporting, end.Sequence)
		}
	}
	report.Ends = append(report.Ends, s.absents...)
	s.absents = nil
	full := s.listed && !s.full
	report.Full = full
	for name, known := range r.runs {
		if full || known.savedNews {
			known.savedNews = false
			report.Running = append(report.Running, dispatch.Listed{Task: name, Run: known.number, Saved: known.saved})
		}
	}
	return report
}
