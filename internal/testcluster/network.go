// Package testcluster is what tests of the whole system share: a network in memory, on
// which real processes run on the paused clock, and a pool of them with stand-ins.
package testcluster

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/apricotwind/apricotwind/internal/process"
)

// Network is a network in memory, so that tests run on the paused clock. Each
// process has a view of it and can be cut off from others.
type Network struct {
	mu        sync.Mutex
	ports     int
	listeners map[string]*memoryListener
	conns     []*memoryConn
	cuts      map[[2]string]bool
}

type memoryListener struct {
	owner   string
	address string
	of      *Network
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

// NewNetwork makes a network without a process.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*memoryListener{}, cuts: map[[2]string]bool{}}
}

// View is the network as the process named sees it.
func (m *Network) View(owner string) process.Network {
	return process.Network{
		Listen: func(address string) (net.Listener, error) { return m.Listen(owner, address) },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return m.Dial(ctx, owner, address)
		},
	}
}

// Listen opens a listener of the process named; an empty address gets a free one.
func (m *Network) Listen(owner, address string) (net.Listener, error) {
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

// Dial opens a connection from the process named.
func (m *Network) Dial(ctx context.Context, from, address string) (net.Conn, error) {
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

// SetPartition parts two processes: what is open goes silent, what is new finds no answer.
func (m *Network) SetPartition(a, b string, cut bool) {
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
