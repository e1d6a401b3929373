//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// restartedAfterDone runs a job whose tasks last and whose runs end as done from time to time, and
// kills the owner again and again.
func restartedAfterDone(r *record, trouble bool) error {
	c, err := newCluster(r, options{
		entries: 3, workers: 4, attempts: 2, cpu: 32000, memory: 128000, stop: 300 * time.Millisecond, entryMemory: 284, agentMemory: 152,
		decide: func(*worker, string, string) fate {
			return fate{after: time.Second + rand.N(2*time.Second), how: "done"}
		},
	})
	if err != nil {
		return err
	}
	defer c.end()
	c.seen.onTwo = func(first, second *sighting) {
		r.broken("TWICE %s: run %d starts on %s while run %d is on %s", first.task, second.number, second.worker.machine, first.number, first.worker.machine)
	}
	if err := c.begin(); err != nil {
		return err
	}
	for i := range 16 {
		sync := job{id: fmt.Sprintf("00000000000000%02x", i), spec: "sync", count: 10, cpu: 500, estimate: 2000, lasts: true}
		if !c.submit(sync, 10*time.Second) {
			return errors.New("a job is not accepted")
		}
	}
	for i := range 10 {
		time.Sleep(8500 * time.Millisecond)
		if owner := c.owner(); trouble && owner != nil {
			r.note("disruption %d", i+1)
			owner.kill()
		}
	}
	time.Sleep(6 * time.Second)
	active, all := c.seen.count()
	r.note("%d runs, %d at the end", all, active)
	if all < 48 {
		return errors.New("too little ran")
	}
	return nil
}
