package owner

import (
	"math"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Conn identifies the link on which a call of another process arrives.
type Conn struct {
	link *link.Conn
}

// NewConn returns a Conn without a link. Bind sets the link.
func NewConn() *Conn { return &Conn{} }

// Bind sets the link. It must be called before the first call is served.
func (c *Conn) Bind(conn *link.Conn) { c.link = conn }

// session is an agent's session with the owner.
type session struct {
	conn             *Conn
	number           uint64
	incarnation      dispatch.Incarnation
	agent            string    // name of the agent
	full             bool      // the agent has sent its full run list
	silent           bool      // the worker did not answer its agent at the last report
	lastSeenEnd      int64     // highest sequence number of an end that the scheduler has recorded
	lastCommittedEnd int64     // highest sequence number of an end that is in the table
	lastSentCommit   int64     // lastCommittedEnd as last sent to the agent
	ackDue           time.Time // when a lastCommittedEnd that was not sent yet is sent on its own
	// leaseCountedFrom is the time of the last grant, or of the attach before the first one:
	// leases of the previous session were granted before the attach.
	leaseCountedFrom time.Time
	lastReportAt     time.Time                     // of the last report, or of the attach before the first one
	sentCost         map[interference.Pair]float64 // costs that the agent was last sent
	domain           string                        // failure domain of the instance
	refusesStarts    bool                          // the agent knows that its domain is evacuated
}

// errNoSession is returned for a report of an agent that must attach first.
var errNoSession = errors.New("no session: the agent must attach first")

// handleAttach starts a session of an agent and closes the link of its previous session.
func (t *term) handleAttach(conn *Conn, a link.Attach) link.AttachReply {
	t.attaches++
	id := a.Registration.Incarnation.ID
	t.attached[id] = true
	if old := t.sessions[id]; old != nil && old.conn != conn {
		old.conn.link.Close()
	}
	t.log.Info("attach", zap.String("instance", id), zap.Int64("born", a.Registration.Incarnation.StartedAt), zap.String("agent", a.Registration.Agent), zap.Uint64("session", a.Session))
	t.recordCrash(a)
	t.register(a)
	t.scheduler.SetReachable(id, false) // until the agent has sent its full run list
	s := &session{
		conn: conn, number: a.Session, incarnation: a.Registration.Incarnation, agent: a.Registration.Agent, domain: a.Registration.Domain,
		leaseCountedFrom: time.Now(), lastReportAt: time.Now(), sentCost: map[interference.Pair]float64{},
	}
	t.sessions[id] = s
	delete(t.leaseExpiry, id)
	if t.removing[id] || t.removalUncertain[id] {
		// A removal of the instance's row may still take effect: the row must be written
		// again before the instance is used.
		delete(t.removalUncertain, id)
		t.scheduler.RowDeleted(id)
	}
	t.elector.loop.Go(func() {
		select {
		case <-conn.link.Done():
		case <-t.ctx.Done():
			return
		}
		t.post(func() { t.disconnected(id, s) })
	})
	t.noteAgentEvacuation(s, a.Evacuation)
	t.schedulePlan()
	return link.AttachReply{
		Epoch: t.epoch, Attach: t.attaches, Restarted: t.scheduler.Restarted(id), Incremental: true, Evacuation: t.evacuationNotice(s),
	}
}

// recordCrash passes the crash of a worker that its agent reports to the scheduler.
func (t *term) recordCrash(a link.Attach) {
	if a.Crash == nil {
		return
	}
	now := time.Now()
	crash := dispatch.Crash{Agent: a.Registration.Agent, At: now.Add(-time.Duration(a.Crash.Age) * time.Millisecond), Runs: a.Crash.Suspects}
	for _, task := range t.scheduler.Crashed(now, crash) {
		t.log.Warn("crash", zap.Stringer("task", task), zap.String("agent", a.Registration.Agent))
	}
}

// endSilentSessions ends the sessions without a report for sessionTimeout.
func (t *term) endSilentSessions(now time.Time) {
	for id, s := range t.sessions {
		if silence := now.Sub(s.lastReportAt); silence > sessionTimeout {
			t.log.Warn("session-silent", zap.String("instance", id), zap.Uint64("session", s.number), zap.Duration("silent", silence))
			s.conn.link.Close()
			t.disconnected(id, s)
		}
	}
}

// disconnected ends a session whose link has closed or is silent, and sets the time at which
// the last lease of its instance expires.
func (t *term) disconnected(id string, s *session) {
	if t.sessions[id] != s {
		return
	}
	t.log.Warn("instance-parted", zap.String("instance", id))
	delete(t.sessions, id)
	t.scheduler.SetReachable(id, false)
	t.leaseExpiry[id] = s.leaseCountedFrom.Add(leaseExpiryWait)
	t.grantsEnd[id] = t.leaseExpiry[id]
	if until := t.staleLeaseUntil[id]; until.After(t.leaseExpiry[id]) {
		t.leaseExpiry[id] = until
	}
}

// handleReport passes an agent's report to the scheduler and returns the new lease.
func (t *term) handleReport(conn *Conn, r link.Report) (link.ReportReply, error) {
	if r.Registration != nil {
		r.Incarnation = r.Registration.Incarnation // agents of earlier versions state it there only
	}
	id := r.Incarnation.ID
	s := t.sessions[id]
	if s == nil || s.conn != conn || s.incarnation != r.Incarnation {
		return link.ReportReply{}, errNoSession
	}
	now := time.Now()
	s.lastReportAt = now
	t.staleLeaseUntil[id] = now.Add(time.Duration(r.StaleLease) * time.Millisecond)
	if r.Registration != nil {
		t.scheduler.Register(now, *r.Registration)
		s.domain = r.Registration.Domain
	}
	t.noteAgentEvacuation(s, r.Evacuation)
	t.recordEnds(now, s, r.Ends)
	if r.Full {
		t.scheduler.Reconcile(now, s.incarnation, r.Running)
		s.full = true
		t.sendRunSpecs(id)
	} else {
		t.scheduler.Checkpointed(now, s.incarnation, r.Running)
	}
	t.scheduler.Observe(now, s.incarnation, r.Measurements)
	t.scheduler.SetReachable(id, s.full && !r.Silent)
	if r.Silent && !s.silent {
		t.scheduler.Silent(now.Add(-link.SilenceTimeout), s.agent)
	}
	if r.LeasesExpired {
		t.holdUnderWay(id, s.agent, t.scheduler.ProcessOf(id), r.UnderWay)
		t.lose(id, s.incarnation, "worker silent, its leases are over")
	}
	if changesPlan(s, r) {
		t.schedulePlan()
	}
	s.silent, s.lastSentCommit = r.Silent, s.lastCommittedEnd
	return link.ReportReply{Grant: t.grant(s, now).Milliseconds(), Committed: s.lastCommittedEnd, Costs: s.changedCosts(t.scheduler.Costs(id)), Evacuation: t.evacuationNotice(s)}, nil
}

// changesPlan reports whether a report may change the next plan at once: it frees resources, or
// changes what the instance can be used for. Measurements wait for the next tick.
func changesPlan(s *session, r link.Report) bool {
	return r.Full || len(r.Ends) > 0 || r.Registration != nil || r.Silent != s.silent || r.LeasesExpired
}

// minCostChange is the smallest change of a cost that is sent to an agent, in headroom per
// core.
const minCostChange = 0.02

// changedCosts returns the costs that differ by minCostChange or more from those last sent
// to the agent, and records them as sent.
func (s *session) changedCosts(costs []interference.PairCost) []interference.PairCost {
	var changed []interference.PairCost
	for _, cost := range costs {
		sentCost, known := s.sentCost[cost.Pair]
		if !known || math.Abs(sentCost-cost.Cost) >= minCostChange {
			s.sentCost[cost.Pair] = cost.Cost
			changed = append(changed, cost)
		}
	}
	return changed
}

// sendRunSpecs sends an agent the specifications of the runs on its instance, since it may
// have found runs there that it did not start itself.
func (t *term) sendRunSpecs(id string) {
	orders := &link.Orders{}
	for _, start := range t.scheduler.Runs(id) {
		orders.Specs = append(orders.Specs, startOrder(start))
	}
	if len(orders.Specs) > 0 {
		t.send(id, orders)
	}
}

// startOrder converts a start of the scheduler into an order to an agent.
func startOrder(s dispatch.Start) link.StartOrder {
	return link.StartOrder{
		Task: s.Task, Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint,
		Image: s.Step.Image, Millicores: s.Step.Need.Processors, BestEffort: s.Step.BestEffort, Target: s.Step.Target,
	}
}

func (t *term) recordEnds(now time.Time, s *session, ends []dispatch.End) {
	for i := range ends {
		ends[i].UnderWay = min(ends[i].UnderWay, maxCallRemaining.Milliseconds())
	}
	for _, end := range ends {
		if end.Sequence > 0 && end.Sequence <= s.lastSeenEnd {
			continue
		}
		s.lastSeenEnd = max(s.lastSeenEnd, end.Sequence)
		t.log.Info("end", zap.Stringer("task", end.Task), zap.Int64("run", end.Run), zap.Stringer("how", end.Reason), zap.String("instance", s.incarnation.ID))
	}
	t.scheduler.Ended(now, s.incarnation, ends)
}

func (t *term) ownerPrecondition() table.Precondition {
	return table.Precondition{RowKey: ownerRowKey(), Revision: t.ownerRevision}
}
