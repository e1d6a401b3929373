package dispatch

import (
	"fmt"
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
)

// loaded is a book of so many instances with serving tasks of ten images on each, filling
// tasks of eighteen, and four waiting filling tasks for each instance.
func loaded(instances int) *Scheduler {
	var offers []Registration
	for i := range instances {
		offers = append(offers, offerOf(fmt.Sprintf("i%d", i), 32))
	}
	b := bookWith(offers...)
	for serving := range 10 {
		for filling := range 18 {
			cost := 0.0
			if (serving+filling)%3 != 0 {
				cost = 0.15
			}
			b.pairs.Set(interference.PairCost{
				Pair: interference.Pair{LatencyCritical: fmt.Sprintf("s%d", serving), BestEffort: fmt.Sprintf("f%d", filling)}, Cost: cost,
			})
		}
	}
	for i := range instances * 3 / 6 {
		b.Accept(began, jobOf(fmt.Sprintf("serve%d", i), servingStep(fmt.Sprintf("s%d", i%10), 6, 6)), nil)
	}
	for i := range instances {
		step := Step{Count: 10, Need: Resources{Processors: 3500}, BestEffort: true, Image: fmt.Sprintf("f%d", i%18), Estimate: 2000}
		b.Accept(began, jobOf(fmt.Sprintf("fill%d", i), step), nil)
	}
	b.Plan(at(0))
	return b
}

// A plan in which nothing changes: what the owner spends on each report.
func BenchmarkPlan(b *testing.B) {
	for _, instances := range []int{11, 52, 300} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			book := loaded(instances)
			for b.Loop() {
				book.Plan(at(1))
			}
		})
	}
}
