// Package logs creates the logger of a process, which writes one logfmt line per event. It
// also provides a sampler for frequent events, a logger for repeated failures and a writer
// that drops lines instead of blocking.
package logs

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes the lines of the given level (debug, info, warn or
// error) and above to w. Every line has the fields role and name. It fails if the level is
// not known.
func New(w io.Writer, level, role, name string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("log level %q is not one of debug, info, warn, error", level)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.MessageKey = "event"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core).With(zap.String("role", role), zap.String("name", name)), nil
}

// Sampler selects one of every n log lines. Each selected line reports how many lines were
// omitted before it, so that no line is dropped silently. It is safe for concurrent use.
type Sampler struct {
	every   int
	mu      sync.Mutex
	omitted int
}

// NewSampler returns a Sampler that selects one line in every; with 1 it selects all.
func NewSampler(every int) *Sampler { return &Sampler{every: max(every, 1)} }

// Pass reports whether to write the current line, and how many lines were omitted since
// the last written one.
func (s *Sampler) Pass() (bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.omitted+1 < s.every {
		s.omitted++
		return false, 0
	}
	omitted := s.omitted
	s.omitted = 0
	return true, omitted
}

// Error returns a field with the text of an error, without a stack trace. It returns an
// empty field if err is nil.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// repeatInterval is the minimum time between two lines about the same repeated failure.
const repeatInterval = 10 * time.Second

// FailureLogger logs an operation that fails repeatedly: the first failure, then at most
// one line per repeatInterval with the number of failures so far, and one line when the
// operation succeeds again. It is safe for concurrent use.
type FailureLogger struct {
	log        *zap.Logger
	event      string
	mu         sync.Mutex
	count      int
	lastLogged time.Time
}

// NewFailureLogger returns a FailureLogger that logs failures as event and the recovery as
// event with the suffix -over.
func NewFailureLogger(log *zap.Logger, event string) *FailureLogger {
	return &FailureLogger{log: log, event: event}
}

// Note records the result of one try; a nil err means that it succeeded.
func (f *FailureLogger) Note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		if f.count > 0 {
			f.log.Info(f.event+"-over", zap.Int("failed", f.count))
		}
		f.count = 0
		return
	}
	f.count++
	if f.count == 1 || time.Since(f.lastLogged) >= repeatInterval {
		f.lastLogged = time.Now()
		f.log.Warn(f.event, zap.Int("failed", f.count), Error(err))
	}
}
