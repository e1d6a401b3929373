package dispatch

import (
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/backfill"
)

// A step that was to be served by the next ends is looked at again: what runs may have changed since.
func TestStepsThatEndsDidNotServeAreSearchedAgain(t *testing.T) {
	s := heldScheduler(t)
	s.Cancel("large")
	again := jobOf("again", stepOf(1, 4))
	s.servedByEnds = map[pool]backfill.Room{{"s", false}: needOf(&again.Steps[0])}
	again.Policy.Latency, again.Policy.Priority = 40_000, 1
	s.Accept(at(2), again, nil)
	for i := range 5 {
		s.Plan(at(2 + float64(i)/4))
	}
	expect(t, "windows", s.Windows(), 1)
}

// Of best-effort tasks only gangs have windows.
func TestSingleBestEffortTasksHaveNoWindows(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := heldScheduler(t)
		s.Cancel("large")
		step := stepOf(2, 4)
		step.BestEffort, step.Gang = true, gang
		job := jobOf("waiting", step)
		job.Policy.Latency = 60_000
		s.Accept(at(2), job, nil)
		for i := range 5 {
			s.Plan(at(2 + float64(i)/4))
		}
		want := 0
		if gang {
			want = 1
		}
		expect(t, "windows", s.Windows(), want)
	}
}
