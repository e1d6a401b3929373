package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/backfill"
)

//go:generate stringer -type=Obstacle -linecomment

// Obstacle is what keeps a task off an instance.
type Obstacle int

// The obstacles, in the order in which they are looked for. ObstacleRun: an earlier run of the task may
// still be there, or on an instance that is lost (LateStart). ObstacleProcessors and ObstacleInterference: a best-effort task would be too slow, for
// want of processors, or since it would be paced for latency-critical tasks. ObstacleCold:
// the instance is slow after its start and has as many recent starts as it may have.
const (
	ObstacleNone           Obstacle = iota // none
	ObstacleService                        // other-service
	ObstacleDraining                       // draining
	ObstacleEvacuated                      // evacuated
	ObstacleNotReady                       // not-ready
	ObstacleQuarantine                     // quarantined
	ObstacleLabel                          // label
	ObstacleResources                      // resources
	ObstacleProcessors                     // processors-left
	ObstacleInterference                   // interference
	ObstacleIsolation                      // isolated
	ObstacleRun                            // earlier-run
	ObstacleMaxPerInstance                 // most-per-instance
	ObstacleCold                           // cold
	ObstacleWindow                         // window
)

// MarshalText returns the name of the obstacle.
func (o Obstacle) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the name of an obstacle.
func (o *Obstacle) UnmarshalText(text []byte) error {
	for known := ObstacleNone; known <= ObstacleWindow; known++ {
		if known.String() == string(text) {
			*o = known
			return nil
		}
	}
	return fmt.Errorf("unknown obstacle %q", text)
}

// Explanation says where a job is in the line and where its tasks would go.
type Explanation struct {
	Job          string            `json:"job"`
	OnTime       bool              `json:"ontime,omitempty"` // neither this nor Worthless: it is late
	Worthless    bool              `json:"worthless,omitempty"`
	Postponed    bool              `json:"postponed,omitempty"`
	Priority     int               `json:"priority"`
	Place        int               `json:"place"` // among the unfinished jobs, from 1 on
	Jobs         int               `json:"jobs"`  // number of unfinished jobs
	Objective    time.Time         `json:"objective,omitzero"`
	Steps        []StepExplanation `json:"steps"`
	ExpectedEnd  time.Time         `json:"expected,omitzero"` // of the job; the ends are zero if they are not known
	CertainlyEnd time.Time         `json:"certain,omitzero"`
}

// StepExplanation says so for one step of the last occurrence.
type StepExplanation struct {
	Waiting     int         `json:"waiting"`
	Running     int         `json:"running"`
	Done        int         `json:"done"`
	AfterOthers bool        `json:"afterothers,omitempty"` // steps before it are not done
	Candidates  []Candidate `json:"candidates,omitempty"`  // for its first waiting task; the best first, then those with an obstacle
	Window      []string    `json:"window,omitempty"`      // instances that are held for it
	// Start is when its waiting tasks start at the earliest, if nothing else comes before; zero if no
	// expected end makes room. The ends are zero if they are not known.
	Start        time.Time `json:"start,omitzero"`
	ExpectedEnd  time.Time `json:"expected,omitzero"`
	CertainlyEnd time.Time `json:"certain,omitzero"`
}

// Candidate is an instance for a task.
type Candidate struct {
	Instance string    `json:"instance"`
	Obstacle Obstacle  `json:"obstacle"`
	Penalty  int       `json:"penalty,omitempty"` // where there is no obstacle: the lowest is best
	Free     Resources `json:"free"`              // for tasks that reserve them
	Leftover int       `json:"leftover"`          // processors left for best-effort tasks, in thousandths of a core
	Holder   string    `json:"holder,omitempty"`  // job that has the window
}

// Explain explains a job that has not ended, without any change. ok is false if it is not known.
func (s *Scheduler) Explain(now time.Time, id string) (e Explanation, ok bool) {
	j, ok := s.jobs[id]
	if !ok || j.state.Final() {
		return Explanation{}, false
	}
	return s.explain(now, j, false), true
}

// ExplainDescribed explains a job that has not been submitted, as if it were accepted now.
func (s *Scheduler) ExplainDescribed(now time.Time, job *Job) Explanation {
	j := &jobState{spec: job, acceptedAt: now, durations: make([]stepDuration, len(job.Steps)), favored: isFavored(job)}
	s.refreshPredictions(j)
	j.occurrences = []*occurrence{s.newOccurrence(j, 0, false)}
	return s.explain(now, j, true)
}

func (s *Scheduler) explain(now time.Time, j *jobState, described bool) Explanation {
	p := newPlanner(s, now)
	p.collectInstances()
	for _, in := range p.usable {
		if in.held != nil {
			p.held = append(p.held, in)
		}
	}
	p.bestEffortImages = s.costModel.BestEffortImages()
	var others []*jobState
	if described {
		others = append(others, j)
	}
	line := s.inOrder(now, p.available(), others)
	place := slices.IndexFunc(line, func(other ranked) bool { return other.jobState == j })
	r := line[place]
	p.turn = turnOf(r)
	e := Explanation{
		Job: j.spec.ID, OnTime: r.rank == onTime, Worthless: r.rank == worthless, Postponed: r.postponed, Priority: j.spec.Policy.Priority,
		Place: place + 1, Jobs: len(line), Objective: r.objective, ExpectedEnd: now, CertainlyEnd: now,
	}
	if len(j.occurrences) == 0 {
		e.ExpectedEnd, e.CertainlyEnd = time.Time{}, time.Time{} // it is not due yet
		return e
	}
	o := j.occurrences[len(j.occurrences)-1]
	for step := range j.spec.Steps {
		e.Steps = append(e.Steps, p.explainStep(blockedStep{r, o, step}, e.Steps))
		last := &e.Steps[step]
		e.ExpectedEnd, e.CertainlyEnd = latest(e.ExpectedEnd, last.ExpectedEnd), latest(e.CertainlyEnd, last.CertainlyEnd)
	}
	return e
}

// latest returns the later of two times, or zero if one is zero.
func latest(a, b time.Time) time.Time {
	if a.IsZero() || b.IsZero() {
		return time.Time{}
	}
	if a.After(b) {
		return a
	}
	return b
}

// explainStep explains one step, after those before it.
func (p *planner) explainStep(b blockedStep, before []StepExplanation) StepExplanation {
	step := b.spec()
	e := StepExplanation{Start: p.now, ExpectedEnd: p.now, CertainlyEnd: p.now, AfterOthers: !b.occurrence.ready(step)}
	longest := p.scheduler.longest(b.ranked.spec, step)
	ready, certainlyReady := p.now, p.now
	for _, index := range step.After {
		if index < len(before) {
			ready, certainlyReady = latest(ready, before[index].ExpectedEnd), latest(certainlyReady, before[index].CertainlyEnd)
		}
	}
	for _, t := range b.occurrence.steps[b.step] {
		in := p.scheduler.instances[t.instance]
		switch {
		case t.done:
			e.Done++
		case in == nil || in.reservations[t.name] == nil:
			e.Waiting++
		default:
			e.Running++
			end := p.now.Add(p.scheduler.expectedRest(in, in.reservations[t.name], p.now))
			if longest == math.MaxInt64 {
				end = time.Time{}
			}
			e.ExpectedEnd, e.CertainlyEnd = latest(e.ExpectedEnd, end), latest(e.CertainlyEnd, latest(end, t.startedAt.Add(longest)))
		}
	}
	if e.Waiting == 0 {
		return e
	}
	first, _ := b.waiting()
	e.Candidates = p.candidates(b, first)
	e.Start = latest(ready, p.earliestStart(b, &e))
	median := p.scheduler.predict(b.ranked.spec, step).Median
	if e.Start.IsZero() || longest == math.MaxInt64 {
		e.ExpectedEnd, e.CertainlyEnd = time.Time{}, time.Time{}
		return e
	}
	e.ExpectedEnd = latest(e.ExpectedEnd, e.Start.Add(median))
	e.CertainlyEnd = latest(e.CertainlyEnd, latest(certainlyReady, e.Start).Add(longest))
	return e
}

// earliestStart returns when the tasks that a window is for would have room: now if the first has it, and
// otherwise by the expected ends; zero if never.
func (p *planner) earliestStart(b blockedStep, e *StepExplanation) time.Time {
	if h := b.hold; h != nil && h.occurrence == b.occurrence.number && h.step == b.step {
		for _, share := range h.window.Shares {
			e.Window = append(e.Window, share.Host)
		}
		return latest(p.now, h.window.Expected)
	}
	if len(e.Candidates) > 0 && e.Candidates[0].Obstacle == ObstacleNone && !b.spec().Gang {
		return p.now
	}
	w := windowSearch{planner: p, hosts: map[*instance]*backfill.Host{}, taken: map[*instance]bool{}}
	for _, in := range p.held {
		w.hosts[in] = p.host(in)
		w.hosts[in].Free = w.hosts[in].Free.Minus(in.held.share.Need)
	}
	window, ok := w.find(b)
	if !ok {
		return time.Time{}
	}
	return window.Expected
}

// candidates returns all instances for a task, the best first.
func (p *planner) candidates(b blockedStep, t *task) []Candidate {
	var all []Candidate
	for _, in := range p.scheduler.byID {
		c := Candidate{Instance: in.registration.Incarnation.ID, Obstacle: p.obstacle(b.jobState, t, in), Free: in.free(), Leftover: in.bestEffortRoom()}
		switch c.Obstacle {
		case ObstacleNone:
			c.Penalty = p.placementPenalty(t, in)
		case ObstacleWindow:
			c.Holder = in.held.hold.job.spec.ID
		default:
		}
		all = append(all, c)
	}
	slices.SortStableFunc(all, func(a, c Candidate) int {
		switch {
		case a.Obstacle == ObstacleNone && c.Obstacle == ObstacleNone:
			return a.Penalty - c.Penalty
		case a.Obstacle == ObstacleNone:
			return -1
		case c.Obstacle == ObstacleNone:
			return 1
		}
		return 0
	})
	return all
}

// obstacle returns the first obstacle for a task on an instance, as suitable would find it.
func (p *planner) obstacle(j *jobState, t *task, in *instance) Obstacle {
	step := t.step
	need := step.Need
	if step.BestEffort {
		need.Processors = 0
	}
	_, placed := in.reservations[t.name]
	placed = placed || p.pinnedElsewhere(t, in)
	switch {
	case in.registration.Service != j.spec.Policy.Service:
		return ObstacleService
	case in.registration.Draining:
		return ObstacleDraining
	case in.evacuated:
		return ObstacleEvacuated
	case !in.ready():
		return ObstacleNotReady
	case !in.usable(p.now):
		return ObstacleQuarantine
	case step.Label != "" && !in.hasLabel(step.Label):
		return ObstacleLabel
	case !need.fitsIn(in.free()):
		return ObstacleResources
	case step.BestEffort && p.processorRate(step, in) < minRate:
		return ObstacleProcessors
	case step.BestEffort && p.neighborRate(step, in) < minRate:
		return ObstacleInterference
	case in.isolated:
		return ObstacleIsolation
	case placed:
		return ObstacleRun
	case in.excludes(t):
		return ObstacleMaxPerInstance
	case p.startsSlowly(in):
		return ObstacleCold
	case p.withheld(j, t, in):
		return ObstacleWindow
	}
	return ObstacleNone
}
