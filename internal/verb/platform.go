package verb

import (
	"context"
	"flag"
	"time"

	"github.com/apricotwind/apricotwind/internal/process"
	"github.com/apricotwind/apricotwind/platform"
	"go.uber.org/zap"
)

func platformEntryVerb() Verb {
	return Verb{
		Name:  "platform entry",
		Short: "run an entry on the users' platform",
		Long: `
Runs an entry on the users' platform until SIGTERM, which drains it. It stores
jobs with steps in the platform's store, reports their state, and may own the
shard, which places their tasks. deploy/entry.yaml is the template of its
settings.

Example:
  apricotwind platform entry --settings entry.yaml
  apricotwind platform entry --name e1 --domain a --store 127.0.0.1:7000 \
      --front 127.0.0.1:7100 --ready 127.0.0.1:7101 --link 127.0.0.1:7102`,
		Setup: func(flags *flag.FlagSet) Run { return newPlatformEntryCommand(flags).run },
	}
}

// maxRetention bounds how long the state of a finished job is kept.
const maxRetention = 24 * time.Hour

// maxLongestLease bounds the longest lease of a worker.
const maxLongestLease = 5 * time.Minute

// platformFlags holds the flags that the verbs platform entry and platform agent share.
type platformFlags struct {
	flags          *flag.FlagSet
	name, level    *string
	store, metrics *addressFlag
	retention      *time.Duration
	maxLease       *time.Duration
	budget         budgetFlags
}

func newPlatformFlags(flags *flag.FlagSet) platformFlags {
	return platformFlags{
		flags:   flags,
		name:    flags.String("name", "", "`name` of the process, unique among those that run"),
		level:   flags.String("log", "info", "log `level`: debug, info, warn, error"),
		store:   addressVar(flags, "store", "", "`address` of the platform's store"),
		metrics: addressVar(flags, "metrics", "", "`address` of metrics and health; none if empty"),

		budget:    newBudgetFlags(flags, "memory"),
		retention: durationVar(flags, "keep", 150*time.Second, time.Second, maxRetention, "`time` for which a finished job's state is kept"),
		maxLease:  durationVar(flags, "lease", 10*time.Second, time.Second, maxLongestLease, "longest `time` that a worker runs tasks under one lease, on its own clock"),
	}
}

// logger checks the arguments and required flags and returns a logger that writes to standard
// output. The caller calls the returned function to close the log.
func (c *platformFlags) logger(env Env, role string, arguments []string) (*zap.Logger, func(), error) {
	if len(arguments) > 0 {
		return nil, nil, usagef("takes no arguments: %q", arguments[0])
	}
	if err := requireValues(c.flags); err != nil {
		return nil, nil, err
	}
	return newProcessLogger(env.Out, *c.level, role, *c.name)
}

// platformEntryCommand holds the flags of the verb platform entry.
type platformEntryCommand struct {
	platformFlags
	domain           *string
	api, ready, link *addressFlag
	processors       *float64
}

func newPlatformEntryCommand(flags *flag.FlagSet) *platformEntryCommand {
	return &platformEntryCommand{
		platformFlags: newPlatformFlags(flags),
		domain:        flags.String("domain", "", "failure `domain` of the process"),
		api:           addressVar(flags, "front", "", "`address` of the API for submitting jobs"),
		ready:         addressVar(flags, "ready", "", "`address` of the readiness check"),
		link:          addressVar(flags, "link", "", "`address` for agents and other entries"),
		processors:    floatVar(flags, "cpu", 0, 0, maxProcessors, "`share` of a core that the process may use (0: unknown); an entry with 1.5 times as much is preferred as owner"),
	}
}

func (c *platformEntryCommand) run(ctx context.Context, env Env, arguments []string) error {
	log, closeLog, err := c.logger(env, "entry", arguments)
	if err != nil {
		return err
	}
	defer closeLog()
	running, err := platform.NewEntry(ctx, c.store.String(), process.JobEntrySettings{
		Name: *c.name, Domain: *c.domain, API: c.api.String(), Ready: c.ready.String(),
		Link: c.link.String(), Metrics: c.metrics.String(), Retention: *c.retention, MaxLease: *c.maxLease,
		Cores: *c.processors, Budget: c.budget.apply(),
	}, process.NewNetwork(), log)
	if err != nil {
		return err
	}
	return waitOrDrain(env, running, newReloadHandler(c.flags, platformEntryVerb().Setup, log))
}

func platformAgentVerb() Verb {
	return Verb{
		Name:  "platform agent",
		Short: "run an agent on the users' platform",
		Long: `
Runs the agent beside one worker of the users' platform until SIGTERM. The worker
registers with it; it passes the owner's orders on and keeps the worker's lease.
At SIGTERM it ends at once: the worker continues under its lease, and the next
agent takes it over. While no entry runs, one of the agents that have a link
address owns the shard. deploy/agent.yaml is the template of its settings.

Example:
  apricotwind platform agent --settings agent.yaml
  apricotwind platform agent --name a1 --store 127.0.0.1:7000 \
      --control 127.0.0.1:7200 --worker 127.0.0.1:9000 --link 127.0.0.1:7201`,
		Setup: func(flags *flag.FlagSet) Run { return newPlatformAgentCommand(flags).run },
	}
}

// platformAgentCommand holds the flags of the verb platform agent.
type platformAgentCommand struct {
	platformFlags
	control, worker, link *addressFlag
}

func newPlatformAgentCommand(flags *flag.FlagSet) *platformAgentCommand {
	return &platformAgentCommand{
		platformFlags: newPlatformFlags(flags),
		control:       addressVar(flags, "control", "", "`address` where the worker registers"),
		worker:        addressVar(flags, "worker", "", "`address` of the worker"),
		link:          addressVar(flags, "link", "", "`address` for agents and entries while this agent owns the shard; it never does if empty"),
	}
}

func (c *platformAgentCommand) run(ctx context.Context, env Env, arguments []string) error {
	log, closeLog, err := c.logger(env, "agent", arguments)
	if err != nil {
		return err
	}
	defer closeLog()
	running, err := platform.NewAgent(ctx, c.store.String(), c.worker.String(), process.JobAgentSettings{
		Name: *c.name, Registration: c.control.String(), Metrics: c.metrics.String(),
		Link: c.link.String(), Retention: *c.retention, MaxLease: *c.maxLease, Budget: c.budget.apply(),
	}, process.NewNetwork(), log)
	if err != nil {
		return err
	}
	return waitOrDrain(env, running, newReloadHandler(c.flags, platformAgentVerb().Setup, log))
}
