package dispatch

import (
	"fmt"
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
)

// loadedScheduler returns a scheduler with the given number of instances, with
// latency-critical tasks of ten images, best-effort tasks of eighteen, and four waiting
// best-effort tasks for each instance.
func loadedScheduler(instances int) *Scheduler {
	var registrations []Registration
	for i := range instances {
		registrations = append(registrations, registrationOf(fmt.Sprintf("i%d", i), 32))
	}
	s := schedulerWith(registrations...)
	for latencyCritical := range 10 {
		for bestEffort := range 18 {
			cost := 0.0
			if (latencyCritical+bestEffort)%3 != 0 {
				cost = 0.15
			}
			s.costModel.Set(interference.PairCost{
				Pair: interference.Pair{LatencyCritical: fmt.Sprintf("s%d", latencyCritical), BestEffort: fmt.Sprintf("f%d", bestEffort)}, Cost: cost,
			})
		}
	}
	for i := range instances * 3 / 6 {
		s.Accept(startTime, jobOf(fmt.Sprintf("serve%d", i), latencyCriticalStep(fmt.Sprintf("s%d", i%10), 6, 6)), nil)
	}
	for i := range instances {
		step := Step{Count: 10, Need: Resources{Processors: 3500}, BestEffort: true, Image: fmt.Sprintf("f%d", i%18), Estimate: 2000}
		s.Accept(startTime, jobOf(fmt.Sprintf("fill%d", i), step), nil)
	}
	s.Plan(at(0))
	return s
}

// BenchmarkPlan measures a plan that changes nothing, which the owner computes on each report.
func BenchmarkPlan(b *testing.B) {
	for _, instances := range []int{11, 52, 300} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			s := loadedScheduler(instances)
			for b.Loop() {
				s.Plan(at(1))
			}
		})
	}
}
