package verb

import (
	"context"
	"flag"
	"fmt"
	"io"
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
				seed:     flags.Uint64("seed", 1, "`seed` of the decisions that draw lots"),
				chooser:  flags.String("chooser", routing.LeastWait.String(), "least-wait, random, round-robin or least-loaded"),
				placer:   flags.String("placer", placement.Spread.String(), "spread or first-fit"),
				throttle: flags.Bool("throttle", true, "throttle batch tasks when a service's tail nears its target"),
				quiet:    flags.Bool("quiet", false, "print the outcome only"),
			}
			return c.run
		},
	}
}

type replayCommand struct {
	seed            *uint64
	chooser, placer *string
	throttle, quiet *bool
}

func (c *replayCommand) run(_ context.Context, streams Env, arguments []string) error {
	if len(arguments) != 1 {
		return usagef("takes one day, not %d arguments", len(arguments))
	}
	of, err := openNamedDay(arguments[0])
	if err != nil {
		return err
	}
	options, err := c.options(streams)
	if err != nil {
		return err
	}
	outcome, err := replay.Run(of, options)
	if err != nil {
		return errors.Wrap(err, arguments[0])
	}
	if err := writeOutcome(streams.Out, outcome); err != nil {
		return err
	}
	if len(outcome.Unmet) > 0 {
		return errors.Newf("%s: not as expected: %s", arguments[0], strings.Join(outcome.Unmet, "; "))
	}
	return nil
}

// openNamedDay reads a recorded day by its name, or else a file.
func openNamedDay(name string) (trace.Trace, error) {
	for _, known := range trace.Names() {
		if known == name {
			return trace.Open(name)
		}
	}
	return openDay(name, "")
}

func (c *replayCommand) options(streams Env) (replay.Options, error) {
	options := replay.Options{Seed: *c.seed, Throttle: *c.throttle}
	if !*c.quiet {
		options.Trace = streams.Out
	}
	chooser, ok := byName(routing.Strategies(), *c.chooser)
	if !ok {
		return options, usagef("there is no chooser %q", *c.chooser)
	}
	placer, ok := byName([]placement.Strategy{placement.Spread, placement.FirstFit}, *c.placer)
	if !ok {
		return options, usagef("there is no placer %q", *c.placer)
	}
	options.RoutingStrategy, options.PlacementStrategy = chooser, placer
	return options, nil
}

// byName finds an enum's value by its name.
func byName[T fmt.Stringer](values []T, name string) (T, bool) {
	for _, value := range values {
		if value.String() == name {
			return value, true
		}
	}
	var none T
	return none, false
}

func writeOutcome(w io.Writer, outcome replay.Result) error {
	if err := outcome.Report.WriteText(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "starts %d, commits %d, rows %d, evicted %d, retried %d\n",
		outcome.Starts, outcome.Commits, outcome.Rows, outcome.Evicted, outcome.Retried)
	return err
}
