package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// StoredStart is a start that may be under way, as the owner keeps it in the table for the next one, which
// would not know of it if the instance is lost.
type StoredStart struct {
	Task     string `json:"task"` // its TaskName in one word
	Run      int64  `json:"run"`
	Instance string `json:"instance"`
	Agent    string `json:"agent,omitempty"`
	Process  string `json:"process,omitempty"` // incarnation of the agent that received the order
	// Remaining is how long the task of a lost instance is still held, in whole seconds rounded up; 0 if the
	// instance is not lost.
	Remaining int64 `json:"remaining,omitempty"`
}

// late returns the start as a late one of an instance that is lost. Its name has been parsed before.
func (s StoredStart) late(until time.Time, longestLease time.Duration) LateStart {
	name, _ := ParseTaskName(s.Task)
	return LateStart{Task: name, Run: s.Run, Instance: s.Instance, Agent: s.Agent, Until: until, CallUntil: until.Add(-longestLease)}
}

// unsettled holds the reservations whose starts are not known to be settled, with their instances.
type unsettled map[*reservation]*instance

// dropSettled drops the reservations whose starts are settled or that an instance no longer has.
func (u unsettled) dropSettled() {
	for p, in := range u {
		if p.settled || !in.has(p) {
			delete(u, p)
		}
	}
}

// has reports whether the reservation is one of the instance, or was ordered before one of them.
func (in *instance) has(p *reservation) bool {
	for other := in.reservations[p.name]; other != nil; other = other.orderedRun {
		if other == p {
			return true
		}
	}
	return false
}

// StoredStarts returns the starts that may be under way now, in a fixed order: those that this owner has
// ordered, those that it holds tasks for, and those of earlier owners on instances that have not reported.
func (s *Scheduler) StoredStarts(now time.Time) []StoredStart {
	var starts []StoredStart
	s.unsettled.dropSettled()
	for p, in := range s.unsettled {
		if s.instances[in.registration.Incarnation.ID] == in {
			starts = append(starts, StoredStart{Task: p.name.String(), Run: p.run, Instance: in.registration.Incarnation.ID, Agent: in.registration.Agent, Process: p.orderedThrough})
		}
	}
	for _, ofTask := range s.lateStarts {
		for _, late := range ofTask {
			if late.superseded {
				continue // the instance lists the run to the next owner
			}
			remaining := late.CallUntil.Add(s.longestLease).Sub(now)/time.Second + 1
			starts = append(starts, StoredStart{Task: late.Task.String(), Run: late.Run, Instance: late.Instance, Agent: late.Agent, Remaining: int64(remaining)})
		}
	}
	for _, ofInstance := range s.formerStarts {
		starts = append(starts, ofInstance...)
	}
	slices.SortFunc(starts, func(a, c StoredStart) int {
		return cmp.Or(cmp.Compare(a.Instance, c.Instance), cmp.Compare(a.Task, c.Task), cmp.Compare(a.Run, c.Run))
	})
	return starts
}

// RestoreStarts takes over the starts that an earlier owner has stored, after its instances. Those on lost
// instances hold their tasks for what remains of them, but no longer than until the given time. It ignores those
// without a valid name.
func (s *Scheduler) RestoreStarts(now time.Time, starts []StoredStart, until time.Time) {
	for _, start := range starts {
		if _, valid := ParseTaskName(start.Task); !valid {
			continue
		}
		if start.Remaining > 0 {
			remaining := time.Duration(min(start.Remaining, int64(until.Sub(now)/time.Second)+1)) * time.Second
			s.lateStarts.add(start.late(now.Add(remaining), s.longestLease))
			continue
		}
		s.formerStarts[start.Instance] = append(s.formerStarts[start.Instance], start)
	}
}

// FormerStartsLost holds the tasks of the stored starts whose instances are not known, until the given time.
func (s *Scheduler) FormerStartsLost(until time.Time) []LateStart {
	var held []LateStart
	for id := range s.formerStarts {
		if _, known := s.instances[id]; !known {
			held = append(held, s.holdFormer(id, "", until)...)
			delete(s.formerStarts, id)
		}
	}
	return held
}

// holdFormer holds the tasks of the starts that earlier owners have ordered on an instance, but for those that
// were ordered through the given agent process.
func (s *Scheduler) holdFormer(id, process string, until time.Time) []LateStart {
	var held []LateStart
	for _, start := range s.formerStarts[id] {
		if process == "" || start.Process != process {
			held = append(held, start.late(until, s.longestLease))
		}
	}
	s.hold(held)
	return held
}
