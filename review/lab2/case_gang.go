//go:build review

package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// gangWaits submits ordinary jobs, among them two hopeless ones for the only worker of kind b, and
// then a sound gang for that worker.
func gangWaits(r *record, trouble bool) error {
	const members = 6
	c, err := newCluster(r, options{
		entries: 3, workers: 4, kinds: []string{"a", "a", "a", "b"}, attempts: 2, cpu: 32000, memory: 128000, stop: 300 * time.Millisecond,
		entryMemory: 284, agentMemory: 152,
		decide: func(_ *worker, _, spec string) fate {
			switch {
			case strings.HasPrefix(spec, "hopeless"):
				return fate{after: 300 * time.Millisecond, how: "failed"}
			case spec == "gang":
				return fate{after: time.Second, how: "done", members: members}
			}
			return fate{after: time.Second, how: "done"}
		},
	})
	if err != nil {
		return err
	}
	defer c.end()
	if err := c.begin(); err != nil {
		return err
	}
	for i := range 42 {
		j := job{id: fmt.Sprintf("00000000000000%02x", i), spec: "ordinary", count: 2, cpu: 1000, estimate: 1000, requires: "a"}
		if trouble && i%20 == 1 && i < 40 { // 2 of 42, less than one in twenty
			j = job{id: j.id, spec: "hopeless", count: 1, cpu: 1000, estimate: 1000, requires: "b"}
		}
		if !c.submit(j, 10*time.Second) {
			return errors.New("a job is not accepted")
		}
		time.Sleep(40 * time.Millisecond)
	}
	gang := job{id: "00000000000000b3", spec: "gang", count: members, cpu: 2000, estimate: 1000, gang: true, requires: "b"}
	if !c.submit(gang, 10*time.Second) {
		return errors.New("the gang is not accepted")
	}
	c.checkIdle([]job{gang}, time.Now(), 30*time.Second)
	r.note("the gang is %s", c.state(gang.id))
	return nil
}
