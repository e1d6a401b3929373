// Package demo runs the whole system in one process, over sockets on loopback, and plays a trace
// against it: the stand-in platform, the entries, and a stand-in upstream with an agent for each
// instance. It then checks the report and the recorded observations. Package trace defines the
// traces.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/apricotwind/apricotwind/internal/process"
	"github.com/apricotwind/apricotwind/internal/standin"
	"github.com/apricotwind/apricotwind/internal/trace"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	// anyPort is a loopback address whose port the operating system chooses.
	anyPort = "127.0.0.1:0"
	// ledgerWindow is the length of a window of the ledger in the demo.
	ledgerWindow = 500 * time.Millisecond
	// operationTimeout limits the draining of a process, the time to read a request's header, and a
	// call to an entry.
	operationTimeout = 5 * time.Second
	// maxBodyBytes is the maximum size of a request's body, in bytes: 8 MiB.
	maxBodyBytes = 8 << 20
)

// standinInstance is one instance: a stand-in upstream and its agent.
type standinInstance struct {
	spec     trace.Instance
	upstream *standin.Upstream
	server   *http.Server
	agent    *process.Agent
}

// Cluster is the whole system in one process: platform, entries and instances.
type Cluster struct {
	ctx         context.Context
	log         *zap.Logger
	platform    *standin.Platform
	server      *http.Server
	platformURL string // base URL of the platform
	entries     []*process.Entry
	servers     conc.WaitGroup

	mu           sync.Mutex
	instances    map[string]*standinInstance
	allUpstreams []*standin.Upstream // includes those of failed instances
}

// New starts the deployment of a trace. The seed is that of the platform's faults. The caller
// calls Stop at the end.
func New(ctx context.Context, spec trace.Trace, seed uint64, log *zap.Logger) (*Cluster, error) {
	c := &Cluster{ctx: ctx, log: log, platform: standin.NewPlatform(seed, nil), instances: map[string]*standinInstance{}}
	server, address, err := c.listen(c.platform.Handler())
	if err != nil {
		return nil, err
	}
	c.server = server
	c.platformURL = "http://" + address
	for _, each := range spec.Entries {
		if err := c.startEntry(each); err != nil {
			c.Stop()
			return nil, err
		}
	}
	for _, each := range spec.Instances {
		if err := c.startInstance(each); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// listen serves handler on a free loopback port and returns the server and its address.
func (c *Cluster) listen(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, "", errors.Wrap(err, "listen on loopback")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: operationTimeout}
	c.servers.Go(func() {
		// Serve returns only when the server is closed, so its error carries no information.
		_ = server.Serve(listener)
	})
	return server, listener.Addr().String(), nil
}

// startEntry starts an entry.
func (c *Cluster) startEntry(spec trace.Entry) error {
	entry, err := process.NewEntry(c.ctx, process.EntrySettings{
		Name: spec.Name, Domain: spec.Domain, Caller: anyPort, Operator: anyPort, Link: anyPort, Platform: c.platformURL,
		Shards: 1, MaxBodyBytes: maxBodyBytes, Window: ledgerWindow, Sample: 1, DrainTimeout: operationTimeout,
	}, process.NewNetwork(), c.log.With(zap.String("role", "entry"), zap.String("name", spec.Name)))
	if err != nil {
		return err
	}
	c.entries = append(c.entries, entry)
	return nil
}

// startInstance starts an instance and its agent. It replaces an earlier instance of that name.
func (c *Cluster) startInstance(spec trace.Instance) error {
	s := &standinInstance{spec: spec, upstream: standin.NewUpstream(spec.Name, spec.Capacity.Slots, spec.Capacity.Resources())}
	server, address, err := c.listen(s.upstream.Handler())
	if err != nil {
		return err
	}
	s.server = server
	s.agent, err = process.NewAgent(c.ctx, process.AgentSettings{
		Name: spec.Name, Domain: spec.Domain, Rack: spec.Rack, Gate: anyPort, Metrics: anyPort, Upstream: "http://" + address,
		Platform: c.platformURL, Capacity: spec.Capacity, DrainTimeout: operationTimeout,
	}, process.NewNetwork(), c.log.With(zap.String("role", "agent"), zap.String("name", spec.Name)))
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[spec.Name] = s
	c.allUpstreams = append(c.allUpstreams, s.upstream)
	return nil
}

// standinInstance returns the current instance of that name.
func (c *Cluster) standinInstance(name string) (*standinInstance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.instances[name]
	if !ok {
		return nil, errors.Newf("the trace refers to unknown instance %q", name)
	}
	return s, nil
}

// fail stops an instance and its agent at once, without draining.
func (c *Cluster) fail(name string) error {
	s, err := c.standinInstance(name)
	if err != nil {
		return err
	}
	s.agent.Kill()
	s.upstream.Worker().Halt()
	return errors.Wrap(s.server.Close(), "close upstream")
}

// drain drains an instance's agent, which then ends.
func (c *Cluster) drain(name string) error {
	s, err := c.standinInstance(name)
	if err != nil {
		return err
	}
	return s.agent.Drain()
}

// client returns a client of an entry's operator API. The number is taken modulo the number of
// entries.
func (c *Cluster) client(number int) *operator.Client {
	_, operatorAddr, _ := c.entries[number%len(c.entries)].Addresses()
	return operator.NewClient("http://"+operatorAddr, &http.Client{Timeout: operationTimeout})
}

// callerURL returns the base URL for requests to an entry. The number is taken modulo the number
// of entries.
func (c *Cluster) callerURL(number int) string {
	callerAddr, _, _ := c.entries[number%len(c.entries)].Addresses()
	return "http://" + callerAddr
}

// upstreams returns all stand-in upstreams since the start, including those of failed instances.
func (c *Cluster) upstreams() []*standin.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*standin.Upstream(nil), c.allUpstreams...)
}

// readyPollInterval is the time between two checks whether the cluster is ready.
const readyPollInterval = 20 * time.Millisecond

// activateContract proposes the trace's contract and waits until it is in force on every node
// and every entry has a link to every agent.
func (c *Cluster) activateContract(spec trace.Trace, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	accepted := false
	for time.Now().Before(deadline) {
		if !accepted {
			_, err := c.client(0).Propose(c.ctx, operator.Proposal{Text: spec.Contract, By: "demo"})
			accepted = err == nil
		}
		if accepted && c.ready(len(spec.Instances)) {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.Newf("the cluster was not ready after %s", timeout)
}

// ready reports whether every entry has the contract and a link to every agent, and all of these
// agents have the entry's version of the contract.
func (c *Cluster) ready(agents int) bool {
	for i := range c.entries {
		status, err := c.client(i).LocalStatus(c.ctx)
		if err != nil || status.Version == 0 || len(status.Laggards(status.Version)) > 0 || len(status.Nodes) != agents+1 {
			return false
		}
	}
	return true
}

// Stop stops all processes at once and waits for the servers to end.
func (c *Cluster) Stop() {
	c.mu.Lock()
	for _, s := range c.instances {
		s.agent.Kill()
		// The server of a failed instance is already closed.
		_ = s.server.Close()
	}
	c.mu.Unlock()
	for _, entry := range c.entries {
		entry.Kill()
	}
	// All its clients have ended, so an error has no consequence.
	_ = c.server.Close()
	c.servers.Wait()
}

// requestID returns the ID that identifies a request in the observations of the upstreams.
func requestID(number int) string { return fmt.Sprintf("r%05d", number) }
