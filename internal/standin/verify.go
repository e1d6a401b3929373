package standin

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/apricotwind/apricotwind/internal/problem"
)

// Check is one thing that must always hold and whether it did.
type Check struct {
	Text   string `json:"text"`
	Passed bool   `json:"held"`
	Detail string `json:"detail,omitempty"`
}

// CheckCapacity holds when no instance ran more requests than its slots.
func CheckCapacity(seen []Observations) Check {
	check := Check{Text: "no instance ran more requests than its slots", Passed: true}
	highest := int64(0)
	for _, each := range seen {
		highest = max(highest, each.PeakInFlight)
		check.Passed = check.Passed && each.Overruns == 0
	}
	check.Detail = fmt.Sprintf("most at a time: %d", highest)
	return check
}

// Outcome is what the caller of a request was told became of it.
type Outcome int

// What a caller may be told. Nothing is when the connection broke.
const (
	Answered Outcome = iota
	Refused
	Unknown
	Nothing
)

// OutcomeOf reads the outcome header of an answer; an answer without one is the
// upstream's own.
func OutcomeOf(outcome string) Outcome {
	switch outcome {
	case "":
		return Answered
	case problem.Refused.String():
		return Refused
	}
	return Unknown
}

// Request is one request as its caller saw it.
type Request struct {
	ID         string
	Idempotent bool
	Outcome    Outcome
}

// CheckAnswers holds when every request that was answered was run, every one that
// was refused was not, and none that may run once only ran twice.
func CheckAnswers(seen []Observations, sent []Request) Check {
	runs := map[string]int{}
	for _, each := range seen {
		for id, n := range each.Requests {
			runs[id] += n
		}
	}
	check := Check{Text: "what was answered was run, what was refused was not, nothing ran twice that may not", Passed: true}
	counts := map[Outcome]int{}
	for _, each := range sent {
		counts[each.Outcome]++
		ran := runs[each.ID]
		wrong := each.Outcome == Answered && ran == 0 || each.Outcome == Refused && ran > 0 || !each.Idempotent && ran > 1
		if wrong {
			check.Passed = false
			check.Detail = fmt.Sprintf("request %s ran %d times; ", each.ID, ran)
		}
	}
	check.Detail += fmt.Sprintf("%d answered, %d refused, %d unknown, %d without an answer",
		counts[Answered], counts[Refused], counts[Unknown], counts[Nothing])
	return check
}

// spansOf lists all spans, by task and time.
func spansOf(seen []Observations) []Span {
	var spans []Span
	for _, each := range seen {
		spans = append(spans, each.Spans...)
	}
	slices.SortFunc(spans, func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.From.Compare(b.From))
	})
	return spans
}

// CheckOnePlace holds when no two spans of a task overlap.
func CheckOnePlace(seen []Observations) Check {
	check := Check{Text: "no task ran in two places at once", Passed: true}
	spans := spansOf(seen)
	for i := 1; i < len(spans); i++ {
		before, after := spans[i-1], spans[i]
		if before.Task == after.Task && after.From.Before(before.To) {
			check.Passed = false
			check.Detail = fmt.Sprintf("task %s ran twice for %s", after.Task, before.To.Sub(after.From))
			return check
		}
	}
	check.Detail = fmt.Sprintf("%d spans", len(spans))
	return check
}

// progressSlack is the rounding of saved progress, in seconds.
const progressSlack = 0.001

// CheckResumed holds when no task for which once holds repeated work: each span
// begins where the one before it ended.
func CheckResumed(seen []Observations, once func(task string) bool) Check {
	check := Check{Text: "a task that may run once only repeated no work", Passed: true}
	progress := map[string]float64{}
	resumed := 0
	for _, each := range spansOf(seen) {
		if !once(each.Task) {
			continue
		}
		at, ran := progress[each.Task]
		if ran {
			resumed++
		}
		if each.Begin < at-progressSlack {
			check.Passed = false
			check.Detail = fmt.Sprintf("task %s ran again from %.3f s after %.3f s", each.Task, each.Begin, at)
			return check
		}
		progress[each.Task] = each.End
	}
	check.Detail = fmt.Sprintf("%d tasks ran, %d spans went on", len(progress), resumed)
	return check
}
