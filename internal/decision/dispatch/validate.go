package dispatch

import (
	"errors"
	"fmt"
)

const (
	// MaxTasks bounds the tasks of one occurrence of a job.
	MaxTasks = 100_000
	// MaxTasksInAll bounds the tasks of all occurrences of a job, since an owner holds those that
	// are due.
	MaxTasksInAll = 1_000_000
)

// Validate returns why a job cannot be scheduled, or nil. An entry rejects such a job, and the owner
// ignores one that it finds in the table or in a call, so that no message takes it down.
func (j *Job) Validate() error {
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		tasks = min(tasks+j.Steps[i].Count, MaxTasks+1) // no overflow
	}
	switch {
	case tasks == 0 || tasks > MaxTasks:
		return fmt.Errorf("a job has 1 to %d tasks", MaxTasks)
	case j.Repeat < 0 || j.Repeat > MaxTasksInAll/tasks:
		return fmt.Errorf("a job of %d tasks runs at most %d times, not %d", tasks, MaxTasksInAll/tasks, j.Repeat)
	case j.FirstDue < 0 || j.Interval < 0:
		return errors.New("the first time and the interval of a job are not negative")
	}
	return nil
}

// validate returns why the step with the given index cannot be scheduled, or nil.
func (s *Step) validate(index int) error {
	if s.Count <= 0 || s.Need.Processors < 0 || s.Need.Memory < 0 || s.Need.Accelerators < 0 {
		return fmt.Errorf("step %d: the number of tasks is positive and their needs are not negative", index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("step %d: it comes after step %d, which is not an earlier one", index, before)
		}
	}
	return nil
}
