package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/apricotwind/apricotwind/internal/standin"
	"go.uber.org/zap"
)

// memory is a network in memory, so that tests run on the paused clock. Each
// process has a view of it and can be cut off from others.
type memory struct {
	mu        sync.Mutex
	ports     int
	listeners map[string]*memoryListener
	conns     []*memoryConn
	cuts      map[[2]string]bool
}

type memoryListener struct {
	owner   string
	address string
	of      *memory
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// memoryConn is one end. After a cut what it writes is lost and nothing arrives,
// as on a half-open connection.
type memoryConn struct {
	net.Conn
	from, to string
	cut      chan struct{}
	once     sync.Once
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

func newMemory() *memory {
	return &memory{listeners: map[string]*memoryListener{}, cuts: map[[2]string]bool{}}
}

// view is the network as the process named sees it.
func (m *memory) view(owner string) Network {
	return Network{
		Listen: func(address string) (net.Listener, error) { return m.listen(owner, address) },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return m.dial(ctx, owner, address)
		},
	}
}

func (m *memory) listen(owner, address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == "" {
		m.ports++
		address = fmt.Sprintf("127.0.0.1:%d", 10000+m.ports)
	}
	if _, taken := m.listeners[address]; taken {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &memoryListener{owner: owner, address: address, of: m, accept: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

func (m *memory) dial(ctx context.Context, from, address string) (net.Conn, error) {
	m.mu.Lock()
	l, ok := m.listeners[address]
	if !ok {
		m.mu.Unlock()
		return nil, fmt.Errorf("connection refused by %s", address)
	}
	cut := m.cuts[[2]string{from, l.owner}]
	near, far := net.Pipe()
	a := &memoryConn{Conn: near, from: from, to: l.owner, cut: make(chan struct{})}
	b := &memoryConn{Conn: far, from: l.owner, to: from, cut: make(chan struct{})}
	m.conns = append(m.conns, a, b)
	m.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case l.accept <- b:
		return a, nil
	case <-l.closed:
		return nil, fmt.Errorf("connection refused by %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// cut parts two processes: what is open goes silent, what is new finds no answer.
func (m *memory) cut(a, b string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[[2]string{a, b}], m.cuts[[2]string{b, a}] = cut, cut
	if !cut {
		return
	}
	for _, c := range m.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.once.Do(func() { close(c.cut) })
		}
	}
}

func (c *memoryConn) isCut() bool {
	select {
	case <-c.cut:
		return true
	default:
		return false
	}
}

func (c *memoryConn) Write(p []byte) (int, error) {
	if c.isCut() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *memoryConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.isCut() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.of.mu.Lock()
		defer l.of.mu.Unlock()
		delete(l.of.listeners, l.address)
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

// testContract is the document that tests put in force.
const testContract = `workspaces:
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

// pool is the whole system on a network in memory.
type pool struct {
	t         *testing.T
	ctx       context.Context
	net       *memory
	platform  *standin.Platform
	entries   map[string]*Entry
	agents    map[string]*Agent
	upstreams map[string]*standin.Upstream
	servers   map[string]*http.Server
	client    *http.Client
	once      bool // tasks may run once only
}

const platformAddress = "127.0.0.1:7000"

// newPool starts a platform, two entries e0 and e1, and agents m0 to mN-1 with
// their upstreams. It must run inside a synctest bubble.
func newPool(t *testing.T, agents int) *pool {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &pool{
		t: t, ctx: ctx, net: newMemory(), platform: standin.NewPlatform(1, nil), entries: map[string]*Entry{},
		agents: map[string]*Agent{}, upstreams: map[string]*standin.Upstream{}, servers: map[string]*http.Server{},
	}
	p.client = &http.Client{Transport: &http.Transport{DialContext: p.net.view("caller").Dial}}
	p.serve("platform", platformAddress, p.platform.Handler())
	for _, name := range []string{"e0", "e1"} {
		p.startEntry(name)
	}
	for i := range agents {
		p.startUpstream(fmt.Sprintf("m%d", i))
		p.startAgent(fmt.Sprintf("m%d", i))
	}
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Second) // slow answers of the platform end
		for _, a := range p.agents {
			_ = a.Wait()
		}
		for _, e := range p.entries {
			_ = e.Wait()
		}
		for _, s := range p.servers {
			_ = s.Close()
		}
		p.client.CloseIdleConnections()
	})
	return p
}

func (p *pool) serve(owner, address string, handler http.Handler) string {
	p.t.Helper()
	listener, err := p.net.listen(owner, address)
	if err != nil {
		p.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	p.servers[owner] = server
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

func (p *pool) startEntry(name string) {
	p.t.Helper()
	entry, err := NewEntry(p.ctx, EntrySettings{
		Name: name, Domain: "d", Platform: "http://" + platformAddress, Shards: 1, BodyMost: 1 << 20,
		Window: 1e9, Sample: 1, Drain: 20e9,
	}, p.net.view(name), zap.NewNop())
	if err != nil {
		p.t.Fatal(err)
	}
	p.entries[name] = entry
}

func (p *pool) startUpstream(name string) {
	u := standin.NewUpstream(name, 8, placement.Need{Processors: 8, Memory: 1000})
	p.upstreams[name] = u
	p.serve("u-"+name, "127.0.1.1:"+name[1:], u.Handler())
}

func (p *pool) startAgent(name string) {
	p.t.Helper()
	agent, err := NewAgent(p.ctx, AgentSettings{
		Name: name, Domain: "d", Rack: "r-" + name, Upstream: "http://127.0.1.1:" + name[1:],
		Platform: "http://" + platformAddress, Drain: 20e9,
		Capacity: link.Capacity{Slots: 8, Connections: 64, Processors: 8, Memory: 1000},
	}, p.net.view(name), zap.NewNop())
	if err != nil {
		p.t.Fatal(err)
	}
	p.agents[name] = agent
}

func (p *pool) operator(entry string) *operator.Client {
	_, operators, _ := p.entries[entry].Addresses()
	return operator.NewClient("http://"+operators, p.client)
}

// witnesses is what all upstreams saw.
func (p *pool) witnesses() []standin.Witness {
	var seen []standin.Witness
	for _, u := range p.upstreams {
		seen = append(seen, u.Witness())
	}
	return seen
}
