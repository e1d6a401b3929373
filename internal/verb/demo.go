package verb

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/apricotwind/apricotwind/internal/demo"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/trace"
	"github.com/cockroachdb/errors"
)

func demoVerb() Verb {
	return Verb{
		Name:  "demo",
		Short: "play a short recorded day on the whole system and report",
		Long: `
Starts the whole system in one process, over real sockets on loopback: a stand-in
platform, eleven stand-in instances with an agent each, and two entries. It plays
a recorded day of requests and jobs in which an instance fails, one leaves and a
target is revised, then prints for each workspace and class what was owed, what
was delivered and why. It takes at most 30 s, and fails if anything that must
always hold did not.

Examples:
  apricotwind demo
  apricotwind demo --setting lechtal --weather bad
  apricotwind demo --trace my.trace --json > result.json`,
		Setup: func(flags *flag.FlagSet) Run {
			c := &demoCommand{
				setting: flags.String("setting", "mkutano", "mkutano or lechtal"),
				weather: flags.String("weather", "calm", "calm or bad"),
				trace:   flags.String("trace", "", "`file` of a recorded day to play instead"),
				seed:    flags.Uint64("seed", 1, "`seed` of the stand-ins"),
				json:    flags.Bool("json", false, "print the result as JSON"),
				html:    flags.String("html", "", "`file` to write the report to as a page with plots"),
				level:   flags.String("log", "error", "log `level` of the processes: debug, info, warn, error"),
			}
			return c.run
		},
	}
}

type demoCommand struct {
	setting, weather, trace, level, html *string
	seed                                 *uint64
	json                                 *bool
}

// demoBound is the longest a demo may take.
const demoBound = 30 * time.Second

func (c *demoCommand) run(ctx context.Context, streams Env, arguments []string) error {
	if len(arguments) > 0 {
		return usagef("takes no arguments: %q", arguments[0])
	}
	of, err := openDay(*c.trace, *c.setting+"-"+*c.weather)
	if err != nil {
		return err
	}
	log, err := logs.New(streams.Err, *c.level, "demo", *c.setting)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	bounded, cancel := context.WithTimeout(ctx, demoBound)
	defer cancel()
	begun := time.Now()
	result, err := demo.Play(bounded, of, *c.seed, log, streams.Err)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Err, "demo: took %s\n", time.Since(begun).Round(100*time.Millisecond))
	return c.show(streams, result)
}

// openDay reads a day from a file, or the recorded one named.
func openDay(file, name string) (trace.Trace, error) {
	if file == "" {
		return trace.Open(name)
	}
	from, err := os.Open(file)
	if err != nil {
		return trace.Trace{}, errors.Wrap(err, "open trace")
	}
	defer func() { _ = from.Close() }()
	of, err := trace.Read(from)
	return of, errors.Wrap(err, file)
}

// writePage writes the report as a page.
func (c *demoCommand) writePage(result demo.Result) error {
	var page bytes.Buffer
	if err := result.Report.WriteHTML(&page); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(*c.html, page.Bytes(), 0o644), "write page")
}

func (c *demoCommand) show(streams Env, result demo.Result) error {
	if *c.html != "" {
		if err := c.writePage(result); err != nil {
			return err
		}
	}
	if *c.json {
		encoder := json.NewEncoder(streams.Out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return err
		}
	} else if err := writeResult(streams, result); err != nil {
		return err
	}
	for _, check := range result.Checks {
		if !check.Passed {
			return errors.Newf("this must always hold and did not: %s (%s)", check.Text, check.Detail)
		}
	}
	return nil
}

func writeResult(streams Env, result demo.Result) error {
	if err := result.Report.WriteText(streams.Out); err != nil {
		return err
	}
	fmt.Fprintln(streams.Out)
	for _, check := range result.Checks {
		fmt.Fprintf(streams.Out, "%-6s  %s (%s)\n", word(check.Passed), check.Text, check.Detail)
	}
	return nil
}
