package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does to what passes it.
type mode int32

const (
	pass     mode = iota
	slow          // every piece waits slowBy
	deaf          // what comes back from the server is lost
	mute          // what goes to the server is lost
	silent        // nothing passes either way
	resetAll      // connections are reset, new ones too
	modes
)

var modeNames = [modes]string{"pass", "slow", "deaf", "mute", "silent", "reset"}

const (
	// slowBy is how long a piece waits.
	slowBy = 150 * time.Millisecond
	// dialBound is how long the server behind a proxy may take to accept.
	dialBound = 300 * time.Millisecond
)

// proxy forwards connections on loopback to one address.
type proxy struct {
	listener net.Listener
	to       string
	mode     atomic.Int32
	mu       sync.Mutex
	open     map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, open: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mode.Store(int32(m))
	if m != resetAll {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		reset(conn)
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may be closed already
	}
	_ = conn.Close()
}

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	if mode(p.mode.Load()) == resetAll {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.to, dialBound)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.open[client], p.open[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, mute) })
	both.Go(func() { p.copy(client, server, deaf) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, client)
	delete(p.open, server)
	p.mu.Unlock()
}

// copy passes pieces on; those that come while the mode is lost or silent are lost, and
// the connection with them, as behind a partition.
func (p *proxy) copy(to, from net.Conn, lost mode) {
	defer func() {
		_, _ = to.Close(), from.Close() // each side ends with the other
	}()
	buffer := make([]byte, 32<<10)
	cut := false
	for {
		n, err := from.Read(buffer)
		switch m := mode(p.mode.Load()); {
		case m == lost || m == silent:
			cut = true
		case m == slow:
			time.Sleep(slowBy)
		}
		if n > 0 && !cut {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF || cut {
				reset(to)
			}
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close() // nothing can be done about a failure
	p.set(resetAll)
}
