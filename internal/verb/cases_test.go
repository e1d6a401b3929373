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
				time.Sleep(5 * time.Second)
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
