package verb

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/cockroachdb/errors"
)

func jobSubmitVerb() Verb {
	return Verb{
		Name:  "job submit",
		Short: "submit a batch job",
		Long: `
Submits a job of equal tasks and prints its id once it is stored. A job that fits
no instance is refused at once with the dimension that does not fit. With --key,
submitting twice is submitting once.

--file reads the same names from a YAML file; flags take precedence over it.

Examples:
  apricotwind job submit --workspace kilele --class rebrand --tasks 40 \
      --cpu 4 --memory 2000 --runtime 90s --idempotent=false --key bank-2026-12
  apricotwind job submit --file job.yaml`,
		Setup: func(flags *flag.FlagSet) Run {
			c := newJobSubmitCommand(flags)
			return c.run
		},
	}
}

// jobSubmitCommand holds the flags of the verb job submit.
type jobSubmitCommand struct {
	flags      *flag.FlagSet
	entry      *operatorFlags
	file       *string
	submission job.Submission
}

func newJobSubmitCommand(flags *flag.FlagSet) *jobSubmitCommand {
	c := &jobSubmitCommand{flags: flags, entry: newOperatorFlags(flags)}
	s := &c.submission
	flags.StringVar(&s.Workspace, "workspace", "", "`name` of the workspace that the work is for")
	flags.StringVar(&s.Class, "class", "", "`name` of its class")
	flags.IntVar(&s.Tasks, "tasks", 1, "`number` of tasks")
	flags.Float64Var(&s.Processors, "cpu", 1, "`processors` of one task")
	flags.IntVar(&s.Memory, "memory", 0, "`MB` of memory of one task")
	flags.IntVar(&s.Accelerators, "accelerators", 0, "`number` of accelerators of one task")
	flags.DurationVar(&s.Runtime, "runtime", time.Minute, "declared run `time` of one task")
	flags.DurationVar(&s.Deadline, "deadline", 0, "`time` from now by which all must be done (default the class's target)")
	flags.BoolVar(&s.Idempotent, "idempotent", true, "whether a task may run again after it was lost")
	flags.StringVar(&s.Payload, "work", "", "`text` handed to the upstream")
	flags.StringVar(&s.Key, "key", "", "`key` of the job: submitting twice with one key is submitting once")
	c.file = flags.String("file", "", "YAML `file` of the job")
	return c
}

func (c *jobSubmitCommand) run(ctx context.Context, env Env, arguments []string) error {
	if len(arguments) > 0 {
		return usagef("takes no arguments: %q", arguments[0])
	}
	if err := c.readFile(); err != nil {
		return err
	}
	accepted, err := c.entry.client(env).Submit(ctx, c.submission)
	if err != nil {
		return err
	}
	fmt.Fprintln(env.Out, accepted.ID)
	return nil
}

// readFile sets the flags that neither the command line, the environment nor --settings has set
// from the job's file, if one was named.
func (c *jobSubmitCommand) readFile() error {
	if *c.file == "" {
		return nil
	}
	text, err := os.ReadFile(*c.file)
	if err != nil {
		return errors.Wrap(err, "read job")
	}
	given := map[string]bool{}
	c.flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	diagnostics, err := applySettings(c.flags, text, func(name, value string) error {
		if given[name] {
			return nil
		}
		return c.flags.Set(name, value)
	})
	if err == nil && len(diagnostics) > 0 {
		err = diagnostics
	}
	if err != nil {
		return prefixLines(*c.file, err)
	}
	return nil
}
