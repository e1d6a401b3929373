package dispatch

import "testing"

// The row of an instance says whether its ID has had an earlier incarnation, so that the next owner knows.
func TestARowTellsOfAnEarlierIncarnation(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	expect(t, "restarted at first", s.Restarted("a"), false)
	s.TakeInstanceChanges()
	next := registrationOf("a", 8)
	next.Incarnation.StartedAt = 2
	s.Register(at(1), next)
	expect(t, "restarted", s.Restarted("a"), true)
	changes := s.TakeInstanceChanges()
	expect(t, "rows", len(changes), 1)
	expect(t, "in the row", changes[0].Registration.Restarted, true)
	s.Register(at(2), next) // as a report states it
	expect(t, "restarted after a report", s.Restarted("a"), true)
	later := New(2, 9)
	later.RestoreInstance(changes[0].Registration)
	later.Register(at(3), next)
	expect(t, "restarted for the next owner", later.Restarted("a"), true)
}
