package verb

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apricotwind/apricotwind/internal/logs"
)

func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.yaml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const complete = "name: a1\nstore: 127.0.0.1:7000\ncontrol: 127.0.0.1:7200\nworker: 127.0.0.1:9000\n"
	write(complete)
	flags := flag.NewFlagSet("platform agent", flag.ContinueOnError)
	newPlatformAgentCommand(flags)
	if err := parse(flags, []string{"--settings", path}); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	log, err := logs.New(&out, "info", "agent", "a1")
	if err != nil {
		t.Fatal(err)
	}
	reload := newReloadHandler(flags, platformAgentVerb().Setup, log)
	cases := []struct {
		name, text string
		want       []string
	}{
		{"unchanged", complete, []string{"event=reload ", "changed=0"}},
		{"changed", strings.Replace(complete, ":9000", ":9001", 1), []string{"event=reload ", "changed=1", "at-next-start=worker"}},
		{"broken", "name: [", []string{"event=reload-refused"}},
		{"wrong", "worker: nowhere\n", []string{"event=reload-refused", "nowhere"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out.Reset()
			write(c.text)
			reload()
			for _, text := range c.want {
				if !strings.Contains(out.String(), text) {
					t.Errorf("log %q does not contain %q", out.String(), text)
				}
			}
		})
	}
}
