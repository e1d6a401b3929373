//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	broke []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// note writes one line with the time since the case began.
func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// broken records that the rule was broken.
func (r *record) broken(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broke = append(r.broke, text)
}

// breaks returns what was broken.
func (r *record) breaks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broke...)
}
