// Command soak runs entries and agents as separate processes against a stand-in store and
// stand-in workers, injects faults drawn from a seed, and reports every violated invariant; see
// README.md. Package testcluster checks the starts and ends of runs;
// this command checks the processes and what clients are shown.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

const (
	// warmUp is the time for the system to start before the first job and the first fault.
	warmUp = 2 * time.Second
	// completionTimeout bounds how long after the last fault every accepted job must have ended.
	completionTimeout = 30 * time.Second
	// operatorName is the name under which the soak writes configurations to the stand-in store. No
	// fault is injected into these writes.
	operatorName = "operator"
)

// eventLog writes faults and violations to faults.log and collects the violations. Its methods
// may be called concurrently.
type eventLog struct {
	mu         sync.Mutex
	violations []string
	file       *os.File
	startedAt  time.Time
}

// logEvent writes one line with the seconds since the start.
func (l *eventLog) logEvent(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%7.3f %s\n", time.Since(l.startedAt).Seconds(), text)
}

// addViolation logs and collects a violated invariant.
func (l *eventLog) addViolation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	l.logEvent("WRONG " + text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, text)
}

// writeConfiguration writes a new version of the configuration to the store.
func (c *cluster) writeConfiguration() {
	store := c.store.View(operatorName)
	version := time.Now().UnixMilli()
	route := map[string]any{
		"name": "q", "host": host, "path_prefix": pathPrefix, "service": "s",
		"timeout_ms": 3000, "max_attempts": maxTaskAttempts, "stretch": 2, "target_latency_ms": 1000,
	}
	value, _ := json.Marshal(map[string]any{"version": version, "routes": []any{route}}) // maps of plain values always encode
	key := table.RowKey{Table: "op", Key: "config"}
	result, err := store.Apply(context.Background(), table.Txn{Puts: []table.Put{{RowKey: key, Value: value}}})
	if result.Outcome != table.Committed {
		c.addViolation("the configuration is not written: %v", err)
	}
}

// options are the flags of the command line, and the channel of signals that interrupt the soak.
type options struct {
	binary           string
	entries, workers int
	length           time.Duration
	logRoot          string
	reborn           bool // strikes of mode reborn instead of independent faults
	interrupted      <-chan os.Signal
}

// runSeed runs one seed and returns the violations and a summary. The error says why the run
// could not start.
func runSeed(seed uint64, o options) (violations []string, summary string, err error) {
	logDir := filepath.Join(o.logRoot, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(logDir, 0o755); err != nil {
		return nil, "", err
	}
	file, err := os.Create(filepath.Join(logDir, "faults.log"))
	if err != nil {
		return nil, "", err
	}
	runs, err := os.Create(filepath.Join(logDir, "runs.log"))
	if err != nil {
		return nil, "", err
	}
	defer func() {
		_, _ = file.Close(), runs.Close() // findings are also printed, so an incomplete log loses none
	}()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	events := &eventLog{file: file, startedAt: time.Now()}
	c, err := newCluster(ctx, o, logDir, events.addViolation)
	if err != nil {
		return nil, "", err
	}
	defer c.close()
	c.checker.Observe((&eventLog{file: runs, startedAt: events.startedAt}).logEvent)
	go func() {
		select {
		case <-o.interrupted:
			c.close()
			os.Exit(1)
		case <-ctx.Done():
		}
	}()
	c.writeConfiguration()
	time.Sleep(warmUp)
	client := newJobClient(c)
	faults := 0
	if o.reborn {
		faults = runStrikes(ctx, c, client, seed, o.length, events.logEvent)
	} else {
		faults = runFaults(ctx, c, client, seed, o.length, events.logEvent)
	}
	for _, text := range c.checker.Violations() {
		events.addViolation("%s", text)
	}
	c.checkEvacuated()
	c.checkUsable(client)
	accepted := 0
	for _, s := range client.jobs {
		if !s.acceptedAt.IsZero() {
			accepted++
		}
	}
	return events.violations, fmt.Sprintf("%d faults, %d jobs, %d accepted, %d starts", faults, len(client.jobs), accepted, c.checker.Starts()), nil
}

// runFaults injects the faults of a seed while jobs are submitted, and checks the jobs. It returns the number
// of faults.
func runFaults(ctx context.Context, c *cluster, client *jobClient, seed uint64, length time.Duration, logEvent func(string)) int {
	submitCtx, stopSubmitting := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { client.run(submitCtx, rand.New(rand.NewPCG(seed, 1)), randomJob) })
	evacuateCtx, stopEvacuations := context.WithTimeout(ctx, length)
	defer stopEvacuations()
	wg.Go(func() { c.evacuate(evacuateCtx, rand.New(rand.NewPCG(seed, 3)), logEvent) })
	faults := c.injectFaults(rand.New(rand.NewPCG(seed, 2)), length, logEvent)
	stopSubmitting()
	wg.Wait()
	client.awaitCompletion(completionTimeout)
	return faults
}

func main() {
	var o options
	seed := flag.Uint64("seed", 1, "first `seed`; 0 draws one")
	seeds := flag.Int("seeds", 1, "`number` of seeds")
	flag.StringVar(&o.binary, "program", "bin/apricotwind", "`path` of the program")
	flag.IntVar(&o.entries, "entries", 3, "`number` of entries")
	flag.IntVar(&o.workers, "workers", 8, "`number` of workers, with an agent each")
	flag.DurationVar(&o.length, "length", 20*time.Second, "how long faults come")
	flag.StringVar(&o.logRoot, "keep", filepath.Join(os.TempDir(), "soak"), "`folder` for logs")
	flag.BoolVar(&o.reborn, "reborn", false, "workers crash, come back under their IDs and are cut off")
	flag.Parse()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	o.interrupted = interrupted
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	failed := 0
	for i := range *seeds {
		currentSeed := *seed + uint64(i)
		violations, summary, err := runSeed(currentSeed, o)
		switch {
		case err != nil:
			fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", currentSeed, err)
			os.Exit(1)
		case len(violations) > 0:
			failed++
			fmt.Printf("seed %d: WRONG (%s)\n", currentSeed, summary)
			for _, text := range violations {
				fmt.Printf("  %s\n", text)
			}
		default:
			fmt.Printf("seed %d: held (%s)\n", currentSeed, summary)
		}
	}
	fmt.Printf("%d passed, %d failed\n", *seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}
