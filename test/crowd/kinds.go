package main

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

// Sizes of what the clients send, in bytes. The limits of a head and of a body are those of the
// configuration that the crowd's stand-in store holds.
const (
	maxHeadBytes = 16384
	maxBodyBytes = 262144
	bodyBytes    = 262000
	sentBytes    = 261900 // of a body that stops just short of its end
	pieceBytes   = 4096
	endlessBytes = 1 << 20
	shortLines   = 4000
	oddLines     = 2500
	pipelined    = 3000 // requests on one connection without reading
	linkCalls    = 20000
)

// writeTimeout bounds the sending of one client. The process may stop reading from it.
const writeTimeout = 5 * time.Second

// kind is one kind of clients. All stay open after they have sent.
type kind struct {
	name string
	// text returns what client i sends in one piece after the other to a target.
	text func(t target, i int) [][]byte
}

// target is an address of a process and an ordinary request to it.
type target struct {
	setting, address   string
	method, path, host string
	body               func(i int) []byte // whole and legal body of client i; nil: the address takes none
	links              bool               // it takes links, and no requests
	status             int                // of an ordinary answer, if it is not 200
}

// start returns the request line and the host of a request.
func (t target) start(i int) string {
	path := strings.ReplaceAll(t.path, "{}", fmt.Sprintf("%016x", i+1))
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", t.method, path, t.host)
}

// request returns a request with a body of the given length, of which sent bytes follow the head.
func (t target) request(i, length int, sent []byte) []byte {
	return append([]byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.start(i), length)), sent...)
}

func filler(n int) []byte { return bytes.Repeat([]byte("a"), n) }

// legalBody returns a body of bodyBytes that starts as an ordinary one does.
func legalBody() []byte {
	const start, end = `{"spec":"`, `","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":1000}]}`
	return []byte(start + string(filler(bodyBytes-len(start)-len(end))) + end)
}

// manyStepsBody returns a body of bodyBytes with as many empty steps as it can hold.
func manyStepsBody() []byte {
	const start, end = `{"spec":"a","steps":[{}`, `]}`
	n := (bodyBytes - len(start) - len(end)) / 3
	return []byte(start + strings.Repeat(",{}", n) + end)
}

// requestKinds are the kinds against addresses that take requests.
var requestKinds = []kind{
	{"lines", func(t target, i int) [][]byte {
		return [][]byte{[]byte(t.start(i) + strings.Repeat("a:\r\n", shortLines))}
	}},
	{"odd-lines", func(t target, i int) [][]byte {
		var lines strings.Builder
		for n := range oddLines {
			fmt.Fprintf(&lines, "%x:\r\n", n)
		}
		return [][]byte{[]byte(t.start(i) + lines.String() + "Content-Length: 10\r\n\r\n")}
	}},
	{"head-endless", func(t target, i int) [][]byte {
		return [][]byte{append([]byte(t.start(i)+"A: "), filler(endlessBytes)...)}
	}},
	{"head-over", func(t target, i int) [][]byte {
		return [][]byte{[]byte(t.start(i) + strings.Repeat("Aa: "+string(filler(1000))+"\r\n", 10*maxHeadBytes/1000) + "\r\n")}
	}},
	{"empty-lines", func(target, int) [][]byte {
		return [][]byte{bytes.Repeat([]byte("\r\n"), endlessBytes/2)}
	}},
	{"body-short", func(t target, i int) [][]byte {
		return [][]byte{t.request(i, bodyBytes, legalBody()[:sentBytes])}
	}},
	{"body-pieces", func(t target, i int) [][]byte {
		pieces := [][]byte{t.request(i, bodyBytes, nil)}
		body := legalBody()[:sentBytes]
		for ; len(body) > pieceBytes; body = body[pieceBytes:] {
			pieces = append(pieces, body[:pieceBytes])
		}
		return append(pieces, body)
	}},
	{"body-chunked", func(t target, i int) [][]byte {
		pieces := [][]byte{[]byte(t.start(i) + "Transfer-Encoding: chunked\r\n\r\n")}
		body := legalBody()[:sentBytes]
		for ; len(body) > pieceBytes; body = body[pieceBytes:] {
			pieces = append(pieces, []byte(fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, body[:pieceBytes])))
		}
		return pieces
	}},
	{"body-whole", func(t target, i int) [][]byte { return [][]byte{t.request(i, bodyBytes, legalBody())} }},
	{"body-steps", func(t target, i int) [][]byte {
		body := manyStepsBody()
		return [][]byte{t.request(i, len(body), body)}
	}},
	{"silent", func(target, int) [][]byte { return nil }},
	{"unread", func(t target, i int) [][]byte {
		var body []byte
		if t.body != nil {
			body = t.body(i)
		}
		return [][]byte{bytes.Repeat(t.request(i, len(body), body), pipelined)}
	}},
}

// linkKinds are the kinds against addresses that take links.
var linkKinds = []kind{
	{"link-endless", func(target, int) [][]byte {
		return [][]byte{append([]byte(`{"jsonrpc":"2.0","method":"a","params":"`), filler(endlessBytes)...)}
	}},
	{"link-unread", func(target, int) [][]byte {
		return [][]byte{bytes.Repeat([]byte(`{"jsonrpc":"2.0","id":1,"method":"a","params":{}}`+"\n"), linkCalls)}
	}},
	{"link-silent", func(target, int) [][]byte { return nil }},
}

// send connects client i to a target and sends what its kind does. It returns the open connection, or
// nil if the process refuses it.
func (k kind) send(t target, i int) net.Conn {
	conn, err := net.DialTimeout("tcp", t.address, writeTimeout)
	if err != nil {
		return nil
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(pieceBytes) // a client that reads nothing holds little itself
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, piece := range k.text(t, i) {
		if _, err := conn.Write(piece); err != nil {
			break // the process has closed the connection or reads no more
		}
	}
	return conn
}
