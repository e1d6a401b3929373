package dispatch

import (
	"container/heap"
	"fmt"
	"time"
)

// ending is the end of a run at a time.
type ending struct {
	at       time.Time
	instance string
	end      End
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// served is what the caller of one job gets.
type served struct {
	work         float64 // core-seconds
	onTime, late bool
}

// shares returns the shares of jobs that meet their objective, and that end at all while they have
// a value.
func shares(jobs []served) (onTime, inAll float64) {
	for _, job := range jobs {
		if job.onTime {
			onTime++
		}
		if job.onTime || job.late {
			inAll++
		}
	}
	return onTime / float64(len(jobs)), inAll / float64(len(jobs))
}

// loadJob is a job of a load and what its caller gets.
type loadJob struct {
	served
	job       *Job
	duration  time.Duration // of a task, at full speed
	objective time.Duration // by the work that it really is
	accepted  time.Time
}

// load brings jobs to a scheduler.
type load struct {
	length time.Duration                              // while jobs come
	next   func(id string) *loadJob                   // the job that comes in one tick, or nil
	vary   func(duration time.Duration) time.Duration // what one run takes of a task's duration; nil: all of it
	placed func(run *reservation)                     // called for each start; nil: nothing is done
	pace   float64                                    // share of full speed at which runs work, and use processors; 0: they work at full speed
}

const (
	loadTick      = 20 * time.Millisecond  // time between two plans
	loadRest      = 30 * time.Second       // how long the load is played after the last job
	loadMeasuring = 500 * time.Millisecond // time between two measurements
)

// play runs the load on a scheduler.
func (l load) play(s *Scheduler) []*loadJob {
	var running endings
	var jobs []*loadJob
	byID := map[string]*loadJob{}
	sequence := int64(0)
	for now := startTime; now.Before(startTime.Add(l.length + loadRest)); now = now.Add(loadTick) {
		if now.Sub(startTime) < l.length {
			if j := l.next(fmt.Sprintf("j%04d", len(jobs))); j != nil {
				j.accepted, byID[j.job.ID], jobs = now, j, append(jobs, j)
				s.Accept(now, j.job, nil)
			}
		}
		for len(running) > 0 && !running[0].at.After(now) {
			e := heap.Pop(&running).(ending)
			s.Ended(now, Incarnation{ID: e.instance, StartedAt: 1}, []End{e.end})
		}
		for _, change := range s.Dirty(1000) {
			if j := byID[change.Job]; change.Progress.State == Completed {
				took := now.Sub(j.accepted)
				j.onTime, j.late = took <= j.objective, took > j.objective && took <= worthlessFactor*j.objective
			}
			s.Committed(change)
		}
		for _, start := range s.Plan(now) {
			sequence++
			duration := byID[start.Task.Job].duration
			if l.vary != nil {
				duration = l.vary(duration)
			}
			if l.pace > 0 {
				duration = time.Duration(float64(duration) / l.pace)
			}
			if l.placed != nil {
				l.placed(s.instances[start.Instance].reservations[start.Task])
			}
			heap.Push(&running, ending{now.Add(duration), start.Instance, End{Sequence: sequence, Task: start.Task, Run: start.Run}})
		}
		s.TakeStops()
		if l.pace > 0 && now.Sub(startTime)%loadMeasuring == 0 {
			measure(s, now, l.pace)
		}
	}
	return jobs
}

// measure reports that all runs use the given share of the processors that they request.
func measure(s *Scheduler, now time.Time, share float64) {
	for _, in := range s.byID {
		var measurements []Measurement
		for name, run := range in.reservations {
			measurements = append(measurements, Measurement{name, share * float64(run.need.Processors)})
		}
		s.Observe(now, in.registration.Incarnation, measurements)
	}
}
