package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/speeds"
)

// fleet plays a load on a scheduler: jobs of one step of equal tasks, of which each takes its own time.
type fleet struct {
	scheduler *Scheduler
	now       time.Time
	random    *rand.Rand
	off       bool // the scheduler judges no instance and moves nothing
	instances []*worker
	jobs      map[string]time.Time // when they were handed in
	step      Step
	tail      float64 // share of the tasks that take seven times as long

	jobsInTime, jobsDone int
	lost                 time.Duration // work thrown away
	held                 map[speeds.Cause]int
	moves                int
}

// worker is one instance of a fleet.
type worker struct {
	id         string
	slowness   float64                        // 1: none
	failing    float64                        // share of its runs that fail
	sheds      bool                           // refuses starts
	silent     func(since time.Duration) bool // answers nothing, and runs stand still
	pace       func(since time.Duration) float64
	wasSilent  bool
	running    map[TaskName]*simulatedRun
	sequence   int64
	measuredAt time.Time
}

type simulatedRun struct {
	start   Start
	left    time.Duration // work
	worked  time.Duration
	stopsAt time.Time // zero: no stop was ordered
	fails   bool
}

const (
	fleetTick      = 50 * time.Millisecond
	fleetStop      = 500 * time.Millisecond
	fleetObjective = 2500 * time.Millisecond
	fleetWork      = time.Second // of the task in the middle
)

// newFleet returns a fleet of instances with 8 cores, and change applied to each tenth of them.
func newFleet(change func(*worker)) *fleet {
	f := &fleet{
		scheduler: New(1, 7), now: startTime, random: rand.New(rand.NewPCG(1, 2)), jobs: map[string]time.Time{}, held: map[speeds.Cause]int{},
		step: Step{Count: 20, Need: Resources{Processors: 2000}, Estimate: fleetWork.Milliseconds(), Image: "f"},
	}
	for i := range 30 {
		w := &worker{id: fmt.Sprintf("i%02d", i), slowness: 1, running: map[TaskName]*simulatedRun{}}
		if i%10 == 0 {
			change(w)
		}
		f.instances = append(f.instances, w)
	}
	f.register()
	return f
}

func (f *fleet) register() {
	for _, w := range f.instances {
		registerOn(f.scheduler, registrationOf(w.id, 8))
	}
}

// play hands in jobs for a time, perSecond in each second, and plays on until they have ended or a
// minute is over.
func (f *fleet) play(length time.Duration, perSecond float64) {
	begun, handedIn := f.now, 0
	for f.now.Sub(begun) < time.Minute && (f.now.Sub(begun) < length || len(f.jobs) > 0) {
		since := f.now.Sub(begun)
		for since < length && float64(handedIn) < since.Seconds()*perSecond {
			job := jobOf(fmt.Sprintf("j%d-%d", begun.UnixMilli(), handedIn), f.step)
			job.Policy.Attempts, job.Policy.Stretch = 9, 3
			f.scheduler.Accept(f.now, job, nil)
			f.jobs[job.ID] = f.now
			handedIn++
		}
		f.tick()
	}
}

func (f *fleet) tick() {
	f.now = f.now.Add(fleetTick)
	for _, w := range f.instances {
		f.work(w)
	}
	if f.off {
		for _, in := range f.scheduler.byID {
			in.record, in.imageRates = speeds.New().Record(in.registration.Incarnation.ID, "", ""), nil
		}
		f.scheduler.stallCheckedAt = f.now
	}
	for _, start := range f.scheduler.Plan(f.now) {
		f.start(start)
	}
	for _, stop := range f.scheduler.TakeStops() {
		w := f.instances[slices.IndexFunc(f.instances, func(w *worker) bool { return w.id == stop.Instance })]
		if run := w.running[stop.Task]; run != nil {
			run.stopsAt = f.now.Add(fleetStop)
			f.moves++
		}
	}
	for _, change := range f.scheduler.TakeSpeedChanges() {
		if change.Hold > 0 && !change.Bounded {
			f.held[change.Cause]++
		}
	}
	for _, change := range f.scheduler.Dirty(100) {
		f.scheduler.Committed(change)
		if since, known := f.jobs[change.Job]; known && change.Progress.State == Completed {
			delete(f.jobs, change.Job)
			f.jobsDone++
			if f.now.Sub(since) <= fleetObjective {
				f.jobsInTime++
			}
		}
	}
}

func (f *fleet) start(start Start) {
	w := f.instances[slices.IndexFunc(f.instances, func(w *worker) bool { return w.id == start.Instance })]
	if w.sheds {
		f.end(w, start, EndNotStarted, "")
		return
	}
	work := time.Duration(float64(fleetWork) * math.Exp(0.25*f.random.NormFloat64()))
	if f.random.Float64() < f.tail {
		work *= 7
	}
	if start.Checkpoint != "" {
		left, _ := time.ParseDuration(start.Checkpoint)
		work = left + 200*time.Millisecond
	}
	w.running[start.Task] = &simulatedRun{start: start, left: work, fails: f.random.Float64() < w.failing}
}

func (f *fleet) end(w *worker, start Start, reason EndReason, checkpoint string) {
	w.sequence++
	f.scheduler.Ended(f.now, Incarnation{w.id, 1}, []End{{Sequence: w.sequence, Task: start.Task, Run: start.Run, Reason: reason, Checkpoint: checkpoint}})
}

// work lets the runs of an instance work for a tick, and reports their ends and what they use.
func (f *fleet) work(w *worker) {
	since := f.now.Sub(startTime)
	if w.silent != nil {
		silent := w.silent(since)
		if silent && !w.wasSilent {
			f.scheduler.Silent(f.now, "agent-"+w.id)
		}
		f.scheduler.SetReachable(w.id, !silent)
		w.wasSilent = silent
		if silent {
			return
		}
	}
	pace := 1.0
	if w.pace != nil {
		pace = w.pace(since)
	}
	var measurements []Measurement
	for _, name := range slices.SortedFunc(maps.Keys(w.running), func(a, c TaskName) int { return cmp.Compare(a.String(), c.String()) }) {
		run := w.running[name]
		done := time.Duration(float64(fleetTick) * pace / w.slowness)
		run.left, run.worked = run.left-done, run.worked+done
		measurements = append(measurements, Measurement{Task: name, Value: pace * float64(f.step.Need.Processors)})
		switch {
		case run.fails && run.worked > fleetWork/3:
			f.lost += run.worked
			f.end(w, run.start, EndFailed, "")
		case run.left <= 0:
			f.end(w, run.start, EndDone, "")
		case !run.stopsAt.IsZero() && !f.now.Before(run.stopsAt):
			f.end(w, run.start, EndStopped, run.left.String())
		default:
			continue
		}
		delete(w.running, name)
	}
	if f.step.BestEffort && f.now.Sub(w.measuredAt) >= 500*time.Millisecond {
		w.measuredAt = f.now
		f.scheduler.Observe(f.now, Incarnation{w.id, 1}, measurements)
	}
}
