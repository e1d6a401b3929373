package runner

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// reportPeriod is the time between two reports without news; each renews the grant.
	reportPeriod = 500 * time.Millisecond
	// reportBound is how long the owner may take to answer a report.
	reportBound = time.Second
	// dialBound is how long a connection to the owner may take.
	dialBound = 500 * time.Millisecond
	// retryPause is the wait before the owner is tried again.
	retryPause = 100 * time.Millisecond
)

// session is the agent's session with one owner.
type session struct {
	number    uint64
	epoch     uint64
	conn      *link.Conn
	began     time.Time
	listed    bool // the worker has listed what it runs since the session began
	full      bool // the owner has the whole list
	reported  int64
	reporting int64
	absents   []dispatch.End
	woken     chan struct{}
}

func (s *session) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// endSession parts from the owner; the next session begins with a full list.
func (r *Runner) endSession() {
	if r.session != nil {
		r.session.conn.Close()
		r.session = nil
	}
}

// Dial opens a connection to a process of the system.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// RunSession keeps a session with the owner whose address find returns ("" while there is
// none), until the loop ends.
func (r *Runner) RunSession(dial Dial, find func() string) {
	r.loop.Go(func() {
		ctx := r.loop.Context()
		trouble := logs.NewFailureLogger(r.log, "attach-failed")
		for ctx.Err() == nil {
			address := find()
			registered := false
			if r.loop.Do(func() { registered = r.offer != nil && !r.lapsed() }) != nil {
				return
			}
			if address == "" || !registered {
				pauseFor(ctx, retryPause)
				continue
			}
			trouble.Note(r.serveOnce(ctx, dial, address, func() bool { return find() == address }))
			pauseFor(ctx, retryPause)
		}
	})
}

func pauseFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// serveOnce runs one session to its end. Its error is nil if it began.
func (r *Runner) serveOnce(ctx context.Context, dial Dial, address string, still func() bool) error {
	bounded, cancel := context.WithTimeout(ctx, dialBound)
	defer cancel()
	stream, err := dial(bounded, address)
	if err != nil {
		return errors.Wrapf(err, "dial owner %s", address)
	}
	conn := link.New(ctx, stream, address, r.set, r.handle)
	defer conn.Close()
	s, err := r.attach(bounded, conn)
	if err != nil {
		return err
	}
	r.log.Info("session", zap.String("owner", address), zap.Uint64("epoch", s.epoch), zap.Uint64("session", s.number))
	err = r.reportUntilEnd(ctx, s, still)
	r.log.Info("session-over", zap.String("owner", address), zap.Uint64("session", s.number), logs.Error(err))
	return errors.Wrap(r.loop.Do(func() {
		if r.session == s {
			r.endSession()
		}
	}), "end session")
}

// attach begins a session.
func (r *Runner) attach(ctx context.Context, conn *link.Conn) (*session, error) {
	var request link.Attach
	err := r.loop.Do(func() {
		r.endSession()
		r.number++
		request = link.Attach{Registration: *r.offer, Session: r.number}
	})
	if err != nil {
		return nil, err
	}
	var attached link.AttachReply
	if err := conn.Call(ctx, link.MethodAttach, request, &attached); err != nil {
		return nil, err
	}
	s := &session{number: request.Session, epoch: attached.Epoch, conn: conn, began: time.Now(), woken: make(chan struct{}, 1)}
	loopErr := r.loop.Do(func() {
		switch {
		case attached.Epoch < r.fence:
			err = errors.Newf("owner of epoch %d is older than %d", attached.Epoch, r.fence)
		case r.offer.Incarnation != request.Registration.Incarnation:
			err = errors.New("the worker has begun another life")
		default:
			r.fence, r.session = attached.Epoch, s
			r.wakeHold()
			r.look()
		}
	})
	return s, errors.CombineErrors(err, loopErr)
}

// handle answers the owner's calls.
func (r *Runner) handle(_ context.Context, method string, params json.RawMessage) (any, error) {
	if method != link.MethodOrders {
		return nil, link.ErrMethod(method)
	}
	orders, err := link.Decode[link.Orders](params)
	if err != nil {
		return nil, err
	}
	return struct{}{}, r.loop.Do(func() { r.obey(orders) })
}

// reportUntilEnd reports until the session ends or the owner is another.
func (r *Runner) reportUntilEnd(ctx context.Context, s *session, still func() bool) error {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for still() {
		if over, err := r.reportOnce(ctx, s); over || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.conn.Done():
			return errors.New("link closed")
		case <-s.woken:
		case <-ticker.C:
		}
	}
	return errors.New("another owner")
}

func (r *Runner) reportOnce(ctx context.Context, s *session) (over bool, err error) {
	var report link.Report
	loopErr := r.loop.Do(func() {
		if r.session != s {
			over = true
			return
		}
		report = r.report(s)
	})
	if over || loopErr != nil {
		return over, loopErr
	}
	bounded, cancel := context.WithTimeout(ctx, reportBound)
	defer cancel()
	sent := time.Now()
	var reported link.ReportReply
	if err := s.conn.Call(bounded, link.MethodReport, report, &reported); err != nil {
		return false, err
	}
	loopErr = r.loop.Do(func() {
		if r.session != s {
			return
		}
		s.full = s.full || report.Full
		s.reported = s.reporting
		r.granted(sent, time.Duration(reported.Grant)*time.Millisecond)
		r.forget(reported.Committed)
		for _, weight := range reported.Costs {
			r.pacer.pairs.Set(weight)
		}
	})
	return report.LeasesExpired, loopErr
}
