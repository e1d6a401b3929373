package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is a writer that blocks until released is closed.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	got      bytes.Buffer
}

func (s *blockedWriter) Write(text []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(text)
}

func (s *blockedWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// A blocked reader must not block Write, and later gets the number of dropped lines.
func TestWriteDoesNotBlockOnASlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &blockedWriter{released: make(chan struct{})}
		w := NewLossyWriter(to)
		line := strings.Repeat("x", 999) + "\n"
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
		synctest.Wait() // the reader is blocked in this line, so the buffer is emptied no more
		started := time.Now()
		for range 2999 {
			if _, err := w.Write([]byte(line)); err != nil {
				t.Fatal(err)
			}
		}
		if elapsed := time.Since(started); elapsed != 0 {
			t.Errorf("writing 2,999 lines took %v, want 0", elapsed)
		}
		synctest.Wait()
		close(to.released)
		synctest.Wait()
		time.Sleep(time.Second)
		if _, err := w.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		accepted := strings.Count(to.text(), "x\n")
		if want := 1 + maxBufferedBytes/len(line); accepted != want {
			t.Errorf("%d of 3,000 lines were accepted with a buffer of 1 MB, want %d", accepted, want)
		}
		if want := fmt.Sprintf("event=log-lines-left-out lines=%d\nlast\n", 3000-accepted); !strings.HasSuffix(to.text(), want) {
			t.Errorf("the log ends with %q, want %q", to.text()[max(0, len(to.text())-120):], want)
		}
		w.Close()
	})
}

// The rate of log lines must stay below the limit however many lines are written.
func TestTheRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &blockedWriter{released: make(chan struct{})}
		close(to.released)
		w := NewLossyWriter(to)
		const seconds = 10
		for range seconds * 100 {
			for range 100 { // 10,000 a second
				if _, err := w.Write([]byte("x\n")); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.Close()
		if accepted := strings.Count(to.text(), "x\n"); accepted > maxBurst+seconds*linesPerSecond || accepted < seconds*linesPerSecond {
			t.Errorf("%d lines were accepted in %d s", accepted, seconds)
		}
	})
}

// lineWriter counts writes that do not end at the end of a line.
type lineWriter struct {
	target  *blockedWriter
	partial int
}

func (l *lineWriter) Write(text []byte) (int, error) {
	if text[len(text)-1] != '\n' {
		l.partial++
	}
	return l.target.Write(text)
}

// Queued lines are written in pieces of complete lines, also if a line is longer than one
// write.
func TestWritesAreCompleteLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &lineWriter{target: &blockedWriter{released: make(chan struct{})}}
		w := NewLossyWriter(to)
		want := 0
		for i := range 200 {
			line := strings.Repeat("x", 30*i) + "\n"
			want += len(line)
			if _, err := w.Write([]byte(line)); err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				synctest.Wait()
			}
		}
		close(to.target.released)
		w.Close()
		if to.partial > 0 || len(to.target.text()) != want {
			t.Errorf("%d writes end within a line; %d bytes of %d written", to.partial, len(to.target.text()), want)
		}
	})
}

func TestCloseWritesQueuedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &blockedWriter{released: make(chan struct{})}
		close(to.released)
		w := NewLossyWriter(to)
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
		w.Close()
		w.Close()
		if _, err := w.Write([]byte("too late\n")); err != nil {
			t.Fatal(err)
		}
		if to.text() != "line\n" {
			t.Errorf("the log is %q", to.text())
		}
	})
}

// Close must not wait longer than closeTimeout for a blocked reader.
func TestCloseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &blockedWriter{released: make(chan struct{})}
		w := NewLossyWriter(to)
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
		started := time.Now()
		w.Close()
		if elapsed := time.Since(started); elapsed != closeTimeout {
			t.Errorf("Close took %v", elapsed)
		}
		close(to.released)
	})
}
