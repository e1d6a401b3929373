//go:build review

package main

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// silentListener is a listener that can fall silent as a machine without power does: connections that
// are open stay open, and no new one opens.
type silentListener struct {
	net.Listener
	silent atomic.Bool
	ended  chan struct{}
	filled []net.Conn // they fill the queue of new connections
}

// listenSmall listens with the shortest queue of new connections.
func listenSmall(address string) (*silentListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 16) }); err != nil {
		return nil, err
	}
	return &silentListener{Listener: listener, ended: make(chan struct{})}, listenErr
}

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	if l.silent.Load() {
		<-l.ended
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err == nil && l.silent.Load() {
		l.filled = append(l.filled, conn) // nobody reads it
		return l.Accept()
	}
	return conn, err
}

// Close implements net.Listener.
func (l *silentListener) Close() error {
	select {
	case <-l.ended:
	default:
		close(l.ended)
	}
	return l.Listener.Close()
}

// silence fills the queue of new connections, so that the kernel drops what comes after.
func (l *silentListener) silence() {
	l.silent.Store(true)
	for range 64 {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 30*time.Millisecond)
		if err != nil {
			return
		}
		go func() {
			<-l.ended
			_ = conn.Close() // nothing was sent on it
		}()
	}
}
