package process_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/internal/standin"
	"github.com/apricotwind/apricotwind/internal/testcluster"
)

// cluster is the system under test.
type cluster struct {
	*testcluster.Cluster
	t       *testing.T
	runOnce bool // tasks may run only once
}

func newCluster(t *testing.T, agents int) *cluster {
	t.Helper()
	return &cluster{Cluster: testcluster.New(t, agents), t: t}
}

func (c *cluster) submit(s job.Submission) string {
	c.t.Helper()
	s.Workspace, s.Class, s.Processors = "kilele", "rebrand", 2
	accepted, err := c.Operator("e1").Submit(c.Ctx, s)
	if err != nil {
		c.t.Fatal(err)
	}
	return accepted.ID
}

// status reads a job from any entry that answers.
func (c *cluster) status(id string) job.Status {
	c.t.Helper()
	var err error
	for name := range c.Entries {
		var status job.Status
		if status, err = c.Operator(name).Job(c.Ctx, id); err == nil {
			return status
		}
	}
	c.t.Fatal(err)
	return job.Status{}
}

// checkInvariants checks the invariants that the upstreams' observations must always
// satisfy.
func (c *cluster) checkInvariants() {
	c.t.Helper()
	seen := c.Observations()
	for _, check := range []standin.Check{
		standin.CheckCapacity(seen),
		standin.CheckOnePlace(seen),
		standin.CheckResumed(seen, func(string) bool { return c.runOnce }),
	} {
		if !check.Passed {
			c.t.Errorf("%s: %s", check.Text, check.Detail)
		}
	}
}

// attempts returns the highest attempt number and the sum of evictions of a job's tasks.
func attempts(status job.Status) (most, evictions int) {
	for _, task := range status.Tasks {
		most = max(most, task.Attempt)
		evictions += task.Evictions
	}
	return most, evictions
}

// do sends a request through the given entry and returns its status, outcome and body.
func (c *cluster) do(method, entry string, body io.Reader, headers ...string) (status int, outcome, text string) {
	c.t.Helper()
	callers, _, _ := c.Entries[entry].Addresses()
	r, err := http.NewRequestWithContext(c.Ctx, method, "http://"+callers+"/deck", body)
	if err != nil {
		c.t.Fatal(err)
	}
	r.Header.Set("Apricotwind-Class", "preview")
	r.Header.Set("Apricotwind-Workspace", "kilele")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := c.Client.Do(r)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), string(raw)
	}
	return response.StatusCode, response.Header.Get(problem.HeaderOutcome), string(raw)
}

func TestRequestsAndJobEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(t, 3)
		p.ActivateContract()
		for _, entry := range []string{"e0", "e1"} {
			status, outcome, text := p.do(http.MethodGet, entry, nil)
			if status != http.StatusOK || outcome != "" || !strings.Contains(text, "GET /deck") {
				t.Fatalf("%s: %d %q %q", entry, status, outcome, text)
			}
		}
		id := p.submit(job.Submission{Tasks: 20, Runtime: 2 * time.Second})
		time.Sleep(30 * time.Second)
		status := p.status(id)
		if most, _ := attempts(status); status.Counts["done"] != 20 || most != 1 {
			t.Fatalf("%v, %d attempts", status.Counts, most)
		}
		p.checkInvariants()
	})
}

// faults lists the faults injected while a job of 24 tasks of 10 s runs, each with a check
// of the job's final status.
var faults = []struct {
	name       string
	idempotent bool
	fault      func(p *cluster)
	check      func(t *testing.T, status job.Status)
}{
	{"agent cut off from the entries", true, func(p *cluster) {
		p.Net.SetPartition("m0", "e0", true)
		p.Net.SetPartition("m0", "e1", true)
	}, checkMoved},
	{"agent cut off and back, once only", false, func(p *cluster) {
		p.Net.SetPartition("m0", "e0", true)
		p.Net.SetPartition("m0", "e1", true)
		time.Sleep(20 * time.Second)
		p.Net.SetPartition("m0", "e0", false)
		p.Net.SetPartition("m0", "e1", false)
	}, checkNotMoved},
	{"agent killed and started again at once", false, func(p *cluster) {
		p.Agents["m0"].Kill()
		p.StartAgent("m0")
	}, checkNotMoved},
	{"agent killed for good", true, func(p *cluster) { p.Agents["m0"].Kill() }, checkMoved},
	{"worker's machine lost and replaced, once only", false, func(p *cluster) {
		p.Agents["m0"].Kill()
		_ = p.Servers["u-m0"].Close()
		p.Upstreams["m0"].Worker().Halt()
		time.Sleep(10 * time.Second)
		p.StartUpstream("m0")
		p.StartAgent("m0")
	}, func(t *testing.T, status job.Status) {
		if n := status.Counts["unknown"]; n != 4 || status.Counts["done"] != 20 {
			t.Errorf("4 of 24 tasks were on the lost machine: %v", status.Counts)
		}
	}},
	{"owner killed", false, func(p *cluster) {
		for name, e := range p.Entries {
			if e.OwnedShards() > 0 {
				e.Kill()
				delete(p.Entries, name)
				p.StartEntry(name)
				return
			}
		}
		p.t.Error("no entry owns the shard")
	}, checkNotMoved},
	{"owner drained", false, func(p *cluster) {
		for name, e := range p.Entries {
			if e.OwnedShards() > 0 {
				if err := e.Drain(); err != nil {
					p.t.Error(err)
				}
				p.StartEntry(name)
				return
			}
		}
	}, checkNotMoved},
	{"platform out for 30 s", false, func(p *cluster) {
		p.Platform.Set(standin.Faults{Outage: true})
		time.Sleep(30 * time.Second)
		p.Platform.Set(standin.Faults{})
	}, checkNotMoved},
	{"platform out for 30 s, and the owner killed within", false, func(p *cluster) {
		p.Platform.Set(standin.Faults{Outage: true})
		time.Sleep(15 * time.Second)
		for name, e := range p.Entries {
			if e.OwnedShards() > 0 {
				e.Kill()
				delete(p.Entries, name)
				break
			}
		}
		time.Sleep(15 * time.Second)
		p.Platform.Set(standin.Faults{})
		// If the other entry did not see the last renewal before the outage, it sees the row
		// change after it and then waits 8.2 s, the lease and its drift margin. Up to 3 s are
		// added: one for its rank and one for each of two polls of the row.
		time.Sleep(8200*time.Millisecond + 3*time.Second)
		for _, e := range p.Entries {
			if e.OwnedShards() != 1 {
				p.t.Error("the other entry does not own the shard 11.2 s after the end of the outage")
			}
		}
	}, checkNotMoved},
	{"platform slow, and loses answers after the write", false, func(p *cluster) {
		p.Platform.Set(standin.Faults{Delay: 300 * time.Millisecond, DropReply: 0.3})
	}, checkNotMoved},
	{"owner cut off from the platform but not from agents", false, func(p *cluster) {
		for name, e := range p.Entries {
			if e.OwnedShards() > 0 {
				p.Net.SetPartition(name, "platform", true)
				time.Sleep(40 * time.Second)
				p.Net.SetPartition(name, "platform", false)
				return
			}
		}
	}, checkNotMoved},
	{"agent drained", false, func(p *cluster) {
		if err := p.Agents["m0"].Drain(); err != nil {
			p.t.Error(err)
		}
		delete(p.Agents, "m0")
	}, func(t *testing.T, status job.Status) {
		checkMoved(t, status)
		if _, evictions := attempts(status); evictions != 4 {
			t.Errorf("4 tasks ran on the drained instance, %d evictions", evictions)
		}
	}},
}

// checkNotMoved checks that every task finished at its first attempt.
func checkNotMoved(t *testing.T, status job.Status) {
	t.Helper()
	if most, _ := attempts(status); status.Counts["done"] != 24 || most != 1 {
		t.Errorf("%v, up to %d attempts; want all done at the first attempt", status.Counts, most)
	}
}

// checkMoved checks that every task finished, some of them at their second attempt.
func checkMoved(t *testing.T, status job.Status) {
	t.Helper()
	if most, _ := attempts(status); status.Counts["done"] != 24 || most != 2 {
		t.Errorf("%v, up to %d attempts; want all done, some at the second attempt", status.Counts, most)
	}
}

func TestJobThroughFaults(t *testing.T) {
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCluster(t, 3)
				p.ActivateContract()
				id := p.submit(job.Submission{Tasks: 24, Runtime: 10 * time.Second, Idempotent: c.idempotent})
				time.Sleep(5 * time.Second)
				p.runOnce = !c.idempotent
				c.fault(p)
				time.Sleep(2 * time.Minute)
				c.check(t, p.status(id))
				p.checkInvariants()
			})
		})
	}
}

func TestDrainWhileTasksArePlacedLosesNone(t *testing.T) {
	for offset := time.Duration(0); offset < 600*time.Millisecond; offset += 20 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			p := newCluster(t, 2)
			p.ActivateContract()
			id := p.submit(job.Submission{Tasks: 8, Runtime: time.Second})
			time.Sleep(offset)
			if err := p.Agents["m0"].Drain(); err != nil {
				t.Error(err)
			}
			time.Sleep(30 * time.Second)
			if status := p.status(id); status.Counts["done"] != 8 {
				t.Errorf("drained %s after the submission: %v", offset, status.Counts)
			}
		})
	}
}
