package verb

import (
	"context"
	"flag"

	"github.com/apricotwind/apricotwind/internal/trace"
)

func traceVerb() Verb {
	return Verb{
		Name:  "trace",
		Short: "make a recorded day from a seed",
		Long: `
Writes a day of requests, jobs and failures of a setting, from a seed: the same
seed gives the same day. Its assumptions are stated in its first lines; sizes are
as the sites stated them, load and times are assumed.

Example:
  apricotwind trace --setting lechtal --weather bad --seed 7 > bad.trace
  apricotwind replay bad.trace`,
		Setup: func(flags *flag.FlagSet) Run {
			deployment := flags.String("setting", "mkutano", "mkutano or lechtal")
			scenario := flags.String("weather", "calm", "calm, bad, quiet, slow, domain or noisy")
			load := flags.Float64("load", 1, "`times` the assumed load")
			seed := flags.Uint64("seed", 1, "`seed` of the day")
			return func(_ context.Context, env Env, _ []string) error {
				return trace.Generate(env.Out, *deployment, *scenario, *load, *seed)
			}
		},
	}
}
