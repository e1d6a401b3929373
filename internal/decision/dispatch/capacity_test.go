package dispatch

import "testing"

// Nothing may start beyond a capacity that has shrunk while the worker runs.
func TestNothingStartsBeyondAShrunkCapacity(t *testing.T) {
	gang, bestEffort := stepOf(2, 1), stepOf(1, 1)
	gang.Gang, bestEffort.BestEffort = true, true
	latencyCritical := stepOf(1, 1)
	latencyCritical.Target = 100
	cases := []struct {
		name string
		step Step
	}{
		{"plain", stepOf(1, 1)}, {"gang", gang}, {"best-effort", bestEffort}, {"latency-critical", latencyCritical},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			full := registrationOf("a", 8)
			s := schedulerWith(full)
			s.Accept(startTime, jobOf("j", stepOf(6, 1)), nil)
			expect(t, "starts before", len(s.Plan(at(0))), 6)
			shrunk := registrationOf("a", 4)
			s.Register(at(1), shrunk)
			s.Accept(startTime, jobOf("k", c.step), nil)
			expect(t, "starts on the shrunk instance", len(s.Plan(at(1))), 0)
			s.Register(at(2), full)
			expect(t, "starts once it has grown", len(s.Plan(at(2))), c.step.Count)
		})
	}
}
