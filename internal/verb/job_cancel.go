package verb

import (
	"context"
	"flag"
	"fmt"
)

func jobCancelVerb() Verb {
	return Verb{
		Name:  "job cancel",
		Takes: "JOB",
		Short: "cancel a job: what waits ends, what runs is stopped",
		Long: `
Cancels a job. It returns once the cancellation is stored; 'job status' shows the
tasks ending. Cancelling a job again changes nothing.

Example:
  apricotwind job cancel j5f3a`,
		Setup: func(flags *flag.FlagSet) Run {
			entry := newOperatorFlags(flags)
			return func(ctx context.Context, env Env, arguments []string) error {
				if len(arguments) != 1 {
					return usagef("takes one job ID after the flags, not %d arguments", len(arguments))
				}
				if err := entry.client(env).Cancel(ctx, arguments[0]); err != nil {
					return err
				}
				fmt.Fprintf(env.Out, "%s: cancellation stored\n", arguments[0])
				return nil
			}
		},
	}
}
