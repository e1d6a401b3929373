package demo

import (
	"context"
	"maps"
	"strings"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/standin"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
)

// check compares the outcomes that callers and operators received with the observations of the
// upstreams.
func (p *player) check(ctx context.Context, report ledger.Report) ([]standin.Check, error) {
	statuses := make([]job.Status, 0, len(p.jobs))
	notIdempotent := map[string]bool{}
	for _, id := range p.jobs {
		status, err := p.cluster.client(0).Job(ctx, id)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, status)
		for _, task := range status.Tasks {
			notIdempotent[placement.TaskName(id, task.Number)] = !status.Job.Idempotent
		}
	}
	var observations []standin.Observations
	for _, upstream := range p.cluster.upstreams() {
		observations = append(observations, upstream.Observations())
	}
	return []standin.Check{
		standin.CheckCapacity(observations),
		standin.CheckAnswers(observations, p.sent),
		standin.CheckOnePlace(observations),
		standin.CheckResumed(observations, func(task string) bool { return notIdempotent[task] }),
		checkEnds(statuses),
		p.checkReport(report, statuses),
	}, nil
}

// checkReport passes if the totals of the report equal the requests and tasks that the player
// sent and their outcomes.
func (p *player) checkReport(report ledger.Report, statuses []job.Status) standin.Check {
	want, got := map[string]int{}, map[string]int{}
	for _, each := range p.sent {
		want["requests"]++
		if each.Outcome == standin.Answered {
			want["answered"]++
		}
	}
	for _, status := range statuses {
		want["tasks"] += len(status.Tasks)
		want["done"] += status.Counts[placement.Done.String()]
	}
	for _, row := range report.Rows {
		totalKey, completedKey := "tasks", "done"
		if row.Kind == contract.Service.String() {
			totalKey, completedKey = "requests", "answered"
		}
		got[totalKey] += row.Owed
		got[completedKey] += row.Outcomes[ledger.Delivered.String()] + row.Outcomes[ledger.Late.String()]
	}
	return standin.Check{
		Text: "the report adds up to what was sent and told", Passed: maps.Equal(want, got),
		Detail: strings.Join(ledger.Ranked(got), ", "),
	}
}

// checkEnds passes if every task of every job has a final state or is held: it isn't idempotent,
// and the instance that may have run it is lost and has not reported its end.
func checkEnds(statuses []job.Status) standin.Check {
	counts := map[string]int{}
	check := standin.Check{Text: "no task was lost: each has ended, or is held for a lost instance that may have run it", Passed: true}
	for _, status := range statuses {
		check.Passed = check.Passed && len(status.Tasks) == status.Job.Tasks
		for _, task := range status.Tasks {
			state := task.State.String()
			held := task.State == placement.Placed && !status.Job.Idempotent && strings.HasPrefix(task.Reason, "held: ")
			if held {
				state = "held"
			}
			check.Passed = check.Passed && (held || task.State.Final())
			counts[state]++
		}
	}
	check.Detail = strings.Join(ledger.Ranked(counts), ", ")
	return check
}
