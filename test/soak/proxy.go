package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does with the data that it relays.
type mode int32

const (
	passThrough   mode = iota
	delayChunks        // every chunk is delayed by chunkDelay
	dropResponses      // data from the server is dropped
	dropRequests       // data to the server is dropped
	dropAll            // data is dropped in both directions
	resetAll           // open and new connections are reset
	modeCount          // number of modes
)

// modeNames are the names of the modes in faults.log.
var modeNames = [modeCount]string{"pass", "slow", "deaf", "mute", "silent", "reset"}

const (
	// chunkDelay is the delay of each chunk in mode delayChunks.
	chunkDelay = 150 * time.Millisecond
	// dialTimeout bounds how long the server behind a proxy may take to accept a connection.
	dialTimeout = 300 * time.Millisecond
)

// proxy relays TCP connections on loopback to one address and injects network faults.
type proxy struct {
	listener    net.Listener
	target      string
	mode        atomic.Int32
	mu          sync.Mutex
	connections map[net.Conn]bool
}

// newProxy starts a proxy in front of the address target. close stops it.
func newProxy(target string) (*proxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, connections: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// address returns the address that clients of the proxy connect to.
func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode, also for open connections. It may be called concurrently.
func (p *proxy) set(m mode) {
	p.mode.Store(int32(m))
	if m != resetAll {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		reset(conn)
	}
}

// reset closes a connection so that its peer receives a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may be closed already
	}
	_ = conn.Close()
}

// accept accepts connections until the listener is closed.
func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// forward relays one connection in both directions until it ends.
func (p *proxy) forward(client net.Conn) {
	if mode(p.mode.Load()) == resetAll {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.connections[client], p.connections[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client, dropRequests) })
	wg.Go(func() { p.copy(client, server, dropResponses) })
	wg.Wait()
	p.mu.Lock()
	delete(p.connections, client)
	delete(p.connections, server)
	p.mu.Unlock()
}

// copy relays chunks in one direction. It drops every chunk that arrives while the mode is
// dropMode or dropAll. After the first dropped chunk it drops all later ones too, even in
// another mode, so that the connection is lost as it is behind a network partition.
func (p *proxy) copy(to, from net.Conn, dropMode mode) {
	defer func() {
		_, _ = to.Close(), from.Close() // the end of one direction ends the connection
	}()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		switch m := mode(p.mode.Load()); {
		case m == dropMode || m == dropAll:
			dropping = true
		case m == delayChunks:
			time.Sleep(chunkDelay)
		}
		if n > 0 && !dropping {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF || dropping {
				reset(to)
			}
			return
		}
	}
}

// close stops accepting connections and resets the open ones.
func (p *proxy) close() {
	_ = p.listener.Close() // an error cannot be handled
	p.set(resetAll)
}
