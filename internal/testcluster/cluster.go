package testcluster

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/identity"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/apricotwind/apricotwind/internal/process"
	"github.com/apricotwind/apricotwind/internal/standin"
	"go.uber.org/zap"
)

// Contract is the document that tests put in force.
const Contract = `workspaces:
  - name: kilele
    share: 50
  - name: pwani
    share: 50
classes:
  - name: preview
    kind: service
    quantile: 0.99
    latency: 150ms
  - name: rebrand
    kind: batch
    deadline: 10m
`

// Cluster is the whole system on a network in memory.
type Cluster struct {
	t         testing.TB
	Ctx       context.Context
	Net       *Network
	Platform  *standin.Platform
	Entries   map[string]*process.Entry
	Agents    map[string]*process.Agent
	Upstreams map[string]*standin.Upstream
	Servers   map[string]*http.Server
	Client    *http.Client
	Identity  *identity.Identity // of the processes started next; nil for no TLS
	Log       *zap.Logger        // of the processes started next
}

const platformAddress = "127.0.0.1:7000"

// New starts a platform, two entries e0 and e1, and agents m0 to mN-1 with
// their upstreams, after the options. It must run inside a synctest bubble.
func New(t testing.TB, agents int, options ...func(*Cluster)) *Cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &Cluster{
		t: t, Ctx: ctx, Net: NewNetwork(), Platform: standin.NewPlatform(1, nil), Entries: map[string]*process.Entry{},
		Agents: map[string]*process.Agent{}, Upstreams: map[string]*standin.Upstream{}, Servers: map[string]*http.Server{}, Log: zap.NewNop(),
	}
	for _, option := range options {
		option(p)
	}
	p.Client = &http.Client{Transport: &http.Transport{DialContext: p.Net.View("caller").Dial}}
	p.Serve("platform", platformAddress, p.Platform.Handler())
	for _, name := range []string{"e0", "e1"} {
		p.StartEntry(name)
	}
	for i := range agents {
		p.StartUpstream(fmt.Sprintf("m%d", i))
		p.StartAgent(fmt.Sprintf("m%d", i))
	}
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Second) // slow answers of the platform end
		for _, a := range p.Agents {
			_ = a.Wait()
		}
		for _, e := range p.Entries {
			_ = e.Wait()
		}
		for _, s := range p.Servers {
			_ = s.Close()
		}
		p.Client.CloseIdleConnections()
	})
	return p
}

// Serve serves handler for the process named.
func (p *Cluster) Serve(owner, address string, handler http.Handler) string {
	p.t.Helper()
	listener, err := p.Net.Listen(owner, address)
	if err != nil {
		p.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	p.Servers[owner] = server
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// StartEntry starts an entry, or one again.
func (p *Cluster) StartEntry(name string) {
	p.t.Helper()
	number := name[1:]
	entry, err := process.NewEntry(p.Ctx, process.EntrySettings{
		Name: name, Domain: "d", Caller: "127.0.0.1:710" + number, Operator: "127.0.0.1:720" + number,
		Link: "127.0.0.1:730" + number, Platform: "http://" + platformAddress, Shards: 1, MaxBodyBytes: 1 << 20,
		Window: 1e9, Sample: 1, DrainTimeout: 20e9, Identity: p.Identity,
	}, p.Net.View(name), p.Log)
	if err != nil {
		p.t.Fatal(err)
	}
	p.Entries[name] = entry
}

// StartUpstream starts a stand-in upstream, or its replacement.
func (p *Cluster) StartUpstream(name string) {
	u := standin.NewUpstream(name, 8, placement.Resources{Processors: 8, Memory: 1000})
	p.Upstreams[name] = u
	p.Serve("u-"+name, "127.0.1.1:"+name[1:], u.Handler())
}

// StartAgent starts the agent of an upstream, or one again.
func (p *Cluster) StartAgent(name string) {
	p.t.Helper()
	agent, err := process.NewAgent(p.Ctx, process.AgentSettings{
		Name: name, Domain: "d", Rack: "r-" + name, Upstream: "http://127.0.1.1:" + name[1:],
		Platform: "http://" + platformAddress, DrainTimeout: 20e9, Identity: p.Identity,
		Capacity: link.Capacity{Slots: 8, MaxInFlight: 64, Processors: 8, Memory: 1000},
	}, p.Net.View(name), p.Log)
	if err != nil {
		p.t.Fatal(err)
	}
	p.Agents[name] = agent
}

// Operator calls the operators' side of the entry named.
func (p *Cluster) Operator(entry string) *operator.Client {
	_, operators, _ := p.Entries[entry].Addresses()
	return operator.NewClient("http://"+operators, p.Client)
}

// Observations is what all upstreams saw.
func (p *Cluster) Observations() []standin.Observations {
	var seen []standin.Observations
	for _, u := range p.Upstreams {
		seen = append(seen, u.Observations())
	}
	return seen
}

// Ready puts the contract in force and waits until every node has it.
func (p *Cluster) Ready() {
	p.t.Helper()
	time.Sleep(3 * time.Second)
	if _, err := p.Operator("e0").Propose(p.Ctx, operator.Proposal{Text: Contract, By: "test"}); err != nil {
		p.t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	status, err := p.Operator("e1").Status(p.Ctx)
	if err != nil || len(status.Nodes) != len(p.Agents)+2 || len(status.Laggards(1)) > 0 {
		p.t.Fatalf("in force: %+v, %v", status, err)
	}
}
