// Package verb is the command line of apricotwind.
package verb

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/apricotwind/apricotwind/pkg/document/schema"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
)

// program is the name that every message to a user begins with.
const program = "apricotwind"

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Env are where a verb reads and writes, and the signals that reach it. Drain
// is closed when the process should end gracefully; Reload says that the settings file
// may have changed. HTTP is how entries are called.
type Env struct {
	In    io.Reader
	Out   io.Writer
	Err   io.Writer
	Drain <-chan struct{}
	// Reload is nil where nothing says so.
	Reload <-chan os.Signal
	HTTP   http.RoundTripper
}

// Run does what a verb does, with the arguments left after the flags.
type Run func(ctx context.Context, streams Env, arguments []string) error

// Verb is one verb of the command line.
type Verb struct {
	Name  string                  // one or two words
	Takes string                  // arguments after the flags, for the usage line
	Short string                  // one line
	Long  string                  // what it does and worked examples
	Setup func(*flag.FlagSet) Run // defines the flags
}

// errUsage marks errors in how a verb was called.
var errUsage = errors.New("usage")

func usagef(format string, arguments ...any) error {
	return errors.Mark(errors.Newf(format, arguments...), errUsage)
}

// Main runs the verb that arguments name and returns the exit code.
func Main(ctx context.Context, streams Env, arguments []string) int {
	if len(arguments) == 0 {
		writeOverview(streams.Err)
		return exitUsage
	}
	verb, rest, ok := find(arguments)
	if !ok {
		fmt.Fprintf(streams.Err, "%s: there is no verb %q; see '%s help'\n", program, arguments[0], program)
		return exitUsage
	}
	flags := flag.NewFlagSet(verb.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	run := verb.Setup(flags)
	err := parse(flags, rest)
	if errors.Is(err, flag.ErrHelp) {
		writeHelp(streams.Out, verb)
		return exitDone
	}
	if err == nil {
		err = run(ctx, streams, flags.Args())
	}
	return conclude(streams, verb, err)
}

// conclude tells an error and turns it into an exit code.
func conclude(streams Env, verb Verb, err error) int {
	if err == nil {
		return exitDone
	}
	for line := range strings.SplitSeq(strings.TrimSpace(err.Error()), "\n") {
		fmt.Fprintf(streams.Err, "%s %s: %s\n", program, verb.Name, line)
	}
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

// find looks a verb up by its first two words, then by its first.
func find(arguments []string) (Verb, []string, bool) {
	for _, words := range []int{2, 1} {
		if len(arguments) < words {
			continue
		}
		name := strings.Join(arguments[:words], " ")
		for _, verb := range table() {
			if verb.Name == name {
				return verb, arguments[words:], true
			}
		}
	}
	return Verb{}, nil, false
}

// settingsFlag names the YAML file of a verb's settings.
const settingsFlag = "settings"

func parse(flags *flag.FlagSet, arguments []string) error {
	flags.String(settingsFlag, "", "YAML `file` with the same names as the flags")
	err := ff.Parse(flags, arguments,
		ff.WithEnvVarPrefix("APRICOTWIND"),
		ff.WithConfigFileFlag(settingsFlag),
		ff.WithConfigFileParser(readSettings(flags)),
	)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	var problems schema.Diagnostics
	if errors.As(err, &problems) {
		err = prefixLines(flags.Lookup(settingsFlag).Value.String(), problems)
	}
	return errors.Mark(err, errUsage)
}
