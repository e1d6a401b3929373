package verb

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
)

func targetStatusVerb() Verb {
	return Verb{
		Name:  "target status",
		Short: "show the version in force on each node",
		Long: `
Shows the version accepted and the version in force on each entry and agent.

Example:
  $ apricotwind target status
  accepted version 3
  role   node  version
  entry  e1    3
  agent  m01   3`,
		Setup: func(flags *flag.FlagSet) Run {
			entry := newOperatorFlags(flags)
			return func(ctx context.Context, env Env, _ []string) error {
				status, err := entry.client(env).Status(ctx)
				if err != nil {
					return err
				}
				fmt.Fprintf(env.Out, "accepted version %d\n", status.Version)
				columns := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
				fmt.Fprintf(columns, "role\tnode\tversion\n")
				for _, node := range status.Nodes {
					fmt.Fprintf(columns, "%s\t%s\t%d", node.Role, node.Node, node.Version)
					if node.Reason != "" {
						fmt.Fprintf(columns, "\t%s", node.Reason)
					}
					fmt.Fprintln(columns)
				}
				return columns.Flush()
			}
		},
	}
}
