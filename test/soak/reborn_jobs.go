package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

const (
	// lastingJobs and lastingTasks are the number of jobs of long-running tasks and of tasks of each. Half of
	// the workers have room for them beside the other jobs.
	lastingJobs  = 4
	lastingTasks = 8
	// lastingEstimate is the run time of a long-running task, in ms: longer than any soak.
	lastingEstimate = 3_600_000
	// burstJobs and burstTasks are the number of jobs that are submitted as workers crash, so that starts
	// are in flight, and of tasks of each. They are submitted from burstLead before the crash on, one each
	// burstInterval.
	burstJobs     = 6
	burstTasks    = 8
	burstLead     = 700 * time.Millisecond
	burstInterval = 250 * time.Millisecond
	// maxCancelTries bounds how often a client cancels a long-running job until it gets an answer, and
	// cancelRetryDelay is the time between two of them.
	maxCancelTries   = 50
	cancelRetryDelay = 200 * time.Millisecond
)

// Tasks of the jobs in mode reborn: their need, and the bounds of their run times in ms.
const (
	mixedProcessors = 200
	mixedMemory     = 100
	minShortTask    = 50
	maxShortTask    = 1500
	minLongTask     = 2000
	maxLongTask     = 14_000
)

// newMixedJob returns a job of one step.
func newMixedJob(random *rand.Rand, tasks int, estimate int64) dispatch.Job {
	return dispatch.Job{
		ID: fmt.Sprintf("%016x", random.Uint64()), Policy: dispatch.Policy{Attempts: maxTaskAttempts},
		Steps: []dispatch.Step{{Count: tasks, Estimate: estimate, Need: dispatch.Resources{Processors: mixedProcessors, Memory: mixedMemory}}},
	}
}

// randomMixedJob returns a job of short tasks or, one in four, of long ones.
func randomMixedJob(random *rand.Rand) dispatch.Job {
	estimate := minShortTask + random.Int64N(maxShortTask-minShortTask)
	if random.IntN(4) == 0 {
		estimate = minLongTask + random.Int64N(maxLongTask-minLongTask)
	}
	return newMixedJob(random, 1+random.IntN(4), estimate)
}

// randomBurst returns the jobs that are submitted as workers crash: long ones, and one of long-running tasks.
func randomBurst(random *rand.Rand) []dispatch.Job {
	jobs := []dispatch.Job{newLastingJob(random)}
	for len(jobs) < burstJobs {
		jobs = append(jobs, newMixedJob(random, burstTasks, minLongTask+random.Int64N(maxLongTask-minLongTask)))
	}
	return jobs
}

// newLastingJob returns a job of long-running tasks.
func newLastingJob(random *rand.Rand) dispatch.Job {
	job := newMixedJob(random, lastingTasks, lastingEstimate)
	job.Steps[0].LongRunning = true
	return job
}

// submitLasting submits jobs of long-running tasks and waits for the answers.
func (c *jobClient) submitLasting(random *rand.Rand, jobs int) {
	for range jobs {
		c.submit(c.add(newLastingJob(random)), false)
	}
}

// submitBurst submits jobs one after another around a crash. It waits for the answers.
func (c *jobClient) submitBurst(jobs []dispatch.Job, crash time.Time) {
	done := make(chan struct{})
	for i, job := range jobs {
		time.Sleep(time.Until(crash.Add(time.Duration(i)*burstInterval - burstLead)))
		submitted := c.add(job)
		go func() {
			c.submit(submitted, false)
			done <- struct{}{}
		}()
	}
	for range jobs {
		<-done
	}
}

// cancelLasting cancels the long-running jobs that were accepted, and waits for the answers.
func (c *jobClient) cancelLasting() {
	c.mu.Lock()
	jobs := slices.Clone(c.jobs)
	c.mu.Unlock()
	for _, s := range jobs {
		if s.job.LongRunning() && !s.acceptedAt.IsZero() {
			c.cancelUntilAnswered(s)
		}
	}
}

// cancelUntilAnswered cancels a job again and again until an entry answers that it is.
func (c *jobClient) cancelUntilAnswered(s *submittedJob) {
	c.mu.Lock()
	s.cancelRequested = true
	c.mu.Unlock()
	for range maxCancelTries {
		if status, _ := c.call(http.MethodDelete, s.job.ID, nil); status == http.StatusOK {
			return
		}
		time.Sleep(cancelRetryDelay)
	}
}
