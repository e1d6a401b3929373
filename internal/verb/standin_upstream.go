package verb

import (
	"context"
	"flag"

	"github.com/apricotwind/apricotwind/internal/standin"
)

func standinUpstreamVerb() Verb {
	return Verb{
		Name:  "standin upstream",
		Short: "run a stand-in of one upstream instance",
		Long: `
Runs a small stand-in of an upstream instance until SIGTERM. It serves requests
on every path and runs tasks through the task interface below /task/.

  Standin-Work: 25        the request takes 25 ms
  Standin-Echo: true      the answer is the request's body, with a trailer
  Standin-Request: a1     how often request a1 was run is counted

What it saw is at GET /standin/witness.

Example:
  apricotwind standin upstream --name m01 --listen 127.0.0.1:9001`,
		Build: func(flags *flag.FlagSet) Run {
			name := flags.String("name", "", "`name` of the instance")
			listen := addressVar(flags, "listen", "127.0.0.1:9001", "`address` to listen on")
			capacity := newCapacityFlags(flags)
			return func(_ context.Context, streams Streams, _ []string) error {
				if err := requireValues(flags); err != nil {
					return err
				}
				offered := capacity.capacity()
				return serveStandin(streams, listen.String(), standin.NewUpstream(*name, offered.Slots, offered.Need()).Handler())
			}
		},
	}
}
