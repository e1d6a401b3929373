package verb

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/apricotwind/apricotwind/internal/standin"
	"github.com/cockroachdb/errors"
)

func standinPlatformVerb() Verb {
	return Verb{
		Name:  "standin platform",
		Short: "run a stand-in of the platform's table and object store",
		Long: `
Runs a small stand-in of the platform until SIGTERM. With --journal it writes
every change to a file before it answers and reads the file back at its start,
so that its content survives a crash, as that of the real platform does.

Its faults are set while it runs, at PUT /knobs.

Examples:
  apricotwind standin platform --listen 127.0.0.1:7000 --journal platform.journal
  curl -X PUT -d '{"outage":true}' http://127.0.0.1:7000/knobs
  curl -X PUT -d '{"delay":200000000,"lost":0.1,"rate":300}' http://127.0.0.1:7000/knobs
  curl -X PUT -d '{}' http://127.0.0.1:7000/knobs`,
		Setup: func(flags *flag.FlagSet) Run {
			listen := addressVar(flags, "listen", "127.0.0.1:7000", "`address` to listen on")
			journal := flags.String("journal", "", "`file` to which every change is written")
			seed := flags.Uint64("seed", 1, "`seed` of its faults")
			return func(_ context.Context, env Env, _ []string) error {
				return runStandinPlatform(env, listen.String(), *journal, *seed)
			}
		},
	}
}

// runStandinPlatform restores the stand-in from its journal, if there is one, and serves it.
func runStandinPlatform(env Env, address, journal string, seed uint64) error {
	var journalWriter io.Writer
	if journal != "" {
		file, err := os.OpenFile(journal, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
		if err != nil {
			return errors.Wrap(err, "open journal")
		}
		defer func() { _ = file.Close() }()
		journalWriter = file
	}
	platform := standin.NewPlatform(seed, journalWriter)
	if file, ok := journalWriter.(*os.File); ok {
		if err := platform.Restore(file); err != nil {
			return errors.Wrap(err, journal)
		}
	}
	return serveStandin(env, address, platform.Handler())
}

// standinTimeout limits the graceful shutdown of a stand-in, and the time to read a request's
// header.
const standinTimeout = 5 * time.Second

// serveStandin serves handler until the process is asked to drain, then shuts down gracefully.
func serveStandin(env Env, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen on the address of --listen")
	}
	fmt.Fprintf(env.Err, "listening on %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-env.Drain:
	}
	ctx, cancel := context.WithTimeout(context.Background(), standinTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}
