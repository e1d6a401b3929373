package process_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/apricotwind/apricotwind/internal/standin"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

func TestBadRequestsGetAClearAnswerAndAreNotRun(t *testing.T) {
	cases := []struct {
		name    string
		headers []string
		body    io.Reader
		status  int
		message string
	}{
		{"unknown class", []string{"Apricotwind-Class", "nope"}, nil, 404, `class \"nope\" has no target`},
		{"unknown workspace", []string{"Apricotwind-Workspace", "nope"}, nil, 403, `workspace \"nope\" is not in the contract`},
		{"batch class", []string{"Apricotwind-Class", "rebrand"}, nil, 400, "takes jobs, not requests"},
		{"body over the limit", nil, bytes.NewReader(make([]byte, 2<<20)), 413, "over the limit of 1048576 bytes"},
		{"timeout of nonsense", []string{"Apricotwind-Timeout", "soon"}, nil, 400, "must be milliseconds"},
		{"idempotence of nonsense", []string{"Apricotwind-Idempotent", "perhaps"}, nil, 400, "must be true or false"},
		{"key too long", []string{"Idempotency-Key", strings.Repeat("k", 300)}, nil, 400, "key is too long"},
	}
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(t, 1)
		if status, outcome, _ := p.do(http.MethodGet, "e0", nil); status != 503 || outcome != "refused" {
			t.Errorf("before any configuration was applied: %d %q", status, outcome)
		}
		p.ActivateContract()
		for _, c := range cases {
			headers := append([]string{standin.HeaderRequest, c.name}, c.headers...)
			status, outcome, text := p.do(http.MethodPost, "e0", c.body, headers...)
			if status != c.status || outcome != "refused" || !strings.Contains(text, c.message) {
				t.Errorf("%s: %d %q %s", c.name, status, outcome, text)
			}
		}
		if runs := p.Upstreams["m0"].Observations().Requests; len(runs) > 0 {
			t.Errorf("refused requests were run: %v", runs)
		}
	})
}

// raw sends bytes to the caller address of e0, calls after and returns the whole answer.
func (c *cluster) raw(request string, after func(net.Conn)) string {
	c.t.Helper()
	callers, _, _ := c.Entries["e0"].Addresses()
	conn, err := c.Net.Dial(c.Ctx, "caller", callers)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, request); err != nil {
		c.t.Fatal(err)
	}
	after(conn)
	var answer bytes.Buffer
	_, _ = bufio.NewReader(conn).WriteTo(&answer)
	return answer.String()
}

const requestHead = "POST /deck HTTP/1.1\r\nHost: x\r\nApricotwind-Class: preview\r\nApricotwind-Workspace: kilele\r\nStandin-Request: raw\r\nConnection: close\r\n"

func TestHeaderOverTheLimitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(t, 1)
		p.ActivateContract()
		callers, _, _ := p.Entries["e0"].Addresses()
		conn, err := p.Net.Dial(p.Ctx, "caller", callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		go func() { _, _ = io.WriteString(conn, requestHead+"X-Long: "+strings.Repeat("x", 100_000)+"\r\n\r\n") }()
		line, _ := bufio.NewReader(conn).ReadString('\n')
		if !strings.Contains(line, "431") {
			t.Errorf("got %q", line)
		}
	})
}

func TestBodyShorterThanItsLengthIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(t, 1)
		p.ActivateContract()
		_ = p.raw(requestHead+"Content-Length: 1000\r\n\r\nshort", func(conn net.Conn) { _ = conn.Close() })
		time.Sleep(time.Second)
		if runs := p.Upstreams["m0"].Observations().Requests; len(runs) > 0 {
			t.Errorf("a request with an incomplete body was run: %v", runs)
		}
	})
}

// serveInstead replaces the request handler of m0's upstream. The handler of the task
// interface stays.
func (c *cluster) serveInstead(handler http.HandlerFunc) {
	tasks := c.Upstreams["m0"].Handler()
	_ = c.Servers["u-m0"].Close()
	c.Serve("u-m0", "127.0.1.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/task/") {
			tasks.ServeHTTP(w, r)
			return
		}
		handler(w, r)
	}))
}

func TestAnswersOfTheUpstream(t *testing.T) {
	cases := []struct {
		name    string
		answer  http.HandlerFunc
		method  string
		status  int
		outcome string
	}{
		{"cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "only this")
		}, http.MethodGet, 0, "unexpected EOF"},
		{"connection broken before the answer, once only", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, http.MethodPost, 502, "unknown"},
		{"never", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, http.MethodPost, 504, "unknown"},
		{"its own failure", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, http.MethodPost, 500, ""},
		{"claims an outcome that is not its to say", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Apricotwind-Outcome", "refused")
			w.WriteHeader(503)
		}, http.MethodPost, 503, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCluster(t, 1)
				p.ActivateContract()
				var runs atomic.Int64
				p.serveInstead(func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					c.answer(w, r)
				})
				status, outcome, _ := p.do(c.method, "e0", strings.NewReader(""), "Apricotwind-Timeout", "5000")
				if status != c.status || !strings.Contains(outcome, c.outcome) || (outcome == "") != (c.outcome == "") {
					t.Errorf("got %d %q, want %d %q", status, outcome, c.status, c.outcome)
				}
				if runs.Load() != 1 {
					t.Errorf("the request was run %d times", runs.Load())
				}
			})
		})
	}
}

func TestBodiesStreamBothWaysWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(t, 2)
		p.ActivateContract()
		for _, size := range []int{1, 1000, 100_000, 1 << 20} {
			want := strings.Repeat("x", size)
			status, _, got := p.do(http.MethodPost, "e1", strings.NewReader(want), standin.HeaderEcho, "true")
			if status != http.StatusOK || got != want {
				t.Errorf("%d bytes sent: status %d, %d bytes returned", size, status, len(got))
			}
		}
	})
}

func TestDrainInterruptsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(t, 2)
		p.ActivateContract()
		answers := make(chan string, 40)
		for n := range 40 {
			go func() {
				status, outcome, _ := p.do(http.MethodPost, []string{"e0", "e1"}[n%2], nil, standin.HeaderWork, "3000")
				answers <- fmt.Sprintf("%d%s", status, outcome)
			}()
		}
		time.Sleep(time.Second)
		if err := p.Agents["m0"].Drain(); err != nil {
			t.Error(err)
		}
		if err := p.Entries["e1"].Drain(); err != nil {
			t.Error(err)
		}
		for range 40 {
			if got := <-answers; got != "200" {
				t.Errorf("a request in flight got %s", got)
			}
		}
		time.Sleep(3 * time.Second)
		before := p.Upstreams["m0"].Observations().Requests
		for n := range 20 {
			p.do(http.MethodGet, "e0", nil, standin.HeaderRequest, fmt.Sprint(n))
		}
		if after := p.Upstreams["m0"].Observations().Requests; len(after) != len(before) {
			t.Errorf("a drained instance received new requests: %v", after)
		}
	})
}

func TestKeyedRequestRunsAtMostOnceThroughBothEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(t, 2)
		p.ActivateContract()
		key := []string{"Idempotency-Key", "order-7", standin.HeaderRequest, "order-7", standin.HeaderWork, "500"}
		got := make(chan int, 8)
		for n := range 8 {
			go func() {
				status, _, _ := p.do(http.MethodPost, []string{"e0", "e1"}[n%2], nil, key...)
				got <- status
			}()
		}
		counts := map[int]int{}
		for range 8 {
			counts[<-got]++
		}
		if counts[200] != 1 || counts[409] != 7 {
			t.Errorf("answers by status: %v", counts)
		}
		p.Platform.Set(standin.Faults{Outage: true})
		if status, outcome, _ := p.do(http.MethodPost, "e0", nil, "Idempotency-Key", "order-8", standin.HeaderRequest, "order-8"); status != 503 || outcome != "refused" {
			t.Errorf("while the platform is unavailable: %d %q", status, outcome)
		}
		runs := 0
		for _, seen := range p.Observations() {
			runs += seen.Requests["order-7"]
			runs += 100 * seen.Requests["order-8"]
		}
		if runs != 1 {
			t.Errorf("runs: %d", runs)
		}
	})
}

func TestRequestsOfALostInstance(t *testing.T) {
	cases := []struct {
		name, method string
		want         string
	}{
		{"idempotent: tried elsewhere", http.MethodGet, "200"},
		{"once only: unknown", http.MethodPost, "502unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCluster(t, 2)
				p.ActivateContract()
				got := make(chan string, 8)
				for n := range 8 {
					go func() {
						status, outcome, _ := p.do(c.method, "e0", nil, standin.HeaderWork, "2000", standin.HeaderRequest, fmt.Sprint(n))
						got <- fmt.Sprintf("%d%s", status, outcome)
					}()
				}
				time.Sleep(time.Second)
				lost := len(p.Upstreams["m0"].Observations().Requests)
				p.Agents["m0"].Kill()
				_ = p.Servers["u-m0"].Close()
				counts := map[string]int{}
				for range 8 {
					counts[<-got]++
				}
				want := map[string]int{"200": 8 - lost}
				want[c.want] += lost
				if lost == 0 || fmt.Sprint(counts) != fmt.Sprint(want) {
					t.Errorf("%d requests were on the lost instance; got %v, want %v", lost, counts, want)
				}
			})
		})
	}
}

func TestNoPlatformAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(t, 1)
		p.Platform.Set(standin.Faults{Outage: true})
		ctx, cancel := context.WithTimeout(p.Ctx, 10*time.Second)
		defer cancel()
		if _, err := p.Operator("e0").Document(ctx); err != nil {
			t.Error(err)
		}
		if status, outcome, _ := p.do(http.MethodGet, "e0", nil); status != 503 || outcome != "refused" {
			t.Errorf("%d %q", status, outcome)
		}
		p.Platform.Set(standin.Faults{})
		p.ActivateContract()
		if status, _, _ := p.do(http.MethodGet, "e0", nil); status != 200 {
			t.Errorf("after the platform is available again: %d", status)
		}
	})
}

// An entry that starts while the platform is unavailable is found by agents once its row is written.
// That must not take longer than the tries of everything else that the entry needs.
func TestEntriesThatStartInAnOutageServeSoonAfterIt(t *testing.T) {
	const (
		// ends is when the outage ends: between two tries, after a whole period of the rows.
		ends = 4500 * time.Millisecond
		// bound is a second until the row is written, one until the agent or the entry that it has
		// found already reads the row, and one until a heartbeat brings the agent the address.
		bound = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		p := &cluster{t: t, Cluster: testcluster.New(t, 1, func(c *testcluster.Cluster) {
			c.Platform.Set(standin.Faults{Outage: true})
		})}
		time.Sleep(ends)
		p.Platform.Set(standin.Faults{})
		if _, err := p.Operator("e0").Propose(p.Ctx, operator.Proposal{Text: testcluster.Contract, By: "test"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(bound)
		for _, entry := range []string{"e0", "e1"} {
			if status, _, text := p.do(http.MethodGet, entry, nil); status != http.StatusOK {
				t.Errorf("%s, %v after the outage: %d %s", entry, bound, status, text)
			}
		}
	})
}
