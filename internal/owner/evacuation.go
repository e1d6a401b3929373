package owner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/internal/link"
	"go.uber.org/zap"
)

// Evacuations are the operators' requests to evacuate failure domains. The rows of the table count,
// not the memory of a process.
type Evacuations struct {
	Known    *evacuation.Tracker  // what this process knows
	Requests *evacuation.Follower // reads the rows, before the first plan of each term
	// Follow says that nothing else in this process follows the rows, so that each term does.
	Follow bool
}

// handleEvacuated records what another entry knows of the evacuated domains.
func (e *Elector) handleEvacuated(params []byte) (any, error) {
	state, err := link.Decode[evacuation.State](params)
	if err == nil {
		e.settings.Evacuations.Known.Merge(state)
	}
	return struct{}{}, err
}

// followEvacuations gives the scheduler the evacuated domains, now and at each change until the term
// ends.
func (t *term) followEvacuations() {
	evacuations := t.elector.settings.Evacuations
	changed := make(chan struct{}, 1)
	cancel := evacuations.Known.Subscribe(func() { // also called on the loop, where a post may block for ever
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	t.elector.loop.Go(func() {
		defer cancel()
		for {
			select {
			case <-t.ctx.Done():
				return
			case <-changed:
				t.post(t.applyEvacuations)
			}
		}
	})
	if evacuations.Follow {
		t.elector.loop.Go(func() { evacuations.Requests.Run(t.ctx, evacuations.Known, t.log) })
	}
	t.applyEvacuations()
}

// applyEvacuations gives the scheduler and the agents the evacuated domains.
func (t *term) applyEvacuations() {
	domains := t.evacuations().Domains()
	t.scheduler.SetEvacuated(domains)
	t.inForce = retain(t.inForce, domains)
	for _, domain := range domains {
		if t.scheduler.InDomain(domain) == 0 && !t.inForce[domain] {
			t.inForce[domain] = true
			t.log.Warn("evacuation-of-no-instance", zap.String("domain", domain))
		}
	}
	for id, s := range t.sessions {
		if t.evacuationNotice(s) != nil {
			t.send(id, &link.Orders{})
		}
	}
	t.schedulePlan()
}

// retain returns the entries of a set whose keys are in keys.
func retain(set map[string]bool, keys []string) map[string]bool {
	retained := map[string]bool{}
	for _, key := range keys {
		if set[key] {
			retained[key] = true
		}
	}
	return retained
}

func (t *term) evacuations() evacuation.State { return t.elector.settings.Evacuations.Known.State() }

// evacuationNotice returns what an agent must be told of the evacuation of its domain, or nil if it
// knows.
func (t *term) evacuationNotice(s *session) *link.Evacuation {
	mark := t.evacuations().Of(s.domain)
	if mark.Evacuated && s.domain == "" || mark.Evacuated == s.refusesStarts {
		return nil
	}
	return &link.Evacuation{Evacuated: mark.Evacuated, Revision: mark.Revision}
}

// noteAgentEvacuation records what an agent says that it knows of the evacuation of its domain. It
// may know more than this owner, from an earlier one.
func (t *term) noteAgentEvacuation(s *session, known *link.Evacuation) {
	if known != nil {
		t.elector.settings.Evacuations.Known.Record(s.domain, true, known.Revision)
	}
	t.setRefusesStarts(s, known != nil)
}

// confirmEvacuation records that an agent has received a notice. nil: the message had none.
func (t *term) confirmEvacuation(s *session, notice *link.Evacuation) {
	if notice != nil {
		t.setRefusesStarts(s, notice.Evacuated)
	}
}

// setRefusesStarts records whether an agent refuses starts. An evacuation is in force once all
// agents of the domain do.
func (t *term) setRefusesStarts(s *session, refuses bool) {
	changed := refuses && !s.refusesStarts
	s.refusesStarts = refuses
	seen := t.elector.settings.Evacuations.Known.SeenAt(s.domain)
	if !changed || seen.IsZero() {
		return
	}
	t.elector.registry.Observe("evacuation", time.Since(seen))
	instances := 0
	for _, other := range t.sessions {
		if other.domain == s.domain && other.refusesStarts {
			instances++
		}
	}
	if !t.inForce[s.domain] && instances >= t.scheduler.InDomain(s.domain) {
		t.inForce[s.domain] = true
		t.log.Info("evacuation-in-force", zap.String("domain", s.domain), zap.Int("instances", instances), zap.Duration("after", time.Since(seen)))
	}
}

// readEvacuations reads the requests, so that the first plan of the term knows them.
func (t *term) readEvacuations(ctx context.Context) error {
	evacuations := t.elector.settings.Evacuations
	return evacuations.Requests.Read(ctx, evacuations.Known)
}
