package dispatch

import (
	"fmt"
	"testing"
	"time"

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

// BenchmarkPlanMixed measures plans, 50 ms apart, of instances that are full of small tasks, while as
// many small and large ones wait.
func BenchmarkPlanMixed(b *testing.B) {
	for _, c := range []struct{ instances, waiting int }{{300, 10_000}, {4000, 10_000}} {
		b.Run(fmt.Sprintf("%d instances %d waiting", c.instances, c.waiting), func(b *testing.B) {
			s := mixedScheduler(c.instances, c.waiting)
			now := at(1)
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				s.Plan(now)
				s.TakePostponements()
			}
		})
	}
}

// mixedScheduler returns a scheduler with instances that are full of small tasks, and waiting tasks
// that need an eighth, half or all of an instance.
func mixedScheduler(instances, waiting int) *Scheduler {
	var registrations []Registration
	for i := range instances {
		registrations = append(registrations, registrationOf(fmt.Sprintf("i%d", i), 32))
	}
	s := schedulerWith(registrations...)
	for i := range instances {
		job := jobOf(fmt.Sprintf("fill%d", i), Step{Count: 10, Need: Resources{Processors: 3000}, Image: fmt.Sprintf("f%d", i%18), Estimate: 3_600_000})
		s.Accept(startTime, job, nil)
	}
	s.Plan(at(0))
	for i := range waiting / 10 {
		cores := []int{4, 4, 16, 32}[i%4]
		job := jobOf(fmt.Sprintf("wait%d", i), Step{Count: 10, Need: Resources{Processors: cores * 1000}, Image: fmt.Sprintf("f%d", i%18), Estimate: 3_600_000})
		job.Policy.Latency = 86_400_000
		s.Accept(startTime, job, nil)
	}
	return s
}
