package verb

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestParseErrors checks that errors in flags, environment variables and the settings file name
// what was wrong and what is expected. The flag and ff packages define the texts that parse
// recognises, so an update of either may change them.
func TestParseErrors(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	if err := os.WriteFile(broken, []byte("name: ["), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name, arguments, shards, want string
	}{
		{"whole number", "--shards many", "", `--shards: "many" is not valid: it takes a whole number from 1 to 4096`},
		{"quoted value", `--shards a"b`, "", `--shards: "a\"b" is not valid: it takes a whole number from 1 to 4096`},
		{"duration", "--drain soon", "", `--drain: "soon" is not valid: it takes a duration such as 30s from 0s to 1h0m0s`},
		{"address", "--caller here", "", `--caller: "here" is not valid: it takes an IP address and port such as 127.0.0.1:7100`},
		{"URL", "--platform=nowhere", "", `--platform: "nowhere" is not valid: it takes an http or https URL such as http://127.0.0.1:7000`},
		{"environment", "", "many", `APRICOTWIND_SHARDS: "many" is not valid: it takes a whole number from 1 to 4096`},
		{"unknown flag", "--nope", "", `unknown flag --nope; see 'apricotwind help entry'`},
		{"no value", "--name", "", `--name needs a value; see 'apricotwind help entry'`},
		{"syntax", "---name", "", `"---name" is not a flag; see 'apricotwind help entry'`},
		{"missing file", "--settings missing.yaml", "", "--settings: open missing.yaml: no such file or directory"},
		{"not YAML", "--settings " + broken, "", broken + ": line 1: not YAML: sequence end token ']' not found"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.shards != "" {
				t.Setenv("APRICOTWIND_SHARDS", c.shards)
			}
			flags := flag.NewFlagSet("entry", flag.ContinueOnError)
			flags.SetOutput(io.Discard)
			newEntryCommand(flags)
			err := parse(flags, strings.Fields(c.arguments))
			if err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
			if !errors.Is(err, errUsage) {
				t.Error("the error is not marked as wrong usage")
			}
		})
	}
}

// TestParseErrorsOfReplay checks the errors of flags that take true or false, or no negative number.
func TestParseErrorsOfReplay(t *testing.T) {
	for argument, want := range map[string]string{
		"--throttle=maybe": `--throttle: "maybe" is not valid: it takes true or false`,
		"--seed=-1":        `--seed: "-1" is not valid: it takes a whole number from 0`,
	} {
		flags := flag.NewFlagSet("replay", flag.ContinueOnError)
		flags.SetOutput(io.Discard)
		replayVerb().Setup(flags)
		err := parse(flags, []string{argument})
		if err == nil || err.Error() != want {
			t.Errorf("%s: error %v, want %s", argument, err, want)
		}
	}
}
