package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// overload is a load of best-effort jobs of two steps, on a fleet without other tasks.
type overload struct {
	load float64 // work that comes in, as a share of what the processors can do
	seed uint64
}

const (
	overloadInstances = 40
	overloadLength    = 40 * time.Second
	overloadTasks     = 10   // of a step, on average
	overloadDuration  = 1.84 // of a task, on average, in seconds
	tasksPerInstance  = 9    // that run at a time
)

// jobsPerSecond returns the rate at which jobs of two steps come.
func (l overload) jobsPerSecond() float64 {
	return l.load * overloadInstances * tasksPerInstance / (2 * overloadTasks * overloadDuration)
}

// play runs the load on a scheduler until 30 s after the last job.
func (l overload) play() []served {
	random := rand.New(rand.NewPCG(l.seed, 0))
	var registrations []Registration
	for i := range overloadInstances {
		registrations = append(registrations, registrationOf(fmt.Sprintf("i%03d", i), 32))
	}
	next := func(id string) *loadJob {
		if random.Float64() >= l.jobsPerSecond()*loadTick.Seconds() {
			return nil
		}
		duration := time.Duration(1700 * math.Exp(0.4*random.NormFloat64()) * float64(time.Millisecond))
		tasks := max(int(overloadTasks*math.Exp(0.8*random.NormFloat64()-0.32)), 1)
		step := Step{Count: tasks, Need: Resources{Processors: 3500, Memory: 10}, BestEffort: true, Image: "f", Estimate: duration.Milliseconds()}
		second := step
		second.After = []int{0}
		job := jobOf(id, step, second)
		job.Policy.Stretch, job.Policy.Latency = 1.5, 1000
		objective := job.objective(2 * step.estimate())
		return &loadJob{job: job, duration: duration, objective: objective, served: served{work: 2 * float64(tasks) * duration.Seconds()}}
	}
	var result []served
	for _, j := range (load{length: overloadLength, next: next}).play(schedulerWith(registrations...)) {
		result = append(result, j.served)
	}
	return result
}

// While more work comes in than the processors can do, at least as many callers are served in time
// as the processors suffice for, and the largest tenth of the jobs is served half as often as all,
// or more.
func TestAnOverloadServesAsManyAsThereIsRoomFor(t *testing.T) {
	cases := []struct {
		load  float64
		seeds []uint64
	}{{1.1, []uint64{0, 1}}, {1.4, []uint64{0, 1}}, {2, []uint64{0, 1}}, {2, []uint64{8, 9}}}
	for _, c := range cases {
		load := c.load
		t.Run(fmt.Sprintf("load %.1f seeds %v", load, c.seeds), func(t *testing.T) {
			var all []served
			for _, seed := range c.seeds {
				all = append(all, overload{load: load, seed: seed}.play()...)
			}
			onTime, inAll := shares(all)
			if onTime < 1/load {
				t.Errorf("%.3f of %d jobs meet their objective, want %.3f at least", onTime, len(all), 1/load)
			}
			slices.SortFunc(all, func(a, b served) int { return cmp.Compare(b.work, a.work) })
			if _, largest := shares(all[:len(all)/10]); largest < inAll/2 {
				t.Errorf("%.3f of the largest tenth are served, of all %.3f", largest, inAll)
			}
		})
	}
}

// A job that would keep others from meeting their objective waits and is reported once; a job of a
// lower priority never delays one of a higher priority.
func TestWhichJobsArePostponed(t *testing.T) {
	wide := func(id string, priority, tasks int) *Job {
		job := jobOf(id, Step{Count: tasks, Need: Resources{Processors: 4000, Memory: 10}, BestEffort: true, Image: "f", Estimate: 1000})
		job.Policy.Priority = priority
		return job
	}
	elsewhere := func(job *Job) *Job {
		job.Policy.Service = "other"
		return job
	}
	unestimated := func(job *Job) *Job {
		job.Steps[0].Estimate = 0
		return job
	}
	cases := []struct {
		name      string
		jobs      []*Job
		postponed []string
	}{
		{"room for all", []*Job{wide("a", 0, 8), wide("b", 0, 8)}, nil},
		{"the largest waits", []*Job{wide("a", 0, 60), wide("b", 0, 8), wide("c", 0, 4)}, []string{"a"}},
		{"not for a job of a lower priority", []*Job{wide("a", 0, 17), wide("b", 1, 16)}, []string{"b"}},
		{"not for one of another service", []*Job{wide("a", 0, 17), elsewhere(wide("b", 0, 16))}, nil},
		{"the processors of another service do not count", []*Job{wide("a", 0, 25), wide("c", 0, 4)}, []string{"a"}},
		{"a job without an estimate costs nothing", []*Job{unestimated(wide("a", 0, 1)), wide("b", 0, 60), wide("c", 0, 4)}, []string{"b"}},
	}
	for _, c := range cases {
		other := registrationOf("o", 32)
		other.Service = "other"
		s := schedulerWith(registrationOf("i", 32), other)
		for _, job := range c.jobs {
			s.Accept(startTime, job, nil)
		}
		var postponed []string
		s.Plan(at(0))
		for _, p := range s.TakePostponements() {
			postponed = append(postponed, p.Job)
		}
		expect(t, c.name, postponed, c.postponed)
		s.Plan(at(0))
		for _, p := range s.TakePostponements() {
			if slices.Contains(postponed, p.Job) {
				t.Errorf("%s: job %s is reported again", c.name, p.Job)
			}
		}
	}
}
