package verb_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/testcluster"
	"github.com/apricotwind/apricotwind/internal/verb"
	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write what the cases print as what is expected")

const (
	// tick divides the periods at which the processes of the cluster read, write and plan. They
	// start at 0 s of the fake clock.
	tick = 50 * time.Millisecond
	// sessionStart is when the first command of a session runs: between two ticks. At a tick, it
	// would depend on the order of goroutines whether a process reads a change of a command at that
	// tick or only a period later, and so would the time at which the next command runs.
	sessionStart = 5*time.Second + tick/2
)

// TestCases runs each golden session in test/cases/AREA/NAME: the commands in cmd must print
// what expout and experr hold. A line such as `wait 5s` sleeps. Sessions of the area "session"
// run against a cluster of two entries and three agents.
func TestCases(t *testing.T) {
	root, err := filepath.Abs("../../test/cases")
	if err != nil {
		t.Fatal(err)
	}
	cmdFiles, err := filepath.Glob(root + "/*/*/cmd")
	if err != nil || len(cmdFiles) == 0 {
		t.Fatalf("found no golden sessions: %v", err)
	}
	for _, cmdFile := range cmdFiles {
		folder := filepath.Dir(cmdFile)
		area := filepath.Base(filepath.Dir(folder))
		t.Run(area+"/"+filepath.Base(folder), func(t *testing.T) {
			t.Chdir(folder)
			if area != "session" {
				runCase(t, verb.Env{})
				return
			}
			synctest.Test(t, func(t *testing.T) {
				cluster := testcluster.New(t, 3)
				time.Sleep(sessionStart)
				runCase(t, verb.Env{HTTP: cluster.Client.Transport})
			})
		})
	}
}

// runCase runs the session in the working directory.
func runCase(t *testing.T, env verb.Env) {
	t.Helper()
	script, err := os.ReadFile("cmd")
	if err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	env.Out, env.Err, env.In = &out, &errs, strings.NewReader("")
	for line := range strings.Lines(string(script)) {
		words := strings.Fields(line)
		if len(words) == 2 && words[0] == "wait" {
			d, err := time.ParseDuration(words[1])
			if err != nil {
				t.Fatal(err)
			}
			if d%tick != 0 {
				t.Fatalf("a wait of %v is not a multiple of %v, so later commands may run at a tick", d, tick)
			}
			time.Sleep(d)
			continue
		}
		if code := verb.Main(t.Context(), env, words[1:]); code != 0 {
			fmt.Fprintf(&errs, "(exit %d)\n", code)
		}
	}
	compare(t, "expout", out.String())
	compare(t, "experr", errs.String())
}

// compare compares the output with the file, or with -update writes the output to it.
func compare(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", file, diff)
	}
}
