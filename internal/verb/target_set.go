package verb

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/cockroachdb/errors"
)

func targetSetVerb() Verb {
	return Verb{
		Name:  "target set",
		Takes: "FILE | CLASS TARGET=VALUE...",
		Short: "put a document of targets in force, or revise one class",
		Long: `
Proposes a whole document (FILE, - for standard input), or the document in force
with targets of one class revised. It is accepted only if the version it is based
on is still in force: of two operators in a race one wins, and the other is told
what changed. Then it waits until every node has it in force, or names those
that do not within the bound.

Examples:
  apricotwind target set targets.yaml
  apricotwind target set --base 3 targets.yaml
  apricotwind target set preview latency=120ms quantile=0.99`,
		Setup: func(flags *flag.FlagSet) Run {
			c := &targetSetCommand{
				to:    newOperatorFlags(flags),
				base:  flags.Int64("base", -1, "`version` the document is based on (default the one in force)"),
				by:    flags.String("by", userName(), "`name` of the operator, for the history"),
				bound: flags.Duration("bound", 9*time.Second, "longest `wait` for the document to be in force everywhere"),
			}
			return c.run
		},
	}
}

type targetSetCommand struct {
	to    *operatorFlags
	base  *int64
	by    *string
	bound *time.Duration
}

// statusPeriod is the time between two looks at the versions in force.
const statusPeriod = 100 * time.Millisecond

func userName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

func (c *targetSetCommand) run(ctx context.Context, streams Env, arguments []string) error {
	if len(arguments) == 0 {
		return usagef("takes a file, or a class and its targets")
	}
	client := c.to.client(streams)
	current, err := client.Document(ctx)
	if err != nil {
		return err
	}
	text, err := c.proposed(streams, current, arguments)
	if err != nil {
		return err
	}
	base := current.Version
	if *c.base >= 0 {
		base = uint64(*c.base)
	}
	accepted, err := client.Propose(ctx, operator.Proposal{Base: base, Text: text, By: *c.by})
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "accepted as version %d\n", accepted.Version)
	for _, warning := range accepted.Warnings {
		fmt.Fprintf(streams.Err, "warning: %s\n", warning)
	}
	return c.await(ctx, streams, client, accepted.Version)
}

// proposed is the text to propose: a file's, or the one in force, revised.
func (c *targetSetCommand) proposed(streams Env, current operator.Document, arguments []string) (string, error) {
	if len(arguments) > 1 {
		return revised(current, arguments)
	}
	if strings.Contains(arguments[0], "=") {
		return "", usagef("takes a class before %q", arguments[0])
	}
	read := func() ([]byte, error) { return os.ReadFile(arguments[0]) }
	if arguments[0] == "-" {
		read = func() ([]byte, error) { return io.ReadAll(streams.In) }
	}
	text, err := read()
	if err != nil {
		return "", errors.Wrap(err, "read document")
	}
	if _, err := contract.Parse(text); err != nil {
		return "", prefixLines(arguments[0], err)
	}
	return string(text), nil
}

// prefixLines puts the name of the input before each line of an error.
func prefixLines(input string, err error) error {
	lines := strings.Split(err.Error(), "\n")
	for i, line := range lines {
		lines[i] = input + ": " + line
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}

func revised(current operator.Document, arguments []string) (string, error) {
	document, err := contract.Parse([]byte(current.Text))
	if err != nil {
		return "", errors.Wrap(err, "document in force")
	}
	changes := map[string]string{}
	for _, argument := range arguments[1:] {
		key, value, ok := strings.Cut(argument, "=")
		if !ok {
			return "", usagef("%q is not TARGET=VALUE", argument)
		}
		changes[key] = value
	}
	after, err := document.Revise(arguments[0], changes)
	if err != nil {
		return "", err
	}
	return after.Text(), nil
}

// await waits until the version is in force on every node.
func (c *targetSetCommand) await(ctx context.Context, streams Env, client *operator.Client, version uint64) error {
	begun := time.Now()
	var status operator.Status
	for {
		found, err := client.Status(ctx)
		if err == nil {
			status = found
			if len(status.Nodes) > 0 && len(status.Laggards(version)) == 0 {
				fmt.Fprintf(streams.Out, "in force on %d nodes\n", len(status.Nodes))
				return nil
			}
		}
		if time.Since(begun) > *c.bound {
			return errors.Newf("version %d was accepted but is not known to be in force everywhere after %s%s", version, *c.bound, laggardText(status, version, err))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(statusPeriod):
		}
	}
}

func laggardText(status operator.Status, version uint64, err error) string {
	text := ""
	if err != nil {
		text = "\n" + err.Error()
	}
	for _, late := range status.Laggards(version) {
		text += fmt.Sprintf("\n%s %s has version %d %s", late.Role, late.Node, late.Version, late.Reason)
	}
	return text
}
