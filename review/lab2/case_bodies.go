//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
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

// manyBodies submits many large bodies of legal size at once, and then ordinary jobs.
func manyBodies(r *record, trouble bool) error {
	const bodies, clients, steps = 600, 24, 1100
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
	var list []any
	for range steps {
		list = append(list, map[string]any{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000})
	}
	text, err := json.Marshal(map[string]any{"spec": "large", "steps": list})
	if err != nil {
		return err
	}
	if trouble {
		r.note("%d bodies of %d bytes come", bodies, len(text))
		var wait sync.WaitGroup
		var statuses sync.Map
		for client := range clients {
			wait.Go(func() {
				for i := client; i < bodies; i += clients {
					status, _ := c.ask(c.entries[i%len(c.entries)], http.MethodPost, fmt.Sprintf("000000000000f%03x", i), text, 3*time.Second)
					statuses.Store(i, status)
				}
			})
		}
		wait.Wait()
		counts := map[int]int{}
		statuses.Range(func(_, status any) bool { counts[status.(int)]++; return true })
		r.note("answers, by status (0: none): %v", counts)
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
