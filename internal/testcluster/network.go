// Package testcluster runs whole systems for tests: real entries and agents on an in-memory network
// and the fake clock of synctest. Cluster has the stand-ins of package standin; JobCluster runs
// jobs with steps, with a stand-in Store and Workers, and a Checker of the scheduler's guarantees.
// The tests contain the scenarios.
package testcluster

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/process"
	"github.com/cockroachdb/errors"
)

// Network is an in-memory network, so that tests can use the fake clock of synctest. Each
// process has its own view of it and can be partitioned from others. It may be used
// concurrently.
type Network struct {
	mu         sync.Mutex
	ports      int
	listeners  map[string]*memoryListener
	conns      []*memoryConn
	partitions map[[2]string]bool
	sent       map[string]*traffic // by process
}

// traffic counts what one process has written to its connections.
type traffic struct {
	bytes, writes atomic.Int64
}

type memoryListener struct {
	processName string
	address     string
	network     *Network
	accept      chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

// memoryConn is one end of a connection. After a partition its writes are discarded and its
// reads return nothing, as on a half-open connection: the other end does not notice either when
// this end closes the connection.
type memoryConn struct {
	net.Conn
	from, to    string
	sent        *traffic
	partitioned chan struct{}
	once        sync.Once
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*memoryListener{}, partitions: map[[2]string]bool{}, sent: map[string]*traffic{}}
}

// View returns the network as the given process sees it.
func (n *Network) View(processName string) process.Network {
	return process.Network{
		Listen: func(address string) (net.Listener, error) { return n.Listen(processName, address) },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, processName, address)
		},
	}
}

// Listen opens a listener for the given process. An empty address selects a free one. It
// fails if the address is in use.
func (n *Network) Listen(processName, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		n.ports++
		address = fmt.Sprintf("127.0.0.1:%d", 10000+n.ports)
	}
	if _, taken := n.listeners[address]; taken {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &memoryListener{processName: processName, address: address, network: n, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a connection from the process named from to address. If the two processes are
// partitioned, it blocks until ctx is done.
func (n *Network) Dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	if !ok {
		n.mu.Unlock()
		return nil, fmt.Errorf("connection refused by %s", address)
	}
	partitioned := n.partitions[[2]string{from, l.processName}]
	near, far := net.Pipe()
	a := &memoryConn{Conn: near, from: from, to: l.processName, sent: n.trafficOf(from), partitioned: make(chan struct{})}
	b := &memoryConn{Conn: far, from: l.processName, to: from, sent: n.trafficOf(l.processName), partitioned: make(chan struct{})}
	n.conns = append(n.conns, a, b)
	n.mu.Unlock()
	if partitioned {
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

// trafficOf returns the counters of a process. The caller holds the lock.
func (n *Network) trafficOf(processName string) *traffic {
	if n.sent[processName] == nil {
		n.sent[processName] = &traffic{}
	}
	return n.sent[processName]
}

// Sent returns the bytes that a process has written to its connections so far, and in how many
// writes.
func (n *Network) Sent(processName string) (bytes, writes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.trafficOf(processName)
	return sent.bytes.Load(), sent.writes.Load()
}

// SetPartition starts or ends a partition between two processes. During a partition open
// connections deliver nothing and new ones are not answered. Connections that were open
// when it started stay silent after it ends.
func (n *Network) SetPartition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}], n.partitions[[2]string{b, a}] = partitioned, partitioned
	if !partitioned {
		return
	}
	for _, c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.once.Do(func() { close(c.partitioned) })
		}
	}
}

// Close closes all connections, as the end of all processes does.
func (n *Network) Close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	var failed error
	for _, c := range n.conns {
		failed = errors.CombineErrors(failed, c.Conn.Close())
	}
	return failed
}

func (c *memoryConn) isPartitioned() bool {
	select {
	case <-c.partitioned:
		return true
	default:
		return false
	}
}

func (c *memoryConn) Write(p []byte) (int, error) {
	c.sent.bytes.Add(int64(len(p)))
	c.sent.writes.Add(1)
	if c.isPartitioned() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *memoryConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.isPartitioned() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// Close closes this end. After a partition only the reads of this end return; the other end
// learns nothing.
func (c *memoryConn) Close() error {
	if c.isPartitioned() {
		return c.Conn.SetReadDeadline(time.Now())
	}
	return c.Conn.Close()
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
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }
