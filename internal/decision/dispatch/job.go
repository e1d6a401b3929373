package dispatch

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Resources is a resource vector: the request of one task, the capacity of an instance, or
// what is left of it.
type Resources struct {
	Processors   int `json:"cpu,omitempty"` // thousandths of a core
	Memory       int `json:"mem,omitempty"` // MB
	Accelerators int `json:"acc,omitempty"` // number of them
}

func (r Resources) plus(m Resources) Resources {
	return Resources{r.Processors + m.Processors, r.Memory + m.Memory, r.Accelerators + m.Accelerators}
}

func (r Resources) minus(m Resources) Resources {
	return Resources{r.Processors - m.Processors, r.Memory - m.Memory, r.Accelerators - m.Accelerators}
}

// fitsIn reports whether r is no larger than free in each resource.
func (r Resources) fitsIn(free Resources) bool {
	return r.Processors <= free.Processors && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count    int       `json:"count"`
	Need     Resources `json:"need"`
	Estimate int64     `json:"est,omitempty"`   // ms that a task takes, estimated by the user
	After    []int     `json:"after,omitempty"` // indexes of the steps that must be done first

	Checkpoints      bool   `json:"ckpt,omitempty"`    // its tasks save checkpoints that a later run resumes from
	Gang             bool   `json:"gang,omitempty"`    // all tasks of the step start together, or none does
	PreferOneRack    bool   `json:"onerack,omitempty"` // for gangs: tasks run slower over several racks, so one rack is preferred
	Label            string `json:"label,omitempty"`   // label that the instance must have
	DataRack         string `json:"rack,omitempty"`    // rack that holds the data, as a label of its instances; tasks run slower elsewhere
	MaxPerInstance   int    `json:"most,omitempty"`    // limit on tasks of the step on one instance; 0: no limit
	AllowsDuplicates bool   `json:"copies,omitempty"`  // a duplicate run of a task is harmless; not used by the scheduler
	LongRunning      bool   `json:"lasting,omitempty"` // runs until the job is cancelled
	Image            string `json:"image,omitempty"`   // image that the tasks run; interference is learned by image
	Target           int64  `json:"target,omitempty"`  // bound in ms on the tail latency; 0: the step is not latency-critical
	BestEffort       bool   `json:"fills,omitempty"`   // uses processors that other tasks leave idle
	MaxUnavailable   int    `json:"maymiss,omitempty"` // tasks that the system may take down at the same time; 0: no limit
}

// Policy is the configuration of a job's queue.
type Policy struct {
	Service  string  `json:"service"`  // service that the instances must belong to
	Priority int     `json:"priority"` // 0 is the highest
	Attempts int     `json:"attempts"` // failed runs of a task after which the job fails
	Stretch  float64 `json:"stretch"`  // the objective is this, at least 1, times the longest chain of steps, plus Latency
	Latency  int64   `json:"latency"`  // ms added to the objective
}

// Job is an accepted job.
type Job struct {
	ID       string `json:"id"`
	Queue    string `json:"queue"`
	Policy   Policy `json:"policy"`
	Payload  string `json:"payload,omitempty"`
	Steps    []Step `json:"steps"`
	FirstDue int64  `json:"first,omitempty"`    // Unix ms at which occurrence 0 is due; 0: at once
	Interval int64  `json:"interval,omitempty"` // ms between occurrences
	Repeat   int    `json:"repeat,omitempty"`   // number of occurrences; 0: one
	Accepted int64  `json:"accepted"`           // Unix ms
	// OwnerRevision is the revision of the owner's table row when the job was accepted.
	// Only the owner of this revision and later ones start the job's tasks. An owner that
	// finds its own revision here knows that no earlier owner started any.
	OwnerRevision uint64 `json:"under"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// dueAt returns when an occurrence is due, in Unix ms, or the latest time if it would be later.
func (j *Job) dueAt(occurrence int) int64 {
	if j.Interval > 0 && int64(occurrence) > (math.MaxInt64-j.FirstDue)/j.Interval {
		return math.MaxInt64
	}
	return j.FirstDue + int64(occurrence)*j.Interval
}

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for _, step := range j.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

const (
	// maxEstimate bounds what is believed of an estimate, and maxObjective an objective, so that sums
	// of them do not overflow.
	maxEstimate  = 100 * time.Hour
	maxObjective = 10_000 * time.Hour
)

// estimate returns how long a task takes, as the user estimates it; 0 if there is no estimate.
func (s *Step) estimate() time.Duration {
	return time.Duration(min(max(s.Estimate, 0), maxEstimate.Milliseconds())) * time.Millisecond
}

// longestChain returns the duration of the longest chain of steps, of which each takes as long as
// duration says.
func (j *Job) longestChain(duration func(stepIndex int) time.Duration) time.Duration {
	longest := make([]time.Duration, len(j.Steps))
	var chain time.Duration
	for stepIndex := range j.Steps {
		for _, before := range j.Steps[stepIndex].After {
			if before < stepIndex {
				longest[stepIndex] = max(longest[stepIndex], longest[before])
			}
		}
		longest[stepIndex] += duration(stepIndex)
		chain = max(chain, longest[stepIndex])
	}
	return chain
}

// objective returns the time from acceptance in which the job should be done if its longest chain of
// steps takes as long as given.
func (j *Job) objective(chain time.Duration) time.Duration {
	stretched := min(float64(chain)*max(j.Policy.Stretch, 1), float64(maxObjective))
	return time.Duration(stretched) + time.Duration(j.Policy.Latency)*time.Millisecond
}

// TaskName identifies a task by job, occurrence, step and index.
type TaskName struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the name in one word, such as 5c0e7a21d94b36f8.0.1.17.
func (n TaskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// ParseTaskName parses the result of String; ok is false for other input.
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

// State is the state of a job, as shown to its submitter.
type State int

// The states of a job.
const (
	Queued    State = iota // queued
	Running                // running
	Completed              // completed
	Failed                 // failed
	Cancelled              // cancelled
)

// Final reports whether a job in this state starts no more tasks. Until a final state is
// committed, Scheduler.Cancel can still replace it by Cancelled.
func (s State) Final() bool { return s >= Completed }
