package runner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/logs"
	"go.uber.org/zap"
)

// latencyWarmUp is the time after the start of a latency-critical task in which its tail
// latency is ignored, because it still includes the start of the task.
const latencyWarmUp = 1500 * time.Millisecond

// fullPace is the pace, in percent, of a run that is not slowed.
const fullPace = 100

// pacer slows the best-effort runs of one worker as package interference decides from
// the worker's measurements. The agent decides without the owner, since a latency-critical
// task cannot wait for the owner's answer.
type pacer struct {
	model        *interference.Model
	controller   *interference.Pacer
	measurements []dispatch.Measurement // from the last poll
	sent         map[dispatch.TaskName]pacedRun
}

// pacedRun is the pace last ordered for a run, in percent.
type pacedRun struct {
	run  int64
	pace int
}

func newPacer() pacer {
	model := interference.NewModel()
	return pacer{model: model, controller: interference.NewPacer(model), sent: map[dispatch.TaskName]pacedRun{}}
}

// observe passes the measurements of the running runs to the controller and adjusts their
// paces. It counts latencyWarmUp from settledAt: the time of the worker's answer to the start
// or, if there was none, of the first poll result that shows the run. A stop of the run changes
// settledAt too.
func (p *pacer) observe(r *Runner, running []RunStatus, now time.Time) {
	var latencyCritical []interference.TaskHeadroom
	bestEffort := map[string]interference.ImageUsage{}
	p.measurements = p.measurements[:0]
	for _, l := range running {
		known := r.runs[l.Task]
		switch {
		case known == nil || known.number != l.Run:
			continue
		case known.order.Target > 0:
			if now.Sub(known.settledAt) < latencyWarmUp {
				continue
			}
			latencyCritical = append(latencyCritical, interference.TaskHeadroom{
				Image: known.order.Image, Headroom: interference.Headroom(float64(known.order.Target), l.Measurement),
			})
		case known.order.BestEffort:
			usage := bestEffort[known.order.Image]
			usage.Cores += l.Measurement / 1000
			usage.Requested += float64(known.order.Millicores) / 1000
			bestEffort[known.order.Image] = usage
		default:
			continue
		}
		p.measurements = append(p.measurements, dispatch.Measurement{Task: l.Task, Value: l.Measurement})
	}
	if p.controller.Observe(now, latencyCritical, bestEffort) {
		for image, usage := range bestEffort {
			r.log.Info("pace", zap.String("image", image), zap.Int("percent", p.controller.Pace(image)), zap.Float64("cores", usage.Cores), zap.Float64("headroom", interference.Worst(latencyCritical)))
		}
	}
	p.apply(r, running)
}

// apply sets the decided pace of each running best-effort run, and forgets runs that have
// ended.
func (p *pacer) apply(r *Runner, running []RunStatus) {
	present := make(map[dispatch.TaskName]bool, len(running))
	for _, l := range running {
		present[l.Task] = true
		known := r.runs[l.Task]
		if known != nil && known.order.BestEffort && known.number == l.Run {
			p.set(r, known, l.Task)
		}
	}
	for name := range p.sent {
		if !present[name] {
			delete(p.sent, name)
		}
	}
}

// set sends the decided pace of a run to the worker if it differs from the last ordered one.
func (p *pacer) set(r *Runner, known *run, name dispatch.TaskName) {
	pace := p.controller.Pace(known.order.Image)
	previous, ok := p.sent[name]
	if !ok || previous.run != known.number {
		previous = pacedRun{known.number, initialPace(known)}
	}
	if previous.pace == pace {
		return
	}
	next := pacedRun{known.number, pace}
	p.sent[name] = next
	r.registry.Add("paced", 1)
	call := PaceCall{Incarnation: r.registration.Incarnation, Fence: r.sessionFence, Task: name, Run: known.number, Pace: pace}
	r.loop.Go(func() {
		callCtx, cancel := context.WithTimeout(r.loop.Context(), orderTimeout)
		defer cancel()
		answer, err := r.worker.SetPace(callCtx, call)
		if err == nil && answer.Status == Applied {
			return
		}
		r.loop.Post(func() {
			r.log.Info("pace-failed", zap.Stringer("task", name), zap.Stringer("answer", answer.Status), zap.String("reason", answer.Reason), logs.Error(err))
			if p.sent[name] == next {
				p.sent[name] = pacedRun{known.number, unknownPace} // sent again after the next poll
			}
		})
	})
}

// unknownPace marks a run whose last pace order was rejected or not answered, or that another agent
// process may have slowed.
const unknownPace = -1

// initialPace returns the pace, in percent, that a run has before this process has ordered one.
func initialPace(known *run) int {
	if known.found {
		return unknownPace
	}
	return fullPace
}
