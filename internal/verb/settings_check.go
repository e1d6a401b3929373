package verb

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

func settingsCheckVerb() Verb {
	return Verb{
		Name:  "settings check",
		Takes: "ROLE FILE",
		Short: "check a YAML settings file and name every error in it",
		Long: `
Checks the settings file of a role (entry, agent, standin-platform,
standin-upstream, or any verb with a dash for the blank) without starting it.
Every error is named at once, with line and key; unknown keys are errors.

Example:
  $ cat agent.yaml
  name: m01
  slots: many
  colour: red
  $ apricotwind settings check agent agent.yaml
  apricotwind settings check: agent.yaml: line 2: slots: "many" is not valid: it takes a whole number
  apricotwind settings check: agent.yaml: line 3: colour: unknown key`,
		Setup: func(*flag.FlagSet) Run { return runSettingsCheck },
	}
}

func runSettingsCheck(_ context.Context, streams Env, arguments []string) error {
	if len(arguments) != 2 {
		return usagef("takes a role and a file, not %d arguments", len(arguments))
	}
	role, file := arguments[0], arguments[1]
	verb, _, ok := find(strings.Split(role, "-"))
	if !ok {
		return usagef("there is no role %q", role)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	flags := flag.NewFlagSet(role, flag.ContinueOnError)
	verb.Setup(flags)
	problems, err := walkSettings(flags, text, flags.Set)
	if err != nil {
		return errors.Wrap(err, file)
	}
	if len(problems) == 0 {
		problems = append(problems, checkValues(flags)...)
	}
	if len(problems) == 0 {
		fmt.Fprintf(streams.Out, "%s: good settings for %s\n", file, role)
		return nil
	}
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = file + ": " + problem.String()
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}
