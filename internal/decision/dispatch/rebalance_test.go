package dispatch

import (
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
)

func servingStep(image string, count, cores int) Step {
	return Step{Count: count, Need: Resources{Processors: cores * 1000}, Target: 18, Image: image, LongRunning: true}
}

// costs makes image f disturb s and not t, image g disturb t and not s.
func costs(b *Scheduler) {
	for _, w := range []interference.PairCost{
		{Pair: interference.Pair{LatencyCritical: "s", BestEffort: "f"}, Cost: 1},
		{Pair: interference.Pair{LatencyCritical: "t", BestEffort: "g"}, Cost: 1},
		{Pair: interference.Pair{LatencyCritical: "t", BestEffort: "f"}},
		{Pair: interference.Pair{LatencyCritical: "s", BestEffort: "g"}},
	} {
		b.pairs.Set(w)
	}
}

// place puts one serving task of a job of its own onto an instance.
func place(b *Scheduler, id string, step Step, on string) {
	b.Accept(began, jobOf(id, step), nil)
	t := b.find(TaskName{id, 0, 0, 0})
	p := newPlanner(b, at(0))
	p.place(t.work, t, b.instances[on], 1)
}

// Image f waits since tasks of s stand on both instances. The one beside t is moved to the
// others of s, so that f starts beside t.
func TestServingTasksMakeRoomForThoseTheyExclude(t *testing.T) {
	cases := []struct {
		name    string
		mayMiss int
		after   float64 // seconds since the serving tasks started
		want    int     // moves
	}{
		{"moved", 0, 10, 1},
		{"too young", 0, 1, 0},
		{"bound to stay", 1, 10, 0},
	}
	for _, c := range cases {
		b := bookWith(offerOf("a", 32), offerOf("b", 32))
		costs(b)
		s := servingStep("s", 1, 6)
		s.MaxUnavailable = c.mayMiss
		place(b, "s1", s, "a")
		place(b, "t1", servingStep("t", 1, 6), "a")
		place(b, "s2", s, "b")
		b.Accept(at(c.after), jobOf("f1", Step{Count: 4, Need: Resources{Processors: 4000}, BestEffort: true, Image: "f", Estimate: 60_000}), nil)
		b.Plan(at(c.after))
		stops := b.TakeStops()
		if len(stops) != c.want {
			t.Errorf("%s: stops %v, want %d", c.name, stops, c.want)
			continue
		}
		if c.want == 0 {
			continue
		}
		expect(t, "moved", stops[0], Stop{Instance: "a", Task: TaskName{"s1", 0, 0, 0}, Run: 1})
		b.Ended(at(c.after+1), Incarnation{"a", 1}, []End{{Sequence: 1, Task: stops[0].Task, Run: 1, Reason: EndStopped}})
		starts := map[string]string{}
		for _, start := range b.Plan(at(c.after + 1)) {
			starts[start.Task.Job] = start.Instance
		}
		expect(t, "new place of the serving task", starts["s1"], "b")
		expect(t, "place of the filling tasks", starts["f1"], "a")
	}
}
