//go:build review

package main

import (
	"fmt"
	"time"
)

// scripts are the cases, by the name of their folder.
var scripts = map[string]script{
	"11": {"UNASKED", 3, 11, sameKind, playCancel},
	"12": {"TWICE", 3, 11, sameKind, playLate},
	"13": {"LOST", 3, 11, sameKind, playCrash},
	"14": {"LOST", 3, 11, sameKind, playGang},
	"15": {"LOST", 3, 11, sameKind, playPower},
}

// proof returns a job like the ordinary ones of the small sites.
func proof(tasks int) *job {
	return &job{ID: newID(), Spec: "proof", Steps: []step{{Count: tasks, CPU: 960, MemMB: 1900, EstimateMS: 640, work: 640 * time.Millisecond}}}
}

// lasting returns a job whose tasks last and serve users, each on a worker of its own.
func lasting(tasks int) *job {
	return &job{ID: newID(), Spec: "feed", Steps: []step{{
		Count: tasks, CPU: 13000, MemMB: 26000, EstimateMS: 320, LongRunning: true, Anti: 1, Image: "feeder", TargetMS: 40,
	}}}
}

const (
	patience      = 3 * time.Second // how long the client of playCancel waits for an answer
	cancelTraffic = 5 * time.Second // of the other clients
	cancelBetween = 250 * time.Millisecond
	maxLostShare  = 0.35 // of the store's writes
)

// playCancel has the answers of the store's writes of one job lost. Its client waits for as long as it said,
// does not ask again, and cancels the job. Other clients go on.
func playCancel(c *cluster, k *client, trouble bool) {
	stepOf := func(after []int) step {
		return step{Count: 2, CPU: 960, MemMB: 1900, EstimateMS: 4000, After: after, work: 4 * time.Second}
	}
	j := &job{ID: newID(), Spec: "separation", Steps: []step{stepOf(nil), stepOf([]int{0}), stepOf([]int{1})}}
	others := make(chan bool)
	go func() {
		for began := time.Now(); time.Since(began) < cancelTraffic; time.Sleep(cancelBetween) {
			k.submit(proof(2))
		}
		close(others)
	}()
	time.Sleep(time.Second)
	lost, writes := 0, 0
	c.store.setLose(func(body txBody) bool {
		writes++
		for _, write := range body.Writes {
			if trouble && write.Table == "jobs" && write.Key == j.ID+"/job" {
				lost++
				c.rec.note("the store answers nothing to a write of %s", j.ID)
				return true
			}
		}
		return false
	})
	c.world.add(j)
	began := time.Now()
	status, err := k.post(0, j)
	if err != nil {
		c.rec.block("%v", err)
		return
	}
	time.Sleep(time.Until(began.Add(patience)))
	c.store.setLose(nil)
	c.rec.note("%d of %d writes were not answered", lost, writes)
	if float64(lost) > maxLostShare*float64(writes) || trouble && (lost == 0 || status/100 == 2) {
		c.rec.block("%d of %d writes were not answered, the POST was answered %d", lost, writes, status)
		return
	}
	if !k.cancel(j) {
		c.rec.block("the cancelling was not acknowledged")
		return
	}
	<-others
	time.Sleep(lateBy + 12*time.Second)
	k.state(j.ID)
}

const (
	lateStart    = 9 * time.Second // by which the start without an answer is carried out late
	cutAfter     = 6 * time.Second // from that start to the cut
	cutFor       = 5 * time.Second
	downFor      = 800 * time.Millisecond // of the worker that is cut off
	lateTraffic  = 5 * time.Second
	lateInterval = 120 * time.Millisecond
)

// playLate has one start of a worker carried out late, and the worker start again under its ID behind a
// cut before that. The task has been done on the second try of the start long before.
func playLate(c *cluster, k *client, trouble bool) {
	hit, orders := c.workers[0], 0
	var sent time.Time
	var victim call
	c.world.mu.Lock()
	for _, w := range c.workers {
		w.sameID = true
		w.delays = func(order call) time.Duration {
			orders++
			if !trouble || w != hit || !sent.IsZero() || orders < 2*len(c.workers) {
				return 0
			}
			sent, victim = time.Now(), order
			return lateStart
		}
	}
	c.world.mu.Unlock()
	var jobs []*job
	answers := make(chan bool)
	for began := time.Now(); time.Since(began) < lateTraffic; time.Sleep(lateInterval) {
		j := proof(6)
		jobs = append(jobs, j)
		go func() { answers <- k.submit(j) }()
	}
	for range jobs {
		<-answers
	}
	if trouble {
		c.world.mu.Lock()
		at := sent
		c.world.mu.Unlock()
		if at.IsZero() {
			c.rec.block("no start was sent to %s", hit.name)
			return
		}
		time.Sleep(time.Until(at.Add(cutAfter)))
		c.cutOff(hit, true)
		hit.end(gone)
		time.Sleep(downFor)
		if err := hit.restartCut(); err != nil {
			c.rec.block("worker: %v", err)
			return
		}
		time.Sleep(time.Until(at.Add(cutAfter + cutFor)))
		c.cutOff(hit, false)
	}
	time.Sleep(finishTime)
	c.rec.note("%d orders were sent; late was that of %s run %d", orders, victim.Task, victim.Run)
	for _, j := range jobs {
		if !j.accepted.IsZero() {
			k.checkShown(j, k.state(j.ID))
		}
	}
}

// cutOff sets whether a worker is cut off from its agent.
func (c *cluster) cutOff(w *worker, cut bool) {
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	c.rec.note("worker %s is cut off: %v", w.name, cut)
	w.cut = cut
}

// restartCut starts the next life of a worker that stays cut off.
func (w *worker) restartCut() error {
	w.world.mu.Lock()
	w.cut = true
	w.world.mu.Unlock()
	return w.start()
}

const (
	crashAfter = 80 * time.Millisecond // from the start of a task to the crash of its worker
	crashDown  = time.Second
	crashes    = 2
)

// playCrash has one worker crash, soon after it has started a task, twice. The task is sound.
func playCrash(c *cluster, k *client, trouble bool) {
	flapping, left := c.workers[0], crashes
	c.world.onStart = func(w *worker, _ taskID, _ int64) {
		c.world.mu.Lock()
		hit := trouble && w == flapping && left > 0
		if hit {
			left--
		}
		c.world.mu.Unlock()
		if !hit {
			return
		}
		time.Sleep(crashAfter)
		w.end(gone)
		time.Sleep(crashDown)
		if err := w.start(); err != nil {
			c.rec.block("worker: %v", err)
		}
	}
	j := proof(1)
	if !k.submit(j) {
		c.rec.block("the job was not accepted")
		return
	}
	shown := k.awaitState(j.ID, 40*time.Second, "completed", "failed", "cancelled", "410")
	c.world.mu.Lock()
	missed := left
	c.world.mu.Unlock()
	if trouble && missed > 0 {
		c.rec.block("the worker crashed %d times only", crashes-missed)
	}
	k.checkShown(j, shown)
}

// playGang has a gang lose its worker. On every other worker a task serves users.
func playGang(c *cluster, k *client, trouble bool) {
	if !k.submit(lasting(len(c.workers) - 1)) {
		c.rec.block("the lasting job was not accepted")
		return
	}
	time.Sleep(4 * time.Second)
	idle := c.idleWorker()
	if idle == nil {
		c.rec.block("no worker is free")
		return
	}
	gang := &job{ID: newID(), Spec: "separation", Steps: []step{{
		Count: 2, CPU: 7000, MemMB: 13000, EstimateMS: 2200, Gang: true, Fills: true, Image: "separator", work: 2200 * time.Millisecond,
	}}}
	if !k.submit(gang) {
		c.rec.block("the gang was not accepted")
		return
	}
	time.Sleep(time.Second)
	if trouble {
		idle.end(gone)
	}
	time.Sleep(finishTime)
	k.checkStandstill([]*job{gang})
	k.checkShown(gang, k.state(gang.ID))
}

// idleWorker returns a worker without runs, or nil.
func (c *cluster) idleWorker() *worker {
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	for _, w := range c.workers {
		if w.mode == up && len(w.runs) == 0 {
			return w
		}
	}
	return nil
}

// standstill is how long a job must have nothing running to break LOST.
const standstill = 3 * time.Second

// checkStandstill checks that no accepted job has nothing running for standstill from now on, while a
// task's turn has come, there is room for it twice over and under half of the processors are in use.
func (k *client) checkStandstill(jobs []*job) {
	world := k.c.world
	still := map[*job]bool{}
	for _, j := range jobs {
		still[j] = !j.accepted.IsZero()
	}
	for began := time.Now(); time.Since(began) < standstill+4*worldTick; time.Sleep(worldTick) {
		world.mu.Lock()
		cpu, mem, whole := world.free()
		for j := range still {
			need, needMem := 0, 0
			for _, s := range j.Steps {
				tasks := 1
				if s.Gang {
					tasks = s.Count
				}
				needMem = max(needMem, tasks*s.MemMB)
				if !s.Fills {
					need = max(need, tasks*s.CPU)
				}
			}
			if world.allDone(j) || world.running(j.ID) > 0 || cpu < 2*need || mem < 2*needMem || 2*cpu <= whole {
				still[j] = false
			}
		}
		world.mu.Unlock()
	}
	for _, j := range jobs {
		if still[j] {
			k.c.rec.broken("LOST", "%s, accepted %.1f s ago, has nothing running for %v, and there is room", j.ID, time.Since(j.accepted).Seconds(), standstill)
		}
	}
}

// post sends a job to a front.
func (k *client) post(front int, j *job) (int, error) {
	text, err := encode(j)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	status, _ := k.do(front, "POST", prefix+j.ID, text)
	k.c.rec.note("POST %s: %d", j.ID, status)
	return status, nil
}

// playPower has the machine of one worker lose its power for good, under ordinary traffic.
func playPower(c *cluster, k *client, trouble bool) {
	const (
		between    = 120 * time.Millisecond
		lossAfter  = 4 * time.Second
		traffic    = 6 * time.Second
		powerTasks = 24 // of each job
	)
	var jobs []*job
	answers := make(chan bool)
	began, lost := time.Now(), false
	for time.Since(began) < traffic {
		if trouble && !lost && time.Since(began) >= lossAfter {
			lost = true
			c.workers[0].end(dark)
		}
		j := proof(powerTasks)
		jobs = append(jobs, j)
		go func() { answers <- k.submit(j) }()
		time.Sleep(between)
	}
	for range jobs {
		<-answers
	}
	time.Sleep(time.Until(began.Add(traffic + finishTime)))
	k.checkStandstill(jobs)
	for _, j := range jobs {
		if !j.accepted.IsZero() {
			k.checkShown(j, k.state(j.ID))
		}
	}
}
