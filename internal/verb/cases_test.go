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

// TestCases runs every folder test/cases/AREA/NAME: the lines of cmd, one after
// another, must print expout and experr. A line `wait 5s` lets time pass. Cases of
// the area session run against a pool of two entries and three agents.
func TestCases(t *testing.T) {
	root, err := filepath.Abs("../../test/cases")
	if err != nil {
		t.Fatal(err)
	}
	commands, err := filepath.Glob(root + "/*/*/cmd")
	if err != nil || len(commands) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, command := range commands {
		folder := filepath.Dir(command)
		area := filepath.Base(filepath.Dir(folder))
		t.Run(area+"/"+filepath.Base(folder), func(t *testing.T) {
			t.Chdir(folder)
			if area != "session" {
				runCase(t, verb.Env{})
				return
			}
			synctest.Test(t, func(t *testing.T) {
				pool := testcluster.New(t, 3)
				time.Sleep(5 * time.Second)
				runCase(t, verb.Env{HTTP: pool.Client.Transport})
			})
		})
	}
}

// runCase runs the case in the working folder.
func runCase(t *testing.T, streams verb.Env) {
	t.Helper()
	script, err := os.ReadFile("cmd")
	if err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	streams.Out, streams.Err, streams.In = &out, &errs, strings.NewReader("")
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
		if code := verb.Main(t.Context(), streams, words[1:]); code != 0 {
			fmt.Fprintf(&errs, "(exit %d)\n", code)
		}
	}
	compare(t, "expout", out.String())
	compare(t, "experr", errs.String())
}

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
