package verb

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/replay"
	"github.com/apricotwind/apricotwind/internal/trace"
)

func experimentVerb() Verb {
	return Verb{
		Name:  "experiment",
		Short: "compare routing policies on the same days in one run",
		Long: `
Replays generated days of a setting under each routing policy, in one run: a quiet
day, overloads, one slow instance, a lost failure domain, a noisy wave of batch
work. For each it prints the latency of answers in ms, how many requests were
answered within their target, late, or refused, and how often they were tried
again.

Load 1 is what the setting's generator assumes; --load scales it, so that overload
means something on instances that hold far more.

Example:
  apricotwind experiment --setting mkutano --load 20`,
		Setup: func(flags *flag.FlagSet) Run {
			deployment := flags.String("setting", "mkutano", "mkutano or lechtal")
			load := flags.Float64("load", 20, "`times` the assumed load that counts as 1x")
			seed := flags.Uint64("seed", 1, "`seed` of the days and of the policies")
			return func(_ context.Context, env Env, _ []string) error {
				return runExperiment(env, *deployment, *load, *seed)
			}
		},
	}
}

// trials lists the scenarios of an experiment and their load, in multiples of the flag --load.
var trials = []struct {
	scenario string
	load     float64
}{
	{"quiet", 1}, {"quiet", 1.5}, {"quiet", 2}, {"slow", 1}, {"domain", 1}, {"noisy", 1},
}

// runExperiment replays each trial under each routing strategy and prints one line for each.
func runExperiment(env Env, deployment string, load float64, seed uint64) error {
	columns := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(columns, strings.Join([]string{"day", "load", "policy", "p50", "p99", "p99.9", "sent", "in time", "late", "refused", "retried", ""}, "\t"))
	for _, trial := range trials {
		var text bytes.Buffer
		if err := trace.Generate(&text, deployment, trial.scenario, load*trial.load, seed); err != nil {
			return err
		}
		recorded, err := trace.Read(&text)
		if err != nil {
			return err
		}
		for _, strategy := range routing.Strategies() {
			result, err := replay.Run(recorded, replay.Options{Seed: seed, RoutingStrategy: strategy, Throttle: true})
			if err != nil {
				return err
			}
			s := result.Requests
			fmt.Fprintf(columns, "%s\t%gx\t%s\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%d\t\n", trial.scenario, trial.load, strategy,
				ms(s.P50), ms(s.P99), ms(s.P999), s.Sent, s.InTime, s.Late, s.Refused, result.Retried)
		}
	}
	return columns.Flush()
}

// ms returns d in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
