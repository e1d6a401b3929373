// Package verb is the command line of apricotwind. Each verb parses its flags, environment
// variables and settings file and then calls the package that does the work.
package verb

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"

	"github.com/apricotwind/apricotwind/pkg/document/schema"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
)

// programName prefixes every message to the user.
const programName = "apricotwind"

// Exit codes: success, failure of the verb, wrong usage.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Env is the environment of a verb: its input and output, and the signals to the process.
// Drain is closed when the process should shut down gracefully. HTTP is the transport of
// calls to entries.
type Env struct {
	In    io.Reader
	Out   io.Writer
	Err   io.Writer
	Drain <-chan struct{}
	// Reload receives a signal when the settings file may have changed. It may be nil.
	Reload <-chan os.Signal
	HTTP   http.RoundTripper
}

// Run executes a verb with the arguments after its flags.
type Run func(ctx context.Context, env Env, arguments []string) error

// Verb is one command of the command line.
type Verb struct {
	Name  string                  // one or two words
	Takes string                  // arguments after the flags, for the usage line
	Short string                  // one line
	Long  string                  // what it does and worked examples
	Setup func(*flag.FlagSet) Run // defines the flags and returns the function to run
}

// errUsage marks errors in the arguments or settings of a verb. They give the exit code
// exitUsage.
var errUsage = errors.New("usage")

// usagef returns a formatted error that is marked with errUsage.
func usagef(format string, arguments ...any) error {
	return errors.Mark(errors.Newf(format, arguments...), errUsage)
}

// Main runs the verb that the first one or two arguments name and returns the exit code.
func Main(ctx context.Context, env Env, arguments []string) int {
	if len(arguments) == 0 {
		writeOverview(env.Err)
		return exitUsage
	}
	verb, rest, ok := findVerb(arguments)
	if !ok {
		fmt.Fprintf(env.Err, "%s: there is no verb %q; see '%s help'\n", programName, arguments[0], programName)
		return exitUsage
	}
	flags := flag.NewFlagSet(verb.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	run := verb.Setup(flags)
	err := parse(flags, rest)
	if errors.Is(err, flag.ErrHelp) {
		writeHelp(env.Out, verb)
		return exitOK
	}
	if err == nil {
		err = run(ctx, env, flags.Args())
	}
	return exitCode(env, verb, err)
}

// exitCode prints an error, if any, and returns the exit code for it.
func exitCode(env Env, verb Verb, err error) int {
	if err == nil {
		return exitOK
	}
	for line := range strings.SplitSeq(strings.TrimSpace(err.Error()), "\n") {
		fmt.Fprintf(env.Err, "%s %s: %s\n", programName, verb.Name, line)
	}
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

// findVerb looks up a verb by the first two arguments, then by the first one. It also returns
// the remaining arguments.
func findVerb(arguments []string) (Verb, []string, bool) {
	for _, words := range []int{2, 1} {
		if len(arguments) < words {
			continue
		}
		name := strings.Join(arguments[:words], " ")
		for _, verb := range verbs() {
			if verb.Name == name {
				return verb, arguments[words:], true
			}
		}
	}
	return Verb{}, nil, false
}

// settingsFlag is the name of the flag for the YAML settings file.
const settingsFlag = "settings"

// parse sets flags from the arguments, environment variables and the settings file, in this
// order of precedence. Its errors are marked with errUsage, except flag.ErrHelp.
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
	var diagnostics schema.Diagnostics
	if errors.As(err, &diagnostics) {
		err = prefixLines(flags.Lookup(settingsFlag).Value.String(), diagnostics)
	} else {
		err = describeFlagError(flags, err)
	}
	return errors.Mark(err, errUsage)
}

// invalidValue matches the flag package's error for a value that a flag does not take. Its groups
// are the quoted value and the name of the flag.
var invalidValue = regexp.MustCompile(`invalid (?:boolean )?value ("(?:[^"\\]|\\.)*") for (?:flag )?-([^ :]+): `)

// invalidVariable matches the ff package's error for an environment variable with such a value. Its
// groups are the name of the flag and that of the variable.
var invalidVariable = regexp.MustCompile(`^error parsing environment variables: error setting flag "([^"]+)" from environment variable "([^"]+)": `)

// describeFlagError returns an error that states which flag or environment variable was wrong and
// what it takes, or which settings file could not be read. It returns other errors unchanged. The
// flag package has no error types, so the errors are recognised by their texts.
func describeFlagError(flags *flag.FlagSet, err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return errors.Wrap(err, "--"+settingsFlag)
	}
	text := strings.TrimPrefix(err.Error(), "error parsing commandline arguments: ")
	if match := invalidVariable.FindStringSubmatch(text); match != nil {
		return errors.Newf("%s: %q is not valid: %s", match[2], os.Getenv(match[2]), invalidReason(flags.Lookup(match[1]), err))
	}
	if match := invalidValue.FindStringSubmatch(text); match != nil {
		return errors.Newf("--%s: %s is not valid: %s", match[2], match[1], invalidReason(flags.Lookup(match[2]), err))
	}
	if name, ok := strings.CutPrefix(text, "flag provided but not defined: -"); ok {
		return errors.Newf("unknown flag --%s; see '%s help %s'", name, programName, flags.Name())
	}
	if name, ok := strings.CutPrefix(text, "flag needs an argument: -"); ok {
		return errors.Newf("--%s needs a value; see '%s help %s'", name, programName, flags.Name())
	}
	if argument, ok := strings.CutPrefix(text, "bad flag syntax: "); ok {
		return errors.Newf("%q is not a flag; see '%s help %s'", argument, programName, flags.Name())
	}
	return err
}
