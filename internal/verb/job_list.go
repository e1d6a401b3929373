package verb

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"
)

func jobListVerb() Verb {
	return Verb{
		Name:  "job list",
		Short: "list all jobs, oldest first",
		Long: `
Lists the jobs in the platform's table.

Example:
  apricotwind job list --entry http://127.0.0.1:7200`,
		Setup: func(flags *flag.FlagSet) Run {
			entry := newOperatorFlags(flags)
			return func(ctx context.Context, env Env, _ []string) error {
				jobs, err := entry.client(env).Jobs(ctx)
				if err != nil {
					return err
				}
				columns := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
				fmt.Fprintf(columns, "job\tworkspace\tclass\ttasks\tsubmitted\tdeadline\n")
				for _, j := range jobs {
					fmt.Fprintf(columns, "%s\t%s\t%s\t%d\t%s\t%s\n", j.ID, j.Workspace, j.Class, j.Tasks,
						j.Submitted.Format(time.RFC3339), j.Deadline.Format(time.RFC3339))
				}
				return columns.Flush()
			}
		},
	}
}
