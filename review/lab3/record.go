//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the seconds since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	rule    string   // that the case is about
	breaks  []string // of that rule
	blocked string   // why the case could not run; "" if it could
}

func newRecorder(path, rule string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), rule: rule}, nil
}

// note writes one line.
func (r *recorder) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// broken records that a rule was broken. Only the rule that the case is about counts.
func (r *recorder) broken(rule, format string, arguments ...any) {
	text := rule + ": " + fmt.Sprintf(format, arguments...)
	r.note("BROKEN %s", text)
	if rule != r.rule {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, text)
}

// block records that the case could not run.
func (r *recorder) block(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.note("NOT RUN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked == "" {
		r.blocked = text
	}
}

// verdict returns the exit code, and prints what was found.
func (r *recorder) verdict() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.blocked != "":
		fmt.Println("could not run:", r.blocked)
		return 2
	case len(r.breaks) > 0:
		for _, text := range r.breaks[:min(len(r.breaks), 10)] {
			fmt.Println("broken:", text)
		}
		return 1
	}
	fmt.Println("held")
	return 0
}
