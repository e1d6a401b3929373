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

// Contract is the document that Cluster.ActivateContract proposes.
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

// Cluster is a whole system on an in-memory network: real entries and agents with a
// stand-in platform and stand-in upstreams. The maps are keyed by the name of the entry,
// agent or upstream; in Servers an upstream has the prefix "u-", and "platform" is the stand-in
// platform. Methods that start processes must not be called concurrently.
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
	Identity  *identity.Identity // for processes started afterwards; nil: no TLS
	Log       *zap.Logger        // for processes started afterwards
}

const platformAddress = "127.0.0.1:7000"

// New applies the options and starts a platform, two entries e0 and e1, and agents m0 to
// mN-1 with their upstreams. It must run inside a synctest bubble. The cluster stops when
// the test ends.
func New(t testing.TB, agents int, options ...func(*Cluster)) *Cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{
		t: t, Ctx: ctx, Net: NewNetwork(), Platform: standin.NewPlatform(1, nil), Entries: map[string]*process.Entry{},
		Agents: map[string]*process.Agent{}, Upstreams: map[string]*standin.Upstream{}, Servers: map[string]*http.Server{}, Log: zap.NewNop(),
	}
	for _, option := range options {
		option(c)
	}
	c.Client = &http.Client{Transport: &http.Transport{DialContext: c.Net.View("caller").Dial}}
	c.Serve("platform", platformAddress, c.Platform.Handler())
	for _, name := range []string{"e0", "e1"} {
		c.StartEntry(name)
	}
	for i := range agents {
		c.StartUpstream(fmt.Sprintf("m%d", i))
		c.StartAgent(fmt.Sprintf("m%d", i))
	}
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Second) // lets delayed answers of the platform end
		for _, a := range c.Agents {
			_ = a.Wait()
		}
		for _, e := range c.Entries {
			_ = e.Wait()
		}
		for _, s := range c.Servers {
			_ = s.Close()
		}
		c.Client.CloseIdleConnections()
		if err := c.Net.Close(); err != nil {
			t.Error(err)
		}
	})
	return c
}

// Serve serves handler on address for the given process and returns the listen address.
func (c *Cluster) Serve(processName, address string, handler http.Handler) string {
	c.t.Helper()
	listener, err := c.Net.Listen(processName, address)
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	c.Servers[processName] = server
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// StartEntry starts or restarts the named entry.
func (c *Cluster) StartEntry(name string) {
	c.t.Helper()
	number := name[1:]
	entry, err := process.NewEntry(c.Ctx, process.EntrySettings{
		Name: name, Domain: "d", Caller: "127.0.0.1:710" + number, Operator: "127.0.0.1:720" + number,
		Link: "127.0.0.1:730" + number, Platform: "http://" + platformAddress, Shards: 1, MaxBodyBytes: 1 << 20,
		Window: 1e9, Sample: 1, DrainTimeout: 20e9, Identity: c.Identity,
	}, c.Net.View(name), c.Log)
	if err != nil {
		c.t.Fatal(err)
	}
	c.Entries[name] = entry
}

// StartUpstream starts the named stand-in upstream, or its replacement.
func (c *Cluster) StartUpstream(name string) {
	u := standin.NewUpstream(name, 8, placement.Resources{Processors: 8, Memory: 1000})
	c.Upstreams[name] = u
	c.Serve("u-"+name, "127.0.1.1:"+name[1:], u.Handler())
}

// StartAgent starts or restarts the agent of the named upstream.
func (c *Cluster) StartAgent(name string) {
	c.t.Helper()
	agent, err := process.NewAgent(c.Ctx, process.AgentSettings{
		Name: name, Domain: agentDomain(name), Rack: "r-" + name, Upstream: "http://127.0.1.1:" + name[1:],
		Platform: "http://" + platformAddress, DrainTimeout: 20e9, Identity: c.Identity,
		Capacity: link.Capacity{Slots: 8, MaxInFlight: 64, Processors: 8, Memory: 1000},
	}, c.Net.View(name), c.Log)
	if err != nil {
		c.t.Fatal(err)
	}
	c.Agents[name] = agent
}

// Operator returns a client of the operator API of the named entry.
func (c *Cluster) Operator(entry string) *operator.Client {
	_, operators, _ := c.Entries[entry].Addresses()
	return operator.NewClient("http://"+operators, c.Client)
}

// Observations returns the observations of all upstreams.
func (c *Cluster) Observations() []standin.Observations {
	var seen []standin.Observations
	for _, u := range c.Upstreams {
		seen = append(seen, u.Observations())
	}
	return seen
}

// ActivateContract proposes Contract through e0 and waits until it is in force on every node.
func (c *Cluster) ActivateContract() {
	c.t.Helper()
	time.Sleep(3 * time.Second)
	if _, err := c.Operator("e0").Propose(c.Ctx, operator.Proposal{Text: Contract, By: "test"}); err != nil {
		c.t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	status, err := c.Operator("e1").Status(c.Ctx)
	if err != nil || len(status.Nodes) != len(c.Agents)+2 || len(status.Laggards(1)) > 0 {
		c.t.Fatalf("not all nodes have applied the contract: %+v, %v", status, err)
	}
}

// agentDomain returns the failure domain of an agent: the first one is in another one than the others.
func agentDomain(name string) string {
	if name == "m0" {
		return "d0"
	}
	return "d"
}
