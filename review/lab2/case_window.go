//go:build review

package main

import (
	"errors"
	"time"
)

// smallWaits submits a small job after a large one that waits for room on the only worker of kind b.
func smallWaits(r *record, trouble bool) error {
	c, err := newCluster(r, options{
		entries: 3, workers: 4, kinds: []string{"a", "a", "a", "b"}, attempts: 2, cpu: 32000, memory: 128000, stop: 300 * time.Millisecond,
		entryMemory: 284, agentMemory: 152,
		decide: func(_ *worker, _, spec string) fate {
			if spec == "running" {
				return fate{after: 40 * time.Second, how: "done"}
			}
			return fate{after: 60 * time.Second, how: "done"}
		},
	})
	if err != nil {
		return err
	}
	defer c.end()
	if err := c.begin(); err != nil {
		return err
	}
	running := job{id: "00000000000000c1", spec: "running", count: 1, cpu: 12000, estimate: 40000, requires: "b"}
	large := job{id: "00000000000000c2", spec: "large", count: 1, cpu: 32000, estimate: 25000, requires: "b"}
	small := job{id: "00000000000000c3", spec: "small", count: 1, cpu: 1000, estimate: 60000, requires: "b"}
	for _, j := range []job{running, large, small} {
		if j == large && !trouble {
			continue
		}
		if !c.submit(j, 10*time.Second) {
			return errors.New("a job is not accepted")
		}
		time.Sleep(time.Second)
	}
	c.checkIdle([]job{small}, time.Now(), 10*time.Second)
	return nil
}
