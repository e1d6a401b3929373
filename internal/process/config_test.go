package process_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/config"
	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/apricotwind/apricotwind/internal/standin"
	"github.com/apricotwind/apricotwind/internal/testcluster"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// contractWithLatency returns the contract of the test cluster with another latency for
// previews.
func contractWithLatency(t *testing.T, ms int) contract.Document {
	t.Helper()
	before, err := contract.Parse([]byte(testcluster.Contract))
	if err != nil {
		t.Fatal(err)
	}
	after, err := before.Revise("preview", map[string]string{"latency": fmt.Sprintf("%dms", ms)})
	if err != nil {
		t.Fatal(err)
	}
	return after
}

// configDeadline is the required propagation time: every node must have applied a new
// configuration within 9 s.
const configDeadline = 9 * time.Second

func TestConfigurationIsInForceWithinTheBound(t *testing.T) {
	cases := []struct {
		name  string
		fault func(p *cluster)
	}{
		{"calm", func(*cluster) {}},
		{"one entry cut off from the table", func(p *cluster) { p.Net.SetPartition("e1", "platform", true) }},
		{"an agent that reaches one entry only", func(p *cluster) { p.Net.SetPartition("m0", "e0", true) }},
		{"an agent cut off from the table", func(p *cluster) { p.Net.SetPartition("m0", "platform", true) }},
		{"slow table", func(p *cluster) { p.Platform.Set(standin.Faults{Delay: 700 * time.Millisecond}) }},
		{"table that answers with old rows", func(p *cluster) { p.Platform.Set(standin.Faults{Stale: 0.5}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCluster(t, 3)
				p.ActivateContract()
				c.fault(p)
				time.Sleep(time.Second)
				p.setLatency(100)
				time.Sleep(configDeadline)
				for name := range p.Entries {
					status, err := p.Operator(name).LocalStatus(p.Ctx)
					if err != nil || len(status.Laggards(2)) > 0 {
						t.Errorf("%s: %+v, %v", name, status, err)
					}
				}
			})
		})
	}
}

// setLatency proposes a revised latency until it is accepted.
func (c *cluster) setLatency(ms int) {
	c.t.Helper()
	var err error
	for range 20 {
		var current operator.Document
		if current, err = c.Operator("e0").Document(c.Ctx); err == nil {
			text := contractWithLatency(c.t, ms).Text()
			if _, err = c.Operator("e0").Propose(c.Ctx, operator.Proposal{Base: current.Version, Text: text, By: "test"}); err == nil {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal(err)
}

func TestNodeNeverServesByALowerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(t, 2)
		p.ActivateContract()
		p.setLatency(100)
		time.Sleep(configDeadline)
		p.Platform.Set(standin.Faults{Outage: true})
		p.Entries["e1"].Kill()
		p.StartEntry("e1")
		time.Sleep(10 * time.Second)
		status, err := p.Operator("e1").LocalStatus(p.Ctx)
		if err != nil || status.Version != 2 && status.Version != 0 {
			t.Errorf("after a restart while the platform is unavailable: %+v, %v", status, err)
		}
		if code, outcome, _ := p.do(http.MethodGet, "e1", nil); status.Version == 0 && (code != 503 || outcome != "refused") {
			t.Errorf("without a configuration the entry answered %d %q", code, outcome)
		}
		p.Platform.Set(standin.Faults{Stale: 1})
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			for name := range p.Entries {
				status, err := p.Operator(name).LocalStatus(p.Ctx)
				if err != nil || status.Version == 1 || name == "e0" && status.Version != 2 {
					t.Fatalf("%s applied a lower version: %+v, %v", name, status, err)
				}
			}
		}
	})
}

// TestStartingEntryIgnoresAnOutdatedRow restarts an entry that no agent can reach
// while the table answers with the last revision but one of each row. The entry must not
// apply the outdated configuration.
func TestStartingEntryIgnoresAnOutdatedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCluster(t, 1)
		p.ActivateContract()
		p.setLatency(100)
		time.Sleep(configDeadline)
		p.Entries["e1"].Kill()
		p.Net.SetPartition("m0", "e1", true)
		p.Platform.Set(standin.Faults{Stale: 1})
		p.StartEntry("e1")
		time.Sleep(10 * time.Second)
		status, err := p.Operator("e1").LocalStatus(p.Ctx)
		if err != nil || status.Version != 0 {
			t.Errorf("the entry applied version %d, %v; version 2 is current", status.Version, err)
		}
		p.Platform.Set(standin.Faults{})
		time.Sleep(configDeadline)
		if status, err := p.Operator("e1").LocalStatus(p.Ctx); err != nil || status.Version != 2 {
			t.Errorf("after the table returns current rows again: version %d, %v", status.Version, err)
		}
	})
}

// TestRacingOperators lets operators revise the configuration concurrently, with slow
// commits, stale reads and lost answers. Each accepted revision must be exactly one version
// of a single history, and each other one must fail with a conflict.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) })
	}
}

func raceOperators(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	network := testcluster.NewNetwork()
	platform := standin.NewPlatform(seed, nil)
	listener, err := network.Listen("platform", "127.0.0.1:7000")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: platform.Handler()}
	go func() { _ = server.Serve(listener) }()
	platform.Set(standin.Faults{Delay: time.Duration(random.IntN(30)) * time.Millisecond, DropReply: 0.3, Stale: 0.2})
	client := &http.Client{Transport: &http.Transport{DialContext: network.View("o").Dial}}
	rows := table.NewOverHTTP("http://127.0.0.1:7000", client)

	var mu sync.Mutex
	accepted := map[uint64]string{}
	var group sync.WaitGroup
	for operator := range 5 {
		pause := time.Duration(random.IntN(100)) * time.Millisecond
		group.Go(func() {
			time.Sleep(pause)
			for try := range 6 {
				by := fmt.Sprintf("o%d.%d", operator, try)
				version, err := revise(t, rows, by, 100+10*operator+try)
				if errors.Is(err, config.ErrConflict) {
					continue
				}
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
					return
				}
				mu.Lock()
				if other, twice := accepted[version]; twice {
					t.Errorf("seed %d: both %[3]s and %[4]s were told that their revision is version %[2]d", seed, version, other, by)
				}
				accepted[version] = by
				mu.Unlock()
			}
		})
	}
	group.Wait()
	platform.Set(standin.Faults{})
	defer func() {
		client.CloseIdleConnections()
		_ = server.Close()
	}()
	history, err := config.History(t.Context(), rows)
	if err != nil || len(history) != len(accepted) {
		t.Fatalf("seed %d: %d versions in the history, %d accepted, %v", seed, len(history), len(accepted), err)
	}
	for i, version := range history {
		if version.Version != uint64(i+1) || accepted[version.Version] != version.By {
			t.Errorf("seed %d: the history has version %d by %s, the accepted one is by %s", seed, version.Version, version.By, accepted[version.Version])
		}
	}
}

// revise reads the contract, changes its latency and writes it back, as an operator does.
func revise(t *testing.T, rows *table.Client, by string, ms int) (uint64, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	current, err := config.Read(ctx, rows)
	if err != nil {
		return 0, err
	}
	return config.CompareAndSet(ctx, rows, current.Version, contractWithLatency(t, ms), by, by)
}
