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

// stuck is a writer that stands still until it is released.
type stuck struct {
	released chan struct{}
	mu       sync.Mutex
	got      bytes.Buffer
}

func (s *stuck) Write(text []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(text)
}

func (s *stuck) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// A reader that stands still holds nobody up, and is told later how much it has missed.
func TestAStuckReaderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &stuck{released: make(chan struct{})}
		b := NewLossyWriter(to)
		line := strings.Repeat("x", 999) + "\n"
		began := time.Now()
		for range 3000 {
			if _, err := b.Write([]byte(line)); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("3,000 lines took %v", took)
		}
		synctest.Wait()
		close(to.released)
		synctest.Wait()
		time.Sleep(time.Second)
		if _, err := b.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		passed := strings.Count(to.text(), "x\n")
		if passed < 1000 || passed >= 3000 {
			t.Errorf("%d lines of 3,000 have passed a buffer of 1 MB", passed)
		}
		if want := fmt.Sprintf("event=log-lines-left-out lines=%d\nlast\n", 3000-passed); !strings.HasSuffix(to.text(), want) {
			t.Errorf("the log ends with %q, want %q", to.text()[max(0, len(to.text())-120):], want)
		}
		b.Close()
	})
}

// However much a process has to say, its log stays below the stated rate.
func TestTheRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &stuck{released: make(chan struct{})}
		close(to.released)
		b := NewLossyWriter(to)
		const seconds = 10
		for range seconds * 100 {
			for range 100 { // 10,000 a second
				if _, err := b.Write([]byte("x\n")); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		b.Close()
		if passed := strings.Count(to.text(), "x\n"); passed > linesAtOnce+seconds*linesPerSecond || passed < seconds*linesPerSecond {
			t.Errorf("%d lines in %d s", passed, seconds)
		}
	})
}

// lineWriter notes writes that end within a line.
type lineWriter struct {
	gate    *stuck
	partial int
}

func (l *lineWriter) Write(text []byte) (int, error) {
	if text[len(text)-1] != '\n' {
		l.partial++
	}
	return l.gate.Write(text)
}

// What has gathered is written in pieces of whole lines, also if a line is long.
func TestWritesAreWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &lineWriter{gate: &stuck{released: make(chan struct{})}}
		b := NewLossyWriter(to)
		want := 0
		for i := range 200 {
			line := strings.Repeat("x", 30*i) + "\n"
			want += len(line)
			if _, err := b.Write([]byte(line)); err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				synctest.Wait()
			}
		}
		close(to.gate.released)
		b.Close()
		if to.partial > 0 || len(to.gate.text()) != want {
			t.Errorf("%d writes end within a line; %d bytes of %d written", to.partial, len(to.gate.text()), want)
		}
	})
}

func TestCloseWritesWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &stuck{released: make(chan struct{})}
		close(to.released)
		b := NewLossyWriter(to)
		if _, err := b.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
		b.Close()
		b.Close()
		if _, err := b.Write([]byte("too late\n")); err != nil {
			t.Fatal(err)
		}
		if to.text() != "line\n" {
			t.Errorf("the log is %q", to.text())
		}
	})
}

// The end of a process does not wait for a reader that stands still.
func TestCloseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		to := &stuck{released: make(chan struct{})}
		b := NewLossyWriter(to)
		if _, err := b.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		b.Close()
		if took := time.Since(began); took != closeBound {
			t.Errorf("closing took %v", took)
		}
		close(to.released)
	})
}
