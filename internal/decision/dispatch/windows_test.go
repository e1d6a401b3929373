package dispatch

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// mixClass is a class of jobs of one step in a mix.
type mixClass struct {
	name  string
	share float64 // of the processors that its jobs need on average
	step  Step
}

// mix is a load of small and large jobs on instances of 16 cores.
type mix struct {
	classes      []mixClass
	estimateX    float64 // estimates are wrong by this factor
	seed         uint64
	without      bool          // no windows
	replaceOwner time.Duration // when an owner takes over that knows nothing; 0: never
	loseInstance time.Duration // when a held instance is lost, and replaced by an empty one; 0: never
}

const (
	mixInstances = 12
	mixCores     = 16
	mixLength    = 120 * time.Second
	mixTail      = 20 * time.Second // after the last job
)

// waitsOf is what the callers of a class get.
type waitsOf struct {
	jobs, onTime int
	waits        []time.Duration // until the first start
}

func (w waitsOf) quantile(q float64) time.Duration {
	slices.Sort(w.waits)
	return w.waits[int(q*float64(len(w.waits)-1))]
}

func (w waitsOf) share() float64 { return float64(w.onTime) / float64(w.jobs) }

func (w waitsOf) String() string {
	return fmt.Sprintf("%d of %d on time, waits p50 %v p95 %v worst %v", w.onTime, w.jobs, w.quantile(0.5), w.quantile(0.95), w.quantile(1))
}

// play runs the mix with a plan every 20 ms.
func (m mix) play(t *testing.T) map[string]waitsOf {
	const tick = 20 * time.Millisecond
	random := rand.New(rand.NewPCG(m.seed, 1))
	var registrations []Registration
	for i := range mixInstances {
		registrations = append(registrations, registrationOf(fmt.Sprintf("i%02d", i), mixCores))
	}
	s := m.scheduler(registrations)
	var running endings
	type caller struct {
		class    string
		spec     *Job
		accepted time.Time
		duration time.Duration
		started  bool
	}
	callers := map[string]*caller{}
	var order []*caller
	result := map[string]waitsOf{}
	lost := map[string]bool{}
	sequence := int64(0)
	for now := startTime; now.Before(startTime.Add(mixLength + mixTail)); now = now.Add(tick) {
		for _, class := range m.classes {
			work := float64(class.step.Count) * float64(class.step.Need.Processors) / 1000 // core-seconds: tasks take a second on average
			if now.Sub(startTime) >= mixLength || random.Float64() >= class.share*mixInstances*mixCores/work*tick.Seconds() {
				continue
			}
			duration := time.Duration(920 * math.Exp(0.4*random.NormFloat64()) * float64(time.Millisecond))
			step := class.step
			step.Estimate = int64(float64(duration.Milliseconds()) * m.estimateX)
			job := jobOf(fmt.Sprintf("%s%04d", class.name, len(order)), step)
			job.Policy.Stretch, job.Policy.Latency = 1, 2000+max(0, duration.Milliseconds()-step.Estimate)
			c := &caller{class: class.name, spec: job, accepted: now, duration: duration}
			callers[job.ID] = c
			order = append(order, c)
			s.Accept(now, job, nil)
		}
		for len(running) > 0 && !running[0].at.After(now) {
			e := heap.Pop(&running).(ending)
			s.Ended(now, Incarnation{ID: e.instance, StartedAt: 1}, []End{e.end})
		}
		for _, change := range s.Dirty(1000) {
			if c := callers[change.Job]; change.Progress.State == Completed {
				w := result[c.class]
				w.jobs++
				if now.Sub(c.accepted) <= c.spec.objective(c.spec.Steps[0].estimate()) {
					w.onTime++
				}
				result[c.class] = w
				delete(callers, change.Job)
			}
			s.Committed(change)
		}
		if m.replaceOwner > 0 && now.Sub(startTime) == m.replaceOwner {
			s = m.takeOver(s, registrations, now)
		}
		if m.loseInstance > 0 && now.Sub(startTime) >= m.loseInstance && len(lost) == 0 && len(s.holds) > 0 {
			id := s.holds[0].window.Shares[0].Host
			lost[id] = true
			registerOn(s, registrationOf("new", mixCores))
			s.Lost(now, Incarnation{ID: id, StartedAt: 1})
			running = slices.DeleteFunc(running, func(e ending) bool { return e.instance == id })
			heap.Init(&running)
		}
		for _, start := range s.Plan(now) {
			sequence++
			c := callers[start.Task.Job]
			if !c.started {
				c.started = true
				w := result[c.class]
				w.waits = append(w.waits, now.Sub(c.accepted))
				result[c.class] = w
			}
			if lost[start.Instance] {
				t.Errorf("%v starts on the lost instance %s", start.Task, start.Instance)
			}
			took := c.duration
			if in, need := s.instances[start.Instance], start.Step.Need.Processors; start.Step.BestEffort && in.bestEffortRoom() < 0 {
				took = took * time.Duration(need) / time.Duration(max(need+in.bestEffortRoom(), need/2)) // it gets what is left, and more when others end
			}
			heap.Push(&running, ending{now.Add(took), start.Instance, End{Sequence: sequence, Task: start.Task, Run: start.Run}})
		}
		for _, in := range s.byID {
			if in.used.Processors > in.registration.Capacity.Processors {
				t.Fatalf("%s is given %d processors", in.registration.Incarnation.ID, in.used.Processors)
			}
		}
		s.TakeStops()
	}
	for _, c := range order {
		if _, open := callers[c.spec.ID]; open {
			w := result[c.class]
			w.jobs++
			if !c.started {
				w.waits = append(w.waits, startTime.Add(mixLength+mixTail).Sub(c.accepted))
			}
			result[c.class] = w
		}
	}
	return result
}

// scheduler returns a scheduler with its instances.
func (m mix) scheduler(registrations []Registration) *Scheduler {
	s := schedulerWith(registrations...)
	if m.without {
		s.windowsSearchedAt = startTime.Add(time.Hour)
	}
	return s
}

// takeOver returns the scheduler of a new owner, which learns from the instances what runs there.
func (m mix) takeOver(old *Scheduler, registrations []Registration, now time.Time) *Scheduler {
	s := m.scheduler(nil)
	for _, registration := range registrations {
		s.RestoreInstance(registration)
	}
	for _, j := range old.jobs {
		if !j.state.Final() {
			s.Accept(j.acceptedAt, j.spec, j.progress())
		}
	}
	for _, registration := range registrations {
		s.Register(now, registration)
		s.RowWritten(registration.Incarnation)
		var runs []RunStatus
		for _, run := range old.Runs(registration.Incarnation.ID) {
			runs = append(runs, RunStatus{Task: run.Task, Run: run.Run})
		}
		s.Reconcile(now, registration.Incarnation, runs)
	}
	return s
}

// reservingMix returns small tasks beside tasks that need half an instance or all of it, and gangs.
func reservingMix() []mixClass {
	gang := Step{Count: 4, Need: Resources{Processors: 8000, Memory: 10}, Gang: true}
	return []mixClass{
		{"small", 0.55, Step{Count: 4, Need: Resources{Processors: 1000, Memory: 10}}},
		{"half", 0.1, Step{Count: 1, Need: Resources{Processors: 8000, Memory: 10}}},
		{"whole", 0.1, Step{Count: 1, Need: Resources{Processors: 16000, Memory: 10}}},
		{"gang", 0.1, gang},
	}
}

func bestEffortMix() []mixClass {
	return []mixClass{
		{"small", 0.5, Step{Count: 8, Need: Resources{Processors: 600, Memory: 10}, BestEffort: true, Image: "f"}},
		{"large", 0.35, Step{Count: 2, Need: Resources{Processors: 7000, Memory: 10}, BestEffort: true, Image: "g"}},
	}
}

// Tasks that need a large part of an instance, and gangs, are served beside a stream of small ones that
// keeps the instances full to 85 %, and the small ones lose next to nothing by it.
func TestLargeTasksAreServedBesideSmallOnes(t *testing.T) {
	type want struct{ onTime, worst, onTimeWithout float64 } // shares, and seconds; onTimeWithout is that without windows, at most
	reserving := map[string]want{"small": {0.99, 2, 1}, "half": {0.95, 4, 1}, "whole": {0.85, 20, 0.3}, "gang": {0.85, 15, 0.95}}
	// Learned durations suffice for gangs whose estimates are too long by one factor.
	tooLong := maps.Clone(reserving)
	tooLong["gang"] = want{0.95, 5, 1}
	bestEffort := map[string]want{"small": {0.98, 3, 1}, "large": {0.97, 3, 1}}
	cases := []struct {
		name string
		mix  mix
		want map[string]want
	}{
		{"estimates are right", mix{classes: reservingMix(), estimateX: 1}, reserving},
		{"tasks take three times as long as estimated", mix{classes: reservingMix(), estimateX: 0.3}, reserving},
		{"tasks take a third of their estimate", mix{classes: reservingMix(), estimateX: 3}, tooLong},
		{"a new owner takes over halfway", mix{classes: reservingMix(), estimateX: 1, replaceOwner: mixLength / 2}, reserving},
		{"a held instance is lost", mix{classes: reservingMix(), estimateX: 1, loseInstance: mixLength / 4}, reserving},
		{"best-effort tasks", mix{classes: bestEffortMix(), estimateX: 1}, bestEffort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			after := c.mix.play(t)
			c.mix.without = true
			before := c.mix.play(t)
			for name, want := range c.want {
				got := after[name]
				t.Logf("%s: %v; without windows: %v", name, got, before[name])
				if got.share() < want.onTime || got.quantile(1).Seconds() > want.worst || before[name].share() > want.onTimeWithout {
					t.Errorf("%s: %v, without windows %v, want %+v", name, got, before[name], want)
				}
			}
		})
	}
}

// heldScheduler returns a scheduler with instance a of 8 cores, where four tasks of 2 cores start at 0 s. The
// first has ended at 2 s, the others are estimated at 10, 30 and 30 s. The job "large" waits: it needs 4
// cores and has a window on a from 10 s on.
func heldScheduler(t *testing.T) *Scheduler {
	t.Helper()
	s := schedulerWith(registrationOf("a", 8))
	for i, estimate := range []int64{2000, 10_000, 30_000, 30_000} {
		step := stepOf(1, 2)
		step.Estimate = estimate
		job := jobOf(fmt.Sprintf("running%d", i), step)
		job.Queue = "running" // what they take says nothing of other jobs
		s.Accept(startTime, job, nil)
	}
	s.Plan(at(0))
	large := jobOf("large", stepOf(1, 4))
	large.Policy.Latency, large.Policy.Priority = 40_000, 1
	s.Accept(startTime, large, nil)
	s.Plan(at(0.5))
	expect(t, "changes", s.TakeWindowChanges(), []WindowChange{{Job: "large", Cause: WindowMade, Instances: []string{"a"}, Wait: 9500 * time.Millisecond}})
	s.Ended(at(2), Incarnation{"a", 1}, []End{{Sequence: 1, Task: TaskName{"running0", 0, 0, 0}, Run: 1}})
	expect(t, "room", s.Fragmentation(at(2)), map[string]Fragmentation{"s": {2000, 2000, 2000, 2000}})
	return s
}

// quarantine makes two jobs in a row fail on an instance.
func quarantine(in *instance, now time.Time) {
	in.record.Failed(now, "first")
	in.record.Failed(now, "second")
}

func TestWhatStartsBeforeAWindow(t *testing.T) {
	small := func(change func(*Job)) *Job {
		job := jobOf("small", stepOf(1, 2))
		job.Policy.Priority, job.Policy.Latency, job.Steps[0].Estimate = 1, 60_000, 60_000
		change(job)
		return job
	}
	cases := []struct {
		name   string
		job    *Job
		starts bool
	}{
		{"a small task that would be there too long", small(func(*Job) {}), false},
		{"one that is gone in time", small(func(j *Job) { j.Steps[0].Estimate = 5000 }), true},
		{"one that is perhaps gone in time", small(func(j *Job) { j.Steps[0].Estimate = 7000 }), false},
		{"one of which nothing is known", small(func(j *Job) { j.Steps[0].Estimate = 0 }), false},
		{"a best-effort one, which reserves no processors", small(func(j *Job) { j.Steps[0].BestEffort = true }), true},
		{"one with an earlier objective", small(func(j *Job) { j.Policy.Latency, j.Policy.Stretch, j.Steps[0].Estimate = 20_000, 1, 15_000 }), true},
		{"one of a higher priority", small(func(j *Job) { j.Policy.Priority = 0 }), true},
		{"one of a lower priority", small(func(j *Job) { j.Policy.Priority = 2 }), false},
		{"a latency-critical one", small(func(j *Job) { j.Steps[0].Target, j.Policy.Priority = 10, 2 }), true},
		{"a long-running one", small(func(j *Job) { j.Steps[0].LongRunning, j.Policy.Priority = true, 2 }), true},
	}
	for _, c := range cases {
		s := heldScheduler(t)
		s.Accept(at(2), c.job, nil)
		expect(t, c.name, len(s.Plan(at(2))) == 1, c.starts)
	}
}

func TestWindowsEnd(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Scheduler)
		at     float64
		want   []WindowCause
	}{
		{"by the start of its task", func(s *Scheduler) {
			s.Ended(at(3), Incarnation{"a", 1}, []End{{Sequence: 2, Task: TaskName{"running1", 0, 0, 0}, Run: 1}})
		}, 3, []WindowCause{WindowUsed}},
		{"by a cancellation", func(s *Scheduler) { s.Cancel("large") }, 3, []WindowCause{WindowNotNeeded}},
		{"with the instance", func(s *Scheduler) { s.Lost(at(3), Incarnation{"a", 1}); registerOn(s, registrationOf("b", 2)) }, 3, []WindowCause{WindowInstanceGone}},
		{"with the quarantine of the instance", func(s *Scheduler) { quarantine(s.instances["a"], at(3)); registerOn(s, registrationOf("b", 2)) }, 3, []WindowCause{WindowInstanceGone}},
		{"when it has held the instance for too long", func(*Scheduler) {}, 40, []WindowCause{WindowExpired}},
		{"not while it is waited for", func(*Scheduler) {}, 20, nil},
	}
	for _, c := range cases {
		s := heldScheduler(t)
		c.change(s)
		s.Plan(at(c.at))
		var causes []WindowCause
		for _, change := range s.TakeWindowChanges() {
			causes = append(causes, change.Cause)
		}
		expect(t, c.name, causes, c.want)
		if len(c.want) > 0 && c.want[0] == WindowExpired {
			small := jobOf("small", stepOf(1, 2))
			s.Accept(at(41), small, nil)
			expect(t, "small tasks that start after the end", len(s.Plan(at(41))), 1)
		}
	}
}

// While every task fits or waits for a single end, there are no windows.
func TestThereAreNoWindowsWhereNothingLargerWaits(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8), registrationOf("b", 8))
	for i := range 6 {
		s.Accept(startTime, jobOf(fmt.Sprintf("j%d", i), stepOf(2, 4)), nil)
	}
	for second := range 5 {
		s.Plan(at(float64(second)))
	}
	expect(t, "changes", s.TakeWindowChanges(), []WindowChange(nil))
	expect(t, "room", s.Fragmentation(at(5)), map[string]Fragmentation{"s": {}})
}

// A gang that is given room beside a window and then finds none for its other members leaves that room
// to others.
func TestAGangWithoutRoomTakesNoneBesideAWindow(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8))
	for i, running := range []struct {
		cores    int
		estimate int64
	}{{2, 9000}, {2, 10_000}, {3, 30_000}} {
		step := stepOf(1, running.cores)
		step.Estimate = running.estimate
		job := jobOf(fmt.Sprintf("running%d", i), step)
		job.Queue = "running"
		s.Accept(startTime, job, nil)
	}
	s.Plan(at(0))
	waiting := func(id string, latency int64, step Step) {
		step.Estimate = 60_000
		job := jobOf(id, step)
		job.Policy.Latency, job.Policy.Priority = latency, 1
		s.Accept(startTime, job, nil)
	}
	waiting("large", 40_000, stepOf(1, 4))
	s.Plan(at(0.5))
	expect(t, "windows", s.Windows(), 1)
	gang := stepOf(2, 1)
	gang.Gang = true
	waiting("gang", 50_000, gang)
	waiting("small", 60_000, stepOf(1, 1))
	starts := s.Plan(at(1))
	expect(t, "starts", startsOf(starts), []string{"small.0.0.0 1 a"})
}
