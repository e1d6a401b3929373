package runner

import (
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
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
	Name             string // of the agent
	AgentIncarnation string // its incarnation
}

// Runner is the agent's state for its worker. All fields are owned by the loop.
type Runner struct {
	settings Settings
	worker   Worker
	loop     *loop.Loop
	log      *zap.Logger
	set      *metrics.Registry

	offer    *dispatch.Registration // nil until the worker has registered
	sequence int64                  // of its last registration
	fence    uint64                 // highest epoch obeyed
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
func New(settings Settings, worker Worker, l *loop.Loop, log *zap.Logger, set *metrics.Registry) *Runner {
	return &Runner{
		settings: settings, worker: worker, loop: l, log: log, set: set,
		runs: runsByTask{}, unanswered: map[dispatch.TaskName]unansweredStart{}, lapse: time.Now().Add(firstLapse),
		answered: time.Now(), holdWake: make(chan struct{}, 1), pacer: newPacer(),
	}
}

// Register takes what the worker says of itself. Registrations that are older than the
// last change nothing.
func (r *Runner) Register(offer dispatch.Registration, sequence int64) {
	offer.Agent, offer.AgentIncarnation = r.settings.Name, r.settings.AgentIncarnation
	r.loop.Post(func() {
		switch {
		case r.offer == nil || offer.Incarnation.StartedAt > r.offer.Incarnation.StartedAt:
			r.newLife(offer)
		case offer.Incarnation != r.offer.Incarnation || sequence <= r.sequence:
			return
		}
		news := offer.Draining != r.offer.Draining
		r.sequence = sequence
		*r.offer = offer
		if news {
			r.log.Info("worker", zap.String("instance", offer.Incarnation.ID), zap.Bool("leaving", offer.Draining), zap.Int64("remaining", offer.GracePeriod))
			r.news()
		}
	})
}

// newLife takes that another life of the worker has begun: nothing of before is there.
func (r *Runner) newLife(offer dispatch.Registration) {
	r.log.Info("worker-life", zap.String("instance", offer.Incarnation.ID), zap.Int64("born", offer.Incarnation.StartedAt), zap.Int("lost", len(r.runs)))
	unsettled := r.unsettled(offer)
	if r.offer != nil && r.offer.Incarnation.ID == offer.Incarnation.ID {
		r.lapse = latest(r.lapse, time.Now().Add(link.MaxStaleLease))
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
func (r *Runner) unsettled(next dispatch.Registration) runsByTask {
	left := runsByTask{}
	if r.offer == nil || r.offer.Incarnation.ID != next.Incarnation.ID {
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
		if r.offer != nil && r.offer.Incarnation.ID == id {
			r.log.Info("worker-left", zap.String("instance", id))
			r.offer.Draining = true
			r.news()
		}
	})
}

// Run drives the worker until the loop ends.
func (r *Runner) Run() {
	r.loop.Go(r.holdLoop)
}

func (r *Runner) absent(name dispatch.TaskName, number int64) {
	r.log.Info("run-absent", zap.Stringer("task", name), zap.Int64("run", number))
	if r.session != nil {
		r.session.absents = append(r.session.absents, dispatch.End{Task: name, Run: number, Reason: dispatch.EndNotStarted})
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
	report := link.Report{Registration: *r.offer, Silent: r.silent, LeasesExpired: r.lapsed(), Measurements: slices.Clone(r.pacer.figures)}
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
			report.Running = append(report.Running, dispatch.RunStatus{Task: name, Run: known.number, Checkpoint: known.saved})
		}
	}
	return report
}
