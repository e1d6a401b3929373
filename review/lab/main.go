// Command lab plays one case of the review: it starts the project's own programs as separate
// processes with the commands of the deploy file, with a stand-in store and stand-in workers on
// loopback, plays the case and checks its rule from what callers and workers saw.
//
//	lab CASE RECORD
//
// It runs in the project's root and writes the file RECORD. The exit status is 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit statuses.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// maxPlayTime bounds a play.
const maxPlayTime = 115 * time.Second

// scenario plays a case. It returns a violation of the rule in words, "" if the rule held, and an
// error if the case could not be played.
type scenario func(d *deployment, trouble bool) (violation string, err error)

var scenarios = map[string]scenario{
	"ends":     playEnds,
	"progress": playProgress,
	"crashes":  playCrashes,
	"timed":    playTimed,
	"waiting":  playWaiting,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(notPlayed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", name, trouble)
	d, err := newDeployment(rec)
	if err != nil {
		rec.add("result: not played: %v", err)
		return notPlayed
	}
	defer d.close()
	type result struct {
		violation string
		err       error
	}
	played := make(chan result, 1)
	go func() {
		violation, err := scenarios[name](d, trouble)
		played <- result{violation, err}
	}()
	select {
	case r := <-played:
		switch {
		case r.err != nil:
			rec.add("result: not played: %v", r.err)
			return notPlayed
		case r.violation != "":
			rec.add("result: broken: %s", r.violation)
			return broken
		}
		rec.add("result: held")
		return held
	case <-time.After(maxPlayTime):
		rec.add("result: not played: it takes longer than %v", maxPlayTime)
		return notPlayed
	}
}
