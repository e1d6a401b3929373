//go:build review

package main

import (
	"encoding/json"
	"strings"
	"time"
)

const (
	// finish is finish_s of the settings: how long after the end of the traffic jobs are asked for.
	finish = 14 * time.Second
	// idleSpan is how long a job may have nothing running, by the rule LOST.
	idleSpan = 3 * time.Second
)

// job is a job of one step.
type job struct {
	id, spec             string
	count, cpu, estimate int // cpu in thousandths of a core, estimate in ms
	gang, lasts          bool
	requires             string
	first, interval      int64 // ms
	repeat               int
	text                 []byte // of the submission, if it isn't that of one step
}

// body returns the body of its submission.
func (j job) body() []byte {
	if j.text != nil {
		return j.text
	}
	step := map[string]any{"count": j.count, "cpu": j.cpu, "mem_mb": min(500, j.cpu), "estimate_ms": j.estimate}
	if j.gang {
		step["gang"] = true
	}
	if j.lasts {
		step["long_running"] = true
	}
	if j.requires != "" {
		step["requires"] = j.requires
	}
	body := map[string]any{"spec": j.spec, "steps": []any{step}}
	if j.repeat > 0 {
		body["first_run_ms"], body["interval_ms"], body["repeat_count"] = j.first, j.interval, j.repeat
	}
	text, _ := json.Marshal(body)
	return text
}

// need returns the room that has to be free for the job to start: that of one task, or of a gang.
func (j job) need() int {
	if j.gang {
		return j.count * j.cpu
	}
	return j.cpu
}

// idle reports whether a job has nothing running now though it is not done, the workers that it may
// use have room for it twice over, and under half of the service's capacity is in use.
func (c *cluster) idle(j job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen.mu.Lock()
	defer c.seen.mu.Unlock()
	used := map[*worker]int{}
	running, done := 0, map[string]bool{}
	for _, s := range c.seen.all {
		id, _, _ := strings.Cut(s.task, ".")
		if s.how == "done" && id == j.id {
			done[s.task] = true
		}
		if !s.ended.IsZero() {
			continue
		}
		used[s.worker] += c.jobs[id].cpu
		if id == j.id {
			running++
		}
	}
	if running > 0 || len(done) >= j.count {
		return false
	}
	inUse, capacity, room := 0, 0, 0
	for _, w := range c.workers {
		inUse, capacity = inUse+used[w], capacity+w.cpu
		if j.requires == "" || j.requires == w.kind {
			room += w.cpu - used[w]
		}
	}
	return room >= 2*j.need() && 2*inUse < capacity
}

// checkIdle waits until finish after the end of the traffic, and then looks for a span in which a job
// is idle. It looks for so long.
func (c *cluster) checkIdle(jobs []job, trafficEnd time.Time, most time.Duration) {
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	since := map[string]time.Time{}
	told := map[string]bool{}
	for began := time.Now(); time.Since(began) < most; time.Sleep(50 * time.Millisecond) {
		for _, j := range jobs {
			switch {
			case !c.idle(j):
				delete(since, j.id)
			case since[j.id].IsZero():
				since[j.id] = time.Now()
			case time.Since(since[j.id]) > idleSpan && !told[j.id]:
				told[j.id] = true
				c.record.broken("LOST %s: accepted, and %.0f s after the end of the traffic it has had nothing running for %v, with room for it twice over and under half of the service in use; it is shown as %q",
					j.id, time.Since(trafficEnd).Seconds(), idleSpan, c.state(j.id))
			}
		}
	}
}
