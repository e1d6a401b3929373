package verb

import (
	"flag"
	"net/http"
	"time"

	"github.com/apricotwind/apricotwind/internal/identity"
	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/cockroachdb/errors"
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

// untilDrained waits for the end of a role, or drains it when told to.
func untilDrained(streams Streams, running node) error {
	ended := make(chan error, 1)
	go func() { ended <- running.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-streams.Drain:
		return running.Drain()
	}
}

// callBound is how long a verb waits for one answer of an entry.
const callBound = 15 * time.Second

// operatorFlags are the flags of the verbs that call an entry.
type operatorFlags struct{ entry *urlFlag }

func newOperatorFlags(flags *flag.FlagSet) *operatorFlags {
	return &operatorFlags{entry: urlVar(flags, "entry", "http://127.0.0.1:7200", "operators' `URL` of any entry")}
}

func (o *operatorFlags) client(streams Streams) *operator.Client {
	return operator.NewClient(o.entry.String(), &http.Client{Timeout: callBound, Transport: streams.HTTP})
}
