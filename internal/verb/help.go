package verb

import (
	"context"
	"flag"
	"strings"
)

func helpVerb() Verb {
	return Verb{
		Name:  "help",
		Takes: "[VERB]",
		Short: "show all verbs, or one with its flags and examples",
		Long: `
Examples:
  apricotwind help
  apricotwind help job submit`,
		Setup: func(*flag.FlagSet) Run { return runHelp },
	}
}

// runHelp prints the list of verbs, or the help of one verb.
func runHelp(_ context.Context, env Env, arguments []string) error {
	if len(arguments) == 0 {
		writeOverview(env.Out)
		return nil
	}
	verb, rest, ok := findVerb(arguments)
	if !ok || len(rest) > 0 {
		return usagef("there is no verb %q; see '%s help'", strings.Join(arguments, " "), programName)
	}
	writeHelp(env.Out, verb)
	return nil
}
