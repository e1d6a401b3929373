package verb

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"time"

	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/cockroachdb/errors"
)

func reportVerb() Verb {
	return Verb{
		Name:  "report",
		Short: "show what was owed, delivered, and why",
		Long: `
Shows what each workspace and class was owed over a period, what it got, and the
causes of every shortfall. Windows of the ledger that are missing are named.

Examples:
  apricotwind report
  apricotwind report --from 2026-12-04T08:00:00Z --workspace kilele
  apricotwind report --explain --workspace kilele --class preview
  apricotwind report --format html > report.html
  cat e0.log e1.log | apricotwind report --log - --targets targets.yaml

With --log the report is computed from the decision lines of all entries' logs,
under the document of --targets, without asking an entry: it must agree with the
one from the ledger.`,
		Setup: func(flags *flag.FlagSet) Run {
			c := &reportCommand{
				entry:     newOperatorFlags(flags),
				from:      flags.String("from", "", "start of the period, RFC 3339 `time` (default all)"),
				until:     flags.String("to", "", "end of the period, RFC 3339 `time` (default now)"),
				workspace: flags.String("workspace", "", "only this `workspace`"),
				class:     flags.String("class", "", "only this `class`"),
				log:       flags.String("log", "", "`file` of all entries' logs to compute the report from, - for standard input"),
				targets:   flags.String("targets", "", "`file` of the document, required with --log"),
				explain:   flags.Bool("explain", false, "list the decisions that explain each shortfall and move, with their time"),
				format:    flags.String("format", "text", "text, json or html"),
			}
			return c.run
		},
	}
}

// reportCommand holds the flags of the verb report.
type reportCommand struct {
	entry                                 *operatorFlags
	from, until, workspace, class, format *string
	log, targets                          *string
	explain                               *bool
}

func (c *reportCommand) run(ctx context.Context, env Env, _ []string) error {
	if *c.log != "" {
		return c.runFromLog(env)
	}
	from, err := parseTime("from", *c.from, time.Time{})
	if err != nil {
		return err
	}
	until, err := parseTime("to", *c.until, time.Now())
	if err != nil {
		return err
	}
	report, err := c.entry.client(env).Report(ctx, from, until, *c.workspace, *c.class)
	if err != nil {
		return err
	}
	if err := writeReport(env, *c.format, report); err != nil || !*c.explain {
		return err
	}
	return report.WriteNotes(env.Out)
}

// runFromLog computes the report from the decision lines of the entries' logs, without calling
// an entry.
func (c *reportCommand) runFromLog(env Env) error {
	if *c.targets == "" {
		return errors.New("--targets is missing: --log needs the file of the document")
	}
	text, err := os.ReadFile(*c.targets)
	if err != nil {
		return errors.Wrap(err, "--targets")
	}
	document, err := contract.Parse(text)
	if err != nil {
		return prefixLines(*c.targets, err)
	}
	input := env.In
	if *c.log != "-" {
		file, err := os.Open(*c.log)
		if err != nil {
			return errors.Wrap(err, "--log")
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	report, err := ledger.FromLog(input, document)
	if err != nil {
		return errors.Wrap(err, *c.log)
	}
	return writeReport(env, *c.format, report)
}

// writeReport prints the report in the given format.
func writeReport(env Env, format string, report ledger.Report) error {
	switch format {
	case "text":
		return report.WriteText(env.Out)
	case "json":
		encoder := json.NewEncoder(env.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	case "html":
		return report.WriteHTML(env.Out)
	}
	return usagef("--format: %q is not one of text, json, html", format)
}

// parseTime parses text as RFC 3339; an empty text gives defaultTime. name is the name of the flag,
// for the error.
func parseTime(name, text string, defaultTime time.Time) (time.Time, error) {
	if text == "" {
		return defaultTime, nil
	}
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, usagef("--%s: %q is not a time such as 2026-12-04T08:00:00Z", name, text)
	}
	return parsed, nil
}
