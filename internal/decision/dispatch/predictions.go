package dispatch

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/durations"
)

// predict returns how long a run of a task of the step takes at full speed. All decisions that
// depend on when work ends use it, or remainingTime.
func (s *Scheduler) predict(job *Job, step *Step) durations.Prediction {
	return s.durations.Predict(durations.Class{Queue: job.Queue, Image: step.Image}, time.Duration(step.Estimate)*time.Millisecond)
}

// remainingTime returns how much longer a run on an instance takes at the instance's speed. It is
// negative for a run that has taken longer than expected.
func (s *Scheduler) remainingTime(in *instance, run *reservation, now time.Time) time.Duration {
	elapsed := now.Sub(run.startedAt)
	job := s.findJob(run.name.Job)
	if run.step == nil || job == nil {
		return -elapsed
	}
	return time.Duration(float64(s.predict(job, run.step).Median)/s.speed(in, now)) - elapsed
}

// findJob returns a job, finished or not, or nil if it is not known.
func (s *Scheduler) findJob(id string) *Job {
	if j, active := s.jobs[id]; active {
		return j.spec
	}
	return s.finished[id].job
}
