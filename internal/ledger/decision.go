package ledger

import (
	"cmp"
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
)

// Tally is what the ledger counts of one decision about a task; empty texts count
// nothing.
type Tally struct{ Outcome, Cause, Move string }

// TallyOf tells what is counted of a decision.
func TallyOf(d placement.Decision) Tally {
	switch d.Action {
	case placement.Place:
	case placement.Hold:
		return Tally{Move: HeldForLost}
	case placement.Requeue:
		return Tally{Move: moveOf(d)}
	case placement.End:
		fate := fateOf(d)
		return Tally{Outcome: fate.String(), Cause: causeOf(d, fate)}
	}
	return Tally{}
}

func moveOf(d placement.Decision) string {
	switch {
	case d.Evicted:
		return Evicted
	case d.Lost:
		return InstanceLost
	}
	return Returned
}

// fates maps the final state of a task to its fate.
var fates = map[placement.State]Outcome{
	placement.Done:      Delivered,
	placement.Failed:    Failed,
	placement.Cancelled: Cancelled,
	placement.Unknown:   Unknown,
}

func fateOf(d placement.Decision) Outcome {
	if d.State == placement.Done && d.Late {
		return Late
	}
	return fates[d.State]
}

// causeOf says why a task was not delivered; empty when it was.
func causeOf(d placement.Decision, fate Outcome) string {
	switch {
	case fate == Late && d.QuotaDelayed:
		return "after the deadline: waited for the quota"
	case fate == Late:
		return "after the deadline"
	}
	return d.Reason
}

// RecordDecision counts one decision about a task, and notes it if it explains a shortfall
// or a move.
func (b *Recorder) RecordDecision(now time.Time, d placement.Decision) {
	workspace, class, tally := d.Job.Workspace, d.Job.Class, TallyOf(d)
	if tally.Move != "" {
		b.Move(workspace, class, tally.Move)
	}
	if d.Action == placement.End {
		b.RecordOutcome(workspace, class, fateOf(d), tally.Cause)
	}
	if tally.Move != "" || tally.Cause != "" {
		b.Note(now, workspace, class, fmt.Sprintf("task %s attempt %d on %s: %s, %s",
			placement.TaskName(d.Job.ID, d.Task), d.Attempt, d.Instance, d.State, cmp.Or(d.Reason, tally.Cause)))
	}
}
