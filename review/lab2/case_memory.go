//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// guardMemory does what the platform does with a process that exceeds its memory: it kills it, and
// starts it again. It returns how often that happened, by machine.
func (c *cluster) guardMemory() func() map[string]int {
	kills := make(chan string, 1000)
	peak := map[string]int{}
	go func() {
		for c.ctx.Err() == nil {
			for _, m := range c.machines {
				used := m.resident()
				if used > peak[m.name]+20 {
					peak[m.name] = used
					c.record.note("%s uses %d MB", m.name, used)
				}
				if used > m.memory {
					c.record.note("%s uses %d MB of %d MB: the platform kills it", m.name, used, m.memory)
					m.signal(syscall.SIGKILL)
					peak[m.name] = 0
					select {
					case kills <- m.name:
					default:
					}
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	counts := map[string]int{}
	return func() map[string]int {
		for {
			select {
			case name := <-kills:
				counts[name]++
			default:
				return counts
			}
		}
	}
}

// manyTasks submits large jobs of legal size, and then ordinary ones.
func manyTasks(r *record, trouble bool) error {
	c, err := newCluster(r, options{
		entries: 3, workers: 4, attempts: 2, cpu: 32000, memory: 128000, stop: 300 * time.Millisecond, entryMemory: 284, agentMemory: 152,
		decide: func(*worker, string, string) fate { return fate{after: time.Second, how: "done"} },
	})
	if err != nil {
		return err
	}
	defer c.end()
	kills := c.guardMemory()
	if err := c.begin(); err != nil {
		return err
	}
	for i := range 10 {
		large := job{id: fmt.Sprintf("0000000000000f%02x", i), spec: "large", count: 100_000, cpu: 1000, estimate: 1000}
		if trouble && !c.submit(large, 5*time.Second) {
			r.note("large job %d is not accepted", i)
		}
	}
	var accepted []job
	for i := range 6 {
		j := job{id: fmt.Sprintf("00000000000000%02x", i), spec: "a", count: 4, cpu: 1000, estimate: 1000}
		if c.submit(j, 10*time.Second) {
			accepted = append(accepted, j)
		}
		time.Sleep(time.Second)
	}
	c.checkIdle(accepted, time.Now(), 10*time.Second)
	for _, j := range accepted {
		r.note("job %s is %q", j.id, c.state(j.id))
	}
	for name, count := range kills() {
		r.note("%s was killed %d times for its memory", name, count)
	}
	return nil
}
