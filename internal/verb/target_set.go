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
on is still in force: of two concurrent proposals one is accepted, and the other
fails with what changed. Then it waits until every node has it in force, or names
the nodes that do not have it within --bound.

Examples:
  apricotwind target set targets.yaml
  apricotwind target set --base 3 targets.yaml
  apricotwind target set preview latency=120ms quantile=0.99`,
		Setup: func(flags *flag.FlagSet) Run {
			c := &targetSetCommand{
				entry:   newOperatorFlags(flags),
				base:    flags.Int64("base", -1, "`version` the document is based on; -1 is the one in force"),
				by:      flags.String("by", userName(), "`name` of the operator, for the history"),
				timeout: flags.Duration("bound", 9*time.Second, "longest `wait` for the document to be in force everywhere"),
			}
			return c.run
		},
	}
}

// targetSetCommand holds the flags of the verb target set.
type targetSetCommand struct {
	entry   *operatorFlags
	base    *int64
	by      *string
	timeout *time.Duration
}

// statusPollInterval is the time between two requests for the versions in force on the nodes.
const statusPollInterval = 100 * time.Millisecond

// userName returns the name of the current user, the default of --by.
func userName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

func (c *targetSetCommand) run(ctx context.Context, env Env, arguments []string) error {
	if len(arguments) == 0 {
		return usagef("takes a file, or a class and its targets as TARGET=VALUE")
	}
	client := c.entry.client(env)
	current, err := client.Document(ctx)
	if err != nil {
		return err
	}
	text, err := c.proposedText(env, current, arguments)
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
	fmt.Fprintf(env.Out, "accepted as version %d\n", accepted.Version)
	for _, warning := range accepted.Warnings {
		fmt.Fprintf(env.Err, "warning: %s\n", warning)
	}
	return c.awaitVersion(ctx, env, client, accepted.Version)
}

// proposedText returns the document to propose: the content of a file, or the current document
// with revised targets.
func (c *targetSetCommand) proposedText(env Env, current operator.Document, arguments []string) (string, error) {
	if len(arguments) > 1 {
		return revisedText(current, arguments)
	}
	if strings.Contains(arguments[0], "=") {
		return "", usagef("takes a class before %q, such as preview latency=120ms", arguments[0])
	}
	read := func() ([]byte, error) { return os.ReadFile(arguments[0]) }
	if arguments[0] == "-" {
		read = func() ([]byte, error) { return io.ReadAll(env.In) }
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

// prefixLines returns the error with the name of the input before each line.
func prefixLines(input string, err error) error {
	lines := strings.Split(err.Error(), "\n")
	for i, line := range lines {
		lines[i] = input + ": " + line
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}

// revisedText returns the current document with the targets of one class revised. The
// arguments are the class and its changes as TARGET=VALUE.
func revisedText(current operator.Document, arguments []string) (string, error) {
	document, err := contract.Parse([]byte(current.Text))
	if err != nil {
		return "", errors.Wrap(err, "parse the current document")
	}
	changes := map[string]string{}
	for _, argument := range arguments[1:] {
		key, value, ok := strings.Cut(argument, "=")
		if !ok {
			return "", usagef("%q is not TARGET=VALUE such as latency=120ms", argument)
		}
		changes[key] = value
	}
	after, err := document.Revise(arguments[0], changes)
	if err != nil {
		return "", err
	}
	return after.Text(), nil
}

// awaitVersion polls the status until the version is in force on every node. After the timeout
// it returns an error that lists the nodes with an older version.
func (c *targetSetCommand) awaitVersion(ctx context.Context, env Env, client *operator.Client, version uint64) error {
	start := time.Now()
	var status operator.Status
	for {
		latest, err := client.Status(ctx)
		if err == nil {
			status = latest
			if len(status.Nodes) > 0 && len(status.Laggards(version)) == 0 {
				fmt.Fprintf(env.Out, "in force on %d nodes\n", len(status.Nodes))
				return nil
			}
		}
		if time.Since(start) > *c.timeout {
			return errors.Newf("version %d was accepted but not confirmed to be in force on all nodes after %s%s", version, *c.timeout, laggardText(status, version, err))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(statusPollInterval):
		}
	}
}

// laggardText lists the nodes that don't have the version yet, one per line, after the error
// of the last status request, if any.
func laggardText(status operator.Status, version uint64, err error) string {
	text := ""
	if err != nil {
		text = "\n" + err.Error()
	}
	for _, laggard := range status.Laggards(version) {
		text += fmt.Sprintf("\n%s %s has version %d %s", laggard.Role, laggard.Node, laggard.Version, laggard.Reason)
	}
	return text
}
