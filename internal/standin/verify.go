package standin

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/apricotwind/apricotwind/internal/problem"
)

// Check is an invariant and whether it held.
type Check struct {
	Text   string `json:"text"`
	Passed bool   `json:"held"`
	Detail string `json:"detail,omitempty"`
}

// CheckCapacity passes if no instance ran more concurrent requests than it has slots.
func CheckCapacity(observations []Observations) Check {
	check := Check{Text: "no instance ran more requests than its slots", Passed: true}
	highest := int64(0)
	for _, each := range observations {
		highest = max(highest, each.PeakInFlight)
		check.Passed = check.Passed && each.Overruns == 0
	}
	check.Detail = fmt.Sprintf("most at a time: %d", highest)
	return check
}

// Outcome is the outcome of a request as reported to its caller.
type Outcome int

// Outcomes of a request. NoAnswer means that no complete answer arrived: the connection could not
// be established or broke.
const (
	Answered Outcome = iota
	Refused
	Unknown
	NoAnswer
)

// OutcomeOf returns the outcome for the value of an answer's outcome header. An answer
// without the header comes from the upstream and counts as Answered.
func OutcomeOf(outcome string) Outcome {
	switch outcome {
	case "":
		return Answered
	case problem.Refused.String():
		return Refused
	}
	return Unknown
}

// Request is a request as its caller saw it.
type Request struct {
	ID         string
	Idempotent bool
	Outcome    Outcome
}

// CheckAnswers passes if every answered request was run, no refused request was run, and no
// request that is not idempotent ran more than once.
func CheckAnswers(observations []Observations, sent []Request) Check {
	runs := map[string]int{}
	for _, each := range observations {
		for id, n := range each.Requests {
			runs[id] += n
		}
	}
	check := Check{Text: "what was answered was run, what was refused was not, nothing ran twice that may not", Passed: true}
	counts := map[Outcome]int{}
	for _, each := range sent {
		counts[each.Outcome]++
		ran := runs[each.ID]
		violation := each.Outcome == Answered && ran == 0 || each.Outcome == Refused && ran > 0 || !each.Idempotent && ran > 1
		if violation {
			check.Passed = false
			check.Detail = fmt.Sprintf("request %s ran %d times; ", each.ID, ran)
		}
	}
	check.Detail += fmt.Sprintf("%d answered, %d refused, %d unknown, %d without an answer",
		counts[Answered], counts[Refused], counts[Unknown], counts[NoAnswer])
	return check
}

// spansOf returns the spans of all upstreams, sorted by task and start time.
func spansOf(observations []Observations) []Span {
	var spans []Span
	for _, each := range observations {
		spans = append(spans, each.Spans...)
	}
	slices.SortFunc(spans, func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), a.From.Compare(b.From))
	})
	return spans
}

// CheckOnePlace passes if no two spans of a task overlap.
func CheckOnePlace(observations []Observations) Check {
	check := Check{Text: "no task ran in two places at once", Passed: true}
	spans := spansOf(observations)
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

// progressSlack is the tolerance for the rounding of checkpointed progress, in seconds.
const progressSlack = 0.001

// CheckResumed passes if no task for which mustNotRepeat returns true repeated work: none of its
// spans may begin before the progress at which the previous one ended.
func CheckResumed(observations []Observations, mustNotRepeat func(task string) bool) Check {
	check := Check{Text: "a task that may run once only repeated no work", Passed: true}
	progress := map[string]float64{}
	resumed := 0
	for _, each := range spansOf(observations) {
		if !mustNotRepeat(each.Task) {
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
