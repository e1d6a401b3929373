package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/testcluster"
	"github.com/apricotwind/apricotwind/test/standins"
)

const (
	// registrationInterval is the time between two registrations of a worker.
	registrationInterval = time.Second
	// registrationTimeout bounds how long a worker waits for the agent to answer a registration.
	registrationTimeout = time.Second
)

// cluster is the system under test, with a stand-in store and stand-in workers.
type cluster struct {
	store          *testcluster.Store
	checker        *testcluster.Checker
	workers        []*testcluster.Worker
	calls          []*heldCalls // to each worker
	processes      []*process
	links          *linkProxies // between the processes; nil but in mode reborn
	entryAddresses []string     // HTTP addresses of the entries for clients
	logFiles       []*os.File
	logDir         string
	addViolation   func(format string, arguments ...any)
}

// workerCapacity is the capacity of each worker.
var workerCapacity = dispatch.Resources{Processors: 8000, Memory: 16000}

// loopbackIP returns a loopback address derived from the process ID, so that several soaks can
// run at the same time without port conflicts.
func loopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, 1+pid%254)
}

// listen listens on a free port of this soak's loopback address.
func listen() (net.Listener, error) { return net.Listen("tcp", loopbackIP()+":0") }

// Range of the ports of the processes. It lies below the range from which the kernel assigns
// ephemeral ports.
const (
	firstPort = 20000
	portCount = 10000
)

// assignedPorts counts the ports that assignAddress has assigned.
var assignedPorts atomic.Int64

// assignAddress returns an address for a process to listen on. Addresses repeat only after
// portCount calls.
func assignAddress() string {
	return fmt.Sprintf("%s:%d", loopbackIP(), firstPort+assignedPorts.Add(1)%portCount)
}

// serveBehindProxy serves a handler on loopback until ctx ends and returns a proxy in front
// of it.
func serveBehindProxy(ctx context.Context, handler http.Handler) (*proxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go func() {
		_ = server.Serve(listener) // it returns an error when the soak closes the server
	}()
	p, err := newProxy(listener.Addr().String())
	context.AfterFunc(ctx, func() {
		_ = server.Close() // nothing depends on a clean close
		if p != nil {
			p.close()
		}
	})
	return p, err
}

// newCluster starts the system that o describes, with one agent for each worker. Violations are
// reported by addViolation, which must be safe for concurrent use.
func newCluster(ctx context.Context, o options, logDir string, addViolation func(string, ...any)) (*cluster, error) {
	c := &cluster{store: testcluster.NewStore(), checker: testcluster.NewChecker(workerCapacity), logDir: logDir, addViolation: addViolation}
	if o.reborn {
		c.links = newLinkProxies(ctx)
	}
	for i := range o.entries {
		if err := c.addEntry(ctx, o.binary, fmt.Sprintf("e%d", i)); err != nil {
			return nil, err
		}
	}
	for i := range o.workers {
		if err := c.addWorker(ctx, o.binary, fmt.Sprintf("w%d", i), domainOf(i)); err != nil {
			return nil, err
		}
	}
	for _, p := range c.processes {
		p.start()
	}
	return c, nil
}

// addProcess adds a process that reaches the stand-in store through its own proxy. It does not
// start the process.
func (c *cluster) addProcess(ctx context.Context, binary, name, role string, flags ...string) (*process, error) {
	view := c.store.View(name)
	if c.links != nil {
		view = c.links.view(name, view)
	}
	storeProxy, err := serveBehindProxy(ctx, standins.StoreHandler(view))
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.logDir, name+".log"))
	if err != nil {
		return nil, err
	}
	c.logFiles = append(c.logFiles, log)
	arguments := append([]string{"platform", role, "--name", name, "--store", storeProxy.address()}, flags...)
	p := &process{name: name, binary: binary, arguments: arguments, log: log, storeProxy: storeProxy, addViolation: c.addViolation}
	c.processes = append(c.processes, p)
	return p, nil
}

// addEntry adds an entry.
func (c *cluster) addEntry(ctx context.Context, binary, name string) error {
	var addresses [3]string
	for i := range addresses {
		addresses[i] = assignAddress()
	}
	_, err := c.addProcess(ctx, binary, name, "entry", "--domain", "d", "--front", addresses[0], "--ready", addresses[1], "--link", addresses[2])
	c.entryAddresses = append(c.entryAddresses, addresses[0])
	return err
}

// addWorker starts a stand-in worker in a failure domain and adds its agent, which reaches the worker through a proxy.
func (c *cluster) addWorker(ctx context.Context, binary, name, domain string) error {
	registrationAddress := assignAddress()
	worker := testcluster.NewWorker(name, c.checker)
	calls := &heldCalls{worker: standins.WorkerHandler(worker)}
	workerProxy, err := serveBehindProxy(ctx, calls)
	if err != nil {
		return err
	}
	p, err := c.addProcess(ctx, binary, "a"+name, "agent", "--control", registrationAddress, "--worker", workerProxy.address(), "--link", assignAddress())
	if err != nil {
		return err
	}
	p.workerProxy = workerProxy
	c.workers, c.calls = append(c.workers, worker), append(c.calls, calls)
	c.checker.SetDomain(name, domain)
	go worker.Run(ctx)
	interval := registrationInterval
	if c.links != nil {
		if p.registrationProxy, err = newProxy(registrationAddress); err != nil {
			return err
		}
		context.AfterFunc(ctx, p.registrationProxy.close)
		interval, registrationAddress = rebornRegistrationInterval, p.registrationProxy.address()
	}
	go keepRegistered(ctx, worker, domain, registrationAddress, workerProxy.address(), interval)
	return nil
}

// keepRegistered registers a worker, which is reached at address, with its agent once each
// interval until ctx ends.
func keepRegistered(ctx context.Context, worker *testcluster.Worker, domain, registrationAddress, address string, interval time.Duration) {
	client := &http.Client{Timeout: registrationTimeout}
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		if incarnation, up := worker.Incarnation(); up {
			body := fmt.Sprintf(`{"service":"s","address":%q,"zone":%q,"state":"ready","seq":%d,"born":%d,"capacity":{"cpu":%d,"mem_mb":%d}}`,
				address, domain, sequence, incarnation.StartedAt, workerCapacity.Processors, workerCapacity.Memory)
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+registrationAddress+"/api/instances/"+incarnation.ID, strings.NewReader(body))
			if err != nil {
				return
			}
			if response, err := client.Do(request); err == nil {
				_ = response.Body.Close() // the next registration repeats the content
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// close kills all processes, waits until they have exited and closes their log files.
func (c *cluster) close() {
	var wg sync.WaitGroup
	for _, p := range c.processes {
		wg.Go(func() { p.end(syscall.SIGKILL) })
	}
	wg.Wait()
	for _, file := range c.logFiles {
		_ = file.Close() // the processes wrote the files through descriptors of their own
	}
}
