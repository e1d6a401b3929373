package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// oneOfEleven are the kinds of the workers of a small site, of which the first alone has the kind b.
var oneOfEleven = []string{"b", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a"}

// playEnds: the store is down while more tasks end on a worker than one list of ends holds.
// Rule TWICE: no start after a run has ended done, if that end is noted then or later.
func playEnds(d *deployment, trouble bool) (string, error) {
	const (
		job     = "000000000000e1ab"
		outage  = 4100 * time.Millisecond
		tasks   = 6000
		calm    = 3 * time.Second
		maxTime = 60 * time.Second
	)
	if err := d.up(3, 3, resources{CPU: 48000, Mem: 125000}, "a", "a", "a"); err != nil {
		return "", err
	}
	if err := d.submit(job, jobSpec{work: 640 * time.Millisecond}, step{Count: tasks, CPU: 400, Mem: 300, EstimateMS: 640}); err != nil {
		return "", err
	}
	time.Sleep(calm)
	if trouble {
		d.store.setDown(true)
		time.Sleep(outage)
		d.store.setDown(false)
	}
	state := d.waitState(job, maxTime, "completed", "failed")
	d.rec.add("job %s: %s", job, state)
	if state != "completed" {
		return "", fmt.Errorf("the job is %q and not completed after %v", state, maxTime)
	}
	time.Sleep(2 * time.Second) // the last ends are noted
	for _, w := range d.workers {
		w.mu.Lock()
		d.rec.add("worker %s: at most %d ends were not noted at a time", w.name, w.peak)
		w.mu.Unlock()
	}
	return d.twice(), nil
}

// lapsed reports whether the lease of the worker lapsed between the end of a run and its being noted.
func (d *deployment) lapsed(s span) bool {
	for _, w := range d.workers {
		if w.lapsedBetween(s.worker, s.ended, s.noted) {
			return true
		}
	}
	return false
}

// twice returns the starts of tasks that had ended done, if that end was noted and no lease lapsed in
// between, and those of tasks that still ran on another worker, in words.
func (d *deployment) twice() string {
	done, last := map[string]span{}, map[string]span{}
	count, first := 0, ""
	for _, s := range allSpans(d.workers) {
		if before, known := last[s.task]; known && (before.ended.IsZero() || s.began.Before(before.ended)) {
			count++
			line := fmt.Sprintf("%s run %d starts on %s while run %d still runs on %s, which ends %q %v later", s.task, s.run, s.worker, before.run, before.worker, before.how, before.ended.Sub(s.began).Round(time.Millisecond))
			d.rec.add("TWICE: %s", line)
			if first == "" {
				first = line
			}
		}
		last[s.task] = s
		if before, known := done[s.task]; known && s.began.After(before.ended) {
			count++
			line := fmt.Sprintf("%s run %d starts on %s %v after run %d ended done on %s, an end that was noted", s.task, s.run, s.worker, s.began.Sub(before.ended).Round(time.Millisecond), before.run, before.worker)
			d.rec.add("TWICE: %s", line)
			if first == "" {
				first = line
			}
		}
		if s.how == "done" && !s.noted.IsZero() && !d.lapsed(s) {
			if _, known := done[s.task]; !known {
				done[s.task] = s
			}
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("TWICE, %d tasks; the first: %s", count, first)
}

// playProgress: the one worker that may run a large job crashes, and all its tasks wait with their
// checkpoints. Rule LOST: no job has nothing running for 3 s while its tasks' turn has come and there
// is room for it twice over.
func playProgress(d *deployment, trouble bool) (string, error) {
	const (
		large, small = "000000000000b1ab", "000000000000b2ab"
		tasks        = 2600
		down         = 2 * time.Second
		finish       = 14 * time.Second // finish_s
		idleBound    = 3 * time.Second
	)
	if err := d.up(3, 3, resources{CPU: 64000, Mem: 250000}, oneOfEleven...); err != nil {
		return "", err
	}
	spec := jobSpec{work: 8 * time.Second, checkpoint: true}
	if err := d.submit(large, spec, step{Count: tasks, CPU: 10, Mem: 40, EstimateMS: 8000, Checkpoint: true, Requires: "b"}); err != nil {
		return "", err
	}
	only := d.workers[0]
	deadline := time.Now().Add(15 * time.Second)
	for only.runningOf(large) < tasks {
		if time.Now().After(deadline) {
			return "", fmt.Errorf("%d of %d tasks run", only.runningOf(large), tasks)
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.rec.add("all %d tasks run", tasks)
	time.Sleep(3 * time.Second) // each has a checkpoint
	if trouble {
		only.crash()
		time.Sleep(down)
		if err := only.start(); err != nil {
			return "", err
		}
	}
	if err := d.submit(small, jobSpec{work: 640 * time.Millisecond}, step{Count: 6, CPU: 480, Mem: 300, EstimateMS: 640}); err != nil {
		return "", err
	}
	lastSend := time.Now()
	time.Sleep(finish)
	began := time.Now()
	idle := true
	for time.Since(began) < 2*idleBound {
		for _, w := range d.workers { // none of the service's capacity is in use
			idle = idle && w.runningTasks() == 0
		}
		time.Sleep(100 * time.Millisecond)
	}
	largeState, smallState := d.state(large), d.state(small)
	d.rec.add("%v after the last request of a client: the large job is %s, the small one %s", time.Since(lastSend).Round(time.Second), largeState, smallState)
	remaining := d.undone(large, tasks)
	smallRemaining := d.undone(small, 6)
	d.rec.add("tasks that have not ended done: %d of the large job, %d of the small one", remaining, smallRemaining)
	d.rec.add("store: %d transactions done, %d refused as too large", d.store.answered, d.store.refused)
	switch {
	case idle && remaining > 0 && largeState != "completed":
		return fmt.Sprintf("LOST: job %s is %s, %d of its tasks wait, nothing of it runs for %v and its worker is empty; job %s, whose tasks have all but %d ended done, is %s", large, largeState, remaining, 2*idleBound, small, smallRemaining, smallState), nil
	case largeState != "completed" && d.waitState(large, 30*time.Second, "completed") != "completed":
		return "", errors.New("the large job still runs")
	case smallState != "completed":
		return "", fmt.Errorf("the small job is %s", smallState)
	}
	return "", nil
}

// undone returns how many of a job's tasks have no run that ended done.
func (d *deployment) undone(job string, tasks int) int {
	done := map[string]bool{}
	for _, s := range allSpans(d.workers) {
		if s.how == "done" && len(s.task) > len(job) && s.task[:len(job)+1] == job+"." {
			done[s.task] = true
		}
	}
	return tasks - len(done)
}

// playCrashes: a worker crashes twice, each time before it has begun a task that is ordered there.
// Rule LOST: no job is shown as failed without cause, and only ends that are failed count as attempts.
func playCrashes(d *deployment, trouble bool) (string, error) {
	const (
		job      = "000000000000c1ab"
		down     = 1500 * time.Millisecond
		maxTime  = 30 * time.Second
		attempts = 4
	)
	if err := d.up(3, attempts, resources{CPU: 32000, Mem: 125000}, oneOfEleven...); err != nil {
		return "", err
	}
	only := d.workers[0]
	if trouble {
		only.goDark()
	}
	if err := d.submit(job, jobSpec{work: 2 * time.Second}, step{Count: 1, CPU: 480, Mem: 300, EstimateMS: 2000, Requires: "b"}); err != nil {
		return "", err
	}
	if trouble {
		time.Sleep(down)
		only.crash()
		if err := only.start(); err != nil {
			return "", err
		}
		time.Sleep(400 * time.Millisecond)
		only.goDark()
		time.Sleep(down)
		only.crash()
		if err := only.start(); err != nil {
			return "", err
		}
	}
	state := d.waitState(job, maxTime, "completed", "failed")
	failed, begun := 0, 0
	for _, s := range allSpans(d.workers) {
		begun++
		if s.how == "failed" {
			failed++
		}
	}
	d.rec.add("job %s: %s; %d runs were begun, %d of them ended failed, and %d may", job, state, begun, failed, attempts)
	switch {
	case state == "failed" && failed < attempts:
		return fmt.Sprintf("LOST: job %s is shown as failed; %d of its runs were begun, %d ended failed", job, begun, failed), nil
	case state != "completed":
		return "", fmt.Errorf("the job is %q after %v", state, maxTime)
	}
	return "", nil
}

// playTimed: in each of several waves, the process that owns the shard is killed while tasks of jobs with
// a first run in the future run. Those of every second job end before another process takes over. Rule
// TWICE.
func playTimed(d *deployment, trouble bool) (string, error) {
	const (
		waves     = 6
		jobs      = 8 // in each wave
		tasks     = 6
		ahead     = 3 * time.Second
		killAfter = 400 * time.Millisecond
		back      = 3400 * time.Millisecond
		waveTime  = 8 * time.Second // until the next jobs are handed in, from the first run of these
		maxTime   = 20 * time.Second
	)
	if err := d.up(3, 4, resources{CPU: 32000, Mem: 125000}, "a", "a", "a", "a", "a", "a"); err != nil {
		return "", err
	}
	idOf := func(wave, i int) string { return fmt.Sprintf("000000000000d%d%da", wave, i) }
	for wave := range waves {
		due := time.Now().Add(ahead)
		for i := range jobs {
			work := 900 * time.Millisecond
			if i%2 == 1 {
				work = 5 * time.Second // it still runs at the takeover
			}
			if err := d.submitAt(due, idOf(wave, i), jobSpec{work: work}, step{Count: tasks, CPU: 480, Mem: 300, EstimateMS: int(work.Milliseconds())}); err != nil {
				return "", err
			}
		}
		time.Sleep(time.Until(due.Add(killAfter)))
		if trouble {
			owner, err := d.owner()
			if err != nil {
				return "", err
			}
			d.rec.add("process %s, the owner, is killed", owner.name)
			d.kill(owner)
			time.Sleep(back)
			if err := d.start(owner); err != nil {
				return "", err
			}
		}
		time.Sleep(time.Until(due.Add(waveTime)))
	}
	for wave := range waves {
		for i := range jobs {
			if state := d.waitState(idOf(wave, i), maxTime, "completed", "failed"); state != "completed" {
				return "", fmt.Errorf("job %s is %q", idOf(wave, i), state)
			}
		}
	}
	time.Sleep(2 * time.Second) // the last ends are noted
	return d.twice(), nil
}

// playWaiting: the one worker that may run some jobs is lost for good as they are ordered there. Rule
// MIXED: no entry gives as waiting under half of the jobs that were accepted over visible_ms + 2 s
// before and haven't begun.
func playWaiting(d *deployment, trouble bool) (string, error) {
	const (
		jobs  = 8
		bound = 3*time.Second + 2*time.Second // visible_ms + 2 s
	)
	if err := d.up(3, 4, resources{CPU: 32000, Mem: 125000}, oneOfEleven...); err != nil {
		return "", err
	}
	if trouble {
		d.workers[0].goDark()
	}
	for i := range jobs {
		if err := d.submit(fmt.Sprintf("000000000000a%dab", i), jobSpec{work: time.Second}, step{Count: 4, CPU: 480, Mem: 300, EstimateMS: 1000, Requires: "b"}); err != nil {
			return "", err
		}
	}
	time.Sleep(bound + time.Second)
	violation := ""
	for range 3 {
		for _, e := range d.entries {
			begun := map[string]bool{}
			for _, s := range allSpans(d.workers) {
				begun[s.task[:16]] = true
			}
			status, answer, err := d.ask(e, http.MethodGet, "", nil)
			if err != nil || status != http.StatusOK {
				continue // a refusal gives no number
			}
			var body struct{ Waiting int }
			if err := json.Unmarshal([]byte(answer), &body); err != nil {
				return "", err
			}
			notBegun := jobs - len(begun)
			d.rec.add("%s gives %d jobs as waiting; %d accepted jobs have not begun", e.name, body.Waiting, notBegun)
			if 2*body.Waiting < notBegun {
				violation = fmt.Sprintf("MIXED: %s gives %d jobs as waiting, and %d jobs that were accepted over %v before have not begun", e.name, body.Waiting, notBegun, bound)
			}
		}
		time.Sleep(time.Second)
	}
	return violation, nil
}

// up starts entries, and workers of the given kinds with their agents.
func (d *deployment) up(entries, attempts int, capacity resources, kinds ...string) error {
	d.configure(attempts)
	if err := d.addEntries(entries); err != nil {
		return err
	}
	for _, kind := range kinds {
		if _, err := d.addWorker(capacity, kind); err != nil {
			return err
		}
	}
	return d.waitReady()
}
