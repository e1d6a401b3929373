package verb

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/process"
	"github.com/cockroachdb/errors"
)

func explainVerb() Verb {
	return Verb{
		Name:  "explain",
		Takes: "[JOB]",
		Short: "explain where the tasks of a job would go now, and why",
		Long: `
Asks the owner of the users' platform, through any 'platform entry', where the
tasks of an unfinished job would go now: its place in line, and for each step the
window that is held for it, the expected start, the expected and the certain end,
and the instances, the best first, with the first obstacle against each. Without
JOB it explains a job of one step, described by the flags, as if it were accepted
now. Nothing is submitted or changed.

Examples:
  apricotwind explain --link 127.0.0.1:7102 j-17
  apricotwind explain --link 127.0.0.1:7102 --service batch --queue nightly \
      --tasks 4 --cpu 2 --memory 2000 --runtime 90s --gang
  apricotwind explain --link 127.0.0.1:7102 --json j-17`,
		Setup: func(flags *flag.FlagSet) Run { return newExplainCommand(flags).run },
	}
}

const (
	describedID     = "described" // ID of a job that is only described
	shownCandidates = 10          // instances of a step that are shown without --all
)

// Bounds of a described job.
const (
	maxDescribedNumber = 1 << 20
	maxDescribedTime   = 30 * 24 * time.Hour
)

// explainCommand holds the flags of the verb explain.
type explainCommand struct {
	flags            *flag.FlagSet
	link             *addressFlag
	all, json        *bool
	job              dispatch.Job
	step             dispatch.Step
	cpu              *float64
	memory, tasks    *int
	runtime, latency *time.Duration
}

func newExplainCommand(flags *flag.FlagSet) *explainCommand {
	c := &explainCommand{flags: flags, job: dispatch.Job{ID: describedID}}
	c.link = addressVar(flags, "link", "", "link `address` of any platform entry")
	c.all = flags.Bool("all", false, "show all instances, not only the first 10 of each step")
	c.json = flags.Bool("json", false, "print JSON")
	flags.StringVar(&c.job.Policy.Service, "service", "", "`name` of the service whose instances run the job")
	flags.StringVar(&c.job.Queue, "queue", "", "`name` of its queue")
	flags.IntVar(&c.job.Policy.Priority, "priority", 0, "`priority` of the job; 0 is the highest")
	flags.Float64Var(&c.job.Policy.Stretch, "stretch", 1, "`factor` of the run time in the job's objective")
	c.latency = durationVar(flags, "latency", 0, 0, maxDescribedTime, "`time` that the objective adds to that")
	c.tasks = intVar(flags, "tasks", 1, 1, maxDescribedNumber, "`number` of tasks")
	c.cpu = floatVar(flags, "cpu", 1, 0, maxProcessors, "`processors` of one task")
	c.memory = intVar(flags, "memory", 0, 0, maxMemoryMB, "`MB` of memory of one task")
	flags.IntVar(&c.step.Need.Accelerators, "accelerators", 0, "`number` of accelerators of one task")
	c.runtime = durationVar(flags, "runtime", time.Minute, 0, maxDescribedTime, "declared run `time` of one task")
	flags.StringVar(&c.step.Image, "image", "", "`name` of the image that the tasks run")
	flags.StringVar(&c.step.Label, "label", "", "`label` that the instances must have")
	flags.BoolVar(&c.step.BestEffort, "best-effort", false, "whether the tasks use processors that others leave idle")
	flags.BoolVar(&c.step.Gang, "gang", false, "whether all tasks start together")
	return c
}

func (c *explainCommand) run(ctx context.Context, env Env, arguments []string) error {
	if len(arguments) > 1 {
		return usagef("takes at most one job: %q", arguments[1])
	}
	if err := requireValues(c.flags); err != nil {
		return err
	}
	asked := link.Explain{Job: c.described()}
	if len(arguments) == 1 {
		asked = link.Explain{ID: arguments[0]}
	}
	if err := asked.Validate(); err != nil {
		return errors.Mark(err, errUsage)
	}
	explained, err := c.ask(ctx, asked)
	switch {
	case err != nil:
		return err
	case !explained.Known:
		return errors.Newf("no unfinished job %q is known", asked.ID)
	case *c.json:
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(explained.Explanation), "write")
	}
	return writeExplanation(env.Out, &explained.Explanation, *c.all)
}

// described returns the job that the flags describe.
func (c *explainCommand) described() *dispatch.Job {
	job, step := c.job, c.step
	step.Count, step.Estimate = *c.tasks, c.runtime.Milliseconds()
	step.Need.Processors, step.Need.Memory = int(*c.cpu*1000), *c.memory
	job.Policy.Latency, job.Policy.Attempts, job.Steps = c.latency.Milliseconds(), 1, []dispatch.Step{step}
	return &job
}

// ask calls the entry.
func (c *explainCommand) ask(ctx context.Context, asked link.Explain) (explained link.Explained, err error) {
	address := c.link.String()
	stream, err := process.NewNetwork().Dial(ctx, "tcp", address)
	if err != nil {
		return explained, errors.Wrapf(err, "dial %s", address)
	}
	conn := link.New(ctx, stream, address, metrics.New(), link.RejectCalls)
	defer conn.Close()
	return explained, conn.Call(ctx, link.MethodExplain, asked, &explained)
}

// writeExplanation prints an explanation, with all or only the first candidates of each step.
func writeExplanation(w io.Writer, e *dispatch.Explanation, all bool) error {
	standing := "late"
	switch {
	case e.Worthless:
		standing = "too late to be worth anything"
	case e.OnTime:
		standing = "on time"
	}
	if e.Postponed {
		standing += ", postponed"
	}
	fmt.Fprintf(w, "job %s: place %d of %d, priority %d, %s\n", e.Job, e.Place, e.Jobs, e.Priority, standing)
	fmt.Fprintf(w, "objective %s, expected end %s, certain end %s\n", timeText(e.Objective), timeText(e.ExpectedEnd), timeText(e.CertainlyEnd))
	for i := range e.Steps {
		if err := writeStep(w, i, &e.Steps[i], all); err != nil {
			return err
		}
	}
	return nil
}

func writeStep(w io.Writer, index int, step *dispatch.StepExplanation, all bool) error {
	after := ""
	if step.AfterOthers {
		after = ", after steps that are not done"
	}
	fmt.Fprintf(w, "step %d: %d waiting, %d running, %d done%s\n", index, step.Waiting, step.Running, step.Done, after)
	fmt.Fprintf(w, "  start %s, expected end %s, certain end %s\n", timeText(step.Start), timeText(step.ExpectedEnd), timeText(step.CertainlyEnd))
	if len(step.Window) > 0 {
		fmt.Fprintf(w, "  window on %s\n", strings.Join(step.Window, ", "))
	}
	shown := step.Candidates
	if !all {
		shown = shown[:min(shownCandidates, len(shown))]
	}
	if len(shown) == 0 {
		return nil
	}
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(columns, "  instance\tobstacle\tpenalty\tfree cpu\tMB\taccelerators\tleftover cpu\n")
	for _, c := range shown {
		obstacle := c.Obstacle.String()
		if c.Holder != "" {
			obstacle += " of " + c.Holder
		}
		fmt.Fprintf(columns, "  %s\t%s\t%d\t%s\t%d\t%d\t%s\n", c.Instance, obstacle, c.Penalty, coresText(c.Free.Processors), c.Free.Memory, c.Free.Accelerators, coresText(c.Leftover))
	}
	if err := columns.Flush(); err != nil {
		return errors.Wrap(err, "write")
	}
	if left := len(step.Candidates) - len(shown); left > 0 {
		fmt.Fprintf(w, "  and %d more (--all)\n", left)
	}
	return nil
}

func coresText(millicores int) string { return fmt.Sprintf("%.3g", float64(millicores)/1000) }

func timeText(t time.Time) string {
	if t.IsZero() {
		return "unknown"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}
