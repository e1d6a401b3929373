package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// fault is a fault to inject for some time. apply starts it; heal ends it and is called after
// apply has returned.
type fault struct {
	name  string
	apply func()
	heal  func()
}

const (
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// maxFaultInterval bounds the time between the starts of two faults. It is shorter than
	// maxFaultDuration, so faults overlap.
	maxFaultInterval = 1500 * time.Millisecond
	// A write or an order that is executed late is delayed by at least minLateDelay and by less
	// than minLateDelay plus lateDelayRange.
	minLateDelay   = time.Second
	lateDelayRange = 5 * time.Second
)

// randomFault returns a random fault. One in 25 kills all processes at once.
func (c *cluster) randomFault(random *rand.Rand) fault {
	p := c.processes[random.IntN(len(c.processes))]
	candidates := []func() fault{
		func() fault { return c.terminateFault(p, syscall.SIGKILL) },
		func() fault { return c.terminateFault(p, syscall.SIGTERM) },
		func() fault {
			return fault{"pause " + p.name, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }}
		},
		func() fault { return fault{"hup " + p.name, func() { p.signal(syscall.SIGHUP) }, func() {}} },
		func() fault { return proxyFault("store of "+p.name, p.storeProxy, random) },
		func() fault {
			agent := c.processes[len(c.entryAddresses)+random.IntN(len(c.workers))]
			return proxyFault("worker of "+agent.name, agent.workerProxy, random)
		},
		func() fault { return c.storeFault(random) },
		func() fault { return c.workerCrashFault(random) },
		func() fault { return c.lateOrdersFault(random) },
		func() fault { return fault{"configuration", c.writeConfiguration, func() {}} },
	}
	if random.IntN(25) == 0 {
		return c.killAllFault()
	}
	return candidates[random.IntN(len(candidates))]()
}

// terminateFault terminates a process with a signal and restarts it when the fault ends.
func (c *cluster) terminateFault(p *process, s syscall.Signal) fault {
	return fault{fmt.Sprintf("%v %s", s, p.name), func() { p.end(s) }, p.start}
}

// killAllFault kills all processes at once and restarts them when the fault ends.
func (c *cluster) killAllFault() fault {
	return fault{"kill all", func() {
		for _, p := range c.processes {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
	}, func() {
		for _, p := range c.processes {
			p.end(syscall.SIGKILL)
			p.start()
		}
	}}
}

// proxyFault sets the proxy of one connection to a random mode other than passThrough.
func proxyFault(link string, p *proxy, random *rand.Rand) fault {
	m := mode(1 + random.IntN(int(modeCount)-1))
	return fault{link + " " + modeNames[m], func() { p.set(m) }, func() { p.set(passThrough) }}
}

// storeFault returns a random fault of the stand-in store. A fault that does not hit every call
// hits a random share of at most half of them; lost replies hit writes only. Calls of the operator never fail.
func (c *cluster) storeFault(random *rand.Rand) fault {
	share := random.Float64()
	delay := minLateDelay + time.Duration(random.Int64N(int64(lateDelayRange)))
	kinds := []struct {
		name      string
		fault     testcluster.StoreFault
		everyCall bool
	}{
		{"refuses", testcluster.StoreFault{Refuse: true}, true},
		{"silent", testcluster.StoreFault{Silent: true}, true},
		{"refuses some", testcluster.StoreFault{Refuse: true}, false},
		{"loses answers", testcluster.StoreFault{DropReply: true}, false},
		{"writes late", testcluster.StoreFault{DropReply: true, Late: delay}, false},
		{"slow", testcluster.StoreFault{Slow: 240 * time.Millisecond, InTurn: true}, true},
	}
	kind := kinds[random.IntN(len(kinds))]
	faultFor := func(caller string, write bool) testcluster.StoreFault {
		if caller == operatorName || !kind.everyCall && (rand.Float64() > share/2 || kind.fault.DropReply && !write) {
			return testcluster.StoreFault{}
		}
		return kind.fault
	}
	return fault{"store " + kind.name, func() { c.store.SetFault(faultFor) }, func() { c.store.SetFault(nil) }}
}

// workerCrashFault crashes a random worker and restarts it when the fault ends: under its ID or, one in four,
// under another one. Calls to a worker with an even number wait meanwhile, and the next incarnation carries
// them out.
func (c *cluster) workerCrashFault(random *rand.Rand) fault {
	i := random.IntN(len(c.workers))
	w := c.workers[i]
	if i%2 == 0 {
		return fault{fmt.Sprintf("dark crash of worker %d", i), w.CrashDark, w.Restart}
	}
	if i%4 == 3 {
		return fault{fmt.Sprintf("crash of worker %d, which is replaced", i), w.Crash, w.Replace}
	}
	return fault{fmt.Sprintf("crash of worker %d", i), w.Crash, w.Restart}
}

// lateOrdersFault makes a random worker leave one order in three without a reply and execute
// it late.
func (c *cluster) lateOrdersFault(random *rand.Rand) fault {
	w := c.workers[random.IntN(len(c.workers))]
	delay := minLateDelay + time.Duration(random.Int64N(int64(lateDelayRange)))
	faultFor := func() testcluster.OrderFault {
		if rand.IntN(3) > 0 {
			return testcluster.OrderFault{}
		}
		return testcluster.OrderFault{DropReply: true, Late: delay}
	}
	return fault{"orders late", func() { w.SetFault(faultFor) }, func() { w.SetFault(nil) }}
}

// injectFaults starts a random fault at intervals of up to maxFaultInterval for the given time;
// faults may overlap. At the end it heals all of them and starts every process that is down. It
// returns the number of faults.
func (c *cluster) injectFaults(random *rand.Rand, length time.Duration, logEvent func(string)) int {
	deadline := time.Now().Add(length)
	type activeFault struct {
		fault
		healAt  time.Time
		applied chan struct{}
	}
	var active []activeFault
	heal := func(all bool) {
		remaining := active[:0]
		for _, current := range active {
			if !all && time.Now().Before(current.healAt) {
				remaining = append(remaining, current)
				continue
			}
			<-current.applied
			current.heal()
			logEvent("over: " + current.name)
		}
		active = remaining
	}
	count := 0
	for time.Now().Before(deadline) {
		next := c.randomFault(random)
		applied := make(chan struct{})
		logEvent(next.name)
		go func() {
			next.apply()
			close(applied)
		}()
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		active = append(active, activeFault{next, time.Now().Add(duration), applied})
		count++
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultInterval))))
		heal(false)
	}
	heal(true)
	c.store.SetFault(nil)
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
		p.start()
	}
	return count
}
