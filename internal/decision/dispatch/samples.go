package dispatch

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/durations"
)

const (
	// fullUsePercent is the share of its requested processors, in percent, from which on a
	// best-effort task counts as working at full speed.
	fullUsePercent = 90
	// maxMeasuringGap is the longest time for which a measurement is taken to hold.
	maxMeasuringGap = time.Second
	// maxLostPercent is the share of a run, in percent, that may be lost to slow progress if the run
	// is to say how long the work takes.
	maxLostPercent = 50
	// minSampleSpeed is the speed of an instance below which its runs do not say that.
	minSampleSpeed = 0.8
)

// use is how much of its requested processors a run uses.
type use struct {
	share      float64       // as last measured, 1 at most
	measuredAt time.Time     // zero before the first measurement
	lost       time.Duration // by then, to a share below 1
}

// recordLoss records the time that a best-effort run loses, from a measurement of the processors that it
// uses, in thousandths of a core.
func (p *reservation) recordLoss(now time.Time, used float64) {
	if now.Sub(p.startedAt) < measuredSpan {
		return // it covers time before the start
	}
	p.use.share = 1
	if needed := float64(p.need.Processors); needed > 0 && used*100 < fullUsePercent*needed {
		p.use.share = max(used, 0) / needed
	}
	since := p.use.measuredAt
	if since.IsZero() {
		since = p.startedAt
	}
	p.use.lost += lostBetween(since, now, p.use.share)
	p.use.measuredAt = now
}

// lostBetween returns the time that a run loses at a share of its requested processors.
func lostBetween(since, now time.Time, share float64) time.Duration {
	return time.Duration(float64(min(now.Sub(since), maxMeasuringGap)) * (1 - share))
}

// lostTime returns how much of the time since the start of a run is lost because it got fewer
// processors than it requests.
func (p *reservation) lostTime(now time.Time) time.Duration {
	if p.use.measuredAt.IsZero() {
		return 0
	}
	return p.use.lost + lostBetween(p.use.measuredAt, now, p.use.share)
}

// recordDuration records what a done run took, if it says how long the work takes: not if the run
// began with a checkpoint or under an earlier owner, far from its data, on a slow instance, or if it
// was slowed for most of its time.
func (s *Scheduler) recordDuration(now time.Time, in *instance, p *reservation, t *task) {
	if t.step.LongRunning {
		return
	}
	d := &t.job.durations[t.name.Step]
	elapsed := now.Sub(p.startedAt)
	slowed := s.speed(in, now) < minSampleSpeed || p.lostTime(now)*100 > elapsed*maxLostPercent
	if !p.fromStart || slowed || s.isSpread(t) || t.step.DataRack != "" && !in.hasLabel(t.step.DataRack) {
		d.leftOut++
		return
	}
	d.runs.Add(s.worked(in, p, now), countBegunBefore(t))
	d.current = false
}

// isSpread reports whether a task is of a gang that runs over several racks, where it takes longer.
func (s *Scheduler) isSpread(t *task) bool {
	if !t.step.Gang || !t.step.PreferOneRack {
		return false
	}
	racks := map[string]bool{}
	for _, member := range t.job.occurrences[t.name.Occurrence].steps[t.name.Step] {
		if in, placed := s.instances[member.instance]; placed {
			racks[in.registration.Rack] = true
		}
	}
	return len(racks) > 1
}

// countBegunBefore returns the number of tasks of the same step, other than t, that run since then or
// longer. The members of a gang end together, so it is 0 for them.
func countBegunBefore(t *task) int {
	if t.step.Gang {
		return 0
	}
	count := 0
	for _, other := range t.job.occurrences[t.name.Occurrence].steps[t.name.Step] {
		if other != t && !other.done && other.instance != "" && !other.startedAt.After(t.startedAt) {
			count++
		}
	}
	return count
}

// StepDuration says how long the tasks of a step took whose last one is done.
type StepDuration struct {
	Job             string
	Step            int
	Estimate        time.Duration // of the user
	Predicted, Took time.Duration // by the median, without its runs and by its runs; 0 if none counts
	Runs, LeftOut   int           // done runs that say how long the work takes, and that do not
}

// TakeStepDurations returns the steps that have ended since the last call.
func (s *Scheduler) TakeStepDurations() []StepDuration {
	steps := s.stepDurations
	s.stepDurations = nil
	return steps
}

// learnStep learns from the runs of a step whose tasks are all done.
func (s *Scheduler) learnStep(j *jobState, stepIndex int) {
	d, step := &j.durations[stepIndex], &j.spec.Steps[stepIndex]
	class := classOf(j.spec, step)
	ended := StepDuration{
		Job: j.spec.ID, Step: stepIndex, Estimate: step.estimate(), Predicted: s.durations.Predict(class, step.estimate()).Median,
		Took: d.runs.Median(), Runs: d.runs.Count(), LeftOut: d.leftOut,
	}
	s.stepDurations = append(s.stepDurations, ended)
	s.durations.Observe(class, step.estimate(), &d.runs)
}

// LearnedDurations returns what was learned of the durations of tasks.
func (s *Scheduler) LearnedDurations() durations.State { return s.durations.State() }

// RestoreDurations loads what earlier owners learned of the durations of tasks. It returns the number
// of queues.
func (s *Scheduler) RestoreDurations(state durations.State) int { return s.durations.Restore(state) }
