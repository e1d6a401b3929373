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
				deployment: flags.String("setting", "mkutano", "mkutano or lechtal"),
				scenario:   flags.String("weather", "calm", "calm or bad"),
				traceFile:  flags.String("trace", "", "`file` of a recorded day to play instead"),
				seed:       flags.Uint64("seed", 1, "`seed` of the stand-ins"),
				asJSON:     flags.Bool("json", false, "print the result as JSON"),
				htmlFile:   flags.String("html", "", "`file` to write the report to as a page with plots"),
				level:      flags.String("log", "error", "log `level` of the processes: debug, info, warn, error"),
			}
			return c.run
		},
	}
}

// demoCommand holds the flags of the verb demo.
type demoCommand struct {
	deployment, scenario, traceFile, level, htmlFile *string
	seed                                             *uint64
	asJSON                                           *bool
}

// demoTimeout limits the duration of a demo.
const demoTimeout = 30 * time.Second

func (c *demoCommand) run(ctx context.Context, env Env, arguments []string) error {
	if len(arguments) > 0 {
		return usagef("takes no arguments: %q", arguments[0])
	}
	recorded, err := openTrace(*c.traceFile, *c.deployment+"-"+*c.scenario)
	if err != nil {
		return err
	}
	log, err := logs.New(env.Err, *c.level, "demo", *c.deployment)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	demoCtx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	start := time.Now()
	result, err := demo.Play(demoCtx, recorded, *c.seed, log, env.Err)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Err, "demo: took %s\n", time.Since(start).Round(100*time.Millisecond))
	return c.show(env, result)
}

// openTrace reads a trace from a file. If file is empty it opens the embedded trace of that name.
func openTrace(file, name string) (trace.Trace, error) {
	if file == "" {
		return trace.Open(name)
	}
	input, err := os.Open(file)
	if err != nil {
		return trace.Trace{}, errors.Wrap(err, "open trace")
	}
	defer func() { _ = input.Close() }()
	recorded, err := trace.Read(input)
	return recorded, errors.Wrap(err, file)
}

// writePage writes the report to a file as an HTML page.
func (c *demoCommand) writePage(result demo.Result) error {
	var page bytes.Buffer
	if err := result.Report.WriteHTML(&page); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(*c.htmlFile, page.Bytes(), 0o644), "write page")
}

// show prints the result. It returns an error if a check failed.
func (c *demoCommand) show(env Env, result demo.Result) error {
	if *c.htmlFile != "" {
		if err := c.writePage(result); err != nil {
			return err
		}
	}
	if *c.asJSON {
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return err
		}
	} else if err := writeResult(env, result); err != nil {
		return err
	}
	for _, check := range result.Checks {
		if !check.Passed {
			return errors.Newf("check failed: %s (%s)", check.Text, check.Detail)
		}
	}
	return nil
}

// writeResult prints the report and the checks as text.
func writeResult(env Env, result demo.Result) error {
	if err := result.Report.WriteText(env.Out); err != nil {
		return err
	}
	fmt.Fprintln(env.Out)
	for _, check := range result.Checks {
		fmt.Fprintf(env.Out, "%-6s  %s (%s)\n", checkLabel(check.Passed), check.Text, check.Detail)
	}
	return nil
}
