package dispatch

import (
	"fmt"
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
)

// A best-effort task is not placed where its agent would slow it as soon as the tail latency beside
// it turns out a tenth longer than expected: a slowed task delays the next step of its job.
func TestPlacedTasksAreNotSlowedAtOnce(t *testing.T) {
	const cores, tailError = 4, 1.1
	placed := 0
	for cost := 0.01; cost < 0.2; cost += 0.005 {
		t.Run(fmt.Sprintf("cost %.3f", cost), func(t *testing.T) {
			s := schedulerWith(registrationOf("a", 32))
			pair := interference.PairCost{Pair: interference.Pair{LatencyCritical: "s", BestEffort: "f"}, Cost: cost}
			s.costModel.Set(pair)
			place(s, "service", latencyCriticalStep("s", 1, 4), "a")
			expected := s.costModel.MinHeadroom("s", "service") - cost*cores
			s.Accept(startTime, jobOf("batch", Step{Count: 1, Need: Resources{Processors: cores * 1000}, BestEffort: true, Image: "f", Estimate: 1000}), nil)
			if len(s.Plan(at(1))) == 0 {
				return
			}
			placed++
			model := interference.NewModel()
			model.Set(pair)
			pacer := interference.NewPacer(model)
			critical := []interference.TaskHeadroom{{Image: "s", Headroom: expected / tailError}}
			if pacer.Observe(at(2), critical, map[string]interference.ImageUsage{"f": {Cores: cores, Requested: cores}}) {
				t.Errorf("placed with an expected headroom of %.2f, and slowed to %d %%", expected, pacer.Pace("f"))
			}
		})
	}
	if placed == 0 {
		t.Error("nothing was placed at any cost")
	}
}
