//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// largestJob kills the owner, and then submits a job of many steps, the largest that is accepted: it makes
// its spec shorter until an entry takes it, at last byte by byte.
func largestJob(r *record, trouble bool) error {
	const steps, longestSpec = 1200, 4000
	c, err := newCluster(r, options{
		entries: 3, workers: 4, attempts: 2, cpu: 32000, memory: 128000, stop: 300 * time.Millisecond, entryMemory: 284, agentMemory: 152,
		decide: func(*worker, string, string) fate { return fate{after: 500 * time.Millisecond, how: "done"} },
	})
	if err != nil {
		return err
	}
	defer c.end()
	if err := c.begin(); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	if owner := c.owner(); trouble && owner != nil {
		owner.kill()
	}
	time.Sleep(8 * time.Second)
	var list []any
	for range steps {
		list = append(list, map[string]any{"count": 1, "cpu": 100, "mem_mb": 100, "estimate_ms": 500})
	}
	id := func(length int) string { return fmt.Sprintf("%016x", 0xe0000+length) }
	body := func(length int) []byte {
		text, _ := json.Marshal(map[string]any{"spec": strings.Repeat("x", length), "steps": list})
		return text
	}
	// accepted reports whether a job with a spec of so many bytes is accepted; one that isn't gets 400.
	accepted := func(length int) bool {
		status, _ := c.ask(c.entries[0], http.MethodPost, id(length), body(length), 3*time.Second)
		r.note("POST %s with a spec of %d bytes, a body of %d: %d", id(length), length, len(body(length)), status)
		return status == http.StatusOK
	}
	length := longestSpec
	for step := 1000; step > 1; step /= 10 { // coarse steps first, as long as the job is refused
		for length-step > 0 && !accepted(length-step) {
			length -= step
		}
	}
	for length > 0 && !accepted(length) {
		length--
	}
	if length == 0 || length == longestSpec {
		return errors.New("the largest job is not found")
	}
	j := job{id: id(length), count: steps, cpu: 100}
	c.mu.Lock()
	c.jobs[j.id] = j
	c.mu.Unlock()
	c.checkIdle([]job{j}, time.Now(), 10*time.Second)
	r.note("job %s is %q", j.id, c.state(j.id))
	return nil
}
