//go:build review

package main

import (
	"net"
	"sync"
)

// limited is a listener that has at most a number of connections open. It resets any other.
type limited struct {
	net.Listener
	most int

	mu      sync.Mutex
	open    int
	refused int
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		full := l.open >= l.most
		if full {
			l.refused++
		} else {
			l.open++
		}
		l.mu.Unlock()
		if !full {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// limitedConn is a connection that counts.
type limitedConn struct {
	net.Conn
	listener *limited
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open--
	})
	return c.Conn.Close()
}
