package dispatch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// seconds returns the seconds from the start of the test to a time; -1 for zero.
func seconds(t time.Time) float64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(startTime).Seconds()
}

func TestExplanations(t *testing.T) {
	described := func(change func(*Job)) func(*Scheduler) Explanation {
		return func(s *Scheduler) Explanation {
			job := jobOf("described", stepOf(1, 2))
			job.Policy.Priority, job.Policy.Latency, job.Steps[0].Estimate = 1, 60_000, 60_000
			change(job)
			return s.ExplainDescribed(at(2), job)
		}
	}
	type want struct {
		place             int
		obstacles         []Obstacle // on a and q, the best first
		holder            string
		window            []string
		start, end, later float64
	}
	cases := []struct {
		name    string
		explain func(*Scheduler) Explanation
		want    want
	}{
		{"a job with a window", func(s *Scheduler) Explanation { e, _ := s.Explain(at(2), "large"); return e }, want{4, []Obstacle{ObstacleResources, ObstacleQuarantine}, "", []string{"a"}, 10, 11, 11.25}},
		{"a job that a window keeps off", described(func(*Job) {}), want{5, []Obstacle{ObstacleWindow, ObstacleQuarantine}, "large", nil, 30, 90, 105}},
		{"a job that would start at once", described(func(j *Job) { j.Policy.Priority = 0 }), want{4, []Obstacle{ObstacleNone, ObstacleQuarantine}, "", nil, 2, 62, 77}},
		{"a second step", described(func(j *Job) {
			j.Policy.Priority, j.Steps[0].Estimate = 0, 4000
			j.Steps = append(j.Steps, j.Steps[0])
			j.Steps[1].After = []int{0}
		}), want{4, []Obstacle{ObstacleNone, ObstacleQuarantine}, "", nil, 2, 10, 12}},
		{"a job that never fits", described(func(j *Job) { j.Steps[0].Need.Processors = 9000 }), want{5, []Obstacle{ObstacleResources, ObstacleQuarantine}, "", nil, -1, -1, -1}},
		{"a label that no instance has", described(func(j *Job) { j.Steps[0].Label = "none" }), want{5, []Obstacle{ObstacleLabel, ObstacleQuarantine}, "", nil, -1, -1, -1}},
		{"a best-effort job without processors", described(func(j *Job) { j.Steps[0].BestEffort, j.Steps[0].Need.Processors = true, 4000 }), want{5, []Obstacle{ObstacleProcessors, ObstacleQuarantine}, "", nil, 10, 70, 85}},
	}
	for _, c := range cases {
		s := heldScheduler(t)
		registerOn(s, registrationOf("q", 8))
		quarantine(s.instances["q"], at(2))
		e := c.explain(s)
		got := want{e.Place, nil, e.Steps[0].Candidates[0].Holder, e.Steps[0].Window, seconds(e.Steps[0].Start), seconds(e.ExpectedEnd), seconds(e.CertainlyEnd)}
		for _, candidate := range e.Steps[0].Candidates {
			got.obstacles = append(got.obstacles, candidate.Obstacle)
		}
		if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(want{})); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
		expect(t, c.name+": changes", len(s.TakePostponements())+len(s.TakeWindowChanges())+len(s.TakeStops())+len(s.Plan(at(2))), 0)
	}
}

// Of a job that is not due yet, nothing is known.
func TestAJobThatIsNotDueHasNoExpectedEnd(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	job := jobOf("later", stepOf(1, 1))
	job.FirstDue = at(60).UnixMilli()
	s.Accept(at(0), job, nil)
	e, _ := s.Explain(at(0), "later")
	expect(t, "ends", []float64{seconds(e.ExpectedEnd), seconds(e.CertainlyEnd)}, []float64{-1, -1})
}

// Reading changes nothing, also not what is known of an instance of which a probe has survived.
func TestReadingClearsNoProbedInstance(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	quarantine(s.instances["a"], at(0))
	s.Accept(at(0), jobOf("j", stepOf(2, 1)), nil)
	s.Plan(at(5))
	s.TakeSpeedChanges()
	s.Explain(at(9), "j")
	s.Fragmentation(at(9))
	s.LongRunningWaits(at(9))
	expect(t, "changes by reading", len(s.TakeSpeedChanges()), 0)
	s.Plan(at(9))
	expect(t, "changes by a plan", len(s.TakeSpeedChanges()), 1)
}

// What keeps a task off an instance is told as it is.
func TestObstaclesOfEvacuatedAndColdInstances(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Scheduler)
		want   Obstacle
	}{
		{"neither", func(*Scheduler) {}, ObstacleNone},
		{"evacuated", func(s *Scheduler) { s.SetEvacuated([]string{s.instances["a"].registration.Domain}) }, ObstacleEvacuated},
		{"cold", func(s *Scheduler) { s.instances["a"].coldUntil = at(60) }, ObstacleCold},
	}
	for _, c := range cases {
		warm := registrationOf("warm", 1)
		warm.Domain = "other"
		cold := registrationOf("a", 8)
		cold.Domain = "evacuated"
		s := schedulerWith(cold)
		s.Accept(at(0), jobOf("running", stepOf(maxColdStarts, 1)), nil)
		s.Plan(at(0))
		registerOn(s, warm)
		c.change(s)
		s.Accept(at(0), jobOf("waiting", stepOf(1, 2)), nil)
		e, _ := s.Explain(at(0.1), "waiting")
		expect(t, c.name, e.Steps[0].Candidates[0].Obstacle, c.want)
	}
}
