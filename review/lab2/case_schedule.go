//go:build review

package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// longSchedule submits a schedule that began some time ago, so that many of its occurrences are due. The
// first one takes long. Ordinary jobs follow.
func longSchedule(r *record, trouble bool) error {
	c, err := newCluster(r, options{
		entries: 3, workers: 4, attempts: 2, cpu: 32000, memory: 128000, stop: 300 * time.Millisecond, entryMemory: 284, agentMemory: 152,
		decide: func(_ *worker, task, _ string) fate {
			if strings.HasSuffix(task, "f.0.0.0") {
				return fate{after: time.Minute, how: "done"}
			}
			return fate{after: 400 * time.Millisecond, how: "done"}
		},
	})
	if err != nil {
		return err
	}
	defer c.end()
	if err := c.begin(); err != nil {
		return err
	}
	schedule := job{id: "00000000000000ff", spec: "schedule", count: 1, cpu: 1000, estimate: 400, interval: 1000, repeat: 50}
	if trouble {
		schedule.repeat = 5000
	}
	schedule.first = time.Now().Add(-time.Duration(schedule.repeat) * time.Second).UnixMilli()
	if !c.submit(schedule, 5*time.Second) {
		return errors.New("the schedule is not accepted")
	}
	var accepted []job
	for i := range 20 {
		j := job{id: fmt.Sprintf("00000000000001%02x", i), spec: "ordinary", count: 4, cpu: 1000, estimate: 400}
		if c.submit(j, 5*time.Second) {
			accepted = append(accepted, j)
		}
		time.Sleep(time.Second)
	}
	c.checkIdle(accepted, time.Now(), 10*time.Second)
	for _, j := range accepted {
		r.note("job %s is %q", j.id, c.state(j.id))
	}
	return nil
}
