package verb

import (
	"context"
	"flag"
)

func replayVerb() Verb {
	return Verb{
		Name: "replay",
		Build: func(*flag.FlagSet) Run {
			return func(context.Context, Streams, []string) error { return usagef("to come") }
		},
	}
}
