package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// acceptPeriod is how long an entry that is told to stop goes on to accept connections.
	acceptPeriod = 2500 * time.Millisecond
	// promptSend is the time from the opening of a connection in which a client sends its request.
	promptSend = 50 * time.Millisecond
	// drainEnd bounds a drain.
	drainEnd = 6 * time.Second
	drainAsk = "GET /q/ HTTP/1.1\r\nHost: " + host + "\r\n\r\n"
)

// asked is one whole request of a client of a draining entry.
type asked struct {
	dialed, sent, ended time.Duration // since the signal
	kept                bool          // the connection was opened before the signal
	err                 error         // nil: it has an answer
}

// drainClients records what the clients of a draining entry get.
type drainClients struct {
	address string
	began   time.Time

	mu    sync.Mutex
	asked []asked
}

// dial opens a connection to the entry.
func (c *drainClients) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", c.address, 2*time.Second)
}

// readAnswer reads a whole answer.
func readAnswer(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return err
}

// outcome names what a request got.
func outcome(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	}
	return err.Error()
}

// ask sends a request and waits for its answer. A request that cannot be sent is not recorded.
func (c *drainClients) ask(conn net.Conn, reader *bufio.Reader, a asked) {
	defer func() { _ = conn.Close() }() // the answer has come or never comes
	if _, err := conn.Write([]byte(drainAsk)); err != nil {
		return
	}
	a.sent = time.Since(c.began)
	_ = conn.SetReadDeadline(time.Now().Add(drainEnd)) // the read fails as well
	a.err = readAnswer(reader)
	a.ended = time.Since(c.began)
	c.mu.Lock()
	c.asked = append(c.asked, a)
	c.mu.Unlock()
}

// open opens connections one after the other from a time on, until the entry accepts none.
func (c *drainClients) open(from time.Duration) {
	time.Sleep(time.Until(c.began.Add(from)))
	for {
		conn, err := c.dial()
		if err != nil {
			return
		}
		a := asked{dialed: time.Since(c.began)}
		time.Sleep(rand.N(promptSend / 3))
		c.ask(conn, bufio.NewReader(conn), a)
	}
}

// keep opens a connection, sends one request on it, and another one at a time after the signal.
func (c *drainClients) keep(opened *sync.WaitGroup, signaled <-chan struct{}, at time.Duration) error {
	conn, err := c.dial()
	if err != nil {
		opened.Done()
		return err
	}
	reader := bufio.NewReader(conn)
	_, err = conn.Write([]byte(drainAsk))
	if err == nil {
		err = readAnswer(reader)
	}
	opened.Done()
	if err != nil {
		return err
	}
	<-signaled
	time.Sleep(time.Until(c.began.Add(at)))
	c.ask(conn, reader, asked{kept: true})
	return nil
}

// buildBinary builds the program.
func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "apricotwind")
	if text, err := exec.Command("go", "build", "-o", path, "github.com/apricotwind/apricotwind/cmd/apricotwind").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	return path
}

// An entry that is told to stop answers each request that reaches it by the end of its accept period,
// also if it stands still at that moment.
func TestADrainingEntryAnswersWhatReachesIt(t *testing.T) {
	binary := buildBinary(t)
	cases := []struct {
		name         string
		stand, until time.Duration // the entry stands still meanwhile
	}{
		{"runs", 0, 0},
		{"stands still", acceptPeriod - 100*time.Millisecond, acceptPeriod + 150*time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, err := startPlatformEntry(options{binary: binary, memory: 512, descriptors: 4096})
			if err != nil {
				t.Fatal(err)
			}
			defer p.close()
			clients := &drainClients{address: p.target("front").address}
			playDrain(t, clients, p.command.Process, c.stand, c.until)
			select {
			case <-p.ended:
			case <-time.After(time.Until(clients.began.Add(drainEnd))):
				t.Error("the entry has not ended")
			}
			clients.check(t, max(acceptPeriod, c.until))
		})
	}
}

// playDrain tells an entry to stop, with clients around the end of its accept period.
func playDrain(t *testing.T, clients *drainClients, process *os.Process, stand, until time.Duration) {
	t.Helper()
	const kept, opening = 400, 8
	var all, opened sync.WaitGroup
	signaled := make(chan struct{})
	for i := range kept {
		at := acceptPeriod - 150*time.Millisecond + time.Duration(i)*time.Millisecond
		opened.Add(1)
		all.Go(func() {
			if err := clients.keep(&opened, signaled, at); err != nil {
				t.Error(err)
			}
		})
	}
	opened.Wait()
	clients.began = time.Now()
	signal := func(s os.Signal) {
		if err := process.Signal(s); err != nil {
			t.Error(err)
		}
	}
	signal(syscall.SIGTERM)
	close(signaled)
	for range opening {
		all.Go(func() { clients.open(acceptPeriod - 300*time.Millisecond) })
	}
	if until > 0 {
		time.Sleep(time.Until(clients.began.Add(stand)))
		signal(syscall.SIGSTOP)
		time.Sleep(time.Until(clients.began.Add(until)))
		signal(syscall.SIGCONT)
	}
	all.Wait()
}

// check reports the requests without an answer that reached the entry by the end of its accept period:
// on a kept connection, or on one that was opened by then and on which the request was sent promptly.
func (c *drainClients) check(t *testing.T, end time.Duration) {
	t.Helper()
	counts := map[string]int{}
	for _, a := range c.asked {
		owed := a.kept && a.sent < end || !a.kept && a.dialed < end && a.sent < a.dialed+promptSend
		counts[fmt.Sprintf("kept %v, owed %v, %s", a.kept, owed, outcome(a.err))]++
		if a.err != nil && owed {
			counts["lost"]++
			if counts["lost"] <= 5 {
				t.Errorf("kept %v: opened at %v, sent at %v, ended at %v: %v", a.kept, a.dialed, a.sent, a.ended, a.err)
			}
		}
	}
	t.Logf("%v", counts)
}
