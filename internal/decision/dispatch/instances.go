package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// InstanceChange is a change to an instance's table row: write it, or delete it if Gone is
// set.
type InstanceChange struct {
	Registration Registration
	Gone         bool
}

// TakeInstanceChanges returns the changes to instance rows since the last call.
func (s *Scheduler) TakeInstanceChanges() []InstanceChange {
	changes := s.instanceChanges
	s.instanceChanges = nil
	return changes
}

// RestoreInstance adds an instance of an earlier owner, read from its table row. Tasks that
// earlier owners may have started wait until all restored instances have reported their runs
// or are lost.
func (s *Scheduler) RestoreInstance(registration Registration) {
	s.unconfirmed[registration.Incarnation.ID] = true
	in := newInstance(registration)
	in.rowWritten = true
	s.addInstance(in)
}

// addInstance adds an instance with an ID that is not known yet.
func (s *Scheduler) addInstance(in *instance) {
	id := in.registration.Incarnation.ID
	s.instances[id] = in
	in.record = s.speeds.Record(id, in.registration.Service, in.registration.Agent)
	s.updateEvacuated(in)
	index, _ := s.findByID(id)
	s.byID = slices.Insert(s.byID, index, in)
}

func (s *Scheduler) dropInstance(in *instance) {
	id := in.registration.Incarnation.ID
	delete(s.instances, id)
	s.speeds.Drop(id)
	if index, known := s.findByID(id); known {
		s.byID = slices.Delete(s.byID, index, index+1)
	}
}

// findByID returns the index in byID at which the instance with an ID is or would be, and whether
// it is there.
func (s *Scheduler) findByID(id string) (int, bool) {
	return slices.BinarySearchFunc(s.byID, id, func(in *instance, id string) int {
		return cmp.Compare(in.registration.Incarnation.ID, id)
	})
}

// Unconfirmed returns the IDs of the instances of earlier owners that have not reported their
// runs yet, sorted.
func (s *Scheduler) Unconfirmed() []string {
	var ids []string
	for id := range s.unconfirmed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Register records an instance's registration by its agent. A new incarnation under a known ID
// replaces the old one. Start orders for the old one may still be in transit and would be
// executed by the new one, so its reservations remain until the first call of Reconcile.
// Register reports whether the instance's row must be written before anything starts there; RowWritten
// confirms that.
func (s *Scheduler) Register(now time.Time, registration Registration) bool {
	id := registration.Incarnation.ID
	in, known := s.instances[id]
	if known && in.registration.Incarnation != registration.Incarnation {
		in.restart()
		registration.Restarted = true
	}
	if !known {
		in = newInstance(registration)
		s.addInstance(in)
	}
	if in.registration.Draining && !registration.Draining {
		in.rowChangeRequested = false // its row may have been deleted
	}
	registration.Restarted = registration.Restarted || in.registration.Restarted
	in.registration = registration
	s.updateEvacuated(in)
	in.updateCold(now)
	in.reachable = true
	s.dropPredecessors(now, registration)
	if registration.Draining {
		in.drainDeadline = now.Add(time.Duration(registration.GracePeriod) * time.Millisecond)
	}
	s.requestRow(in)
	return !in.rowWritten
}

// requestRow asks for the row of an instance, unless that is written already or a change of it waits. The
// row makes later owners wait for the instance. They need not wait for one that drains and runs nothing: its
// row, if it had one, was deleted for that reason, and nothing will start there.
func (s *Scheduler) requestRow(in *instance) {
	if in.rowWritten || in.rowChangeRequested {
		return
	}
	if in.registration.Draining && !in.restarted && len(in.reservations) == 0 {
		return
	}
	in.rowChangeRequested = true
	s.instanceChanges = append(s.instanceChanges, InstanceChange{Registration: in.registration})
}

// Restarted reports whether the ID of a known instance has had an earlier incarnation.
func (s *Scheduler) Restarted(id string) bool {
	in, known := s.instances[id]
	return known && in.registration.Restarted
}

// DrivenBy reports whether the given agent process was the last that registered a known instance.
func (s *Scheduler) DrivenBy(id, agentIncarnation string) bool {
	in, known := s.instances[id]
	return known && in.registration.AgentIncarnation == agentIncarnation
}

// ProcessOf returns the agent process that last registered a known instance.
func (s *Scheduler) ProcessOf(id string) string {
	in, known := s.instances[id]
	if !known {
		return ""
	}
	return in.registration.AgentIncarnation
}

// dropPredecessors removes the earlier incarnations registered by the same agent under other
// IDs: a later one shows that they have ended.
func (s *Scheduler) dropPredecessors(now time.Time, registration Registration) {
	s.releaseReplaced(registration)
	for _, other := range s.instances {
		incarnation := other.registration.Incarnation
		if other.registration.Agent == registration.Agent && incarnation.ID != registration.Incarnation.ID && incarnation.StartedAt < registration.Incarnation.StartedAt {
			s.Lost(now, incarnation)
		}
	}
}

// RegisteredBy returns the registrations of the instances of an agent.
func (s *Scheduler) RegisteredBy(agent string) []Registration {
	var registrations []Registration
	for _, in := range s.byID {
		if in.registration.Agent == agent && agent != "" {
			registrations = append(registrations, in.registration)
		}
	}
	return registrations
}

// RowWritten records that the row of the instance's incarnation was written.
func (s *Scheduler) RowWritten(incarnation Incarnation) {
	if in, ok := s.instances[incarnation.ID]; ok && in.registration.Incarnation == incarnation {
		in.rowWritten = true
	}
}

// SetReachable sets whether orders can be delivered to the instance.
func (s *Scheduler) SetReachable(id string, reachable bool) {
	if in, ok := s.instances[id]; ok {
		in.reachable = reachable
	}
}

// removeInstance ends all runs on an instance and removes it.
func (s *Scheduler) removeInstance(now time.Time, in *instance, reason EndReason) {
	for _, p := range in.reservations {
		for ; p != nil; p = p.orderedRun {
			s.runEnded(now, in, End{Task: p.name, Run: p.run, Reason: reason})
		}
	}
	delete(s.formerStarts, in.registration.Incarnation.ID)
	s.dropInstance(in)
	s.confirm(in.registration.Incarnation.ID)
}

// Lost records that nothing runs on an instance any more: its leases have certainly expired,
// or it is gone. Its tasks may start elsewhere. Its row is to be deleted.
func (s *Scheduler) Lost(now time.Time, incarnation Incarnation) {
	in, ok := s.instances[incarnation.ID]
	if !ok || in.registration.Incarnation != incarnation {
		return
	}
	s.removeInstance(now, in, EndExpired)
	s.instanceChanges = append(s.instanceChanges, InstanceChange{Registration: in.registration, Gone: true})
}

// confirm records that an instance of an earlier owner has reported its runs or is lost. After
// the last one, all tasks that no instance reported may start.
func (s *Scheduler) confirm(id string) {
	if !s.unconfirmed[id] {
		return
	}
	delete(s.unconfirmed, id)
	if len(s.unconfirmed) > 0 {
		return
	}
	for _, j := range s.jobs {
		for _, o := range j.occurrences {
			for _, tasks := range o.steps {
				for _, t := range tasks {
					t.unconfirmed = false
				}
			}
		}
	}
}

// LostByID is like Lost for whichever incarnation the ID has now, when the row has already
// been deleted.
func (s *Scheduler) LostByID(now time.Time, id string) {
	if in, ok := s.instances[id]; ok {
		s.removeInstance(now, in, EndExpired)
	}
}

// RowDeleted records that the row of an instance was deleted. The row must be written again
// before anything starts there.
func (s *Scheduler) RowDeleted(id string) {
	if in, ok := s.instances[id]; ok {
		in.rowWritten, in.rowChangeRequested = false, true
		s.instanceChanges = append(s.instanceChanges, InstanceChange{Registration: in.registration})
	}
}
