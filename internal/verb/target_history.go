package verb

import (
	"context"
	"flag"
	"fmt"
	"time"
)

func targetHistoryVerb() Verb {
	return Verb{
		Name:  "target history",
		Short: "show every document accepted: who, when, what",
		Long: `
Shows every version accepted, oldest first, with what it changed.

Example:
  $ apricotwind target history
  version 2 by wanjiru at 2026-12-04T09:00:00Z
    class preview: latency 150ms -> 120ms`,
		Setup: func(flags *flag.FlagSet) Run {
			entry := newOperatorFlags(flags)
			return func(ctx context.Context, env Env, _ []string) error {
				versions, err := entry.client(env).History(ctx)
				if err != nil {
					return err
				}
				for _, version := range versions {
					fmt.Fprintf(env.Out, "version %d by %s at %s\n", version.Version, version.By, version.At.Format(time.RFC3339))
					for _, change := range version.Changes {
						fmt.Fprintf(env.Out, "  %s\n", change)
					}
				}
				return nil
			}
		},
	}
}
