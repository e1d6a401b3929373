package main

import (
	"bytes"
	"io"
	"math"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	// termTimeout bounds how long a process may take to exit after SIGTERM.
	termTimeout = 6 * time.Second
	// startEvent is in the first line that a process logs, when its signal handlers are installed.
	startEvent = "event=started"
)

// process is one process of the system under test. The soak starts, signals and restarts it.
type process struct {
	name        string
	binary      string
	arguments   []string
	log         *os.File
	storeProxy  *proxy // between the process and the stand-in store
	workerProxy *proxy // between an agent and its stand-in worker; nil for entries
	// registrationProxy is between a stand-in worker and its agent, in mode reborn only.
	registrationProxy *proxy

	mu           sync.Mutex
	command      *exec.Cmd
	done         chan struct{} // closed after command has exited
	exitExpected bool          // the soak has sent SIGTERM or SIGKILL
	logOffset    int64         // length of log when command was started
	addViolation func(format string, arguments ...any)
}

// start starts the process unless it runs already. An exit that the soak did not request is
// reported as a violation.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return
	}
	logged, err := p.log.Stat()
	if err != nil {
		p.addViolation("%s: the length of the log is not known: %v", p.name, err)
		return
	}
	command := exec.Command(p.binary, p.arguments...)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		p.addViolation("%s does not start: %v", p.name, err)
		return
	}
	done := make(chan struct{})
	p.command, p.done, p.exitExpected, p.logOffset = command, done, false, logged.Size()
	go func() {
		err := command.Wait()
		p.mu.Lock()
		if !p.exitExpected {
			p.addViolation("ENDS %s ended by itself: %v", p.name, err)
		}
		p.command = nil
		p.mu.Unlock()
		close(done)
	}()
}

// hasHandlers reports whether the process has installed its signal handlers. How long ago it was
// started does not tell, since it may have been paused before it ran.
func (p *process) hasHandlers() bool {
	logged, err := io.ReadAll(io.NewSectionReader(p.log, p.logOffset, math.MaxInt64-p.logOffset))
	if err != nil {
		p.addViolation("%s: the log is not readable: %v", p.name, err)
	}
	return bytes.Contains(logged, []byte(startEvent))
}

// signal sends a signal to the process if it runs. It drops a SIGHUP that comes before the
// signal handlers are installed, which would terminate any program, and a SIGSTOP to a process
// that is exiting.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A SIGSTOP is dropped because the pause would count against the time limit of an exiting process.
	if p.command == nil || s == syscall.SIGSTOP && p.exitExpected {
		return
	}
	if s == syscall.SIGHUP && !p.hasHandlers() {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.exitExpected = true
	}
	_ = p.command.Process.Signal(s) // the process may have exited just now
}

// end sends a terminating signal and waits until the process has exited. A process that runs
// longer than termTimeout is reported as a violation and killed.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	done := p.done
	alive := p.command != nil
	p.mu.Unlock()
	if !alive {
		return
	}
	p.signal(syscall.SIGCONT)
	p.signal(s)
	select {
	case <-done:
	case <-time.After(termTimeout):
		p.addViolation("STOP %s still runs %v after a signal to end", p.name, termTimeout)
		p.signal(syscall.SIGKILL)
		<-done
	}
}
