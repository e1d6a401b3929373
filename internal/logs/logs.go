// Package logs makes the process's logger: one line of key=value pairs an event.
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

// New makes a logger that writes to w from level up (debug, info, warn, error).
func New(w io.Writer, level, role, name string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("log level %q is none of debug, info, warn, error", level)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.MessageKey = "event"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core).With(zap.String("role", role), zap.String("name", name)), nil
}

// Sampler passes one decision line in every so many; each line that passes says
// how many were left out before it, so that none is dropped silently.
type Sampler struct {
	every int
	mu    sync.Mutex
	left  int
}

// NewSampler passes one line in every; 1 passes all.
func NewSampler(every int) *Sampler { return &Sampler{every: max(every, 1)} }

// Pass tells whether to write a line now, and how many were left out before it.
func (s *Sampler) Pass() (bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left+1 < s.every {
		s.left++
		return false, 0
	}
	left := s.left
	s.left = 0
	return true, left
}

// Error is the field of an error: its text in one line, without a stack. It is
// left out when there is none.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// repeatAfter is how long an unchanged trouble is not logged again.
const repeatAfter = 10 * time.Second

// FailureLogger logs something that fails again and again: the first time, then every
// repeatAfter with how often it failed since, and once when it is over.
type FailureLogger struct {
	log   *zap.Logger
	event string
	mu    sync.Mutex
	count int
	said  time.Time
}

// NewFailureLogger makes the log of one kind of trouble.
func NewFailureLogger(log *zap.Logger, event string) *FailureLogger {
	return &FailureLogger{log: log, event: event}
}

// Note takes the end of one try.
func (t *FailureLogger) Note(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		if t.count > 0 {
			t.log.Info(t.event+"-over", zap.Int("failed", t.count))
		}
		t.count = 0
		return
	}
	t.count++
	if t.count == 1 || time.Since(t.said) >= repeatAfter {
		t.said = time.Now()
		t.log.Warn(t.event, zap.Int("failed", t.count), Error(err))
	}
}
