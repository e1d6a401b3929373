package ledger

import (
	"cmp"
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
)

// Tally is what the ledger counts for one decision about a task: an outcome, a cause and a
// kind of move. An empty field means that nothing is counted.
type Tally struct{ Outcome, Cause, Move string }

// TallyOf returns what the ledger counts for a decision.
func TallyOf(d placement.Decision) Tally {
	switch d.Action {
	case placement.Place:
	case placement.Hold:
		return Tally{Move: HeldForLost}
	case placement.Requeue:
		return Tally{Move: moveOf(d)}
	case placement.End:
		outcome := outcomeOf(d)
		return Tally{Outcome: outcome.String(), Cause: causeOf(d, outcome)}
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

// outcomes maps the final state of a task to its outcome.
var outcomes = map[placement.State]Outcome{
	placement.Done:      Delivered,
	placement.Failed:    Failed,
	placement.Cancelled: Cancelled,
	placement.Unknown:   Unknown,
}

func outcomeOf(d placement.Decision) Outcome {
	if d.State == placement.Done && d.Late {
		return Late
	}
	return outcomes[d.State]
}

// causeOf returns why a task was not delivered, or the empty string if it was.
func causeOf(d placement.Decision, outcome Outcome) string {
	switch {
	case outcome == Late && d.QuotaDelayed:
		return "after the deadline: waited for the quota"
	case outcome == Late:
		return "after the deadline"
	}
	return d.Reason
}

// RecordDecision counts one decision about a task. It also records a note if the decision
// explains a shortfall or a move.
func (r *Recorder) RecordDecision(now time.Time, d placement.Decision) {
	workspace, class, tally := d.Job.Workspace, d.Job.Class, TallyOf(d)
	if tally.Move != "" {
		r.RecordMove(workspace, class, tally.Move)
	}
	if d.Action == placement.End {
		r.RecordOutcome(workspace, class, outcomeOf(d), tally.Cause)
	}
	if tally.Move != "" || tally.Cause != "" {
		r.RecordNote(now, workspace, class, fmt.Sprintf("task %s attempt %d on %s: %s, %s",
			placement.TaskName(d.Job.ID, d.Task), d.Attempt, d.Instance, d.State, cmp.Or(d.Reason, tally.Cause)))
	}
}
