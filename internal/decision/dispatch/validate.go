package dispatch

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	// MaxTasks bounds the tasks of one occurrence of a job.
	MaxTasks = 100_000
	// MaxTasksInAll bounds the tasks of all occurrences of a job, since an owner holds those that
	// are due.
	MaxTasksInAll = 1_000_000

	// MaxJobBytes bounds a job in its stored form, in bytes. A row of the table holds 65,536; the rest
	// is for the revision of the owner, which is set when the job is stored.
	MaxJobBytes = 65_000

	// MaxNameBytes bounds the ID, service, failure domain, rack and each label of an instance, in
	// bytes. A key of the table has at most as many.
	MaxNameBytes = 200
	// MaxLabels bounds the labels of an instance.
	MaxLabels = 64
	// MaxProcessors bounds the processors of an instance, in thousandths of a core. This and the next
	// two bounds keep sums over all instances from an overflow.
	MaxProcessors = 10_000_000
	// MaxMemory bounds the memory of an instance, in MB.
	MaxMemory = 1 << 30
	// MaxAccelerators bounds the accelerators of an instance.
	MaxAccelerators = 10_000
	// MaxGracePeriod bounds the time that a draining instance states as left.
	MaxGracePeriod = 24 * time.Hour
	// MaxColdRemaining bounds the time for which an instance states that it is slow after its start.
	MaxColdRemaining = time.Hour
	// MaxClockAhead bounds how far ahead of the local clock an incarnation may have started, since
	// the clocks of two machines differ.
	MaxClockAhead = time.Hour
)

// Validate returns why a registration cannot be used at the time now, or nil. An agent ignores such a
// registration, and the owner does not attach an instance with it or restore one from the table.
func (r *Registration) Validate(now time.Time) error {
	if !isPrintable(r.Incarnation.ID) {
		return errors.New("the ID of an instance is not empty and has printable characters only")
	}
	if len(r.Labels) > MaxLabels {
		return fmt.Errorf("%d labels, at most %d are allowed", len(r.Labels), MaxLabels)
	}
	for _, name := range append([]string{r.Incarnation.ID, r.Service, r.Domain, r.Rack}, r.Labels...) {
		if len(name) > MaxNameBytes {
			return fmt.Errorf("a name of %d bytes, at most %d are allowed", len(name), MaxNameBytes)
		}
	}
	if started := r.Incarnation.StartedAt; started < 0 || started > now.Add(MaxClockAhead).UnixMilli() {
		return fmt.Errorf("started at %d ms, after the local clock by more than %v or before 1970", started, MaxClockAhead)
	}
	if r.GracePeriod < 0 || r.GracePeriod > MaxGracePeriod.Milliseconds() {
		return fmt.Errorf("a grace period of %d ms is not between 0 and %v", r.GracePeriod, MaxGracePeriod)
	}
	if r.ColdRemaining < 0 || r.ColdRemaining > MaxColdRemaining.Milliseconds() {
		return fmt.Errorf("cold for %d ms is not between 0 and %v", r.ColdRemaining, MaxColdRemaining)
	}
	return r.Capacity.validate()
}

// validate returns why r cannot be the capacity of an instance, or nil.
func (r Resources) validate() error {
	if r.Processors < 0 || r.Memory < 0 || r.Accelerators < 0 ||
		r.Processors > MaxProcessors || r.Memory > MaxMemory || r.Accelerators > MaxAccelerators {
		return fmt.Errorf("a capacity of %+v is negative or too large", r)
	}
	return nil
}

// isPrintable reports whether text is not empty and has printable ASCII characters only, without a
// space.
func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != ""
}

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
	return j.validateSize()
}

// validateSize returns why a job cannot be stored, or nil.
func (j *Job) validateSize() error {
	row, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("encode the job: %w", err)
	}
	if len(row) > MaxJobBytes {
		return fmt.Errorf("a job of %d bytes, at most %d are stored", len(row), MaxJobBytes)
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
