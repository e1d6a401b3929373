package budget

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/metrics"
	"go.uber.org/zap"
)

// stopBound is what the tests give a server to stop.
const stopBound = 2500 * time.Millisecond

// stop tells a server to stop and returns the channel of the time that it took.
func (s *testServer) stop(server *Server) <-chan time.Duration {
	took := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(s.t.Context(), stopBound)
		defer cancel()
		_ = server.Shutdown(ctx) // the time shows whether all have ended
		took <- time.Since(began)
	}()
	synctest.Wait()
	return took
}

// playStop runs a test against a server that answers each request after some time.
func playStop(t *testing.T, handling time.Duration, test func(s *testServer, server *Server)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{t: t, pipes: &pipes{conns: make(chan net.Conn), ended: make(chan struct{})}}
		s.budget = New(Settings{}, metrics.New(), zap.NewNop())
		server := s.budget.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(handling)
			_, _ = io.Copy(w, r.Body) // the answer shows it
		}), 0)
		go func() { _ = server.Serve(s.budget.Listener(s.pipes, Clients)) }()
		test(s, server)
		_ = server.Close()
		time.Sleep(time.Minute) // every wait has ended
	})
}

// expectAnswer expects an answer. The last one says that it closes the connection.
func (s *testServer) expectAnswer(conn net.Conn, last bool) {
	s.t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case err != nil:
		s.t.Errorf("no answer: %v", err)
	case response.StatusCode != http.StatusOK || response.Close != last:
		s.t.Errorf("status %d, closes: %v", response.StatusCode, response.Close)
	}
}

// A request that is read, in whole or in part, as a server stops gets its answer.
func TestAStoppingServerAnswersWhatItHasRead(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	cases := []struct {
		name   string
		before int           // bytes of the request that come before the stop
		after  time.Duration // when the others come
	}{
		{"the whole request before", len(request), 0},
		{"the last byte at once", len(request) - 1, 0},
		{"the last byte later", len(request) - 1, time.Second},
		{"the first byte before", 1, 500 * time.Millisecond},
		{"the whole request just after", 0, lastRequestTime / 2},
	}
	for _, c := range cases {
		for _, kept := range []bool{false, true} {
			name := c.name + ", on a new connection"
			if kept {
				name = c.name + ", on one that has had a request"
			}
			t.Run(name, func(t *testing.T) {
				playStop(t, 300*time.Millisecond, func(s *testServer, server *Server) {
					conn := s.dial()
					send := func(text string) {
						go func() { _, _ = io.WriteString(conn, text) }() // the server may close
						synctest.Wait()
					}
					if kept {
						send(request)
						if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.Close {
							t.Fatalf("before the stop: %+v, %v", response, err)
						}
						synctest.Wait() // the server waits for the next request
					}
					send(request[:c.before])
					took := s.stop(server)
					time.Sleep(c.after)
					send(request[c.before:])
					s.expectAnswer(conn, c.before < len(request)) // the others begin after the stop
					if took := <-took; took >= stopBound {
						t.Errorf("the stop took %v", took)
					}
				})
			})
		}
	}
}

// Connections on which no request comes do not hold up a stop.
func TestConnectionsWithoutRequestsEndSoonAtAStop(t *testing.T) {
	playStop(t, 0, func(s *testServer, server *Server) {
		s.dial()
		if conn := s.dial(); conn != nil {
			go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }() // the answer shows it
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		s.dial()
		if took := <-s.stop(server); took > 2*lastRequestTime {
			t.Errorf("the stop took %v", took)
		}
	})
}

// A client that sends a head byte by byte holds a stop up no longer than its bound.
func TestAStopEndsInTimeWithASlowClient(t *testing.T) {
	playStop(t, 0, func(s *testServer, server *Server) {
		s.send("GET / HTTP/1.1\r\nHo")
		if took := <-s.stop(server); took != stopBound {
			t.Errorf("the stop took %v", took)
		}
	})
}
