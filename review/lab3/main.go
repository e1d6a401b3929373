//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
)

// script is one case: the deployment that it needs, and what it plays.
type script struct {
	rule          string // that the case is about
	fronts, sides int
	kinds         func(i int) (kind string, cpu, mem int)
	play          func(c *cluster, k *client, trouble bool)
}

// sameKind is a deployment whose workers are alike: 64 cores and 250 GB each.
func sameKind(int) (kind string, cpu, mem int) { return "a", 64000, 256000 }

// play plays a script and returns the exit code.
func play(s script, trouble bool, record, keep string) int {
	rec, err := newRecorder(record, s.rule)
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	defer rec.file.Close()
	c, err := newCluster(rec, s.fronts, s.sides, s.kinds)
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	if err := c.start(); err != nil {
		rec.block("start: %v", err)
	} else {
		s.play(c, newClient(c), trouble)
	}
	c.close(keep)
	return rec.verdict()
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	record := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	keep := flag.String("keep", "", "`folder` for the logs of the processes; none if empty")
	flag.Parse()
	s, known := scripts[*name]
	if !known {
		fmt.Println("could not run: no case", *name)
		os.Exit(2)
	}
	os.Exit(play(s, os.Getenv("TROUBLE") != "0", *record, *keep))
}
