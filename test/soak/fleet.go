package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

const (
	// registerPeriod is the time between two registrations of a worker.
	registerPeriod = time.Second
	// registerBound is how long the agent may take to answer one.
	registerBound = time.Second
	// termBound is how long a process may take to end after SIGTERM.
	termBound = 6 * time.Second
	// handlesAfter is how long after its start a process has taken over its signals: a
	// SIGHUP before ends it, as it does any program.
	handlesAfter = time.Second
)

// proc is one process of the system, which the soak starts, signals and restarts.
type proc struct {
	name      string
	path      string
	arguments []string
	log       *os.File
	store     *proxy // between it and the store
	worker    *proxy // between an agent and its worker; nil for entries
	of        *testcluster.Worker

	mu      sync.Mutex
	running *exec.Cmd
	done    chan struct{} // closed when running has ended
	ending  bool          // an end is expected
	begun   time.Time     // when running was started
	failed  func(format string, arguments ...any)
}

// start starts the process unless it runs.
func (p *proc) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		return
	}
	command := exec.Command(p.path, p.arguments...)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		p.failed("%s does not start: %v", p.name, err)
		return
	}
	done := make(chan struct{})
	p.running, p.done, p.ending, p.begun = command, done, false, time.Now()
	go func() {
		err := command.Wait()
		p.mu.Lock()
		if !p.ending {
			p.failed("ENDS %s ended by itself: %v", p.name, err)
		}
		p.running = nil
		p.mu.Unlock()
		if p.of != nil {
			p.of.AgentDied()
		}
		close(done)
	}()
}

// signal sends a signal to the process that was started, if it still runs.
func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	early := s == syscall.SIGHUP && time.Since(p.begun) < handlesAfter
	if p.running == nil || early || s == syscall.SIGSTOP && p.ending {
		return // one that is to end within a bound is not held up
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.ending = true
	}
	_ = p.running.Process.Signal(s) // it may have ended just now
}

// end ends the process and waits until it is gone.
func (p *proc) end(s syscall.Signal) {
	p.mu.Lock()
	done := p.done
	alive := p.running != nil
	p.mu.Unlock()
	if !alive {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-done:
	case <-time.After(termBound):
		p.failed("STOP %s still runs %v after a signal to end", p.name, termBound)
		p.signal(syscall.SIGKILL)
		<-done
	}
}

// fleet is the system with its stand-ins.
type fleet struct {
	store   *testcluster.Store
	watch   *testcluster.Checker
	workers []*testcluster.Worker
	procs   []*proc
	fronts  []string // addresses of the entries
	files   []*os.File
	dir     string
	say     func(format string, arguments ...any)
}

// capacity is that of each worker.
var capacity = dispatch.Resources{Processors: 8000, Memory: 16000}

// own is an address on loopback of this soak alone, so that several can run at a time.
func own() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, 1+pid%254)
}

// listen listens on a free port of this soak.
func listen() (net.Listener, error) { return net.Listen("tcp", own()+":0") }

// Ports of the processes, below those that the machine gives out by itself.
const (
	portFirst = 20000
	portCount = 10000
)

// ports counts the ports given out.
var ports atomic.Int64

// freeAddress gives out an address that nobody else of this soak gets.
func freeAddress() string {
	return fmt.Sprintf("%s:%d", own(), portFirst+ports.Add(1)%portCount)
}

// serve serves a handler on loopback behind a proxy until ctx ends.
func serve(ctx context.Context, handler http.Handler) (*proxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go func() {
		_ = server.Serve(listener) // it ends with the soak
	}()
	p, err := newProxy(listener.Addr().String())
	context.AfterFunc(ctx, func() {
		_ = server.Close() // the same
		if p != nil {
			p.close()
		}
	})
	return p, err
}

// newFleet starts a system of so many entries and workers.
func newFleet(ctx context.Context, binary, dir string, entries, workers int, say func(string, ...any)) (*fleet, error) {
	f := &fleet{store: testcluster.NewStore(), watch: testcluster.NewChecker(capacity), dir: dir, say: say}
	for i := range entries {
		if err := f.addEntry(ctx, binary, fmt.Sprintf("e%d", i)); err != nil {
			return nil, err
		}
	}
	for i := range workers {
		if err := f.addWorker(ctx, binary, fmt.Sprintf("w%d", i)); err != nil {
			return nil, err
		}
	}
	for _, p := range f.procs {
		p.start()
	}
	return f, nil
}

// add makes a process whose store is behind a proxy of its own.
func (f *fleet) add(ctx context.Context, binary, name, role string, flags ...string) (*proc, error) {
	store, err := serve(ctx, storeHandler(f.store.View(name)))
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	f.files = append(f.files, log)
	arguments := append([]string{"platform", role, "--name", name, "--store", store.address()}, flags...)
	p := &proc{name: name, path: binary, arguments: arguments, log: log, store: store, failed: f.say}
	f.procs = append(f.procs, p)
	return p, nil
}

func (f *fleet) addEntry(ctx context.Context, binary, name string) error {
	var addresses [3]string
	for i := range addresses {
		addresses[i] = freeAddress()
	}
	_, err := f.add(ctx, binary, name, "entry", "--domain", "d", "--front", addresses[0], "--ready", addresses[1], "--link", addresses[2])
	f.fronts = append(f.fronts, addresses[0])
	return err
}

func (f *fleet) addWorker(ctx context.Context, binary, name string) error {
	control := freeAddress()
	worker := testcluster.NewWorker(name, f.watch)
	behind, err := serve(ctx, workerHandler(worker))
	if err != nil {
		return err
	}
	p, err := f.add(ctx, binary, "a"+name, "agent", "--control", control, "--worker", behind.address())
	if err != nil {
		return err
	}
	p.worker, p.of = behind, worker
	f.workers = append(f.workers, worker)
	go worker.Run(ctx)
	go register(ctx, worker, control)
	return nil
}

// register has a worker register at the agent beside it until ctx ends.
func register(ctx context.Context, worker *testcluster.Worker, control string) {
	client := &http.Client{Timeout: registerBound}
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		if life, up := worker.Incarnation(); up {
			body := fmt.Sprintf(`{"service":"s","address":"x","zone":"z","state":"ready","seq":%d,"born":%d,"capacity":{"cpu":%d,"mem_mb":%d}}`,
				sequence, life.StartedAt, capacity.Processors, capacity.Memory)
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/api/instances/"+life.ID, strings.NewReader(body))
			if err != nil {
				return
			}
			if response, err := client.Do(request); err == nil {
				_ = response.Body.Close() // a lost registration is followed by the next
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerPeriod):
		}
	}
}

// close ends all processes.
func (f *fleet) close() {
	var all sync.WaitGroup
	for _, p := range f.procs {
		all.Go(func() { p.end(syscall.SIGKILL) })
	}
	all.Wait()
	for _, file := range f.files {
		_ = file.Close() // whatever was written is there
	}
}
