package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// linesPerSecond is how many lines pass in the long run, linesAtOnce how many in a burst.
	linesPerSecond = 2000
	linesAtOnce    = 6000
	// bufferMost bounds the lines, in bytes, that wait for a reader who is slow.
	bufferMost = 1 << 20
	// writeMost bounds one write, in bytes, if its lines allow: a reader may take what comes
	// in pieces, and a piece should be whole lines.
	writeMost = 4096
	// bufferKept is the size, in bytes, above which a buffer is not used again.
	bufferKept = 64 << 10
	// closeBound is how long the end of a process waits for its last lines.
	closeBound = 200 * time.Millisecond
)

// LossyWriter passes lines on to a writer that may be slow or stand still. Write never waits
// for it: what is over the rate or does not fit the buffer is left out and counted, and the
// next line that passes is preceded by one that tells how many are missing.
type LossyWriter struct {
	to    io.Writer
	woken chan struct{}
	done  chan struct{} // closed when the last line is written

	mu      sync.Mutex
	lines   []byte // that wait
	allowed float64
	counted time.Time // when allowed was brought up to date
	left    int       // lines left out and not told
	closed  bool
}

// NewLossyWriter makes a bounded writer in front of another. Close ends it.
func NewLossyWriter(to io.Writer) *LossyWriter {
	b := &LossyWriter{
		to: to, woken: make(chan struct{}, 1), done: make(chan struct{}),
		allowed: linesAtOnce, counted: time.Now(),
	}
	go b.run()
	return b
}

// Write takes one line. It returns no error: a line that is left out is counted.
func (b *LossyWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.allow() || len(b.lines)+len(line) > bufferMost {
		b.left++
		return len(line), nil
	}
	if b.left > 0 {
		b.lines = fmt.Appendf(b.lines, "time=%s level=warn event=log-lines-left-out lines=%d\n", time.Now().Format(time.RFC3339Nano), b.left)
		b.left = 0
	}
	b.lines = append(b.lines, line...)
	select {
	case b.woken <- struct{}{}:
	default:
	}
	return len(line), nil
}

// allow takes one line off the allowance, if there is one.
func (b *LossyWriter) allow() bool {
	now := time.Now()
	b.allowed = min(b.allowed+now.Sub(b.counted).Seconds()*linesPerSecond, linesAtOnce)
	b.counted = now
	if b.allowed < 1 {
		return false
	}
	b.allowed--
	return true
}

func (b *LossyWriter) run() {
	defer close(b.done)
	var spare []byte
	for range b.woken {
		b.mu.Lock()
		lines := b.lines
		b.lines = spare[:0]
		b.mu.Unlock()
		for rest := lines; len(rest) > 0; {
			piece := wholeLines(rest)
			rest = rest[len(piece):]
			// The reader of the log may be gone. There is nowhere left to say so.
			_, _ = b.to.Write(piece)
		}
		if spare = lines; cap(spare) > bufferKept {
			spare = nil
		}
	}
}

// wholeLines is the begin of some lines, as many as fit one write and one at least.
func wholeLines(lines []byte) []byte {
	if len(lines) <= writeMost {
		return lines
	}
	if end := bytes.LastIndexByte(lines[:writeMost], '\n'); end >= 0 {
		return lines[:end+1]
	}
	return lines[:bytes.IndexByte(lines, '\n')+1]
}

// Close writes what waits, unless that takes too long. Later lines are left out.
func (b *LossyWriter) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.woken)
	}
	b.mu.Unlock()
	timer := time.NewTimer(closeBound)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
}
