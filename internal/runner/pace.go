package runner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/logs"
	"go.uber.org/zap"
)

// warmUp is how long a serving task's tail is that of its start.
const warmUp = 1500 * time.Millisecond

// fullPace is the pace, in percent, of a run that nobody slows.
const fullPace = 100

// pacer carries out what package interference decides on one worker's figures. The
// agent decides alone: a serving task can't wait for the owner.
type pacer struct {
	pairs   *interference.Model
	decides *interference.Pacer
	figures []dispatch.Measurement // of the last list
	sent    map[dispatch.TaskName]paced
}

// paced is the pace that a run was given.
type paced struct {
	run     int64
	percent int
}

func newPacer() pacer {
	pairs := interference.NewModel()
	return pacer{pairs: pairs, decides: interference.NewPacer(pairs), sent: map[dispatch.TaskName]paced{}}
}

// observe takes a list of what runs and adjusts the paces.
func (p *pacer) observe(r *Runner, running []RunStatus, now time.Time) {
	var serving []interference.LatencyCritical
	filling := map[string]interference.BestEffort{}
	p.figures = p.figures[:0]
	for _, l := range running {
		known := r.runs[l.Task]
		switch {
		case known == nil || known.number != l.Run:
			continue
		case known.order.Target > 0:
			if now.Sub(known.settled) < warmUp {
				continue
			}
			serving = append(serving, interference.LatencyCritical{
				Image: known.order.Image, Headroom: interference.Headroom(float64(known.order.Target), l.Measurement),
			})
		case known.order.BestEffort:
			of := filling[known.order.Image]
			of.Cores += l.Measurement / 1000
			of.Asked += float64(known.order.Millicores) / 1000
			filling[known.order.Image] = of
		default:
			continue
		}
		p.figures = append(p.figures, dispatch.Measurement{Task: l.Task, Value: l.Measurement})
	}
	if p.decides.Observe(now, serving, filling) {
		for image, of := range filling {
			r.log.Info("pace", zap.String("image", image), zap.Int("percent", p.decides.Pace(image)), zap.Float64("cores", of.Cores), zap.Float64("headroom", interference.Worst(serving)))
		}
	}
	p.apply(r, running)
}

// apply orders the paces that runs do not have yet.
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

// set orders the pace of a run if it has another.
func (p *pacer) set(r *Runner, known *run, name dispatch.TaskName) {
	percent := p.decides.Pace(known.order.Image)
	was, ok := p.sent[name]
	if !ok || was.run != known.number {
		was = paced{known.number, fullPace}
	}
	if was.percent == percent {
		return
	}
	now := paced{known.number, percent}
	p.sent[name] = now
	r.set.Add("paced", 1)
	call := PaceCall{Incarnation: r.offer.Incarnation, Fence: r.fence, Task: name, Run: known.number, Pace: percent}
	r.loop.Go(func() {
		bounded, cancel := context.WithTimeout(r.loop.Context(), orderBound)
		defer cancel()
		answer, err := r.worker.SetPace(bounded, call)
		if err == nil && answer.Status == Applied {
			return
		}
		r.loop.Post(func() {
			r.log.Info("pace-failed", zap.Stringer("task", name), zap.Stringer("answer", answer.Status), logs.Error(err))
			if p.sent[name] == now {
				p.sent[name] = paced{known.number, unknownPace} // ordered again with the next list
			}
		})
	})
}

// unknownPace is the pace of a run whose last order was not answered.
const unknownPace = -1
