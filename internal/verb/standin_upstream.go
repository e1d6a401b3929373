package verb

import (
	"context"
	"flag"
	"fmt"
	"net/netip"

	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/standin"
	"github.com/sourcegraph/conc/pool"
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

GET /standin/witness returns what it saw.

Example:
  apricotwind standin upstream --name m01 --listen 127.0.0.1:9001`,
		Setup: func(flags *flag.FlagSet) Run {
			name := flags.String("name", "", "`name` of the instance")
			listen := addressVar(flags, "listen", "127.0.0.1:9001", "`address` to listen on")
			capacity := newCapacityFlags(flags)
			count := intVar(flags, "count", 1, 1, 1000, "`number` of instances, on consecutive ports")
			return func(_ context.Context, env Env, _ []string) error {
				if err := requireValues(flags); err != nil {
					return err
				}
				return runStandinUpstreams(env, *name, netip.MustParseAddrPort(listen.String()), *count, capacity.capacity())
			}
		},
	}
}

// runStandinUpstreams serves count instances on consecutive ports. If there are several, each
// one's number is appended to its name.
func runStandinUpstreams(env Env, name string, first netip.AddrPort, count int, capacity link.Capacity) error {
	group := pool.New().WithErrors()
	for i := range count {
		instanceName := name
		if count > 1 {
			instanceName = fmt.Sprintf("%s%d", name, i)
		}
		address := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i))
		handler := standin.NewUpstream(instanceName, capacity.Slots, capacity.Resources()).Handler()
		group.Go(func() error { return serveStandin(env, address.String(), handler) })
	}
	return group.Wait()
}
