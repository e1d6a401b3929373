package verb

import (
	"context"
	"flag"
	"time"

	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/process"
)

func agentVerb() Verb {
	return Verb{
		Name:  "agent",
		Short: "run the process beside one upstream instance",
		Long: `
Runs the agent of one upstream instance until SIGTERM, which drains it: it
announces that it leaves, refuses new work, lets requests end and tasks
checkpoint, and exits. A second SIGTERM ends it at once.

The agent is the only gate to its instance: at most --slots requests run and at
most --connections run or wait, whatever the entries send. It finds the entries
in the platform's table; --entries names some to start with while the table is
unavailable.

Examples:
  apricotwind agent --name m01 --domain nairobi-a --rack r1 \
      --platform http://127.0.0.1:7000 --upstream http://127.0.0.1:9001
  apricotwind agent --settings agent.yaml`,
		Setup: func(flags *flag.FlagSet) Run {
			c := newAgentCommand(flags)
			return c.run
		},
	}
}

// agentCommand holds the flags of the verb agent.
type agentCommand struct {
	flags              *flag.FlagSet
	name, domain, rack *string
	gate, metrics      *addressFlag
	platform, upstream *urlFlag
	entries            listFlag
	capacity           *capacityFlags
	drainTimeout       *time.Duration
	common             *commonFlags
	budget             budgetFlags
}

func newAgentCommand(flags *flag.FlagSet) *agentCommand {
	c := &agentCommand{
		flags:        flags,
		name:         flags.String("name", "", "`name` of the instance, unique in the pool"),
		domain:       flags.String("domain", "", "failure `domain` of the instance"),
		rack:         flags.String("rack", "", "`rack` of the instance"),
		gate:         addressVar(flags, "gate", "127.0.0.1:0", "`address` where entries send requests"),
		metrics:      addressVar(flags, "ops", "127.0.0.1:0", "`address` of metrics and health"),
		platform:     urlVar(flags, "platform", "", "base `URL` of the platform"),
		upstream:     urlVar(flags, "upstream", "", "base `URL` of the instance"),
		capacity:     newCapacityFlags(flags),
		drainTimeout: durationVar(flags, "drain", 30*time.Second, 0, maxDrainTimeout, "longest `wait` for work to leave at SIGTERM"),
		common:       newCommonFlags(flags),
		budget:       newBudgetFlags(flags, "process-memory"),
	}
	flags.Var(&c.entries, "entries", "link `address` of an entry to start with; may be given several times")
	return c
}

func (c *agentCommand) run(ctx context.Context, env Env, arguments []string) error {
	if len(arguments) > 0 {
		return usagef("takes no arguments: %q", arguments[0])
	}
	if err := requireValues(c.flags); err != nil {
		return err
	}
	loaded, err := c.common.identity()
	if err != nil {
		return err
	}
	log, closeLog, err := newProcessLogger(env.Err, *c.common.level, "agent", *c.name)
	if err != nil {
		return err
	}
	defer closeLog()
	running, err := process.NewAgent(ctx, process.AgentSettings{
		Name: *c.name, Domain: *c.domain, Rack: *c.rack, Gate: c.gate.String(), Metrics: c.metrics.String(),
		Upstream: c.upstream.String(), Platform: c.platform.String(), Entries: c.entries,
		Capacity: c.capacity.capacity(), DrainTimeout: *c.drainTimeout, Identity: loaded,
		Budget: c.budget.apply(),
	}, process.NewNetwork(), log)
	if err != nil {
		return err
	}
	return waitOrDrain(env, running, newReloadHandler(c.flags, agentVerb().Setup, log))
}

// capacityFlags holds the flags for the capacity of an instance.
type capacityFlags struct {
	slots, maxInFlight, memory, accelerators *int
	processors                               *float64
}

func newCapacityFlags(flags *flag.FlagSet) *capacityFlags {
	return &capacityFlags{
		slots:        intVar(flags, "slots", 8, 1, maxConnections, "`number` of requests the instance runs at a time"),
		maxInFlight:  intVar(flags, "connections", 64, 1, maxConnections, "`number` of requests that run or wait"),
		processors:   floatVar(flags, "cpu", 30, 0, maxProcessors, "`processors` for batch tasks"),
		memory:       intVar(flags, "memory", 125_000, 0, maxMemoryMB, "`MB` of memory for batch tasks"),
		accelerators: intVar(flags, "accelerators", 0, 0, maxProcessors, "`number` of accelerators"),
	}
}

// capacity returns the capacity that the flags state.
func (c *capacityFlags) capacity() link.Capacity {
	return link.Capacity{
		Slots: *c.slots, MaxInFlight: *c.maxInFlight, Processors: *c.processors,
		Memory: *c.memory, Accelerators: *c.accelerators,
	}
}
