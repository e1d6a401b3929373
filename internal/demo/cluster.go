// Package demo runs the whole system in one process and plays a recorded day.
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
	// anyPort lets the system choose the port on loopback.
	anyPort = "127.0.0.1:0"
	// window is the length of a ledger window in the demo.
	window = 500 * time.Millisecond
	// drainBound is the longest wait for a process to leave.
	drainBound = 5 * time.Second
	// bodyMost bounds a request's body, in bytes.
	bodyMost = 8 << 20
)

// site is one instance: its stand-in upstream and its agent.
type site struct {
	of       trace.Instance
	upstream *standin.Upstream
	server   *http.Server
	agent    *process.Agent
}

// Cluster is the whole system in one process.
type Cluster struct {
	ctx      context.Context
	log      *zap.Logger
	platform *standin.Platform
	server   *http.Server
	base     string // of the platform
	entries  []*process.Entry
	group    conc.WaitGroup

	mu    sync.Mutex
	sites map[string]*site
	all   []*standin.Upstream // those of failed instances too
}

// New starts the system of a day's setting. Stop ends it.
func New(ctx context.Context, of trace.Trace, seed uint64, log *zap.Logger) (*Cluster, error) {
	p := &Cluster{ctx: ctx, log: log, platform: standin.NewPlatform(seed, nil), sites: map[string]*site{}}
	server, address, err := p.listen(p.platform.Handler())
	if err != nil {
		return nil, err
	}
	p.server = server
	p.base = "http://" + address
	for _, each := range of.Entries {
		if err := p.startEntry(each); err != nil {
			p.Stop()
			return nil, err
		}
	}
	for _, each := range of.Instances {
		if err := p.startSite(each); err != nil {
			p.Stop()
			return nil, err
		}
	}
	return p, nil
}

// listen serves handler on a free port of loopback.
func (p *Cluster) listen(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, "", errors.Wrap(err, "listen on loopback")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: drainBound}
	p.group.Go(func() {
		// It ends when the server is closed; there is no other way out of Serve here.
		_ = server.Serve(listener)
	})
	return server, listener.Addr().String(), nil
}

func (p *Cluster) startEntry(of trace.Entry) error {
	entry, err := process.NewEntry(p.ctx, process.EntrySettings{
		Name: of.Name, Domain: of.Domain, Caller: anyPort, Operator: anyPort, Link: anyPort, Platform: p.base,
		Shards: 1, MaxBodyBytes: bodyMost, Window: window, Sample: 1, DrainTimeout: drainBound,
	}, process.NewNetwork(), p.log.With(zap.String("role", "entry"), zap.String("name", of.Name)))
	if err != nil {
		return err
	}
	p.entries = append(p.entries, entry)
	return nil
}

// startSite starts an instance and its agent, or a replacement under the same name.
func (p *Cluster) startSite(of trace.Instance) error {
	s := &site{of: of, upstream: standin.NewUpstream(of.Name, of.Capacity.Slots, of.Capacity.Resources())}
	server, address, err := p.listen(s.upstream.Handler())
	if err != nil {
		return err
	}
	s.server = server
	s.agent, err = process.NewAgent(p.ctx, process.AgentSettings{
		Name: of.Name, Domain: of.Domain, Rack: of.Rack, Gate: anyPort, Metrics: anyPort, Upstream: "http://" + address,
		Platform: p.base, Capacity: of.Capacity, DrainTimeout: drainBound,
	}, process.NewNetwork(), p.log.With(zap.String("role", "agent"), zap.String("name", of.Name)))
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sites[of.Name] = s
	p.all = append(p.all, s.upstream)
	return nil
}

// site finds a running instance.
func (p *Cluster) site(name string) (*site, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.sites[name]
	if !ok {
		return nil, errors.Newf("the day names an instance %q that is not there", name)
	}
	return found, nil
}

// fail ends an instance and its agent at once.
func (p *Cluster) fail(name string) error {
	s, err := p.site(name)
	if err != nil {
		return err
	}
	s.agent.Kill()
	s.upstream.Worker().Halt()
	return errors.Wrap(s.server.Close(), "close upstream")
}

// leave drains an agent, which then ends.
func (p *Cluster) leave(name string) error {
	s, err := p.site(name)
	if err != nil {
		return err
	}
	return s.agent.Drain()
}

// client calls the operators' side of the entry numbered.
func (p *Cluster) client(number int) *operator.Client {
	_, operators, _ := p.entries[number%len(p.entries)].Addresses()
	return operator.NewClient("http://"+operators, &http.Client{Timeout: drainBound})
}

// callers is the address towards callers of the entry numbered.
func (p *Cluster) callers(number int) string {
	callers, _, _ := p.entries[number%len(p.entries)].Addresses()
	return "http://" + callers
}

// upstreams lists every stand-in upstream that ever ran.
func (p *Cluster) upstreams() []*standin.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*standin.Upstream(nil), p.all...)
}

// readyPause is the time between two looks whether the pool is ready.
const readyPause = 20 * time.Millisecond

// begin puts the contract in force and waits until every node has it and every
// entry knows every agent.
func (p *Cluster) begin(of trace.Trace, bound time.Duration) error {
	until := time.Now().Add(bound)
	accepted := false
	for time.Now().Before(until) {
		if !accepted {
			_, err := p.client(0).Propose(p.ctx, operator.Proposal{Text: of.Contract, By: "demo"})
			accepted = err == nil
		}
		if accepted && p.settled(len(of.Instances)) {
			return nil
		}
		time.Sleep(readyPause)
	}
	return errors.Newf("the pool was not ready after %s", bound)
}

// settled tells whether every entry has the document and a link to every agent.
func (p *Cluster) settled(agents int) bool {
	for i := range p.entries {
		status, err := p.client(i).LocalStatus(p.ctx)
		if err != nil || status.Version == 0 || len(status.Laggards(status.Version)) > 0 || len(status.Nodes) != agents+1 {
			return false
		}
	}
	return true
}

// Stop ends everything.
func (p *Cluster) Stop() {
	p.mu.Lock()
	for _, s := range p.sites {
		s.agent.Kill()
		// It may be closed already.
		_ = s.server.Close()
	}
	p.mu.Unlock()
	for _, entry := range p.entries {
		entry.Kill()
	}
	// Everything that called it has ended.
	_ = p.server.Close()
	p.group.Wait()
}

// name is how a request is told apart in what the upstreams saw.
func name(number int) string { return fmt.Sprintf("r%05d", number) }
