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

// runSettingsCheck checks a settings file against the flags of a role's verb.
func runSettingsCheck(_ context.Context, env Env, arguments []string) error {
	if len(arguments) != 2 {
		return usagef("takes a role and a file after the flags, not %d arguments", len(arguments))
	}
	role, file := arguments[0], arguments[1]
	verb, _, ok := findVerb(strings.Split(role, "-"))
	if !ok {
		return usagef("there is no role %q: a role is a verb with a dash for the blank, such as entry or platform-entry", role)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	flags := flag.NewFlagSet(role, flag.ContinueOnError)
	verb.Setup(flags)
	diagnostics, err := applySettings(flags, text, flags.Set)
	if err != nil {
		return errors.Wrap(err, file)
	}
	if len(diagnostics) == 0 {
		diagnostics = append(diagnostics, checkValues(flags)...)
	}
	if len(diagnostics) == 0 {
		fmt.Fprintf(env.Out, "%s: good settings for %s\n", file, role)
		return nil
	}
	lines := make([]string, len(diagnostics))
	for i, diagnostic := range diagnostics {
		lines[i] = file + ": " + diagnostic.String()
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}
