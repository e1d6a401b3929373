//go:build review

package main

import (
	"net"
	"sync"
)

// limited is a listener that has at most a number of connections open. Any other waits in the queue of
// the system until one of them is closed.
type limited struct {
	net.Listener
	places chan struct{} // as many as there may be open connections
}

func newLimited(l net.Listener, most int) *limited {
	return &limited{Listener: l, places: make(chan struct{}, most)}
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: conn, listener: l}, nil
}

// limitedConn is a connection that counts.
type limitedConn struct {
	net.Conn
	listener *limited
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.listener.places })
	return c.Conn.Close()
}
