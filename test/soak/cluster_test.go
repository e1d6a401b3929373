package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A process that is paused before it has installed its signal handlers gets no SIGHUP, however long
// ago it was started.
func TestNoHangupBeforeTheHandlersAreInstalled(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if _, err := log.WriteString(startEvent + " by the process before\n"); err != nil {
		t.Fatal(err)
	}
	script := "sleep 1.2; trap 'echo reloaded' HUP; echo " + startEvent + "; while :; do sleep 0.05; done"
	p := &process{name: "e0", binary: "/bin/sh", arguments: []string{"-c", script}, log: log, addViolation: t.Errorf}
	p.start()
	defer p.end(syscall.SIGKILL)
	time.Sleep(1100 * time.Millisecond) // longer than any start takes that is not paused
	p.signal(syscall.SIGHUP)
	logged := func() string {
		text, err := os.ReadFile(log.Name())
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(logged(), "reloaded"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no reload, the log has %q", logged())
		}
		p.signal(syscall.SIGHUP)
	}
}
