package dispatch

import "testing"

func TestGangsStartTogetherWithOneRunOrNotAtAll(t *testing.T) {
	gang := stepOf(3, 4)
	gang.Gang = true
	s := schedulerWith(registrationOf("a", 8))
	s.Accept(startTime, jobOf("j", gang), nil)
	expect(t, "without room for all", len(s.Plan(at(0))), 0)
	registerOn(s, registrationOf("b", 8))
	starts := s.Plan(at(1))
	expect(t, "with room", len(starts), 3)
	for _, start := range starts {
		expect(t, "run", start.Run, starts[0].Run)
	}
}

// The members of a gang resume from one checkpoint, the one that was reported last. Other members may not
// have reported it, or have been lost before they could.
func TestAGangResumesFromOneCheckpoint(t *testing.T) {
	a, first := Incarnation{"a", 1}, TaskName{"j", 0, 0, 0}
	second := TaskName{"j", 0, 0, 1}
	cases := []struct {
		name   string
		report func(*Scheduler)
		want   string
	}{
		{"none", func(*Scheduler) {}, ""},
		{"of one member", func(s *Scheduler) { s.Checkpointed(at(1), a, []RunStatus{{Task: second, Run: 1, Checkpoint: "c1"}}) }, "c1"},
		{"of two members", func(s *Scheduler) {
			s.Checkpointed(at(1), a, []RunStatus{{Task: first, Run: 1, Checkpoint: "c1"}, {Task: second, Run: 1, Checkpoint: "c1"}})
			s.Checkpointed(at(2), a, []RunStatus{{Task: first, Run: 1, Checkpoint: "c2"}})
			s.Checkpointed(at(3), a, []RunStatus{{Task: second, Run: 1, Checkpoint: "c1"}})
		}, "c2"},
		{"of an end", func(s *Scheduler) {
			s.Checkpointed(at(1), a, []RunStatus{{Task: first, Run: 1, Checkpoint: "c1"}, {Task: second, Run: 1, Checkpoint: "c1"}})
			s.Ended(at(2), a, []End{{Sequence: 1, Task: second, Run: 1, Reason: EndGangBroken, Checkpoint: "c2"}})
		}, "c2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := schedulerWith(registrationOf("a", 8))
			gang := stepOf(3, 1)
			gang.Gang, gang.Checkpoints = true, true
			s.Accept(startTime, jobOf("j", gang), nil)
			s.Plan(at(0))
			c.report(s)
			s.Lost(at(4), a)
			registerOn(s, registrationOf("b", 8))
			var resumed []string
			for _, start := range s.Plan(at(5)) {
				resumed = append(resumed, start.Checkpoint)
			}
			expect(t, "resumed from", resumed, []string{c.want, c.want, c.want})
		})
	}
}
