package dispatch

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"
)

func TestTaskNames(t *testing.T) {
	cases := []struct {
		text string
		want TaskName
		ok   bool
	}{
		{"5c0e7a21d94b36f8.0.1.17", TaskName{"5c0e7a21d94b36f8", 0, 1, 17}, true},
		{"5c0e7a21d94b36f8.0.1", TaskName{}, false},
		{"j.0.-1.2", TaskName{}, false},
		{"j.a.1.2", TaskName{}, false},
		{"", TaskName{}, false},
	}
	for _, c := range cases {
		got, ok := ParseTaskName(c.text)
		if got != c.want || ok != c.ok {
			t.Errorf("ParseTaskName(%q) = %v, %v", c.text, got, ok)
		}
		if ok && got.String() != c.text {
			t.Errorf("%v.String() is not %q", got, c.text)
		}
	}
}

func TestValidate(t *testing.T) {
	steps := func(steps ...Step) Job { return Job{ID: "j", Steps: steps} }
	repeated := func(repeat int, first, interval int64) Job {
		job := steps(Step{Count: 10})
		job.Repeat, job.FirstDue, job.Interval = repeat, first, interval
		return job
	}
	cases := []struct {
		name  string
		job   Job
		valid bool
	}{
		{"one step", steps(Step{Count: 1}), true},
		{"a chain", steps(Step{Count: 1}, Step{Count: 2, After: []int{0}}), true},
		{"no step", steps(), false},
		{"no task", steps(Step{}), false},
		{"a negative number of tasks", steps(Step{Count: 5}, Step{Count: -1}), false},
		{"too many tasks", steps(Step{Count: MaxTasks}, Step{Count: 1}), false},
		{"a number of tasks that overflows", steps(Step{Count: 1 << 62}, Step{Count: 1 << 62}), false},
		{"a negative need", steps(Step{Count: 1, Need: Resources{Memory: -1}}), false},
		{"after itself", steps(Step{Count: 1, After: []int{0}}), false},
		{"after a step that is missing", steps(Step{Count: 1}, Step{Count: 1, After: []int{7}}), false},
		{"after a negative step", steps(Step{Count: 1, After: []int{-1}}), false},
		{"at times", repeated(8, 5, 1000), true},
		{"too many times", repeated(1_000_000_000, 1, 0), false},
		{"a negative interval", repeated(2, 1, -1), false},
		{"as many steps as fit into a row", steps(slices.Repeat([]Step{{Count: 1}}, 1500)...), true},
		{"more steps than fit into a row", steps(slices.Repeat([]Step{{Count: 1}}, 3000)...), false},
	}
	for _, c := range cases {
		if err := c.job.Validate(); (err == nil) != c.valid {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// The progress of a job with very many occurrences fits into a row of the table, and a later owner finds
// the same: what is done, what has failed, and which occurrences are still to come.
func TestCompactedProgressIsRestored(t *testing.T) {
	const occurrences, maxRowBytes = 6000, 65_536
	job := jobOf("j", stepOf(2, 1))
	job.FirstDue, job.Interval, job.Repeat = 1000, 1000, occurrences+1
	s := schedulerWith(registrationOf("a", 8))
	s.Accept(startTime, job, nil)
	s.Trigger(1000 * occurrences)
	var ends []End
	for k := range occurrences {
		reason := EndDone
		if k == occurrences-1 {
			reason = EndFailed
		}
		ends = append(ends, End{Task: TaskName{"j", k, 0, 0}, Run: 1, Reason: EndDone}, End{Task: TaskName{"j", k, 0, 1}, Run: 1, Reason: reason})
	}
	s.Ended(at(0), Incarnation{"a", 1}, ends)
	progress := s.Dirty(1)[0].Progress
	progress.Compact()
	row, err := json.Marshal(progress)
	if err != nil || len(row) > maxRowBytes {
		t.Fatalf("a row of %d bytes, %v", len(row), err)
	}
	var stored Progress
	if err := json.Unmarshal(row, &stored); err != nil {
		t.Fatal(err)
	}
	next := New(2, 9)
	next.Accept(startTime, job, &stored)
	registerOn(next, registrationOf("a", 8))
	expect(t, "occurrences", len(next.jobs["j"].occurrences), occurrences)
	expect(t, "failed runs", next.findTask(TaskName{"j", occurrences - 1, 0, 1}).failedRuns, []int64{1})
	expect(t, "starts", startsOf(next.Plan(at(0))), []string{"j.5999.0.1 1000001 a"})
	next.Trigger(1000 * (occurrences + 1))
	expect(t, "starts of the last one", startsOf(next.Plan(at(0))), []string{"j.6000.0.0 1000001 a", "j.6000.0.1 1000001 a"})
}

// A very long estimate does not overflow: the objective would be short, and its job before all others.
func TestObjectives(t *testing.T) {
	cases := []struct {
		name      string
		estimates []int64 // ms, of steps that depend on each other
		want      time.Duration
	}{
		{"none", []int64{0}, time.Second},
		{"one step", []int64{1500}, 4 * time.Second},
		{"a chain", []int64{1500, 500}, 5 * time.Second},
		{"negative", []int64{-9}, time.Second},
		{"too large", []int64{math.MaxInt64}, 200*time.Hour + time.Second},
		{"a chain of such", slices.Repeat([]int64{math.MaxInt64}, 1000), maxObjective + time.Second},
	}
	for _, c := range cases {
		job := jobOf("j")
		for i, estimate := range c.estimates {
			job.Steps = append(job.Steps, Step{Count: 1, Estimate: estimate})
			if i > 0 {
				job.Steps[i].After = []int{i - 1}
			}
		}
		s := New(1, 7)
		s.Accept(startTime, job, nil)
		expect(t, c.name, s.jobs["j"].objective, c.want)
	}
}
