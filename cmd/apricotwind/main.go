// Command apricotwind schedules latency-critical and batch work on one pool of instances. It maps
// signals and runs package verb, which implements the command line: the first SIGTERM or SIGINT
// drains the process, the second cancels its context; SIGHUP makes it read the settings file again.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/apricotwind/apricotwind/internal/verb"
)

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	drain := make(chan struct{})
	go func() {
		<-signals
		close(drain)
		<-signals
		cancel()
	}()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	env := verb.Env{Reload: reload, In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Drain: drain, HTTP: http.DefaultTransport}
	os.Exit(verb.Main(ctx, env, os.Args[1:]))
}
