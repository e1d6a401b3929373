//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// failedByCrashes submits sound jobs for the only worker of kind b, and crashes that worker at set
// times.
func failedByCrashes(r *record, trouble bool) error {
	const (
		crashes = 8
		down    = 1500 * time.Millisecond
	)
	c, err := newCluster(r, options{
		entries: 3, workers: 8, kinds: []string{"a", "a", "a", "a", "a", "a", "a", "b"}, attempts: 2, cpu: 32000, memory: 128000, stop: 300 * time.Millisecond,
		entryMemory: 284, agentMemory: 152,
		decide: func(*worker, string, string) fate { return fate{after: time.Second, how: "done"} },
	})
	if err != nil {
		return err
	}
	defer c.end()
	if err := c.begin(); err != nil {
		return err
	}
	crashed := make(chan struct{})
	go func() {
		defer close(crashed)
		time.Sleep(5 * time.Second)
		for range crashes {
			if trouble {
				c.workers[7].crashFor(down)
			}
			time.Sleep(down + 500*time.Millisecond + rand.N(500*time.Millisecond))
		}
	}()
	var accepted []job
	for i := range 130 {
		j := job{id: fmt.Sprintf("00000000000000%02x", i), spec: "sound", count: 1, cpu: 1000, estimate: 1000, requires: "b"}
		if c.submit(j, 10*time.Second) {
			accepted = append(accepted, j)
		}
		time.Sleep(200 * time.Millisecond)
	}
	<-crashed
	if len(accepted) < 120 {
		return errors.New("too few jobs are accepted")
	}
	time.Sleep(finish)
	for _, j := range accepted {
		state := c.state(j.id)
		failed := c.seen.failed(j.id)
		r.note("job %s is %q, %d of its runs have ended as failed", j.id, state, failed)
		if state == "failed" && failed == 0 {
			r.broken("LOST %s: accepted, cancelled by nobody, and shown as failed though no run of it has ended as failed", j.id)
		}
	}
	return nil
}
