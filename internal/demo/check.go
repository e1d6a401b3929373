package demo

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/standin"
)

// Check is one thing that must always hold and whether it did.
type Check struct {
	Text   string `json:"text"`
	Held   bool   `json:"held"`
	Detail string `json:"detail,omitempty"`
}

// check compares what the callers and operators were told with what the upstreams
// saw.
func (p *player) check(ctx context.Context) ([]Check, error) {
	statuses := make([]job.Status, 0, len(p.jobs))
	for _, id := range p.jobs {
		status, err := p.pool.client(0).Job(ctx, id)
		if err != nil {
			return nil, err
		}
		statuses = append(statuses, status)
	}
	upstreams := p.pool.upstreams()
	var spans []span
	for _, upstream := range upstreams {
		for _, each := range upstream.Worker().Spans() {
			spans = append(spans, span{Span: each, upstream: upstream})
		}
	}
	return []Check{
		p.checkCapacity(upstreams),
		p.checkAnswers(upstreams),
		checkOnePlace(spans),
		checkResumed(spans, statuses),
		checkEnds(statuses),
	}, nil
}

// span is a stretch of a task's run and where it ran.
type span struct {
	standin.Span
	upstream *standin.Upstream
}

func (p *player) checkCapacity(upstreams []*standin.Upstream) Check {
	check := Check{Text: "no instance ran more requests than its slots", Held: true}
	highest := int64(0)
	for _, upstream := range upstreams {
		most, over := upstream.Most()
		highest = max(highest, most)
		if over > 0 {
			check.Held = false
		}
	}
	check.Detail = fmt.Sprintf("most at a time: %d", highest)
	return check
}

// checkAnswers holds when every request that was answered was run, and every one
// that was said to be refused was not.
func (p *player) checkAnswers(upstreams []*standin.Upstream) Check {
	runs := map[string]int{}
	for _, upstream := range upstreams {
		for id, n := range upstream.Runs() {
			runs[id] += n
		}
	}
	check := Check{Text: "what was answered was run, what was refused was not", Held: true}
	answered, refused, unknown := 0, 0, 0
	for number, got := range p.answers {
		ran := runs[name(number)]
		switch {
		case got.err != nil || got.outcome == "unknown":
			unknown++
		case got.outcome == "refused":
			refused++
			check.Held = check.Held && ran == 0
		default:
			answered++
			check.Held = check.Held && ran > 0
		}
	}
	check.Detail = fmt.Sprintf("%d answered, %d refused, %d unknown", answered, refused, unknown)
	return check
}

// checkOnePlace holds when no two spans of a task overlap.
func checkOnePlace(spans []span) Check {
	check := Check{Text: "no task ran in two places at once", Held: true}
	slices.SortFunc(spans, func(a, b span) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.From.Compare(b.From))
	})
	for i := 1; i < len(spans); i++ {
		before, after := spans[i-1], spans[i]
		if before.Task == after.Task && after.From.Before(before.To) {
			check.Held = false
			check.Detail = fmt.Sprintf("task %s ran twice for %s", after.Task, before.To.Sub(after.From))
			return check
		}
	}
	check.Detail = fmt.Sprintf("%d spans", len(spans))
	return check
}

// progressSlack is the rounding of saved progress, in seconds.
const progressSlack = 0.001

// checkResumed holds when no task that may run once only repeated work: each span
// begins where the one before it ended.
func checkResumed(spans []span, statuses []job.Status) Check {
	check := Check{Text: "a task that may run once only repeated no work", Held: true}
	once := map[string]bool{}
	for _, status := range statuses {
		for _, task := range status.Tasks {
			if !status.Job.Idempotent {
				once[placement.TaskName(status.Job.ID, task.Number)] = true
			}
		}
	}
	progress := map[string]float64{}
	resumed := 0
	for _, each := range spans {
		if !once[each.Task] {
			continue
		}
		at, ran := progress[each.Task]
		if ran {
			resumed++
		}
		if each.Begin < at-progressSlack {
			check.Held = false
			check.Detail = fmt.Sprintf("task %s ran again from %.3f s after %.3f s", each.Task, each.Begin, at)
			return check
		}
		progress[each.Task] = each.End
	}
	check.Detail = fmt.Sprintf("%d tasks, %d resumed", len(once), resumed)
	return check
}

// checkEnds holds when every task of every job has a final state, or waits for the
// word of a lost instance that may have run it and must not be run again.
func checkEnds(statuses []job.Status) Check {
	counts := map[string]int{}
	check := Check{Text: "no task was lost: each has ended, or is held for a lost instance that may have run it", Held: true}
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
