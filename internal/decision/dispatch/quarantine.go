package dispatch

import (
	"slices"
	"time"
)

// planQuarantined places tasks of a long-running step, for which no usable instance has room, on
// quarantined instances. Such a task is to run whenever there is room for it, and may fail any
// number of times.
func (p *planner) planQuarantined(j ranked, step *Step, tasks []*task) {
	if !step.LongRunning || len(p.quarantined) == 0 {
		return
	}
	for _, t := range tasks {
		if !p.startable(t) {
			continue
		}
		if in := p.bestOf(p.untried(t), j.jobState, t, ""); in != nil {
			p.place(j.jobState, t, in, t.lastRun+1)
		}
	}
}

// untried returns the quarantined instances on which a task has not failed since their quarantine
// began. A task tries each once only, since an instance that fails all its tasks would otherwise start
// it again and again.
func (p *planner) untried(t *task) []*instance {
	return slices.DeleteFunc(slices.Clone(p.quarantined), func(in *instance) bool { return in.failedInQuarantine[t.name] })
}

// quarantine keeps new tasks off an instance for quarantineDuration, or lengthens its quarantine.
func (in *instance) quarantine(now time.Time) {
	if !now.Before(in.quarantinedUntil) {
		in.failedInQuarantine = map[TaskName]bool{}
	}
	in.quarantinedUntil = now.Add(quarantineDuration)
}

// recordQuarantinedFailure records that a task has failed on an instance, if that is quarantined.
func (in *instance) recordQuarantinedFailure(now time.Time, t *task) {
	if now.Before(in.quarantinedUntil) {
		in.failedInQuarantine[t.name] = true
	}
}
