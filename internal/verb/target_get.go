package verb

import (
	"context"
	"flag"
	"fmt"
)

func targetGetVerb() Verb {
	return Verb{
		Name:  "target get",
		Short: "print the document of contract and targets in force",
		Long: `
Prints the document in force. Its version goes to standard error, so that the
document alone can be saved, changed and proposed with 'target set'.

Example:
  $ apricotwind target get > targets.yaml
  version 3`,
		Setup: func(flags *flag.FlagSet) Run {
			entry := newOperatorFlags(flags)
			return func(ctx context.Context, env Env, _ []string) error {
				document, err := entry.client(env).Document(ctx)
				if err != nil {
					return err
				}
				fmt.Fprintf(env.Err, "version %d\n", document.Version)
				fmt.Fprint(env.Out, document.Text)
				return nil
			}
		},
	}
}
