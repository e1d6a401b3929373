package demo

import (
	"context"
	"strings"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/standin"
)

// check compares what the callers and operators were told with what the upstreams
// saw.
func (p *player) check(ctx context.Context) ([]standin.Check, error) {
	statuses := make([]job.Status, 0, len(p.jobs))
	once := map[string]bool{}
	for _, id := range p.jobs {
		status, err := p.pool.client(0).Job(ctx, id)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, status)
		for _, task := range status.Tasks {
			once[placement.TaskName(id, task.Number)] = !status.Job.Idempotent
		}
	}
	var seen []standin.Witness
	for _, upstream := range p.pool.upstreams() {
		seen = append(seen, upstream.Witness())
	}
	return []standin.Check{
		standin.CheckCapacity(seen),
		standin.CheckAnswers(seen, p.sent),
		standin.CheckOnePlace(seen),
		standin.CheckResumed(seen, func(task string) bool { return once[task] }),
		checkEnds(statuses),
	}, nil
}

// checkEnds holds when every task of every job has a final state, or waits for the
// word of a lost instance that may have run it and must not be run again.
func checkEnds(statuses []job.Status) standin.Check {
	counts := map[string]int{}
	check := standin.Check{Text: "no task was lost: each has ended, or is held for a lost instance that may have run it", Held: true}
	for _, status := range statuses {
		check.Held = check.Held && len(status.Tasks) == status.Job.Tasks
		for _, task := range status.Tasks {
			state := task.State.String()
			held := task.State == placement.Placed && !status.Job.Idempotent && strings.HasPrefix(task.Why, "held: ")
			if held {
				state = "held"
			}
			check.Held = check.Held && (held || task.State.Final())
			counts[state]++
		}
	}
	check.Detail = strings.Join(ledger.Ranked(counts), ", ")
	return check
}
