package runner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/logs"
	"go.uber.org/zap"
)

const (
	// slowAt is the share of its target at which a serving task's tail makes the filling
	// tasks beside it give way, in percent; below calmAt they may take more again.
	slowAt = 90
	calmAt = 65
	// paceUp is what they get back at a time, in percent points.
	paceUp = 20
	// paceUpPeriod is the time between two such steps.
	paceUpPeriod = 500 * time.Millisecond
	// paceDownPeriod is the time between two steps down: a figure covers half a second,
	// so one earlier than that does not show the last step yet.
	paceDownPeriod = 250 * time.Millisecond
	// fullPace is the pace of a task that nobody slows.
	fullPace = 100
)

// pacer slows the filling tasks of a worker while a serving task beside them is over
// its target. The agent decides that alone, on the worker's figures.
type pacer struct {
	percent int // that filling tasks are allowed
	changed time.Time
	sent    map[dispatch.TaskName]paced
}

// paced is the pace that a run was given.
type paced struct {
	run     int64
	percent int
}

func newPacer() pacer { return pacer{percent: fullPace, sent: map[dispatch.TaskName]paced{}} }

// observe takes a list of what runs and adjusts the pace.
func (p *pacer) observe(r *Runner, running []Listed, now time.Time) {
	worst := -1 // tail of a serving task as a percentage of its target
	for _, l := range running {
		known := r.runs[l.Task]
		if known != nil && known.order.Target > 0 {
			worst = max(worst, int(l.Figure*100/float64(known.order.Target)))
		}
	}
	p.adjust(worst, now)
	present := make(map[dispatch.TaskName]bool, len(running))
	for _, l := range running {
		present[l.Task] = true
		known := r.runs[l.Task]
		if known == nil || !known.order.Fills || known.number != l.Run {
			continue
		}
		was, ok := p.sent[l.Task]
		if !ok || was.run != l.Run {
			was = paced{l.Run, fullPace}
		}
		if was.percent != p.percent {
			p.send(r, l, p.percent)
		}
	}
	for name := range p.sent {
		if !present[name] {
			delete(p.sent, name)
		}
	}
}

// adjust finds the pace for the worst serving task; worst is -1 when there is none.
func (p *pacer) adjust(worst int, now time.Time) {
	since := now.Sub(p.changed)
	switch {
	case worst < 0:
		p.percent = fullPace
	case worst >= slowAt && p.percent > 0 && since >= paceDownPeriod:
		p.percent, p.changed = p.percent/2, now
		if p.percent < 10 {
			p.percent = 0
		}
	case worst <= calmAt && p.percent < fullPace && since >= paceUpPeriod:
		p.percent, p.changed = min(p.percent+paceUp, fullPace), now
	}
}

func (p *pacer) send(r *Runner, l Listed, percent int) {
	p.sent[l.Task] = paced{l.Run, percent}
	call := PaceCall{Life: r.offer.Life, Fence: r.fence, Task: l.Task, Run: l.Run, Percent: percent}
	r.set.Add("paced", 1)
	r.loop.Go(func() {
		bounded, cancel := context.WithTimeout(r.loop.Context(), orderBound)
		defer cancel()
		answer, err := r.worker.Pace(bounded, call)
		if err == nil && answer.Kind == Obeyed {
			return
		}
		r.loop.Post(func() {
			r.log.Info("pace-failed", zap.Stringer("task", l.Task), zap.Stringer("answer", answer.Kind), logs.Error(err))
			delete(p.sent, l.Task) // sent again with the next list
			if percent == fullPace {
				p.sent[l.Task] = paced{l.Run, -1}
			}
		})
	})
}
