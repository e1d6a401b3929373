package verb

import (
	"flag"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/apricotwind/apricotwind/internal/budget"
	"github.com/apricotwind/apricotwind/internal/identity"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// commonFlags holds the flags that the verbs entry and agent share.
type commonFlags struct {
	level                *string
	certificate, key, ca *string
}

func newCommonFlags(flags *flag.FlagSet) *commonFlags {
	return &commonFlags{
		level:       flags.String("log", "info", "log `level`: debug, info, warn, error"),
		certificate: flags.String("tls-cert", "", "PEM `file` of this process's certificate"),
		key:         flags.String("tls-key", "", "PEM `file` of its key"),
		ca:          flags.String("tls-ca", "", "PEM `file` of the CA that signs all processes"),
	}
}

// identity loads the certificate, key and CA of this process.
func (c *commonFlags) identity() (*identity.Identity, error) {
	loaded, err := identity.New(identity.Files{Certificate: *c.certificate, Key: *c.key, CA: *c.ca})
	return loaded, errors.Mark(err, errUsage)
}

// daemon is a long-running process: an entry or an agent. Drain shuts it down gracefully; Wait
// blocks until it has ended.
type daemon interface {
	Drain() error
	Wait() error
}

// waitOrDrain waits until the daemon ends, or drains it on the drain signal. It calls onReload
// on each reload signal.
func waitOrDrain(env Env, running daemon, onReload func()) error {
	ended := make(chan error, 1)
	go func() { ended <- running.Wait() }()
	for {
		select {
		case err := <-ended:
			return err
		case <-env.Drain:
			return running.Drain()
		case <-env.Reload:
			onReload()
		}
	}
}

// newReloadHandler returns a function that reads a verb's settings file and the environment again
// and logs which settings given there differ from those that the process was started with; it logs
// them at each reload. They take effect at the next start; the running process keeps its settings.
func newReloadHandler(flags *flag.FlagSet, setup func(*flag.FlagSet) Run, log *zap.Logger) func() {
	return func() {
		fresh := flag.NewFlagSet(flags.Name(), flag.ContinueOnError)
		fresh.SetOutput(io.Discard)
		setup(fresh)
		var arguments []string
		if path := flags.Lookup(settingsFlag).Value.String(); path != "" {
			arguments = []string{"--" + settingsFlag, path}
		}
		if err := parse(fresh, arguments); err != nil {
			log.Warn("reload-refused", logs.Error(err))
			return
		}
		var changed []string
		fresh.Visit(func(f *flag.Flag) {
			if old := flags.Lookup(f.Name); f.Name != settingsFlag && old.Value.String() != f.Value.String() {
				changed = append(changed, f.Name)
			}
		})
		log.Info("reload", zap.Int("changed", len(changed)), zap.String("at-next-start", strings.Join(changed, ",")))
	}
}

// callTimeout limits one call to an entry.
const callTimeout = 15 * time.Second

// operatorFlags holds the flags of the verbs that call an entry's operator API.
type operatorFlags struct{ entryURL *urlFlag }

func newOperatorFlags(flags *flag.FlagSet) *operatorFlags {
	return &operatorFlags{entryURL: urlVar(flags, "entry", "http://127.0.0.1:7200", "operators' `URL` of any entry")}
}

// client returns a client of the entry's operator API.
func (o *operatorFlags) client(env Env) *operator.Client {
	return operator.NewClient(o.entryURL.String(), &http.Client{Timeout: callTimeout, Transport: env.HTTP})
}

// newProcessLogger returns the logger of a process. It drops lines rather than block when w is
// slow. The caller calls the returned function at the end of the process to write the lines that
// are still buffered.
func newProcessLogger(w io.Writer, level, role, name string) (*zap.Logger, func(), error) {
	writer := logs.NewLossyWriter(w)
	log, err := logs.New(writer, level, role, name)
	if err != nil {
		writer.Close()
		return nil, nil, errors.Mark(err, errUsage)
	}
	return log, writer.Close, nil
}

// budgetFlags holds the flags for what a process may use of its machine.
type budgetFlags struct{ memory, descriptors *int }

// Bounds and default of the settings for what a process may use of its machine.
const (
	defaultMemoryMB = budget.DefaultMemory >> 20
	minMemoryMB     = 16
	// memoryLimitPart is the part of the memory above which the garbage collector works harder. It
	// helps to keep the bound; the budget of clients is the bound.
	memoryLimitPart = 0.8
	maxDescriptors  = 1 << 24
)

// newBudgetFlags defines the flags; memory is the name of that for memory.
func newBudgetFlags(flags *flag.FlagSet, memory string) budgetFlags {
	return budgetFlags{
		memory:      intVar(flags, memory, defaultMemoryMB, minMemoryMB, maxMemoryMB, "`MB` of memory that the process may use"),
		descriptors: intVar(flags, "descriptors", 0, 0, maxDescriptors, "`number` of descriptors that the process may have open, of which 200 are kept for files (0: as many as the system allows)"),
	}
}

// apply sets the limit of the garbage collector and returns the budget.
func (f budgetFlags) apply() budget.Settings {
	memory := int64(*f.memory) << 20
	debug.SetMemoryLimit(int64(memoryLimitPart * float64(memory)))
	descriptors := *f.descriptors
	var limit syscall.Rlimit
	if descriptors == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return budget.Settings{Memory: memory, Descriptors: descriptors}
}
