package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// linesPerSecond bounds the long-term rate of lines; maxBurst bounds the lines of a burst.
	linesPerSecond = 2000
	maxBurst       = 6000
	// maxBufferedBytes bounds the lines, in bytes, that wait for a slow reader.
	maxBufferedBytes = 1 << 20
	// maxWriteBytes bounds one write, in bytes, unless a single line is longer. A reader
	// may read in pieces, and each piece should consist of complete lines.
	maxWriteBytes = 4096
	// maxReusedBuffer bounds, in bytes, the buffers that are reused; larger ones are released.
	maxReusedBuffer = 64 << 10
	// closeTimeout bounds how long Close waits for the last lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// EventDropped is the event of the line that states how many lines were dropped before it.
const EventDropped = "log-lines-left-out"

// LossyWriter writes lines to a writer that may be slow or blocked. Write never waits for
// that writer: it drops and counts lines that exceed the rate or do not fit into the buffer.
// The next accepted line is preceded by a line with the number of dropped lines. It is safe
// for concurrent use.
type LossyWriter struct {
	target io.Writer
	wake   chan struct{}
	done   chan struct{} // closed after the last line was written

	mu         sync.Mutex
	lines      []byte // waiting to be written
	tokens     float64
	refilledAt time.Time // when tokens was last updated
	dropped    int       // dropped lines that have not been reported
	closed     bool
}

// NewLossyWriter returns a LossyWriter that writes to another writer. Close stops its
// goroutine.
func NewLossyWriter(target io.Writer) *LossyWriter {
	w := &LossyWriter{
		target: target, wake: make(chan struct{}, 1), done: make(chan struct{}),
		tokens: maxBurst, refilledAt: time.Now(),
	}
	go w.run()
	return w
}

// Write queues one line, which must end with a newline. It never returns an error: a line
// that is dropped is counted.
func (w *LossyWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.allow() || len(w.lines)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.lines = fmt.Appendf(w.lines, "time=%s level=warn event=%s lines=%d\n", time.Now().Format(time.RFC3339Nano), EventDropped, w.dropped)
		w.dropped = 0
	}
	w.lines = append(w.lines, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// allow takes one token, and reports false if there is none.
func (w *LossyWriter) allow() bool {
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.refilledAt).Seconds()*linesPerSecond, maxBurst)
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *LossyWriter) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		lines := w.lines
		w.lines = spare[:0]
		w.mu.Unlock()
		for rest := lines; len(rest) > 0; {
			piece := wholeLines(rest)
			rest = rest[len(piece):]
			// A write fails if the reader of the log is gone; there is no other place to log that.
			_, _ = w.target.Write(piece)
		}
		if spare = lines; cap(spare) > maxReusedBuffer {
			spare = nil
		}
	}
}

// wholeLines returns the leading lines that fit into one write, and at least one line.
func wholeLines(lines []byte) []byte {
	if len(lines) <= maxWriteBytes {
		return lines
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return lines[:end+1]
	}
	return lines[:bytes.IndexByte(lines, '\n')+1]
}

// Close stops accepting lines and waits until the queued lines are written, for at most
// closeTimeout. Lines written after Close are dropped. It may be called more than once.
func (w *LossyWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}
