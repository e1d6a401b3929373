package verb

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/replay"
	"github.com/apricotwind/apricotwind/internal/trace"
	"github.com/cockroachdb/errors"
)

func replayVerb() Verb {
	return Verb{
		Name:  "replay",
		Takes: "FILE | DAY",
		Short: "run a recorded day through the decision code",
		Long: `
Runs a recorded day (a file, or one that comes with the program: mkutano-calm,
mkutano-bad, lechtal-calm, lechtal-bad) through the decision code and prints each
decision, then the outcome. The same day, seed and policies print the same bytes.
It fails if an outcome that the day states was not reached.

Policies other than the preset ones are baselines to compare with.

Examples:
  apricotwind replay mkutano-bad
  apricotwind replay --quiet --chooser round-robin mkutano-bad
  apricotwind replay --quiet --placer first-fit --throttle=false lechtal-bad`,
		Setup: func(flags *flag.FlagSet) Run {
			c := &replayCommand{
				seed:              flags.Uint64("seed", 1, "`seed` of the random decisions"),
				routingStrategy:   flags.String("chooser", routing.LeastWait.String(), "least-wait, random, round-robin or least-loaded"),
				placementStrategy: flags.String("placer", placement.Spread.String(), "spread or first-fit"),
				throttle:          flags.Bool("throttle", true, "throttle batch tasks when the tail latency of a service nears its target"),
				quiet:             flags.Bool("quiet", false, "print the outcome only"),
			}
			return c.run
		},
	}
}

// replayCommand holds the flags of the verb replay.
type replayCommand struct {
	seed                               *uint64
	routingStrategy, placementStrategy *string
	throttle, quiet                    *bool
}

func (c *replayCommand) run(_ context.Context, env Env, arguments []string) error {
	if len(arguments) != 1 {
		return usagef("takes one file or recorded day after the flags, not %d arguments", len(arguments))
	}
	recorded, err := openNamedTrace(arguments[0])
	if err != nil {
		return err
	}
	options, err := c.options(env)
	if err != nil {
		return err
	}
	result, err := replay.Run(recorded, options)
	if err != nil {
		return errors.Wrap(err, arguments[0])
	}
	if err := writeReplayResult(env.Out, result); err != nil {
		return err
	}
	if len(result.Unmet) > 0 {
		return errors.Newf("%s: results below the expectations of the trace: %s", arguments[0], strings.Join(result.Unmet, "; "))
	}
	return nil
}

// openNamedTrace opens the embedded trace of that name. If there is none it opens the file.
func openNamedTrace(name string) (trace.Trace, error) {
	for _, known := range trace.Names() {
		if known == name {
			return trace.Open(name)
		}
	}
	recorded, err := openTrace(name, "")
	if errors.Is(err, os.ErrNotExist) {
		return recorded, errors.Newf("%q is neither a file nor one of the recorded days %s", name, strings.Join(trace.Names(), ", "))
	}
	return recorded, err
}

// options returns the options of the replay that the flags ask for.
func (c *replayCommand) options(env Env) (replay.Options, error) {
	options := replay.Options{Seed: *c.seed, Throttle: *c.throttle}
	if !*c.quiet {
		options.DecisionLog = env.Out
	}
	routingStrategy, ok := findByName(routing.Strategies(), *c.routingStrategy)
	if !ok {
		return options, usagef("--chooser: %q is not one of least-wait, random, round-robin, least-loaded", *c.routingStrategy)
	}
	placementStrategy, ok := findByName([]placement.Strategy{placement.Spread, placement.FirstFit}, *c.placementStrategy)
	if !ok {
		return options, usagef("--placer: %q is not one of spread, first-fit", *c.placementStrategy)
	}
	options.RoutingStrategy, options.PlacementStrategy = routingStrategy, placementStrategy
	return options, nil
}

// findByName returns the value whose String is name, and whether there is one.
func findByName[T fmt.Stringer](values []T, name string) (T, bool) {
	for _, value := range values {
		if value.String() == name {
			return value, true
		}
	}
	var zero T
	return zero, false
}

// writeReplayResult prints the report and the totals of a replay.
func writeReplayResult(w io.Writer, result replay.Result) error {
	if err := result.Report.WriteText(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "starts %d, commits %d, rows %d, evicted %d, retried %d\n",
		result.Starts, result.Commits, result.Rows, result.Evicted, result.Retried)
	return err
}
