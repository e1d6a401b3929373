package verb

import (
	"flag"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/identity"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// commonFlags are the flags that both long-running roles have.
type commonFlags struct {
	level                       *string
	certificate, key, authority *string
}

func newCommonFlags(flags *flag.FlagSet) *commonFlags {
	return &commonFlags{
		level:       flags.String("log", "info", "log `level`: debug, info, warn, error"),
		certificate: flags.String("tls-cert", "", "PEM `file` of this process's certificate"),
		key:         flags.String("tls-key", "", "PEM `file` of its key"),
		authority:   flags.String("tls-ca", "", "PEM `file` of the CA that signs all processes"),
	}
}

func (c *commonFlags) identity() (*identity.Identity, error) {
	own, err := identity.New(identity.Files{Certificate: *c.certificate, Key: *c.key, Authority: *c.authority})
	return own, errors.Mark(err, errUsage)
}

// node is a long-running role.
type node interface {
	Drain() error
	Wait() error
}

// untilDrained waits for the end of a role, or drains it when told to. It calls reloaded
// when the settings file may have changed.
func untilDrained(streams Env, running node, reloaded func()) error {
	ended := make(chan error, 1)
	go func() { ended <- running.Wait() }()
	for {
		select {
		case err := <-ended:
			return err
		case <-streams.Drain:
			return running.Drain()
		case <-streams.Reload:
			reloaded()
		}
	}
}

// reloader looks at a verb's settings file again. What has changed takes effect at the
// next start, and is named until then; the process goes on as it is.
func reloader(flags *flag.FlagSet, build func(*flag.FlagSet) Run, log *zap.Logger) func() {
	return func() {
		again := flag.NewFlagSet(flags.Name(), flag.ContinueOnError)
		again.SetOutput(io.Discard)
		build(again)
		var arguments []string
		if path := flags.Lookup(settingsFlag).Value.String(); path != "" {
			arguments = []string{"--" + settingsFlag, path}
		}
		if err := parse(again, arguments); err != nil {
			log.Warn("reload-refused", logs.Error(err))
			return
		}
		var changed []string
		again.Visit(func(f *flag.Flag) {
			if old := flags.Lookup(f.Name); f.Name != settingsFlag && old.Value.String() != f.Value.String() {
				changed = append(changed, f.Name)
			}
		})
		log.Info("reload", zap.Int("changed", len(changed)), zap.String("at-next-start", strings.Join(changed, ",")))
	}
}

// callBound is how long a verb waits for one answer of an entry.
const callBound = 15 * time.Second

// operatorFlags are the flags of the verbs that call an entry.
type operatorFlags struct{ entry *urlFlag }

func newOperatorFlags(flags *flag.FlagSet) *operatorFlags {
	return &operatorFlags{entry: urlVar(flags, "entry", "http://127.0.0.1:7200", "operators' `URL` of any entry")}
}

func (o *operatorFlags) client(streams Env) *operator.Client {
	return operator.NewClient(o.entry.String(), &http.Client{Timeout: callBound, Transport: streams.HTTP})
}

// processLog makes the logger of a process, which never waits for whoever reads w. The
// function that it returns writes what waits, at the end of the process.
func processLog(w io.Writer, level, role, name string) (*zap.Logger, func(), error) {
	bounded := logs.NewLossyWriter(w)
	log, err := logs.New(bounded, level, role, name)
	if err != nil {
		bounded.Close()
		return nil, nil, errors.Mark(err, errUsage)
	}
	return log, bounded.Close, nil
}
