package verb

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/google/go-cmp/cmp"
)

func TestExplanationText(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	step := dispatch.StepExplanation{Waiting: 1, Start: at(1), ExpectedEnd: at(2), CertainlyEnd: at(3), Window: []string{"i0", "i1"}}
	for i := range 12 {
		step.Candidates = append(step.Candidates, dispatch.Candidate{
			Instance: fmt.Sprintf("i%d", i), Obstacle: dispatch.ObstacleWindow, Holder: "h", Free: dispatch.Resources{Processors: 1500, Memory: 10}, Leftover: -250,
		})
	}
	const times = "objective 1970-01-01T00:00:05.000Z, expected end unknown, certain end unknown\n"
	const row = "window of h  0        1.5       10  0             -0.25\n"
	list := "step 0: 1 waiting, 0 running, 0 done\n" +
		"  start 1970-01-01T00:00:01.000Z, expected end 1970-01-01T00:00:02.000Z, certain end 1970-01-01T00:00:03.000Z\n" +
		"  window on i0, i1\n" +
		"  instance  obstacle     penalty  free cpu  MB  accelerators  leftover cpu\n"
	for i := range 10 {
		list += fmt.Sprintf("  %-10s%s", fmt.Sprintf("i%d", i), row)
	}
	cases := []struct {
		what        string
		explanation dispatch.Explanation
		all         bool
		want        string
	}{
		{"postponed", dispatch.Explanation{OnTime: true, Postponed: true}, false, "job j: place 2 of 3, priority 0, on time, postponed\n" + times},
		{"worthless", dispatch.Explanation{Worthless: true}, false, "job j: place 2 of 3, priority 0, too late to be worth anything\n" + times},
		{"the first", dispatch.Explanation{Steps: []dispatch.StepExplanation{step}}, false, "job j: place 2 of 3, priority 0, late\n" + times + list + "  and 2 more (--all)\n"},
		{"all", dispatch.Explanation{Steps: []dispatch.StepExplanation{step}}, true, "job j: place 2 of 3, priority 0, late\n" + times + list + "  i10       " + row + "  i11       " + row},
		{"a later step", dispatch.Explanation{Steps: []dispatch.StepExplanation{{Done: 1, AfterOthers: true}}}, false, "job j: place 2 of 3, priority 0, late\n" + times +
			"step 0: 0 waiting, 0 running, 1 done, after steps that are not done\n  start unknown, expected end unknown, certain end unknown\n"},
	}
	for _, c := range cases {
		c.explanation.Job, c.explanation.Place, c.explanation.Jobs, c.explanation.Objective = "j", 2, 3, at(5)
		var out strings.Builder
		if err := writeExplanation(&out, &c.explanation, c.all); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.want, out.String()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.what, diff)
		}
	}
}
