//go:build review

package main

import (
	"errors"
	"time"
)

// wideGang submits a gang with more members for one worker than that has connections.
func wideGang(r *record, trouble bool) error {
	members := 30
	if trouble {
		members = 600
	}
	c, err := newCluster(r, options{
		entries: 3, workers: 4, kinds: []string{"a", "a", "a", "b"}, attempts: 2, cpu: 32000, memory: 128000, stop: 300 * time.Millisecond,
		entryMemory: 284, agentMemory: 152,
		decide: func(*worker, string, string) fate { return fate{after: time.Second, how: "done", members: members} },
	})
	if err != nil {
		return err
	}
	defer c.end()
	c.seen.onEnd = func(s *sighting) {
		if s.how == "alone" {
			r.broken("GANG %s run %d on %s ends alone", s.task, s.number, s.worker.machine)
		}
	}
	if err := c.begin(); err != nil {
		return err
	}
	gang := job{id: "00000000000000d1", spec: "gang", count: members, cpu: 50, estimate: 1000, gang: true, requires: "b"}
	if !c.submit(gang, 10*time.Second) {
		return errors.New("the gang is not accepted")
	}
	for range 8 {
		time.Sleep(2 * time.Second)
		active, all := c.seen.count()
		r.note("the gang is %q; %d runs, %d now", c.state(gang.id), all, active)
	}
	return nil
}
