package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/apricotwind/apricotwind/internal/owner"
)

const (
	// rebornCompletionTimeout bounds how long after the last strike every accepted job must have ended. A
	// task may wait for the longest lease of a worker that is cut off until then, and then take its time.
	rebornCompletionTimeout = 60 * time.Second
	// settleTime is the time from the last strike until each held-back call has been delivered.
	settleTime = maxHeldBack + lateCallTimeout
	// rebornRegistrationInterval is the time between two registrations of a worker in mode reborn, short
	// so that a worker that is back registers before it is cut off.
	rebornRegistrationInterval = 200 * time.Millisecond
)

// strikePlayer plays strikes on a cluster.
type strikePlayer struct {
	cluster  *cluster
	client   *jobClient
	logEvent func(string)
}

// play plays the strikes one after another, with jobs of the given random numbers, and heals everything
// at the end. The times of the strikes count from its call.
func (p *strikePlayer) play(strikes []strike, random *rand.Rand) {
	begin := time.Now()
	p.client.submitLasting(random, lastingJobs)
	for _, s := range strikes {
		time.Sleep(time.Until(begin.Add(s.at - maxHoldLead)))
		p.logEvent(s.String())
		p.strike(s, begin.Add(s.at), random)
	}
	for _, process := range p.cluster.processes {
		process.signal(syscall.SIGCONT)
		process.start()
	}
}

// strike plays one strike, whose crash is at the given time, and returns when all of it is over.
func (p *strikePlayer) strike(s strike, crash time.Time, random *rand.Rand) {
	var wg sync.WaitGroup
	jobs := randomBurst(random)
	wg.Go(func() { p.client.submitBurst(jobs, crash) })
	for _, v := range s.victims {
		wg.Go(func() { p.crash(v, crash) })
		wg.Go(func() { p.cut(v, crash) })
		if v.agentHit != nil {
			wg.Go(func() { p.hit(p.cluster.agent(v.worker), *v.agentHit, crash) })
		}
	}
	if s.ownerHit != nil {
		wg.Go(func() {
			time.Sleep(time.Until(crash.Add(s.ownerHit.at)))
			if process := p.cluster.owner(); process != nil {
				p.hit(process, *s.ownerHit, crash)
			}
		})
	}
	wg.Wait()
}

// crash holds calls to the worker back, crashes it and starts it again under its ID. The calls that wait
// for it then, and those that were held back, reach the next incarnation.
func (p *strikePlayer) crash(v victim, crash time.Time) {
	worker, calls := p.cluster.workers[v.worker], p.cluster.calls[v.worker]
	time.Sleep(time.Until(crash.Add(-v.holdLead)))
	calls.hold(v.heldBack)
	time.Sleep(time.Until(crash))
	worker.CrashDark()
	time.Sleep(time.Until(crash.Add(v.downFor)))
	calls.hold(nil)
	worker.Restart()
}

// cut cuts the worker or its agent off, and ends that.
func (p *strikePlayer) cut(v victim, crash time.Time) {
	time.Sleep(time.Until(crash.Add(v.cutAt)))
	p.setCut(v, true)
	time.Sleep(time.Until(crash.Add(v.cutAt + v.cutFor)))
	p.setCut(v, false)
}

// setCut sets whether the worker or its agent is cut off.
func (p *strikePlayer) setCut(v victim, cut bool) {
	agent := p.cluster.agent(v.worker)
	m := passThrough
	if cut {
		m = dropAll
	}
	if v.cut != cutMachine {
		agent.workerProxy.set(m)
		if !v.registered {
			agent.registrationProxy.set(m)
		}
	}
	if v.cut != cutWorker {
		agent.storeProxy.set(m)
		p.cluster.links.setCut(agent.name, cut)
	}
}

// hit kills, terminates or pauses a process and ends that.
func (p *strikePlayer) hit(target *process, h hit, crash time.Time) {
	time.Sleep(time.Until(crash.Add(h.at)))
	p.logEvent(hitKindNames[h.kind] + " " + target.name)
	switch h.kind {
	case hitKill:
		target.end(syscall.SIGKILL)
	case hitTerminate:
		target.end(syscall.SIGTERM)
	default:
		target.signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(crash.Add(h.at + h.lastsFor)))
	target.signal(syscall.SIGCONT)
	target.start()
	p.logEvent("over: " + hitKindNames[h.kind] + " " + target.name)
}

// agent returns the process of the agent of a worker.
func (c *cluster) agent(worker int) *process { return c.processes[len(c.entryAddresses)+worker] }

// owner returns the process that is the owner, as far as the store shows, or nil.
func (c *cluster) owner() *process {
	rows, _, err := c.store.View(operatorName).Read(context.Background(), owner.RowRange())
	if err != nil || len(rows) == 0 {
		return nil
	}
	holder, err := owner.ReadHolder(rows[0])
	if err != nil {
		return nil
	}
	for _, p := range c.processes {
		if p.name == holder.Name {
			return p
		}
	}
	return nil
}

// runStrikes plays the strikes of a seed while jobs are submitted, and checks the jobs. It returns the number
// of strikes.
func runStrikes(ctx context.Context, c *cluster, client *jobClient, seed uint64, length time.Duration, logEvent func(string)) int {
	strikes := randomStrikes(rand.New(rand.NewPCG(seed, 4)), len(c.workers), length)
	submitCtx, stopSubmitting := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { client.run(submitCtx, rand.New(rand.NewPCG(seed, 1)), randomMixedJob) })
	player := &strikePlayer{cluster: c, client: client, logEvent: logEvent}
	player.play(strikes, rand.New(rand.NewPCG(seed, 5)))
	stopSubmitting()
	wg.Wait()
	logEvent("strikes over")
	time.Sleep(settleTime)
	client.cancelLasting()
	client.awaitCompletion(rebornCompletionTimeout)
	return len(strikes)
}
