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

// recordFailure passes a failed run to the record of its instance. If the instance is quarantined, it
// also records that the task has failed there.
func (in *instance) recordFailure(now time.Time, t *task) {
	before := in.record.Held(now)
	in.record.Failed(now, t.name.Job)
	if !in.record.Held(now) {
		return
	}
	if !before || in.failedInQuarantine == nil {
		in.failedInQuarantine = map[TaskName]bool{}
	}
	in.failedInQuarantine[t.name] = true
}
