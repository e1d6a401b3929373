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

// latencyText is the contract of the rig with another latency for previews.
func latencyText(t *testing.T, ms int) contract.Document {
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

// bound is what is owed: in force everywhere within 9 s.
const bound = 9 * time.Second

func TestConfigurationIsInForceWithinTheBound(t *testing.T) {
	cases := []struct {
		name  string
		fault func(p *pool)
	}{
		{"calm", func(*pool) {}},
		{"one entry cut off from the table", func(p *pool) { p.Net.SetPartition("e1", "platform", true) }},
		{"an agent that reaches one entry only", func(p *pool) { p.Net.SetPartition("m0", "e0", true) }},
		{"an agent cut off from the table", func(p *pool) { p.Net.SetPartition("m0", "platform", true) }},
		{"slow table", func(p *pool) { p.Platform.Set(standin.Faults{Delay: 700 * time.Millisecond}) }},
		{"table that answers with old rows", func(p *pool) { p.Platform.Set(standin.Faults{Stale: 0.5}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(t, 3)
				p.Ready()
				c.fault(p)
				time.Sleep(time.Second)
				p.setLatency(100)
				time.Sleep(bound)
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
func (p *pool) setLatency(ms int) {
	p.t.Helper()
	var err error
	for range 20 {
		var current operator.Document
		if current, err = p.Operator("e0").Document(p.Ctx); err == nil {
			text := latencyText(p.t, ms).Text()
			if _, err = p.Operator("e0").Propose(p.Ctx, operator.Proposal{Base: current.Version, Text: text, By: "test"}); err == nil {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.t.Fatal(err)
}

func TestNodeNeverServesByALowerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 2)
		p.Ready()
		p.setLatency(100)
		time.Sleep(bound)
		p.Platform.Set(standin.Faults{Outage: true})
		p.Entries["e1"].Kill()
		p.StartEntry("e1")
		time.Sleep(10 * time.Second)
		status, err := p.Operator("e1").LocalStatus(p.Ctx)
		if err != nil || status.Version != 2 && status.Version != 0 {
			t.Errorf("restarted while the platform is out: %+v, %v", status, err)
		}
		if code, outcome, _ := p.do(http.MethodGet, "e1", nil); status.Version == 0 && (code != 503 || outcome != "refused") {
			t.Errorf("without a version it answered %d %q", code, outcome)
		}
		p.Platform.Set(standin.Faults{Stale: 1})
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			for name := range p.Entries {
				status, err := p.Operator(name).LocalStatus(p.Ctx)
				if err != nil || status.Version == 1 || name == "e0" && status.Version != 2 {
					t.Fatalf("%s went back: %+v, %v", name, status, err)
				}
			}
		}
	})
}

// TestEntryThatStartsDoesNotBelieveAnOldRow starts an entry that no agent reaches
// while the table answers with the row before the last.
func TestEntryThatStartsDoesNotBelieveAnOldRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 1)
		p.Ready()
		p.setLatency(100)
		time.Sleep(bound)
		p.Entries["e1"].Kill()
		p.Net.SetPartition("m0", "e1", true)
		p.Platform.Set(standin.Faults{Stale: 1})
		p.StartEntry("e1")
		time.Sleep(10 * time.Second)
		status, err := p.Operator("e1").LocalStatus(p.Ctx)
		if err != nil || status.Version != 0 {
			t.Errorf("it serves by version %d, %v; version 2 is in force", status.Version, err)
		}
		p.Platform.Set(standin.Faults{})
		time.Sleep(bound)
		if status, err := p.Operator("e1").LocalStatus(p.Ctx); err != nil || status.Version != 2 {
			t.Errorf("after the table is right again: version %d, %v", status.Version, err)
		}
	})
}

// TestRacingOperators lets operators revise at the same moment, with slow commits,
// old rows and lost answers: each accepted revision is one version of one history,
// and a loser is told so.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) { race(t, seed) })
	}
}

func race(t *testing.T, seed uint64) {
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
					t.Errorf("seed %d: version %d was given to %s and %s", seed, version, other, by)
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
		t.Fatalf("seed %d: %d in the history, %d accepted, %v", seed, len(history), len(accepted), err)
	}
	for i, version := range history {
		if version.Version != uint64(i+1) || accepted[version.Version] != version.By {
			t.Errorf("seed %d: version %d by %s, accepted of %s", seed, version.Version, version.By, accepted[version.Version])
		}
	}
}

// revise is what an operator does: read, change, set.
func revise(t *testing.T, rows *table.Client, by string, ms int) (uint64, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	current, err := config.Read(ctx, rows)
	if err != nil {
		return 0, err
	}
	return config.CompareAndSet(ctx, rows, current.Version, latencyText(t, ms), by, by)
}
