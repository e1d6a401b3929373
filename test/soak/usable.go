package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

const (
	// usableTimeout bounds the time within which a sound worker is used, when all faults are over.
	usableTimeout = 6 * time.Second
	// usablePollInterval is the time between two looks at the workers.
	usablePollInterval = 100 * time.Millisecond
	// usableJobID is the ID of the job that uses every worker.
	usableJobID = "00000000000000aa"
)

// checkUsable reports the workers that are sound and not used: it submits long-running tasks, one for each
// worker, when all faults are over and all other jobs have ended.
func (c *cluster) checkUsable(client *jobClient) {
	job := dispatch.Job{ID: usableJobID, Policy: dispatch.Policy{Attempts: maxTaskAttempts}, Steps: []dispatch.Step{{
		Count: len(c.workers), Estimate: time.Minute.Milliseconds(), LongRunning: true, MaxPerInstance: 1, Need: dispatch.Resources{Processors: 500, Memory: 1000},
	}}}
	s := client.add(job)
	deadline := time.Now().Add(usableTimeout)
	client.submit(s, false)
	for len(c.unused()) > 0 && time.Now().Before(deadline) {
		time.Sleep(usablePollInterval)
	}
	if unused := c.unused(); len(unused) > 0 {
		c.addViolation("UNUSED sound workers on which nothing starts within %v: %s", usableTimeout, strings.Join(unused, ", "))
	}
	client.call(http.MethodDelete, usableJobID, nil) // the processes end next, with or without it
}

// unused returns the workers that run nothing.
func (c *cluster) unused() []string {
	var names []string
	for _, worker := range c.workers {
		if incarnation, _ := worker.Incarnation(); worker.Running() == 0 {
			names = append(names, incarnation.ID)
		}
	}
	return names
}
