package dispatch

import (
	"fmt"
	"strconv"
	"strings"
)

// Resources is what one task takes of an instance.
type Resources struct {
	Processors   int `json:"cpu,omitempty"` // thousandths of a core
	Memory       int `json:"mem,omitempty"` // MB
	Accelerators int `json:"acc,omitempty"`
}

func (n Resources) plus(m Resources) Resources {
	return Resources{n.Processors + m.Processors, n.Memory + m.Memory, n.Accelerators + m.Accelerators}
}

func (n Resources) minus(m Resources) Resources {
	return Resources{n.Processors - m.Processors, n.Memory - m.Memory, n.Accelerators - m.Accelerators}
}

func (n Resources) fitsIn(free Resources) bool {
	return n.Processors <= free.Processors && n.Memory <= free.Memory && n.Accelerators <= free.Accelerators
}

// Step is a set of like tasks of a job.
type Step struct {
	Count    int       `json:"count"`
	Need     Resources `json:"need"`
	Estimate int64     `json:"est,omitempty"`   // ms a task takes, as its user guesses
	After    []int     `json:"after,omitempty"` // steps that must be done first

	Checkpoints    bool   `json:"ckpt,omitempty"`
	Gang           bool   `json:"gang,omitempty"`    // all tasks of one run start together or not at all
	OneRack        bool   `json:"onerack,omitempty"` // tasks are slower when they run on several racks
	Label          string `json:"label,omitempty"`   // label that the instance must have
	DataRack       string `json:"rack,omitempty"`    // rack of the data; elsewhere tasks are slower
	MaxPerInstance int    `json:"most,omitempty"`    // tasks of the step on one instance at most; 0: any number
	Speculative    bool   `json:"copies,omitempty"`  // a second copy of a task does no harm
	LongRunning    bool   `json:"lasting,omitempty"` // runs until the job is cancelled
	Image          string `json:"image,omitempty"`
	Target         int64  `json:"target,omitempty"`  // ms that the tail latency of a serving task must stay below
	BestEffort     bool   `json:"fills,omitempty"`   // takes the processors that others leave
	MaxUnavailable int    `json:"maymiss,omitempty"` // tasks that may be away at a time by the system's doing
}

// Policy is what the configuration says of a job's queue.
type Policy struct {
	Service  string  `json:"service"`
	Priority int     `json:"priority"` // 0 comes first
	Attempts int     `json:"attempts"` // failed runs of a task until the job has failed
	Stretch  float64 `json:"stretch"`  // objective as a multiple of the longest chain of steps
	Latency  int64   `json:"latency"`  // ms added to the objective
}

// Job is an accepted job.
type Job struct {
	ID       string `json:"id"`
	Queue    string `json:"queue"`
	Policy   Policy `json:"policy"`
	Payload  string `json:"payload,omitempty"`
	Steps    []Step `json:"steps"`
	FirstDue int64  `json:"first,omitempty"`    // Unix ms at which occurrence 0 is due
	Interval int64  `json:"interval,omitempty"` // ms between occurrences
	Repeat   int    `json:"repeat,omitempty"`   // occurrences; 0: one, at once
	Accepted int64  `json:"accepted"`           // Unix ms
	// OwnerVersion is the version of the owner's row that was in force when the job was
	// accepted. Only owners up to that version can have started its tasks before.
	OwnerVersion uint64 `json:"under"`
}

// Occurrences is how often the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// LongRunning tells whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for _, step := range j.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// Objective is the time in ms in which the job should be done from its acceptance.
func (j *Job) Objective() int64 {
	longest := make([]int64, len(j.Steps))
	var chain int64
	for i, step := range j.Steps {
		for _, before := range step.After {
			if before < i {
				longest[i] = max(longest[i], longest[before])
			}
		}
		longest[i] += step.Estimate
		chain = max(chain, longest[i])
	}
	return int64(float64(chain)*max(j.Policy.Stretch, 1)) + j.Policy.Latency
}

// TaskName names a task: job, occurrence, step, index.
type TaskName struct {
	Job                     string
	Occurrence, Step, Index int
}

// String is the name in one word, such as 5c0e7a21d94b36f8.0.1.17.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// ParseTaskName reads what String wrote; ok is false for anything else.
func ParseTaskName(text string) (name TaskName, ok bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, false
	}
	numbers := [3]int{}
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskName{}, false
		}
		numbers[i] = n
	}
	return TaskName{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

//go:generate stringer -type=State -linecomment

// State is what a job's submitter is told.
type State int

// The states of a job.
const (
	Queued    State = iota // queued
	Running                // running
	Completed              // completed
	Failed                 // failed
	Cancelled              // cancelled
)

// Final tells whether a state never changes again.
func (s State) Final() bool { return s >= Completed }
