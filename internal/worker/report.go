package worker

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/cockroachdb/errors"
)

// lease tells the worker which tasks may run and until when, and takes its
// report. Without a grant it keeps none and only asks for the report. Leases are
// sent one at a time.
func (t *Tasks) lease() {
	if t.leasing {
		t.again = true
		return
	}
	t.leasing = true
	t.again = false
	call := t.client.Claim
	if t.boot != "" {
		t.number++
		number, until, keep := t.number, t.leaseEnd(), t.kept()
		call = func(ctx context.Context) (Report, error) { return t.client.Lease(ctx, number, until, keep) }
	}
	asked := time.Now()
	t.loop.Go(func() {
		ctx, cancel := context.WithTimeout(t.loop.Context(), callBound)
		defer cancel()
		report, err := call(ctx)
		got := time.Now()
		t.loop.Post(func() {
			t.leasing = false
			t.takeReport(asked, got, report, err)
			if t.again {
				t.lease()
			}
		})
	})
}

// leaseEnd is the end of the grant on the worker's clock. When the worker showed
// t.clock it was t.clockAt here or earlier, so the result is never too late.
func (t *Tasks) leaseEnd() time.Duration {
	if !t.granted() {
		return 0
	}
	return t.clock + t.until.Sub(t.clockAt)
}

// kept lists the tasks that the grant lets run. One that the worker has not said it
// holds is not kept: after its start came late, it waits for the owner's word.
func (t *Tasks) kept() []AttemptID {
	if !t.granted() {
		return nil
	}
	var keep []AttemptID
	for of, h := range t.held {
		if h.approved && (h.RunState == placement.Paused || h.RunState == placement.Running) {
			keep = append(keep, of)
		}
	}
	return keep
}

// takeReport takes the worker's report that was asked for at asked and came at got.
func (t *Tasks) takeReport(asked, got time.Time, report Report, err error) {
	switch {
	case errors.Is(err, ErrSuperseded):
		t.superseded()
		return
	case err != nil:
		t.loseWorker(err)
		return
	}
	news := report.Incarnation != t.boot
	t.boot, t.clock, t.clockAt = report.Incarnation, report.Clock, got
	listed := make(map[AttemptID]bool, len(report.Tasks))
	for _, each := range report.Tasks {
		listed[each.AttemptID] = true
		news = t.takeTask(each) || news
	}
	for of, h := range t.held {
		if !listed[of] && h.gone(asked) {
			delete(t.held, of)
			news = true
		}
	}
	if news {
		t.changed()
	}
}

// loseWorker stops speaking for the worker until it is claimed again.
func (t *Tasks) loseWorker(err error) {
	if t.boot == "" {
		return
	}
	t.log.Warn("worker-lost", logs.Error(err))
	t.boot = ""
}

// gone tells whether a task that a report asked for at asked does not list is not
// on the worker and never will be. A task that is over stays until the owner has
// put its end into the table.
func (h *held) gone(asked time.Time) bool {
	return !h.busy && !h.RunState.Final() && h.settled.Before(asked)
}

// takeTask takes the worker's word on one task and tells whether it is news.
func (t *Tasks) takeTask(each TaskReport) bool {
	h, known := t.held[each.AttemptID]
	if !known {
		h = &held{
			TaskStatus: placement.TaskStatus{Task: each.Task, Attempt: each.Attempt, Checkpoint: each.CheckpointKey},
			need:       each.Need,
			class:      each.Class,
		}
		t.held[each.AttemptID] = h
	}
	h.used, h.share = each.Processors, each.Share
	if h.busy || h.RunState.Final() {
		return !known
	}
	news := !known || h.RunState != each.RunState
	h.RunState = each.RunState
	if each.Reason != "" {
		h.Reason = each.Reason
	}
	return news
}
