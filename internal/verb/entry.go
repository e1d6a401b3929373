package verb

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/caller"
	"github.com/apricotwind/apricotwind/internal/process"
)

func entryVerb() Verb {
	return Verb{
		Name:  "entry",
		Short: "run an entry: takes requests and jobs, routes and places them",
		Long: `
Runs an entry instance until SIGTERM, which drains it: it gives up its shards,
refuses new requests and lets those in flight end. A second SIGTERM ends it at
once. It has three listeners: towards callers, towards operators, and the links
of agents.

A route gives the requests below a path a class and a workspace:
PREFIX=CLASS@WORKSPACE. The headers Apricotwind-Class and Apricotwind-Workspace
take precedence over it.

Examples:
  apricotwind entry --name e1 --domain nairobi-a --platform http://127.0.0.1:7000
  apricotwind entry --settings entry.yaml
  apricotwind entry --name e1 --domain nairobi-a --platform http://127.0.0.1:7000 \
      --caller 127.0.0.1:8080 --route /kilele/=preview@kilele`,
		Setup: func(flags *flag.FlagSet) Run {
			c := newEntryCommand(flags)
			return c.run
		},
	}
}

// Limits of the settings of an entry.
const (
	defaultMaxBodyBytes = 64 << 20 // bytes of a request, 64 MiB
	maxBodyLimit        = 1 << 32  // bytes, 4 GiB
	maxShards           = 4096
	maxSample           = 1_000_000 // routing decisions of which one is logged
)

// entryCommand holds the flags of the verb entry.
type entryCommand struct {
	flags                          *flag.FlagSet
	name, domain                   *string
	caller, operator, link         *addressFlag
	platform                       *urlFlag
	routes                         listFlag
	shards, maxConnections, sample *int
	maxBodyBytes                   *int
	window, drainTimeout           *time.Duration
	common                         *commonFlags
	budget                         budgetFlags
}

func newEntryCommand(flags *flag.FlagSet) *entryCommand {
	c := &entryCommand{
		flags:          flags,
		name:           flags.String("name", "", "`name` of this entry, unique among entries"),
		domain:         flags.String("domain", "", "failure `domain` of this entry"),
		caller:         addressVar(flags, "caller", "127.0.0.1:7100", "`address` towards callers"),
		operator:       addressVar(flags, "operator", "127.0.0.1:7200", "`address` towards operators"),
		link:           addressVar(flags, "link", "127.0.0.1:7300", "`address` towards agents"),
		platform:       urlVar(flags, "platform", "", "base `URL` of the platform's table and object store"),
		shards:         intVar(flags, "shards", 1, 1, maxShards, "`number` of shards, fixed by the first entry ever started"),
		maxConnections: intVar(flags, "connections", 10_000, 1, maxConnections, "most connections of callers at a time"),
		sample:         intVar(flags, "sample", 1, 1, maxSample, "log one in this `many` routing decisions"),
		maxBodyBytes:   intVar(flags, "body", defaultMaxBodyBytes, 0, maxBodyLimit, "most `bytes` of a request's body"),
		window:         durationVar(flags, "window", 10*time.Second, time.Second, time.Hour, "`length` of a window of the ledger"),
		drainTimeout:   durationVar(flags, "drain", 30*time.Second, 0, maxDrainTimeout, "longest `wait` for requests in flight at SIGTERM"),
		common:         newCommonFlags(flags),
		budget:         newBudgetFlags(flags, "memory"),
	}
	flags.Var(&c.routes, "route", "`PREFIX=CLASS@WORKSPACE`; may be given several times")
	return c
}

func (c *entryCommand) run(ctx context.Context, env Env, arguments []string) error {
	if len(arguments) > 0 {
		return usagef("takes no arguments: %q", arguments[0])
	}
	if err := requireValues(c.flags); err != nil {
		return err
	}
	settings, err := c.settings()
	if err != nil {
		return err
	}
	log, closeLog, err := newProcessLogger(env.Err, *c.common.level, "entry", *c.name)
	if err != nil {
		return err
	}
	defer closeLog()
	running, err := process.NewEntry(ctx, settings, process.NewNetwork(), log)
	if err != nil {
		return err
	}
	return waitOrDrain(env, running, newReloadHandler(c.flags, entryVerb().Setup, log))
}

// settings returns the settings of the entry that the flags state.
func (c *entryCommand) settings() (process.EntrySettings, error) {
	routes, err := parseRoutes(c.routes)
	if err != nil {
		return process.EntrySettings{}, err
	}
	loaded, err := c.common.identity()
	if err != nil {
		return process.EntrySettings{}, err
	}
	return process.EntrySettings{
		Name: *c.name, Domain: *c.domain, Caller: c.caller.String(), Operator: c.operator.String(),
		Link: c.link.String(), Platform: c.platform.String(), Shards: *c.shards, Routes: routes,
		MaxBodyBytes: int64(*c.maxBodyBytes), MaxConnections: *c.maxConnections, Window: *c.window, Sample: *c.sample,
		DrainTimeout: *c.drainTimeout, Identity: loaded, Budget: c.budget.apply(),
	}, nil
}

// parseRoutes parses routes such as /kilele/=preview@kilele.
func parseRoutes(texts []string) ([]caller.Route, error) {
	var routes []caller.Route
	for _, text := range texts {
		prefix, rest, hasClass := strings.Cut(text, "=")
		class, workspace, hasWorkspace := strings.Cut(rest, "@")
		if !hasClass || !hasWorkspace || !strings.HasPrefix(prefix, "/") {
			return nil, usagef("--route: %q is not PREFIX=CLASS@WORKSPACE with a PREFIX that begins with /", text)
		}
		routes = append(routes, caller.Route{Prefix: prefix, Class: class, Workspace: workspace})
	}
	return routes, nil
}
