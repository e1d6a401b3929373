package budget

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/metrics"
	"go.uber.org/zap"
)

// pipes is a listener on an in-memory network, for the fake clock.
type pipes struct {
	conns chan net.Conn
	ended chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.ended); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// testServer serves a handler that reads whole bodies, on an in-memory network.
type testServer struct {
	t      *testing.T
	pipes  *pipes
	budget *Budget
}

// play runs a test against a server with the given memory.
func play(t *testing.T, memory int64, test func(s *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{t: t, pipes: &pipes{conns: make(chan net.Conn), ended: make(chan struct{})}}
		s.budget = New(Settings{Memory: memory}, metrics.New(), zap.NewNop())
		s.budget.SetLimits(Limits{HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
		server := s.budget.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			text, err := io.ReadAll(r.Body)
			if Exceeded(err) {
				Refuse(w)
				return
			}
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			fmt.Fprint(w, len(text))
		}), 0)
		go func() { _ = server.Serve(s.budget.Listener(s.pipes, Clients)) }()
		test(s)
		_ = server.Close()
		time.Sleep(time.Minute) // every wait has ended
	})
}

// dial returns the client's end of a connection.
func (s *testServer) dial() net.Conn {
	client, server := net.Pipe()
	s.pipes.conns <- server
	return client
}

// send sends text on a new connection, and returns it.
func (s *testServer) send(text string) net.Conn {
	conn := s.dial()
	go func() { _, _ = io.WriteString(conn, text) }() // the server may close
	synctest.Wait()
	return conn
}

// status returns the status of the answer on a connection; 0 if it closes without one.
func (s *testServer) status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // the status is known
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		s.t.Error("503 without Retry-After")
	}
	return response.StatusCode
}

func post(length, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("a", sent))
}

const testMemory = 96 << 20

func TestSingleRequests(t *testing.T) {
	cases := []struct {
		name, text string
		status     int
	}{
		{"ordinary", post(300, 300), 200},
		{"whole legal body", post(262144, 262144), 200},
		{"chunked", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("a", 4096)+"\r\n", 64) + "0\r\n\r\n", 200},
		{"legal head of many lines", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4085) + "\r\n", 200},
		{"legal head of one line", "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 16300) + "\r\n\r\n", 200},
		{"head over the limit", "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 30000) + "\r\n\r\n", 431},
		{"head without end", "GET / HTTP/1.1\r\nHost: h\r\n", 0},
		{"body without end", post(262144, 262000), 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, testMemory, func(s *testServer) {
				conn := s.send(c.text)
				if got := s.status(conn); got != c.status {
					t.Errorf("status %d, want %d", got, c.status)
				}
				_ = conn.Close()
				time.Sleep(time.Minute)
				for name, part := range map[string]*share{"heads": s.budget.heads, "bodies": s.budget.bodies} {
					if used := part.inUse(); used != 0 {
						t.Errorf("%d bytes of %s are held after the end", used, name)
					}
				}
			})
		})
	}
}

func TestOrdinaryRequestBesideACrowd(t *testing.T) {
	manyLines := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4000)
	cases := []struct{ name, text string }{
		{"silent", ""},
		{"heads of many lines", manyLines},
		{"large bodies", post(262144, 262000)},
		{"small bodies", post(20000, 19000)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, testMemory, func(s *testServer) {
				var crowd []net.Conn
				for range s.budget.connectionCap() + 50 {
					conn := s.dial()
					crowd = append(crowd, conn)
					go func() {
						_, _ = io.WriteString(conn, c.text) // the server may close
						_, _ = io.Copy(io.Discard, conn)    // an answer, or the end
					}()
				}
				synctest.Wait()
				for name, part := range map[string]*share{"heads": s.budget.heads, "bodies": s.budget.bodies} {
					if used := part.inUse(); used > part.capacity {
						t.Errorf("%s hold %d of %d bytes", name, used, part.capacity)
					}
				}
				if got := s.status(s.send(post(300, 300))); got != http.StatusOK {
					t.Errorf("an ordinary request gets %d", got)
				}
				for _, conn := range crowd {
					_ = conn.Close()
				}
			})
		})
	}
}

func TestTheSlowestBodyGivesWay(t *testing.T) {
	play(t, testMemory, func(s *testServer) {
		var crowd []net.Conn
		for range 30 {
			crowd = append(crowd, s.send(post(262144, 262000)))
		}
		time.Sleep(2 * time.Second) // so that none of them is new
		if got := s.status(s.send(post(262144, 262144))); got != http.StatusOK {
			t.Errorf("a whole body gets %d", got)
		}
		for _, conn := range crowd {
			_ = conn.Close()
		}
	})
}

func TestAnIdleConnectionStaysForTheLimit(t *testing.T) {
	cases := []struct {
		idle time.Duration
		open bool
	}{{15 * time.Second, true}, {17 * time.Second, false}}
	for _, c := range cases {
		play(t, testMemory, func(s *testServer) {
			conn := s.send(post(300, 300))
			if got := s.status(conn); got != http.StatusOK {
				t.Fatal(got)
			}
			time.Sleep(c.idle)
			go func() { _, _ = io.WriteString(conn, post(300, 300)) }() // it fails if the connection is closed
			if got := s.status(conn); (got == http.StatusOK) != c.open {
				t.Errorf("after %v: status %d", c.idle, got)
			}
			_ = conn.Close()
		})
	}
}

func TestDescriptorsBoundConnections(t *testing.T) {
	for _, descriptors := range []int{250, 400, 1024, 4096, 100_000} {
		b := New(Settings{Memory: 1 << 40, Descriptors: descriptors}, metrics.New(), zap.NewNop())
		if got := b.connectionCap() + 2*b.sideCap() + b.linkCap(); descriptors >= 400 && got > (descriptors-fileDescriptors)/2 {
			t.Errorf("%d connections of %d descriptors", got, descriptors)
		}
	}
}

// lateDeadlines is a connection on which a deadline in the past takes effect a moment after the body has
// ended.
type lateDeadlines struct {
	net.Conn
	evicting, ended chan struct{}
	late            atomic.Bool // the last deadline is in the past
}

func (c *lateDeadlines) SetReadDeadline(at time.Time) error {
	past := !at.IsZero() && time.Until(at) < 0
	if past {
		close(c.evicting)
		select {
		case <-c.ended:
		case <-time.After(50 * time.Millisecond): // the body waits for the eviction
		}
	}
	c.late.Store(past)
	return nil
}

// readerFunc is a body.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// A body that ends as it is chosen to give way leaves no deadline on its connection: the request would be
// cancelled although all of it has arrived.
func TestABodyThatEndsIsNotEvicted(t *testing.T) {
	b := New(Settings{}, metrics.New(), zap.NewNop())
	inner := &lateDeadlines{evicting: make(chan struct{}), ended: make(chan struct{})}
	conn := &Conn{Conn: inner, budget: b, listener: &listener{}}
	conn.phase.Store(int32(inRequest))
	reading := make(chan struct{})
	read := &body{conn: conn, budget: b, began: time.Now().Add(-time.Minute), ReadCloser: io.NopCloser(readerFunc(func([]byte) (int, error) {
		close(reading)
		<-inner.evicting
		return 0, io.EOF
	}))}
	b.holders.add(read)
	go func() {
		_, _ = read.Read(nil) // ends
		close(inner.ended)
	}()
	<-reading
	b.holders.evictSlowest()
	<-inner.ended
	if inner.late.Load() {
		t.Error("the connection has a deadline in the past")
	}
}

// A request that was passed on may be answered before its body has come, and the rest is read later.
func TestAReadAfterTheHandlerTakesNothing(t *testing.T) {
	b := New(Settings{}, metrics.New(), zap.NewNop())
	inner := &lateDeadlines{evicting: make(chan struct{}), ended: make(chan struct{})}
	conn := &Conn{Conn: inner, budget: b, listener: &listener{}}
	conn.phase.Store(int32(inRequest))
	read := &body{conn: conn, budget: b, began: time.Now(), ReadCloser: io.NopCloser(readerFunc(func(p []byte) (int, error) { return len(p), nil }))}
	for range 2 {
		if _, err := read.Read(make([]byte, 64<<10)); err != nil {
			t.Fatal(err)
		}
	}
	if b.bodies.inUse() == 0 {
		t.Error("nothing is held before the end")
	}
	read.finish()
	conn.begin() // the next request
	if _, err := read.Read(make([]byte, 64<<10)); err == nil {
		t.Error("read after the end")
	}
	if held := b.bodies.inUse(); held != 0 || len(b.holders.bodies) != 0 || conn.readsBody() {
		t.Errorf("%d bytes and %d bodies are held, the body is awaited: %t", held, len(b.holders.bodies), conn.readsBody())
	}
}
