package owner

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"go.uber.org/zap"
)

// takeoverWait returns the time from a claim until every lease that an earlier owner granted, and every stale
// lease that a worker got before the claim, has expired.
func (t *term) takeoverWait() time.Duration {
	return max(grantedLeaseWait, link.MaxStaleLease(t.elector.settings.MaxLease))
}

// grant returns the duration of the lease that the owner grants for a report received at
// now. It is 0 if the table has not confirmed the owner's epoch for epochConfirmationTTL,
// since another process may be the owner by then; the time of a suspension counts.
func (t *term) grant(s *session, now time.Time) time.Duration {
	if t.elector.now().since(t.epochConfirmed) > epochConfirmationTTL {
		return 0
	}
	s.leaseCountedFrom = now
	return leaseTTL
}

// register passes the registration of an attach to the scheduler, and records for how long its worker may hold
// a stale lease. A new agent process learns only from the reply that its worker has restarted before.
func (t *term) register(a link.Attach) {
	id := a.Registration.Incarnation.ID
	newProcess := !t.scheduler.DrivenBy(id, a.Registration.AgentIncarnation)
	t.scheduler.Register(time.Now(), a.Registration)
	t.extendStaleLease(id, time.Duration(a.StaleLease)*time.Millisecond)
	if newProcess && t.scheduler.Restarted(id) {
		t.extendStaleLease(id, link.MaxUnfencedLease(t.elector.settings.MaxLease))
	}
}

// extendStaleLease records that the worker of an instance may hold a stale lease for that long.
func (t *term) extendStaleLease(id string, remaining time.Duration) {
	if until := time.Now().Add(remaining); until.After(t.staleLeaseUntil[id]) {
		t.staleLeaseUntil[id] = until
	}
}

// handleExpired handles the message of an agent that all leases of its worker have expired. No session
// starts. The message may arrive late: once the instance has attached in this term, its worker may have been
// given leases since, and the owner waits for those instead.
func (t *term) handleExpired(a link.Attach) link.AttachReply {
	incarnation, process := a.Registration.Incarnation, a.Registration.AgentIncarnation
	if a.Epoch == t.epoch && !t.attached[incarnation.ID] && !t.awaitsStaleLease(incarnation.ID, process) {
		t.holdUnderWay(incarnation.ID, a.Registration.Agent, process, a.UnderWay)
		t.lose(incarnation.ID, incarnation, "worker silent, its leases are over")
	}
	return link.AttachReply{Epoch: t.epoch, Incremental: true}
}

// handleVacant handles the message of an agent process without a worker. The instances in the table that
// earlier processes of the agent registered are lost, unless they have attached in this term or their
// worker may hold a stale lease.
func (t *term) handleVacant(a link.Attach) link.AttachReply {
	process := a.Registration.AgentIncarnation
	for _, registration := range t.scheduler.RegisteredBy(a.Registration.Agent) {
		id := registration.Incarnation.ID
		if a.Epoch == t.epoch && !t.attached[id] && registration.AgentIncarnation != process && !t.awaitsStaleLease(id, process) {
			t.holdUnderWay(id, a.Registration.Agent, process, nil)
			t.lose(id, registration.Incarnation, "its agent has restarted and has no worker")
		}
	}
	return link.AttachReply{Epoch: t.epoch, Incremental: true}
}

// awaitsStaleLease reports whether the worker of an instance without a session may hold a stale lease of
// which the given agent process does not know, since an earlier process drove the worker.
func (t *term) awaitsStaleLease(id, agentIncarnation string) bool {
	return t.scheduler.Restarted(id) && !t.scheduler.DrivenBy(id, agentIncarnation) && time.Now().Before(t.leaseExpiry[id])
}

// lose ends the session of an instance if its agent has reported that all leases given to the worker
// have expired: nothing runs there any more.
func (t *term) lose(id string, incarnation dispatch.Incarnation, reason string) {
	t.log.Warn("instance-lost", zap.String("instance", id), zap.String("reason", reason))
	t.scheduler.Lost(time.Now(), incarnation)
	delete(t.sessions, id)
	t.schedulePlan()
}
