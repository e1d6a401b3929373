//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time of a case.
const longest = 118 * time.Second

// cases are the cases by name. A case returns an error if it can't run.
var cases = map[string]func(r *record, trouble bool) error{
	"restarted-after-done": restartedAfterDone,
	"many-bodies":          manyBodies,
	"largest-job":          largestJob,
	"long-schedule":        longSchedule,
	"gang-waits":           gangWaits,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ended := make(chan error, 1)
	go func() { ended <- cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0") }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-time.After(longest):
		err = fmt.Errorf("not over after %v", longest)
	case s := <-interrupted:
		err = fmt.Errorf("ended by %v", s)
	}
	breaks := r.breaks()
	switch {
	case len(breaks) > 0:
		fmt.Printf("broken: %s\n", breaks[0])
		r.note("result: broken, %d times", len(breaks))
		os.Exit(1)
	case err != nil:
		fmt.Printf("could not run: %v\n", err)
		r.note("result: could not run: %v", err)
		os.Exit(2)
	}
	fmt.Println("held")
	r.note("result: held")
}
