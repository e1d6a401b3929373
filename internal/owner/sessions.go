package owner

import (
	"math"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// errNoSession answers reports of agents that have to attach first.
var errNoSession = errors.New("no session")

// attach begins a session.
func (t *term) attach(peer *Conn, a link.Attach) link.AttachReply {
	id := a.Registration.Incarnation.ID
	if old := t.sessions[id]; old != nil && old.peer != peer {
		old.peer.conn.Close()
	}
	t.log.Info("attach", zap.String("instance", id), zap.Int64("born", a.Registration.Incarnation.StartedAt), zap.String("agent", a.Registration.Agent), zap.Uint64("session", a.Session))
	if t.book.Restarted(a.Registration.Incarnation) {
		t.risky[id] = time.Now().Add(link.StaleOrderWindow)
	}
	t.book.Register(time.Now(), a.Registration)
	t.book.Reachable(id, false) // until its list is here
	s := &session{peer: peer, number: a.Session, life: a.Registration.Incarnation, granted: time.Now(), told: map[interference.Pair]float64{}}
	t.sessions[id] = s
	delete(t.lapses, id)
	if t.losing[id] || t.doubtful[id] {
		// A removal of its row may be on its way: the row must be written again first.
		delete(t.doubtful, id)
		t.book.Deregistered(id)
	}
	t.seat.loop.Go(func() {
		select {
		case <-peer.conn.Done():
		case <-t.ctx.Done():
			return
		}
		t.post(func() { t.parted(id, s) })
	})
	t.wake()
	return link.AttachReply{Epoch: t.epoch}
}

// parted takes that the link of a session is gone.
func (t *term) parted(id string, s *session) {
	if t.sessions[id] != s {
		return
	}
	t.log.Warn("instance-parted", zap.String("instance", id))
	delete(t.sessions, id)
	t.book.Reachable(id, false)
	t.lapses[id] = s.granted.Add(grantWait)
	if now := time.Now(); now.Before(t.risky[id]) {
		t.lapses[id] = now.Add(link.MaxStaleLease)
	}
}

// report takes the news of an agent.
func (t *term) report(peer *Conn, r link.Report) (link.ReportReply, error) {
	id := r.Registration.Incarnation.ID
	s := t.sessions[id]
	if s == nil || s.peer != peer || s.life != r.Registration.Incarnation {
		return link.ReportReply{}, errNoSession
	}
	now := time.Now()
	t.book.Register(now, r.Registration)
	t.takeEnds(now, s, r.Ends)
	if r.Full {
		t.book.Reconcile(now, s.life, r.Running)
		s.full = true
		t.sendTraits(id)
	} else {
		t.book.Checkpointed(s.life, r.Running)
	}
	t.book.Observe(now, s.life, r.Measurements)
	t.book.Reachable(id, s.full && !r.Silent)
	if r.LeasesExpired {
		t.log.Warn("instance-lost", zap.String("instance", id), zap.String("reason", "worker silent, its leases are over"))
		t.book.Lost(now, s.life)
		delete(t.sessions, id)
	}
	t.wake()
	return link.ReportReply{Grant: t.grant(s, now).Milliseconds(), Committed: s.kept, Costs: s.news(t.book.Costs(id))}, nil
}

// weightNews is the change of a weight that an agent is told of, in headroom for each core.
const weightNews = 0.02

// news picks the weights that differ from what the agent was told.
func (s *session) news(weights []interference.PairCost) []interference.PairCost {
	var changed []interference.PairCost
	for _, w := range weights {
		told, known := s.told[w.Pair]
		if !known || math.Abs(told-w.Cost) >= weightNews {
			s.told[w.Pair] = w.Cost
			changed = append(changed, w)
		}
	}
	return changed
}

// sendTraits tells an agent what the runs are that it has found.
func (t *term) sendTraits(id string) {
	orders := &link.Orders{}
	for _, trait := range t.book.Runs(id) {
		orders.Specs = append(orders.Specs, startOrder(trait))
	}
	if len(orders.Specs) > 0 {
		t.send(id, orders)
	}
}

// startOrder writes a start for an agent.
func startOrder(s dispatch.Start) link.StartOrder {
	return link.StartOrder{
		Task: s.Task, Run: s.Run, Payload: s.Payload, Checkpoint: s.Checkpoint,
		Image: s.Step.Image, Millicores: s.Step.Need.Processors, BestEffort: s.Step.BestEffort, Target: s.Step.Target,
	}
}

func (t *term) takeEnds(now time.Time, s *session, ends []dispatch.End) {
	for _, end := range ends {
		if end.Sequence > 0 && end.Sequence <= s.seen {
			continue
		}
		s.seen = max(s.seen, end.Sequence)
		t.log.Info("end", zap.Stringer("task", end.Task), zap.Int64("run", end.Run), zap.Stringer("how", end.Reason), zap.String("instance", s.life.ID))
	}
	t.book.Ended(now, s.life, ends)
}

// grant is the lease that a report earns now. An owner whose epoch the table has not
// confirmed for long grants nothing: there may be another.
func (t *term) grant(s *session, now time.Time) time.Duration {
	if now.Sub(t.confirmed) > confirmTTL {
		return 0
	}
	s.granted = now
	return grantTTL
}

// lose gives up instances whose grants are over, after the table has confirmed that
// this is still the owner: the removal of the instance's row depends on that.
func (t *term) lose() {
	now := time.Now()
	for id, over := range t.lapses {
		if now.Before(over) || t.losing[id] {
			continue
		}
		t.losing[id] = true
		place := instancePlace(id)
		change := table.Txn{Preconditions: []table.Precondition{t.guard()}}
		t.putRemoval(&change, place)
		t.seat.loop.Go(func() {
			applied, err := t.seat.apply(change)
			t.post(func() { t.lost(id, over, change, applied, err) })
		})
	}
}

// lost takes the outcome of a removal that was begun since the grants of an instance were
// over.
func (t *term) lost(id string, over time.Time, change table.Txn, applied table.TxnResult, err error) {
	delete(t.losing, id)
	switch applied.Outcome {
	case table.Committed:
	case table.Conflict:
		if !t.relearn(change.Preconditions, applied.Rows) {
			t.seat.depose("the removal of an instance found another owner")
		}
		return
	default:
		t.doubtful[id] = true
		t.log.Warn("instance-loss-unconfirmed", zap.String("instance", id), logs.Error(err))
		return
	}
	delete(t.versions, instancePlace(id))
	delete(t.doubtful, id)
	if lapse, silent := t.lapses[id]; !silent || lapse.After(over) {
		// It is back, or has been meanwhile and was granted more. Its row has to be
		// written again.
		t.book.Deregistered(id)
		t.wake()
		return
	}
	delete(t.lapses, id)
	t.log.Warn("instance-lost", zap.String("instance", id), zap.String("reason", "silent until its grants were over"))
	t.book.LostByID(time.Now(), id)
	t.wake()
}

func (t *term) guard() table.Precondition {
	return table.Precondition{RowKey: ownerPlace(), Revision: t.under}
}
