package verb

import (
	"context"
	"flag"
	"fmt"
)

// version is the release version. It is changed by hand.
const version = "0.1.0"

func versionVerb() Verb {
	return Verb{
		Name:  "version",
		Short: "print the version",
		Long: `
Prints the version of this program.

Example:
  $ apricotwind version
  apricotwind ` + version,
		Setup: func(*flag.FlagSet) Run {
			return func(_ context.Context, env Env, _ []string) error {
				_, err := fmt.Fprintln(env.Out, programName, version)
				return err
			}
		},
	}
}
