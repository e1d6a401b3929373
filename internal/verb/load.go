package verb

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/apricotwind/apricotwind/internal/loadgen"
	"github.com/cockroachdb/errors"
)

func loadVerb() Verb {
	return Verb{
		Name:  "load",
		Short: "send requests through entries at a steady rate and check every answer",
		Long: `
Sends requests to stand-in upstreams through entries, in turn, at a steady rate
whether or not they are answered in time, and compares every answer with what was
asked. With --witness it then compares what callers were told with what the
upstreams saw: it fails if an answer was wrong or short, a refused request was
run, one that may run once only ran twice, an instance was overfull, or a task ran
in two places. Addresses are loopback addresses only.

Example:
  apricotwind load --caller http://127.0.0.1:7100 --caller http://127.0.0.1:7101 \
      --class preview --workspace kilele --rate 100 --for 20s --post 0.3 \
      --witness http://127.0.0.1:9001`,
		Setup: func(flags *flag.FlagSet) Run {
			c := newLoadCommand(flags)
			return c.run
		},
	}
}

// loadCommand holds the flags of the verb load.
type loadCommand struct {
	entries, upstreams listFlag
	config             loadgen.Config
}

func newLoadCommand(flags *flag.FlagSet) *loadCommand {
	c := &loadCommand{}
	flags.Var(&c.entries, "caller", "callers' `URL` of an entry; may be given several times")
	flags.Var(&c.upstreams, "witness", "`URL` of a stand-in upstream; may be given several times")
	flags.Float64Var(&c.config.Rate, "rate", 50, "`requests` a second")
	flags.DurationVar(&c.config.Duration, "for", 10*time.Second, "`time` to send for")
	flags.DurationVar(&c.config.ServiceTime, "work", 5*time.Millisecond, "`time` of service of a request")
	flags.Float64Var(&c.config.PostShare, "post", 0.2, "`share` of requests that carry a body and may run once only")
	flags.StringVar(&c.config.Class, "class", "", "`name` of the class")
	flags.StringVar(&c.config.Workspace, "workspace", "", "`name` of the workspace")
	flags.Uint64Var(&c.config.Seed, "seed", 1, "`seed` of the mix of requests")
	return c
}

func (c *loadCommand) run(ctx context.Context, env Env, arguments []string) error {
	c.config.Entries, c.config.Upstreams = c.entries, c.upstreams
	switch {
	case len(arguments) > 0:
		return usagef("takes no arguments: %q", arguments[0])
	case len(c.config.Entries) == 0:
		return usagef("--caller is missing")
	case c.config.Rate <= 0 || c.config.Duration <= 0:
		return usagef("--rate and --for must be over 0, not %g and %s", c.config.Rate, c.config.Duration)
	}
	for _, url := range append(append([]string(nil), c.entries...), c.upstreams...) {
		if err := checkLoopback(url); err != nil {
			return err
		}
	}
	result, err := loadgen.Run(ctx, c.config)
	if err != nil {
		return err
	}
	return c.show(env.Out, result)
}

// show prints the result. It returns an error if an answer was wrong or a check failed.
func (c *loadCommand) show(w io.Writer, result loadgen.Result) error {
	fmt.Fprintf(w, "sent %d, answered %d, refused %d, unknown %d, without an answer %d, dropped by this tool %d\n",
		result.Sent, result.Answered, result.Refused, result.Unknown, result.NoAnswer, result.Dropped)
	fmt.Fprintf(w, "latency of answers: p50 %s, p99 %s, p99.9 %s\n", result.P50, result.P99, result.P999)
	fmt.Fprintf(w, "wrong answers: %d\n", len(result.Wrong))
	for _, wrong := range result.Wrong {
		fmt.Fprintf(w, "  %s\n", wrong)
	}
	violations := len(result.Wrong)
	for _, check := range result.Checks {
		fmt.Fprintf(w, "%-6s  %s (%s)\n", checkLabel(check.Passed), check.Text, check.Detail)
		if !check.Passed {
			violations++
		}
	}
	if violations > 0 {
		return errors.Newf("%d wrong answers or failed checks", violations)
	}
	return nil
}

// checkLabel returns how the result of a check is printed.
func checkLabel(passed bool) string {
	if passed {
		return "held"
	}
	return "BROKEN"
}
