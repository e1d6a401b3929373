package runner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// reportPeriod is the time between two reports if nothing changes. Each report renews the
	// lease.
	reportPeriod = 500 * time.Millisecond
	// reportTimeout bounds the time in which the owner must answer a report.
	reportTimeout = time.Second
	// dialTimeout bounds the opening of a connection to the owner.
	dialTimeout = 500 * time.Millisecond
	// reconnectDelay is the delay before the next attempt to attach to the owner.
	reconnectDelay = 100 * time.Millisecond
)

// session is the agent's session with one owner.
type session struct {
	number          uint64
	epoch           uint64
	incremental     bool // the owner keeps the registration, see link.AttachReply
	conn            *link.Conn
	began           time.Time
	listed          bool           // a poll that was sent since the session began has listed all runs and ends
	full            bool           // the owner has received the full status report
	lastReportedEnd int64          // highest sequence number of an end that the owner has received
	reportingEnd    int64          // the same, including the report in flight
	notStarted      []dispatch.End // ends of runs that never started, not reported yet
	reported        int            // version of the registration that was last sent to the owner
	wakeup          chan struct{}
}

func (s *session) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// endSession closes the link to the owner. The next session sends a full status report again.
func (r *Runner) endSession() {
	if r.session != nil {
		r.session.conn.Close()
		r.session = nil
	}
}

// StartSessions starts to keep a session with the owner, until the loop ends. find returns the
// owner's address, or "" if no owner is known, and its epoch. StartSessions returns at once.
func (r *Runner) StartSessions(dial link.Dial, find func() (address string, epoch uint64)) {
	r.loop.Go(func() {
		ctx := r.loop.Context()
		attachFailures := logs.NewFailureLogger(r.log, "attach-failed")
		for ctx.Err() == nil {
			address, epoch := find()
			due := false
			if r.loop.Do(func() { due = r.sessionDue(epoch) }) != nil {
				return
			}
			if address == "" || !due {
				sleep(ctx, reconnectDelay)
				continue
			}
			attachFailures.Note(r.runOneSession(ctx, dial, address, epoch, func() bool {
				current, _ := find()
				return current == address
			}))
			sleep(ctx, reconnectDelay)
		}
	})
}

// sessionDue reports whether the agent should attach to the owner of the given epoch. If all leases have
// expired it does so once more for each new owner, which otherwise waits for the instance.
func (r *Runner) sessionDue(epoch uint64) bool {
	if r.fencedOff {
		return false
	}
	if r.vacant() || r.leasesExpired() {
		return epoch > r.lossReportedTo
	}
	return r.registration != nil
}

// vacant reports whether no worker has registered with this process, and all leases that an earlier
// process of the agent gave have expired.
func (r *Runner) vacant() bool { return r.registration == nil && r.leases.expired() }

// newAttach returns the message that starts the next session with the owner of the given epoch, or tells
// it that all leases have expired.
func (r *Runner) newAttach(epoch uint64) link.Attach {
	attach := link.Attach{Session: r.lastSession, Epoch: epoch, Evacuation: r.knownEvacuation()}
	if r.registration == nil {
		attach.Vacant = true
		attach.Registration.Agent, attach.Registration.AgentIncarnation = r.settings.Name, r.settings.AgentIncarnation
		return attach
	}
	attach.Registration, attach.LeasesExpired, attach.Crash = r.withCold(), r.declareLeasesExpired(), r.lastCrash.report()
	attach.StaleLease = r.leases.staleFor().Milliseconds()
	if attach.LeasesExpired {
		attach.UnderWay = r.startCalls.underWay()
	}
	return attach
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runOneSession attaches to the owner and reports to it until the session ends. It returns an
// error if no session started or the loop has ended. Why a session ended is only logged. If all
// leases have expired, the attach itself tells the owner, and no session starts.
func (r *Runner) runOneSession(ctx context.Context, dial link.Dial, address string, epoch uint64, isOwner func() bool) error {
	callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	stream, err := dial(callCtx, address)
	if err != nil {
		return errors.Wrapf(err, "dial owner %s", address)
	}
	conn := link.New(ctx, stream, address, r.registry, r.handle)
	defer conn.Close()
	s, err := r.attach(callCtx, conn, epoch)
	if err != nil || s == nil {
		return err
	}
	r.log.Info("session", zap.String("owner", address), zap.Uint64("epoch", s.epoch), zap.Uint64("session", s.number))
	err = r.reportUntilEnd(ctx, s, isOwner)
	r.log.Info("session-ended", zap.String("owner", address), zap.Uint64("session", s.number), logs.Error(err))
	return errors.Wrap(r.loop.Do(func() {
		if r.session == s {
			r.endSession()
		}
	}), "end session")
}

// attach ends the previous session and starts a new one with the owner, whose epoch is epoch as far as
// this agent knows. It fails if the call to the owner fails, if the owner's epoch is lower than one
// that this agent has attached to, or if the worker has restarted meanwhile. The session is nil if
// all leases have expired.
func (r *Runner) attach(ctx context.Context, conn *link.Conn, epoch uint64) (*session, error) {
	var request link.Attach
	version := 0
	err := r.loop.Do(func() {
		r.endSession()
		r.lastSession++
		version = r.registrationVersion
		request = r.newAttach(epoch)
	})
	if err != nil {
		return nil, err
	}
	var attached link.AttachReply
	if err := conn.Call(ctx, link.MethodAttach, request, &attached); err != nil {
		return nil, err
	}
	s := &session{number: request.Session, epoch: attached.Epoch, incremental: attached.Incremental, reported: version, conn: conn, began: time.Now(), wakeup: make(chan struct{}, 1)}
	loopErr := r.loop.Do(func() {
		switch {
		case attached.Epoch < r.epoch:
			err = errors.Newf("owner has epoch %d, older than epoch %d already seen", attached.Epoch, r.epoch)
		case request.Vacant:
			r.lossReportedTo, s = epoch, nil
		case r.registration.Incarnation != request.Registration.Incarnation:
			err = errors.New("the worker has restarted during the attach")
		case request.LeasesExpired:
			r.lossReportedTo, s = epoch, nil
		default:
			r.epoch, r.sessionFence, r.session = attached.Epoch, link.Fence(attached.Epoch, attached.Attach), s
			if attached.Restarted {
				r.leases.learnRestarted()
			}
			r.lossReportedTo, r.fencedOff = 0, false // a later loss is to be reported to the same owner again
			r.noteEvacuation(attached.Evacuation)
			r.wakePoll()
			r.pollNow()
		}
	})
	return s, errors.CombineErrors(err, loopErr)
}

// handle handles a call of the owner.
func (r *Runner) handle(_ context.Context, method string, params json.RawMessage) (any, error) {
	if method != link.MethodOrders {
		return nil, link.UnknownMethod(method)
	}
	orders, err := link.Decode[link.Orders](params)
	if err != nil {
		return nil, err
	}
	return struct{}{}, r.loop.Do(func() { r.applyOrders(orders) })
}

// reportUntilEnd sends reports until the session ends or isOwner reports false.
func (r *Runner) reportUntilEnd(ctx context.Context, s *session, isOwner func() bool) error {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for isOwner() {
		if ended, err := r.reportOnce(ctx, s); ended || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.conn.Done():
			return errors.New("link closed")
		case <-s.wakeup:
		case <-ticker.C:
		}
	}
	return errors.New("the owner has changed")
}

// reportOnce sends one report and applies the reply. ended is true if the session has ended or
// was replaced, or if the report said that the worker's leases have expired.
func (r *Runner) reportOnce(ctx context.Context, s *session) (ended bool, err error) {
	var report link.Report
	loopErr := r.loop.Do(func() {
		if r.session != s {
			ended = true
			return
		}
		report = r.takeReport(s)
	})
	if ended || loopErr != nil {
		return ended, loopErr
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := time.Now()
	var reply link.ReportReply
	if err := s.conn.Call(callCtx, link.MethodReport, report, &reply); err != nil {
		return false, err
	}
	r.noteServed()
	loopErr = r.loop.Do(func() {
		if r.session != s {
			return
		}
		if report.LeasesExpired {
			r.lossReportedTo = s.epoch
		}
		s.full = s.full || report.Full
		s.lastReportedEnd = s.reportingEnd
		if !report.LeasesExpired {
			r.leases.extendGrant(sent, time.Duration(reply.Grant)*time.Millisecond)
		}
		r.forget(reply.Committed)
		r.noteEvacuation(reply.Evacuation)
		for _, cost := range reply.Costs {
			r.pacer.model.Set(cost)
		}
	})
	return report.LeasesExpired, loopErr
}
