package owner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"go.uber.org/zap"
)

// schedulePlan schedules the next plan. It leaves a pause after the last plan of
// planIdleFactor times that plan's duration, but waits at most tickPeriod.
func (t *term) schedulePlan() {
	if t.planScheduled || !t.loaded {
		return
	}
	t.planScheduled = true
	plan := func() {
		t.post(func() {
			t.planScheduled = false
			t.dispatch()
		})
	}
	if rest := time.Until(t.lastPlanAt.Add(planIdleFactor * t.planDuration)); rest > 0 {
		time.AfterFunc(min(rest, tickPeriod), plan)
		return
	}
	plan()
}

// tick does the work that depends on the time alone: recurring jobs that are due, silent
// sessions, expired leases, a new plan and acknowledgements.
func (t *term) tick() {
	t.scheduler.Trigger(t.elector.nowMillis())
	t.endSilentSessions(time.Now())
	t.removeExpired()
	t.dispatch()
	t.sendAcks(time.Now())
	t.logWaits(time.Now())
	t.gaugeRoom(time.Now())
}

// dispatch makes a plan, sends the resulting orders to the agents and schedules a commit of
// the scheduler's changes. Starts are not stored before they are sent: a later owner learns which
// runs exist on an instance from its full report, and from the instance rows for which instances it
// must wait. The commit stores the starts that are under way. During a handover it does nothing.
func (t *term) dispatch() {
	if t.onEnd != nil {
		return // a start would not be stored before the handover
	}
	orders := map[string]*link.Orders{}
	ordersFor := func(id string) *link.Orders {
		if orders[id] == nil {
			orders[id] = &link.Orders{}
		}
		return orders[id]
	}
	now := time.Now()
	starts := t.scheduler.Plan(now)
	t.lastPlanAt = time.Now()
	t.planDuration = t.lastPlanAt.Sub(now)
	t.elector.registry.Observe("plan", t.planDuration)
	for _, start := range starts {
		t.log.Info("start", zap.Stringer("task", start.Task), zap.Int64("run", start.Run), zap.String("instance", start.Instance))
		ordersFor(start.Instance).Starts = append(ordersFor(start.Instance).Starts, startOrder(start))
	}
	t.startsOrdered = t.startsOrdered || len(starts) > 0
	t.logSpeeds()
	for _, stop := range t.scheduler.TakeStops() {
		t.log.Info("stop", zap.Stringer("task", stop.Task), zap.Int64("run", stop.Run), zap.String("instance", stop.Instance), zap.Stringer("reason", stop.Reason))
		ordersFor(stop.Instance).Stops = append(ordersFor(stop.Instance).Stops, link.StopOrder{Task: stop.Task, Run: stop.Run})
	}
	for _, postponed := range t.scheduler.TakePostponements() {
		t.log.Info("postponed", zap.String("job", postponed.Job), zap.Float64("work", postponed.Work), zap.Float64("cores", postponed.Cores))
	}
	t.logStepDurations()
	t.logWindows()
	for id, order := range orders {
		t.send(id, order)
	}
	t.collectInstanceChanges()
	t.scheduleCommit()
}

// collectInstanceChanges queues the instance rows that the scheduler wants written or
// removed. The lease of a removed instance is no longer waited for.
func (t *term) collectInstanceChanges() {
	for _, change := range t.scheduler.TakeInstanceChanges() {
		t.queueChange(change)
		if change.Gone {
			delete(t.leaseExpiry, change.Registration.Incarnation.ID)
		}
	}
}

// send sends orders to the agent of an instance. If the call fails, the session ends; the
// full run list of the agent's next session shows which orders were carried out.
func (t *term) send(id string, orders *link.Orders) {
	s := t.sessions[id]
	if s == nil {
		return
	}
	orders.Session, orders.Committed, orders.Evacuation = s.number, s.lastCommittedEnd, t.evacuationNotice(s)
	s.lastSentCommit = s.lastCommittedEnd
	t.elector.loop.Go(func() {
		callCtx, cancel := context.WithTimeout(t.ctx, ordersTimeout)
		defer cancel()
		var done struct{}
		if err := s.conn.link.Call(callCtx, link.MethodOrders, orders, &done); err != nil && t.ctx.Err() == nil {
			t.log.Warn("orders-failed", zap.String("instance", id), logs.Error(err))
			s.conn.link.Close()
			return
		}
		if orders.Evacuation != nil {
			t.post(func() { t.confirmEvacuation(s, orders.Evacuation) })
		}
	})
}
