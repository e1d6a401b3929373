package dispatch

import (
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/interference"
)

func latencyCriticalStep(image string, count, cores int) Step {
	return Step{Count: count, Need: Resources{Processors: cores * 1000}, Target: 18, Image: image, LongRunning: true}
}

// setCosts makes image f interfere with s and not t, and image g with t and not s.
func setCosts(s *Scheduler) {
	for _, pair := range []interference.PairCost{
		{Pair: interference.Pair{LatencyCritical: "s", BestEffort: "f"}, Cost: 1},
		{Pair: interference.Pair{LatencyCritical: "t", BestEffort: "g"}, Cost: 1},
		{Pair: interference.Pair{LatencyCritical: "t", BestEffort: "f"}},
		{Pair: interference.Pair{LatencyCritical: "s", BestEffort: "g"}},
	} {
		s.costModel.Set(pair)
	}
}

// place places one latency-critical task, of a job of its own, on an instance.
func place(s *Scheduler, id string, step Step, on string) {
	s.Accept(startTime, jobOf(id, step), nil)
	t := s.findTask(TaskName{id, 0, 0, 0})
	p := newPlanner(s, at(0))
	p.place(t.job, t, s.instances[on], 1)
}

// Image f waits because tasks of s run on both instances. The task of s beside t is moved to
// the instance with the other task of s, so that f starts beside t.
func TestLatencyCriticalTasksMakeRoomForThoseTheyExclude(t *testing.T) {
	cases := []struct {
		name           string
		maxUnavailable int
		after          float64 // seconds since the latency-critical tasks started
		want           int     // number of moves
	}{
		{"moved", 0, 10, 1},
		{"too young", 0, 1, 0},
		{"bound to stay", 1, 10, 0},
	}
	for _, c := range cases {
		s := schedulerWith(registrationOf("a", 32), registrationOf("b", 32))
		setCosts(s)
		step := latencyCriticalStep("s", 1, 6)
		step.MaxUnavailable = c.maxUnavailable
		place(s, "s1", step, "a")
		place(s, "t1", latencyCriticalStep("t", 1, 6), "a")
		place(s, "s2", step, "b")
		s.Accept(at(c.after), jobOf("f1", Step{Count: 4, Need: Resources{Processors: 4000}, BestEffort: true, Image: "f", Estimate: 60_000}), nil)
		s.Plan(at(c.after))
		stops := s.TakeStops()
		if len(stops) != c.want {
			t.Errorf("%s: stops %v, want %d", c.name, stops, c.want)
			continue
		}
		if c.want == 0 {
			continue
		}
		expect(t, "moved", stops[0], Stop{Instance: "a", Task: TaskName{"s1", 0, 0, 0}, Run: 1, Reason: StopRebalanced})
		s.Ended(at(c.after+1), Incarnation{"a", 1}, []End{{Sequence: 1, Task: stops[0].Task, Run: 1, Reason: EndStopped}})
		starts := map[string]string{}
		for _, start := range s.Plan(at(c.after + 1)) {
			starts[start.Task.Job] = start.Instance
		}
		expect(t, "new place of the serving task", starts["s1"], "b")
		expect(t, "place of the filling tasks", starts["f1"], "a")
	}
}
