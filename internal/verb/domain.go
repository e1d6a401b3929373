package verb

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/cockroachdb/errors"
)

func domainEvacuateVerb() Verb {
	return domainChangeVerb(Verb{
		Name:  "domain evacuate",
		Takes: "DOMAIN...",
		Short: "send nothing more to the instances of a failure domain",
		Long: `
Asks that no request is routed to and no task is placed on the instances of a
failure domain, until it is restored. What runs there goes on; 'domain status'
shows what is left. It waits until every entry has it in force, or names the
entries that do not have it within --bound. An agent that drains leaves for good;
an evacuated domain comes back.

Examples:
  apricotwind domain evacuate d1
  apricotwind domain evacuate --by wanjiru d1 d2`,
	}, true)
}

func domainRestoreVerb() Verb {
	return domainChangeVerb(Verb{
		Name:  "domain restore",
		Takes: "DOMAIN...",
		Short: "use the instances of an evacuated failure domain again",
		Long: `
Takes the evacuation of a failure domain back. Its instances are usable at once.

Example:
  apricotwind domain restore d1`,
	}, false)
}

func domainChangeVerb(verb Verb, evacuated bool) Verb {
	verb.Setup = func(flags *flag.FlagSet) Run {
		c := &domainChangeCommand{
			entry:     newOperatorFlags(flags),
			by:        flags.String("by", userName(), "`name` of the operator, for the status"),
			timeout:   flags.Duration("bound", 9*time.Second, "longest `wait` for the change to be in force everywhere"),
			evacuated: evacuated,
		}
		return c.run
	}
	return verb
}

// domainChangeCommand holds the flags of the verbs domain evacuate and domain restore.
type domainChangeCommand struct {
	entry     *operatorFlags
	by        *string
	timeout   *time.Duration
	evacuated bool
}

func (c *domainChangeCommand) run(ctx context.Context, env Env, arguments []string) error {
	if len(arguments) == 0 {
		return usagef("takes the names of failure domains")
	}
	client := c.entry.client(env)
	version := uint64(0)
	for _, domain := range arguments {
		accepted, err := client.ChangeDomain(ctx, domain, operator.DomainChange{Evacuated: c.evacuated, By: *c.by})
		if err != nil {
			return err
		}
		fmt.Fprintf(env.Out, "accepted %s as version %d\n", domain, accepted.Version)
		for _, warning := range accepted.Warnings {
			fmt.Fprintf(env.Err, "warning: %s\n", warning)
		}
		version = max(version, accepted.Version)
	}
	return c.awaitVersion(ctx, env, client, version)
}

// awaitVersion polls the status until the version is in force on every entry. After the timeout it
// returns an error that lists the entries with an older version.
func (c *domainChangeCommand) awaitVersion(ctx context.Context, env Env, client *operator.Client, version uint64) error {
	var status operator.DomainStatus
	for start := time.Now(); ; {
		latest, err := client.Domains(ctx)
		if err == nil {
			status = latest
			if len(status.Laggards(version)) == 0 {
				fmt.Fprintf(env.Out, "in force on %d entries\n", len(status.Nodes))
				return nil
			}
		}
		if time.Since(start) > *c.timeout {
			return errors.Newf("version %d was accepted but not confirmed to be in force on all entries after %s%s", version, *c.timeout, laggardText(status.Status, version, err))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(statusPollInterval):
		}
	}
}

func domainStatusVerb() Verb {
	return Verb{
		Name:  "domain status",
		Short: "show the failure domains, which are evacuated, and what is left there",
		Long: `
Shows each failure domain: its instances, the requests that run or wait on them, the
tasks that are placed on them, and who evacuated it and when. Then the version in
force on each entry.

Example:
  $ apricotwind domain status
  domain  instances  requests  tasks  evacuated
  d0      1          2         4      -
  d1      1          0         3      by wanjiru at 2000-01-01T00:00:05Z
  entry  version
  e0     1
  e1     1`,
		Setup: func(flags *flag.FlagSet) Run {
			entry := newOperatorFlags(flags)
			return func(ctx context.Context, env Env, _ []string) error {
				status, err := entry.client(env).Domains(ctx)
				if err != nil {
					return err
				}
				return writeDomains(env, status)
			}
		},
	}
}

func writeDomains(env Env, status operator.DomainStatus) error {
	columns := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(columns, "domain\tinstances\trequests\ttasks\tevacuated\n")
	for _, domain := range status.Domains {
		evacuated := "-"
		if domain.Evacuated {
			evacuated = fmt.Sprintf("by %s at %s", domain.By, domain.At.Format(time.RFC3339))
		}
		fmt.Fprintf(columns, "%s\t%d\t%d\t%d\t%s\n", domain.Name, domain.Instances, domain.Requests, domain.Tasks, evacuated)
	}
	if err := columns.Flush(); err != nil {
		return errors.Wrap(err, "write")
	}
	columns = tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(columns, "entry\tversion\n")
	for _, node := range status.Nodes {
		text := strconv.FormatUint(node.Version, 10)
		if node.Reason != "" {
			text = node.Reason
		}
		fmt.Fprintf(columns, "%s\t%s\n", node.Node, text)
	}
	return errors.Wrap(columns.Flush(), "write")
}
