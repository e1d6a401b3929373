package dispatch

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/durations"
)

// stepDuration is what is known of how long the tasks of a step of a job take.
type stepDuration struct {
	runs    durations.Runs // done runs of the step
	leftOut int            // done runs that say little about the work

	prediction durations.Prediction
	current    bool   // no run has been added since the prediction was made
	revision   uint64 // of the model with which it was made
}

// predict returns how long a run of a task of the step takes at full speed. All decisions that
// depend on when work ends use it, or remainingTime.
func (s *Scheduler) predict(job *Job, step *Step) durations.Prediction {
	if j, active := s.jobs[job.ID]; active {
		for stepIndex := range j.spec.Steps {
			if &j.spec.Steps[stepIndex] == step {
				return s.predictStep(j, stepIndex)
			}
		}
	}
	return s.durations.Predict(classOf(job, step), step.estimate())
}

// predictStep is predict for a step of an active job.
func (s *Scheduler) predictStep(j *jobState, stepIndex int) durations.Prediction {
	s.refreshPredictions(j)
	return j.durations[stepIndex].prediction
}

// refreshPrediction predicts a step anew if what is known has changed, and reports whether it did.
func (s *Scheduler) refreshPrediction(j *jobState, stepIndex int) bool {
	d, step := &j.durations[stepIndex], &j.spec.Steps[stepIndex]
	if d.current && (d.revision == s.durations.Revision() || step.LongRunning) {
		return false
	}
	d.current, d.revision = true, s.durations.Revision()
	if step.LongRunning {
		d.prediction = durations.Prediction{Median: step.estimate(), Tail: step.estimate()}
		return true
	}
	d.prediction = s.durations.PredictStep(classOf(j.spec, step), step.estimate(), &d.runs)
	return true
}

// refreshPredictions predicts the steps of a job anew if what is known has changed, and with them its
// objective: it follows from what the work takes, and not from what its user expects.
func (s *Scheduler) refreshPredictions(j *jobState) {
	changed := false
	for stepIndex := range j.durations {
		changed = s.refreshPrediction(j, stepIndex) || changed
	}
	if changed {
		chain := j.spec.longestChain(func(stepIndex int) time.Duration { return j.durations[stepIndex].prediction.Median })
		j.objective = j.spec.objective(chain)
	}
}

func classOf(job *Job, step *Step) durations.Class {
	return durations.Class{Queue: job.Queue, Image: step.Image}
}

// remainingTime returns how much longer a run on an instance takes at the instance's speed. It is
// negative for a run that has taken longer than nearly all do.
func (s *Scheduler) remainingTime(in *instance, run *reservation, now time.Time) time.Duration {
	job := s.findJob(run.name.Job)
	if run.step == nil || job == nil {
		return -now.Sub(run.startedAt)
	}
	prediction, worked := s.predict(job, run.step), s.worked(in, run, now)
	remaining := prediction.Remaining(worked)
	if remaining == 0 {
		remaining = prediction.Tail - worked
	}
	return time.Duration(float64(remaining) / s.speed(in, now))
}

// worked returns how long a task would have taken at full speed for what a run of it, and the runs before
// whose checkpoint it began from, have done.
func (s *Scheduler) worked(in *instance, run *reservation, now time.Time) time.Duration {
	return run.saved + time.Duration(float64(now.Sub(run.startedAt)-run.lostTime(now))*s.speed(in, now))
}

// findJob returns a job, finished or not, or nil if it is not known.
func (s *Scheduler) findJob(id string) *Job {
	if j, active := s.jobs[id]; active {
		return j.spec
	}
	return s.finished[id].job
}
