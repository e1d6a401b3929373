//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// restartedAfterDone runs jobs whose tasks last and whose runs end as done from time to time, beside
// ordinary ones. The store turns the owner away for some seconds, and serves the others.
func restartedAfterDone(r *record, trouble bool) error {
	const turnedAway = 7 * time.Second
	c, err := newCluster(r, options{
		entries: 3, workers: 4, attempts: 2, cpu: 32000, memory: 128000, stop: 300 * time.Millisecond, entryMemory: 284, agentMemory: 152,
		decide: func(_ *worker, _, spec string) fate {
			if spec == "sync" {
				return fate{after: 2*time.Second + rand.N(2*time.Second), how: "done"}
			}
			return fate{after: 500 * time.Millisecond, how: "done"}
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
	for i := range 4 {
		sync := job{id: fmt.Sprintf("00000000000000%02x", i), spec: "sync", count: 6, cpu: 1000, estimate: 2000, lasts: true}
		if !c.submit(sync, 10*time.Second) {
			return errors.New("a job is not accepted")
		}
	}
	go func() {
		for i := 0; c.ctx.Err() == nil; i++ {
			c.submit(job{id: fmt.Sprintf("0000000000001%03x", i), spec: "ordinary", count: 2, cpu: 500, estimate: 500}, 5*time.Second)
			time.Sleep(300 * time.Millisecond)
		}
	}()
	for range 3 {
		time.Sleep(8 * time.Second)
		if owner := c.owner(); trouble && owner != nil {
			r.note("the store turns %s away", owner.name)
			c.store.SetFault(func(process string, _ bool) testcluster.StoreFault {
				return testcluster.StoreFault{Refuse: process == owner.name}
			})
		}
		time.Sleep(turnedAway)
		c.store.SetFault(nil)
		r.note("the store serves all")
	}
	time.Sleep(5 * time.Second)
	active, all := c.seen.count()
	r.note("%d runs, %d at the end", all, active)
	if all < 100 {
		return errors.New("too little ran")
	}
	return nil
}
