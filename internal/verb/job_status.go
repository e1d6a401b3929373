package verb

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/apricotwind/apricotwind/internal/job"
)

func jobStatusVerb() Verb {
	return Verb{
		Name:  "job status",
		Takes: "JOB",
		Short: "follow a job: its tasks, attempts, and the reason of each move",
		Long: `
Shows a job and its tasks. With --wait it returns when every task has ended, and
fails if any did not end as done.

Example:
  $ apricotwind job status j5f3a
  j5f3a kilele rebrand: 40 tasks, 38 done, 2 placed
  task  state   attempt  instance  evictions  why
  0     done    1        m04       0
  7     placed  2        m02       1          evicted from m09: instance is leaving`,
		Setup: func(flags *flag.FlagSet) Run {
			entry := newOperatorFlags(flags)
			wait := flags.Duration("wait", 0, "longest `wait` for the end of every task")
			return func(ctx context.Context, env Env, arguments []string) error {
				if len(arguments) != 1 {
					return usagef("takes one job ID after the flags, not %d arguments", len(arguments))
				}
				return runJobStatus(ctx, env, entry, arguments[0], *wait)
			}
		},
	}
}

// jobPollInterval is the time between two requests for the status of a job while waiting.
const jobPollInterval = 200 * time.Millisecond

// runJobStatus prints the status of a job. It polls the status until all tasks are final or
// wait has passed.
func runJobStatus(ctx context.Context, env Env, entry *operatorFlags, id string, wait time.Duration) error {
	client := entry.client(env)
	deadline := time.Now().Add(wait)
	for {
		status, err := client.Job(ctx, id)
		complete := err == nil && allFinal(status)
		if complete || !time.Now().Before(deadline) {
			if err != nil {
				return err
			}
			return printJob(env.Out, status, wait > 0)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(jobPollInterval):
		}
	}
}

// allFinal reports whether every task of the job has a final state.
func allFinal(status job.Status) bool {
	for _, task := range status.Tasks {
		if !task.State.Final() {
			return false
		}
	}
	return true
}

// printJob prints the job. If the caller waited for it and a task is not done, it returns an
// error.
func printJob(w io.Writer, status job.Status, waited bool) error {
	if err := writeJob(w, status); err != nil {
		return err
	}
	done := status.Counts["done"]
	if waited && done < status.Job.Tasks {
		return fmt.Errorf("job %s: %d of %d tasks are done", status.Job.ID, done, status.Job.Tasks)
	}
	return nil
}

// writeJob prints the totals of the job and a table of its tasks.
func writeJob(w io.Writer, status job.Status) error {
	j := status.Job
	fmt.Fprintf(w, "%s %s %s: %d tasks", j.ID, j.Workspace, j.Class, j.Tasks)
	for _, state := range []string{"waiting", "placed", "done", "failed", "cancelled", "unknown"} {
		if n := status.Counts[state]; n > 0 {
			fmt.Fprintf(w, ", %d %s", n, state)
		}
	}
	fmt.Fprintln(w)
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(columns, "task\tstate\tattempt\tinstance\tevictions\twhy\n")
	for _, task := range status.Tasks {
		fmt.Fprintf(columns, "%d\t%s\t%d\t%s\t%d\t%s\n", task.Number, task.State, task.Attempt, task.Instance, task.Evictions, task.Reason)
	}
	return columns.Flush()
}
