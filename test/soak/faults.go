package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// fault is something that befalls the system for a while.
type fault struct {
	name  string
	apply func()
	heal  func()
}

const (
	// faultLeast and faultMost bound how long a fault lasts.
	faultLeast = 300 * time.Millisecond
	faultMost  = 5 * time.Second
	// betweenMost bounds the time between two faults; they overlap.
	betweenMost = 1500 * time.Millisecond
	// lateLeast and lateSpread bound how late a write or an order may be carried out.
	lateLeast  = time.Second
	lateSpread = 5 * time.Second
)

// draw picks a fault by chance.
func (f *fleet) draw(random *rand.Rand) fault {
	p := f.procs[random.IntN(len(f.procs))]
	draws := []func() fault{
		func() fault { return f.ended(p, syscall.SIGKILL) },
		func() fault { return f.ended(p, syscall.SIGTERM) },
		func() fault {
			return fault{"pause " + p.name, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }}
		},
		func() fault { return fault{"hup " + p.name, func() { p.signal(syscall.SIGHUP) }, func() {}} },
		func() fault { return cut("store of "+p.name, p.store, random) },
		func() fault {
			agent := f.procs[len(f.fronts)+random.IntN(len(f.workers))]
			return cut("worker of "+agent.name, agent.worker, random)
		},
		func() fault { return f.storeFault(random) },
		func() fault { return f.workerCrash(random) },
		func() fault { return f.ordersLate(random) },
		func() fault { return fault{"configuration", f.configure, func() {}} },
	}
	if random.IntN(25) == 0 {
		return f.everything()
	}
	return draws[random.IntN(len(draws))]()
}

// ended ends a process; it starts again when the fault is over.
func (f *fleet) ended(p *proc, s syscall.Signal) fault {
	return fault{fmt.Sprintf("%v %s", s, p.name), func() { p.end(s) }, p.start}
}

// everything kills all processes at once.
func (f *fleet) everything() fault {
	return fault{"kill all", func() {
		for _, p := range f.procs {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
	}, func() {
		for _, p := range f.procs {
			p.end(syscall.SIGKILL)
			p.start()
		}
	}}
}

func cut(what string, between *proxy, random *rand.Rand) fault {
	m := mode(1 + random.IntN(int(modes)-1))
	return fault{what + " " + modeNames[m], func() { between.set(m) }, func() { between.set(pass) }}
}

func (f *fleet) storeFault(random *rand.Rand) fault {
	share := random.Float64()
	late := lateLeast + time.Duration(random.Int64N(int64(lateSpread)))
	kinds := []struct {
		name string
		of   testcluster.StoreFault
		all  bool
	}{
		{"refuses", testcluster.StoreFault{Refuse: true}, true},
		{"silent", testcluster.StoreFault{Silent: true}, true},
		{"refuses some", testcluster.StoreFault{Refuse: true}, false},
		{"loses answers", testcluster.StoreFault{DropReply: true}, false},
		{"writes late", testcluster.StoreFault{DropReply: true, Late: late}, false},
		{"slow", testcluster.StoreFault{Slow: 240 * time.Millisecond, InTurn: true}, true},
	}
	kind := kinds[random.IntN(len(kinds))]
	befall := func(process string, write bool) testcluster.StoreFault {
		if process == operator || !kind.all && (rand.Float64() > share/2 || kind.of.DropReply && !write) {
			return testcluster.StoreFault{}
		}
		return kind.of
	}
	return fault{"store " + kind.name, func() { f.store.SetFault(befall) }, func() { f.store.SetFault(nil) }}
}

func (f *fleet) workerCrash(random *rand.Rand) fault {
	i := random.IntN(len(f.workers))
	w := f.workers[i]
	return fault{fmt.Sprintf("crash of worker %d", i), w.Crash, w.Restart}
}

func (f *fleet) ordersLate(random *rand.Rand) fault {
	w := f.workers[random.IntN(len(f.workers))]
	late := lateLeast + time.Duration(random.Int64N(int64(lateSpread)))
	befall := func() testcluster.OrderFault {
		if rand.IntN(3) > 0 {
			return testcluster.OrderFault{}
		}
		return testcluster.OrderFault{DropReply: true, Late: late}
	}
	return fault{"orders late", func() { w.SetFault(befall) }, func() { w.SetFault(nil) }}
}

// play lets faults befall the system for a time, in series and overlapping, and heals all
// of them at the end.
func (f *fleet) play(random *rand.Rand, length time.Duration, note func(string)) int {
	deadline := time.Now().Add(length)
	type pending struct {
		fault
		until time.Time
		begun chan struct{}
	}
	var open []pending
	heal := func(all bool) {
		left := open[:0]
		for _, o := range open {
			if !all && time.Now().Before(o.until) {
				left = append(left, o)
				continue
			}
			<-o.begun
			o.heal()
			note("over: " + o.name)
		}
		open = left
	}
	count := 0
	for time.Now().Before(deadline) {
		next := f.draw(random)
		begun := make(chan struct{})
		note(next.name)
		go func() {
			next.apply()
			close(begun)
		}()
		lasts := faultLeast + time.Duration(random.Int64N(int64(faultMost-faultLeast)))
		open = append(open, pending{next, time.Now().Add(lasts), begun})
		count++
		time.Sleep(time.Duration(random.Int64N(int64(betweenMost))))
		heal(false)
	}
	heal(true)
	f.store.SetFault(nil)
	for _, p := range f.procs {
		p.signal(syscall.SIGCONT)
		p.start()
	}
	return count
}
