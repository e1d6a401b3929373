package runner

import (
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// pollWait is the longest time that the worker may wait for a run to end before it
	// answers a poll. It also bounds the delay until a new lease reaches the worker.
	pollWait = 300 * time.Millisecond
	// pollTimeoutMargin is the time that a poll may take in addition to its wait.
	pollTimeoutMargin = 600 * time.Millisecond
	// pollPause is the pause before the next poll after a failed one, and while the worker's
	// poll results contain ends that are not in the table yet, since it answers at once then.
	pollPause = 25 * time.Millisecond
	// silenceTimeout is the time without an answer after which a worker counts as silent and
	// no more runs are started on it.
	silenceTimeout = link.SilenceTimeout
	// incarnationTrustPeriod is the time after its last answer in which a worker is assumed to
	// be the same incarnation.
	incarnationTrustPeriod = 450 * time.Millisecond
)

// Settings configure a Runner.
type Settings struct {
	Name             string // name of the agent
	AgentIncarnation string // incarnation of the agent process
	// MaxLease is the longest lease that the worker accepts, on its own clock.
	MaxLease time.Duration
}

// Runner drives one worker for the owner of the shard. Its fields belong to the loop; its
// exported methods may be called from any other goroutine.
type Runner struct {
	settings Settings
	worker   Worker
	loop     *loop.Loop
	log      *zap.Logger
	registry *metrics.Registry

	ignored             *logs.FailureLogger    // of registrations that cannot be used
	registration        *dispatch.Registration // nil until the worker has registered
	registrationVersion int                    // increases with each change of registration
	sequence            int64                  // of the worker's last registration
	probing             bool                   // a poll is to show whether another incarnation has replaced the known one
	epoch               uint64                 // highest epoch of an owner that this agent has attached to
	sessionFence        uint64                 // fencing token of the last session, 0 before the first one
	fencedOff           bool                   // see noteFencedOff
	runs                runsByTask
	startCalls          startCalls
	ends                []dispatch.End // from the worker's poll results and not yet in the table
	lastListedEnd       int64          // highest sequence number of an end in a poll result
	committedEnd        int64          // ends up to this sequence number are in the table

	leases               leases    // of the worker
	workerClock          int64     // last reading of the worker's clock, in ms
	clockReadAt          time.Time // when the answer with that reading arrived
	lastAnswerAt         time.Time // when the worker last answered
	silent               bool
	left                 bool      // the worker has deregistered, after which it ends
	restartedAt          time.Time // when the worker was first known to have restarted under its ID; zero: it has not
	lastStartAnswerAt    time.Time // when the worker last answered a start
	incarnationUncertain bool      // the last poll failed
	lastCrash            crash     // of the worker
	createdAt            time.Time
	settledReportDue     bool // see reportSettledSoon
	pollWake             chan struct{}

	session     *session
	lastSession uint64 // number of the last session
	// lossReportedTo is the epoch of the last owner that has received a report of expired leases.
	lossReportedTo uint64
	servedAt       atomic.Pointer[time.Time] // when an owner last answered a report
	evacuation     link.Evacuation           // of the worker's failure domain, as last known
	evacuatedAt    time.Time                 // when it was last learned that it is evacuated
	coldUntil      time.Time                 // until when the worker is slow after its start; zero: it never was
	pacer          pacer
}

// New returns a runner for a worker that has not registered yet.
func New(settings Settings, worker Worker, l *loop.Loop, log *zap.Logger, registry *metrics.Registry) *Runner {
	r := &Runner{
		settings: settings, worker: worker, loop: l, log: log, registry: registry, ignored: logs.NewFailureLogger(log, "registration-ignored"),
		runs: runsByTask{}, startCalls: startCalls{}, leases: newLeases(settings.MaxLease),
		lastAnswerAt: time.Now(), createdAt: time.Now(), pollWake: make(chan struct{}, 1), pacer: newPacer(),
	}
	r.noteServed()
	return r
}

// noteServed records that an owner has answered.
func (r *Runner) noteServed() {
	now := time.Now()
	r.servedAt.Store(&now)
}

// UnservedFor returns the time since an owner last answered a report of this agent, or since the
// agent's start.
func (r *Runner) UnservedFor() time.Duration { return time.Since(*r.servedAt.Load()) }

// Register records the worker's registration. It ignores a registration whose sequence is not above
// the last one's. A registration of another incarnation than the known one replaces that only once the
// worker has answered a poll as the new one, since another writer may have sent it.
func (r *Runner) Register(registration dispatch.Registration, sequence int64) {
	registration.Agent, registration.AgentIncarnation = r.settings.Name, r.settings.AgentIncarnation
	r.loop.Post(func() {
		switch {
		case r.registration == nil:
			r.startIncarnation(registration)
		case registration.Incarnation != r.registration.Incarnation:
			r.registerOther(registration, sequence)
			return
		case sequence <= r.sequence:
			return
		}
		r.fencedOff = false
		changed := registration.Draining != r.registration.Draining
		r.sequence, r.left = sequence, false
		r.forgetOtherDomain(registration)
		r.noteCold(takeCold(&registration))
		if !reflect.DeepEqual(*r.registration, registration) {
			*r.registration = registration
			r.registrationVersion++
		}
		if changed {
			r.log.Info("worker", zap.String("instance", registration.Incarnation.ID), zap.Bool("leaving", registration.Draining), zap.Int64("remaining", registration.GracePeriod))
			r.requestReport()
		}
	})
}

// IgnoreRegistration logs and counts a registration of the given ID that cannot be used.
func (r *Runner) IgnoreRegistration(id string, err error) {
	r.registry.Add("registration-ignored", 1)
	r.ignored.Note(errors.Wrapf(err, "instance %.80q", id))
}

// startIncarnation resets the state for a new incarnation of the worker. No run of the
// previous incarnation exists any more.
func (r *Runner) startIncarnation(registration dispatch.Registration) {
	r.log.Info("worker-life", zap.String("instance", registration.Incarnation.ID), zap.Int64("born", registration.Incarnation.StartedAt), zap.Int("lost", len(r.runs)))
	r.logStartCalls()
	r.recordCrash()
	unsettled := r.unsettled(registration)
	r.forgetOtherDomain(registration)
	switch {
	case r.registration == nil:
	case r.registration.Incarnation.ID == registration.Incarnation.ID:
		r.leases.restarted()
		r.restartedAt = time.Now()
	default:
		r.leases.replaced()
		r.startCalls, r.restartedAt = startCalls{}, time.Time{}
	}
	r.coldUntil = takeCold(&registration)
	r.registration = &registration
	r.registrationVersion++
	r.sequence = 0
	r.runs = unsettled
	r.ends, r.lastListedEnd, r.committedEnd = nil, 0, 0
	r.clockReadAt, r.lastAnswerAt, r.silent, r.left, r.fencedOff = time.Time{}, time.Now(), false, false, false
	r.endSession()
	r.wakePoll()
}

// unsettled returns the runs whose start orders may still reach the next incarnation, which
// would carry them out if it has the same ID as the previous one. It posts a stop of each.
func (r *Runner) unsettled(next dispatch.Registration) runsByTask {
	remaining := runsByTask{}
	if r.registration == nil || r.registration.Incarnation.ID != next.Incarnation.ID {
		return remaining
	}
	for name, known := range r.runs {
		if known.settledAt.IsZero() {
			remaining[name] = &run{number: known.number, startTries: known.startTries, order: known.order}
		}
	}
	for name, call := range r.startCalls.list() {
		if remaining[name] == nil || remaining[name].number < call.run {
			remaining[name] = &run{number: call.run}
		}
	}
	for name, known := range remaining {
		r.loop.Post(func() { r.settleByStop(known, name) })
	}
	return remaining
}

// Deregister marks the worker as draining, since it has left. Shortly after a restart under its ID it does
// nothing: the silence of a worker that has left shows that, and its registrations that of one that leaves.
func (r *Runner) Deregister(id string) {
	r.loop.Post(func() {
		if r.registration != nil && r.registration.Incarnation.ID == id {
			if time.Since(r.restartedAt) < link.MaxCallDelay {
				// An earlier incarnation may have sent it.
				r.log.Info("deregistration-ignored", zap.String("instance", id))
				return
			}
			r.log.Info("worker-left", zap.String("instance", id))
			r.registration.Draining, r.left, r.fencedOff = true, true, false
			r.registrationVersion++
			r.requestReport()
		}
	})
}

// OwesLossReport reports whether the worker has deregistered and the owner of the given epoch does not
// know yet that nothing runs on it any more. It would wait for the worker's leases.
func (r *Runner) OwesLossReport(epoch uint64) bool {
	owes := false
	// After the end of the loop nothing can be reported.
	_ = r.loop.Do(func() { owes = r.left && r.lossReportedTo < epoch })
	return owes
}

// StartPolling starts to poll the worker, until the loop ends. It returns at once.
func (r *Runner) StartPolling() {
	r.loop.Go(r.pollLoop)
}

func (r *Runner) reportNotStarted(name dispatch.TaskName, number int64) {
	r.log.Info("run-not-started", zap.Stringer("task", name), zap.Int64("run", number))
	if r.session != nil {
		r.session.notStarted = append(r.session.notStarted, dispatch.End{Task: name, Run: number, Reason: dispatch.EndNotStarted})
	}
}

// forget drops the ends up to committedEnd, which are in the table.
func (r *Runner) forget(committedEnd int64) {
	if committedEnd <= r.committedEnd {
		return
	}
	r.committedEnd = committedEnd
	remaining := r.ends[:0]
	for _, end := range r.ends {
		if end.Sequence > committedEnd {
			remaining = append(remaining, end)
		}
	}
	r.ends = remaining
	r.wakePoll()
}

// requestReport makes the session send a report at once.
func (r *Runner) requestReport() {
	if r.session != nil {
		r.session.wake()
	}
}

// changedRegistration returns a copy of the registration, or nil if the owner has the current one
// already, and marks it as reported.
func (r *Runner) changedRegistration(s *session) *dispatch.Registration {
	if s.incremental && s.reported == r.registrationVersion {
		return nil
	}
	s.reported = r.registrationVersion
	registration := r.withCold()
	return &registration
}

// takeReport returns the next report to the owner and marks what it contains as reported. If it
// is not delivered, the session must end.
func (r *Runner) takeReport(s *session) link.Report {
	report := link.Report{
		Incarnation: r.registration.Incarnation, Registration: r.changedRegistration(s),
		Silent: r.silent, LeasesExpired: r.declareLeasesExpired(), StaleLease: r.leases.staleFor().Milliseconds(),
		Measurements: slices.Clone(r.pacer.measurements), Evacuation: r.knownEvacuation(),
	}
	for _, end := range r.ends {
		if end.Sequence > s.lastReportedEnd {
			report.Ends = append(report.Ends, end)
			s.reportingEnd = max(s.reportingEnd, end.Sequence)
		}
	}
	report.Ends = append(report.Ends, s.notStarted...)
	s.notStarted = nil
	for i := range report.Ends {
		report.Ends[i].UnderWay = r.startCalls.remaining(report.Ends[i].Task)
	}
	report.Full = s.listed && !s.full
	report.Running = r.takeRunning(report.Full)
	if report.LeasesExpired {
		report.UnderWay = r.startCalls.underWay()
	}
	return report
}

// takeRunning returns the runs for the next report, all of them if it is full, and marks what they say as
// reported.
func (r *Runner) takeRunning(full bool) []dispatch.RunStatus {
	var running []dispatch.RunStatus
	for name, known := range r.runs {
		settled := r.settled(name, known)
		if full || known.checkpointChanged || settled && !known.settledReported {
			known.checkpointChanged, known.settledReported = false, settled
			running = append(running, dispatch.RunStatus{Task: name, Run: known.number, Checkpoint: known.checkpoint, Settled: settled})
		}
	}
	return running
}
