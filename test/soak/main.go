// Command soak runs the real programs as separate processes against stand-ins of the
// platform and lets faults befall them, drawn from a seed; see README.md.
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
	// warmUp is how long the system may take to start before faults begin.
	warmUp = 2 * time.Second
	// settleBound is how long after the last fault every accepted job must have ended.
	settleBound = 30 * time.Second
	// operator is the process that writes configurations; no fault befalls its writes.
	operator = "operator"
)

// report gathers what should not have been.
type report struct {
	mu    sync.Mutex
	wrong []string
	file  *os.File
	began time.Time
}

func (r *report) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.began).Seconds(), text)
}

func (r *report) say(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.note("WRONG " + text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong = append(r.wrong, text)
}

// configure writes the next version of the configuration.
func (f *fleet) configure() {
	view := f.store.View(operator)
	version := time.Now().UnixMilli()
	route := map[string]any{
		"name": "q", "host": host, "path_prefix": prefix, "service": "s",
		"timeout_ms": 3000, "max_attempts": attempts, "stretch": 2, "target_latency_ms": 1000,
	}
	value, _ := json.Marshal(map[string]any{"version": version, "routes": []any{route}}) // plain values
	place := table.RowKey{Table: "op", Key: "config"}
	applied, err := view.Apply(context.Background(), table.Txn{Puts: []table.Put{{RowKey: place, Value: value}}})
	if applied.Outcome != table.Committed {
		f.say("the configuration is not written: %v", err)
	}
}

// options are what the command line says.
type options struct {
	binary           string
	entries, workers int
	length           time.Duration
	keep             string
	interrupted      <-chan os.Signal
}

// play plays one seed and returns what should not have been, and a summary.
func play(seed uint64, o options) (wrong []string, summary string, err error) {
	dir := filepath.Join(o.keep, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, "", err
	}
	file, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return nil, "", err
	}
	defer func() {
		_ = file.Close() // a lost line loses no finding
	}()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r := &report{file: file, began: time.Now()}
	f, err := newFleet(ctx, o.binary, dir, o.entries, o.workers, r.say)
	if err != nil {
		return nil, "", err
	}
	defer f.close()
	go func() {
		select {
		case <-o.interrupted:
			f.close()
			os.Exit(1)
		case <-ctx.Done():
		}
	}()
	f.configure()
	time.Sleep(warmUp)
	callers := newClients(f)
	handing, enough := context.WithCancel(ctx)
	var all sync.WaitGroup
	all.Go(func() { callers.run(handing, rand.New(rand.NewPCG(seed, 1))) })
	faults := f.play(rand.New(rand.NewPCG(seed, 2)), o.length, r.note)
	enough()
	all.Wait()
	callers.settle(settleBound)
	for _, text := range f.watch.Violations() {
		r.say("%s", text)
	}
	accepted := 0
	for _, s := range callers.jobs {
		if !s.accepted.IsZero() {
			accepted++
		}
	}
	return r.wrong, fmt.Sprintf("%d faults, %d jobs, %d accepted, %d starts", faults, len(callers.jobs), accepted, f.watch.Starts()), nil
}

func main() {
	var o options
	seed := flag.Uint64("seed", 1, "first `seed`; 0 draws one")
	seeds := flag.Int("seeds", 1, "`number` of seeds")
	flag.StringVar(&o.binary, "program", "bin/apricotwind", "`path` of the program")
	flag.IntVar(&o.entries, "entries", 3, "`number` of entries")
	flag.IntVar(&o.workers, "workers", 8, "`number` of workers, with an agent each")
	flag.DurationVar(&o.length, "length", 20*time.Second, "how long faults come")
	flag.StringVar(&o.keep, "keep", filepath.Join(os.TempDir(), "soak"), "`folder` for logs")
	flag.Parse()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	o.interrupted = interrupted
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	failed := 0
	for i := range *seeds {
		of := *seed + uint64(i)
		wrong, summary, err := play(of, o)
		switch {
		case err != nil:
			fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", of, err)
			os.Exit(1)
		case len(wrong) > 0:
			failed++
			fmt.Printf("seed %d: WRONG (%s)\n", of, summary)
			for _, text := range wrong {
				fmt.Printf("  %s\n", text)
			}
		default:
			fmt.Printf("seed %d: held (%s)\n", of, summary)
		}
	}
	fmt.Printf("%d passed, %d failed\n", *seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}
