package testcluster

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/runner"
)

// OrderFault is the fault that the worker injects into one call.
type OrderFault struct {
	DropReply bool          // executed, but not answered
	Late      time.Duration // with DropReply: delay until it is executed
}

// Crash ends all runs and takes the worker down. Restart and Replace start it again.
func (w *Worker) Crash() { w.crash(false) }

// CrashDark is like Crash, but calls that are sent to the worker while it is down wait. The next
// incarnation carries them out if the caller still waits then.
func (w *Worker) CrashDark() { w.crash(true) }

func (w *Worker) crash(dark bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down, w.dark = true, dark
	for name := range w.runs {
		w.checker.taskLost(w.name, name)
	}
	w.runs = map[dispatch.TaskName]*workerRun{}
}

// Restart starts the next incarnation of the worker under its ID if it has crashed.
func (w *Worker) Restart() { w.restart(0) }

// Replace starts a worker with another ID in the place of one that has crashed.
func (w *Worker) Replace() { w.restart(1) }

func (w *Worker) restart(replacements int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.down {
		return
	}
	w.down = false
	w.replacements += replacements
	w.reset()
	select {
	case w.restarted <- struct{}{}:
	default:
	}
}

// SetCut sets whether the worker is cut off from its agent. It runs on.
func (w *Worker) SetCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// SetDraining sets whether the worker says, from its next registration on, that it will leave.
func (w *Worker) SetDraining(draining bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = draining
}

func (w *Worker) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// SetFault sets the function that returns the fault of each call. A nil function injects no
// faults.
func (w *Worker) SetFault(fault func() OrderFault) { w.fault.Store(&fault) }

// SetStartFault sets the function that returns the fault of each start, in place of that of SetFault. A nil function
// injects no faults.
func (w *Worker) SetStartFault(fault func(runner.StartCall) OrderFault) { w.startFault.Store(&fault) }

// faultOf returns the fault of a start.
func (w *Worker) faultOf(call runner.StartCall) OrderFault {
	if fault := w.startFault.Load(); fault != nil && *fault != nil {
		return (*fault)(call)
	}
	return w.currentFault()
}

func (w *Worker) currentFault() OrderFault {
	if fault := w.fault.Load(); fault != nil && *fault != nil {
		return (*fault)()
	}
	return OrderFault{}
}
