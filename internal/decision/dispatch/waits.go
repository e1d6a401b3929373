package dispatch

import "time"

// Waits counts the tasks of long-running steps that wait, by what they wait for, and the
// instances that they could use.
type Waits struct {
	Unconfirmed      int // tasks that an instance of an earlier owner may run, see MissingInstances
	Delayed          int // tasks that wait for their restart delay
	LateStarts       int // tasks that a lost instance may still start, see LateStart
	Unplaced         int // tasks that may start: no instance suits them, or the next plan places them
	Instances        int // known instances
	UsableInstances  int // instances on which a task may be placed now
	Quarantined      int // instances on which only tasks of long-running steps may be placed
	Evacuated        int // instances in evacuated failure domains
	MissingInstances int // instances of an earlier owner that have not reported yet
	// Obstacles counts the known instances by what keeps Example off them, which is one of the unplaced tasks.
	Example   TaskName
	Obstacles map[Obstacle]int
}

// Tasks returns the number of waiting tasks.
func (w Waits) Tasks() int { return w.Unconfirmed + w.Delayed + w.LateStarts + w.Unplaced }

// LongRunningWaits counts the tasks of long-running steps that wait.
func (s *Scheduler) LongRunningWaits(now time.Time) Waits {
	waits := Waits{Instances: len(s.byID), MissingInstances: len(s.unconfirmed)}
	for _, in := range s.byID {
		switch {
		case in.evacuated:
			waits.Evacuated++
		case in.usable(now):
			waits.UsableInstances++
		case in.ready():
			waits.Quarantined++
		}
	}
	for _, j := range s.jobs {
		if !j.state.Final() && j.spec.LongRunning() {
			s.countWaits(now, j, &waits)
		}
	}
	return waits
}

// explainUnplaced records what keeps a task off each known instance.
func (s *Scheduler) explainUnplaced(now time.Time, j *jobState, t *task, waits *Waits) {
	waits.Example, waits.Obstacles = t.name, map[Obstacle]int{}
	p := newPlanner(s, now)
	p.collectInstances()
	p.bestEffortImages = s.costModel.BestEffortImages()
	for _, in := range s.byID {
		waits.Obstacles[p.obstacle(j, t, in)]++
	}
}

// countWaits adds the waiting tasks of a job's long-running steps to waits.
func (s *Scheduler) countWaits(now time.Time, j *jobState, waits *Waits) {
	for _, o := range j.occurrences {
		for _, tasks := range o.steps {
			for _, t := range tasks {
				switch {
				case !t.step.LongRunning || !t.waiting() || !o.ready(t.step):
				case t.unconfirmed:
					waits.Unconfirmed++
				case now.Before(t.notBefore):
					waits.Delayed++
				case len(s.lateStarts[t.name]) > 0:
					waits.LateStarts++
				default:
					if waits.Unplaced++; waits.Obstacles == nil {
						s.explainUnplaced(now, j, t, waits)
					}
				}
			}
		}
	}
}
