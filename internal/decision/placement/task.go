// Package placement decides which instance runs which batch task, and when a task may move
// to another one.
//
// An Owner holds the state of one shard: its tasks, as committed in the table, and the
// instances that send heartbeats. Load, Heartbeat, Announce, Cancel and Evict feed facts
// in. Plan turns them into changes of chunk rows. Replies to heartbeats order starts and
// acknowledge ends only after Committed. Stops don't wait for it: a task that is cancelled,
// evicted, on a draining instance, or taken off its instance by the commit in flight is
// ordered to stop by the next reply. The package does no I/O: the caller owns the shard's lease,
// writes the rows, and exchanges heartbeats with the agents.
package placement

import (
	"fmt"
	"time"
)

//go:generate stringer -type=State -linecomment

// State is the state of a task in the table.
type State int

// The states of a task. The last four are final. Failed means that a run failed and the
// task isn't idempotent, or that maxFailures runs failed. Unknown means that the task isn't
// idempotent and may have run, wholly or in part.
const (
	Waiting   State = iota // waiting
	Placed                 // placed
	Done                   // done
	Failed                 // failed
	Cancelled              // cancelled
	Unknown                // unknown
)

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a state. It returns an error for an unknown name.
func (s *State) UnmarshalText(text []byte) error {
	for candidate := Waiting; candidate <= Unknown; candidate++ {
		if candidate.String() == string(text) {
			*s = candidate
			return nil
		}
	}
	return fmt.Errorf("unknown task state %q", text)
}

// Final reports whether a task in this state never changes again.
func (s State) Final() bool { return s >= Done }

// Resources is a resource vector: what a task requires, or what an instance provides or has
// allocated.
type Resources struct {
	Processors   float64 `json:"cpu,omitempty"`    // cores
	Memory       int     `json:"memory,omitempty"` // MB
	Accelerators int     `json:"accelerators,omitempty"`
}

// Plus returns the sum of two resource vectors.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.Processors + other.Processors, r.Memory + other.Memory, r.Accelerators + other.Accelerators}
}

// Minus returns the difference of two resource vectors.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.Processors - other.Processors, r.Memory - other.Memory, r.Accelerators - other.Accelerators}
}

// roundingTolerance, in cores, allows an exact fit in spite of the rounding errors of sums
// of fractions of a core.
const roundingTolerance = 1e-9

// Shortage describes the first dimension in which r exceeds what is available; "" if r fits.
func (r Resources) Shortage(available Resources) string {
	switch {
	case r.Processors > available.Processors+roundingTolerance:
		return fmt.Sprintf("processors: %g needed, %g there", r.Processors, available.Processors)
	case r.Memory > available.Memory:
		return fmt.Sprintf("memory: %d MB needed, %d MB there", r.Memory, available.Memory)
	case r.Accelerators > available.Accelerators:
		return fmt.Sprintf("accelerators: %d needed, %d there", r.Accelerators, available.Accelerators)
	}
	return ""
}

// dominantShare returns the largest share of total that r uses in any dimension.
func (r Resources) dominantShare(total Resources) float64 {
	share := 0.0
	if total.Processors > 0 {
		share = max(share, r.Processors/total.Processors)
	}
	if total.Memory > 0 {
		share = max(share, float64(r.Memory)/float64(total.Memory))
	}
	if total.Accelerators > 0 {
		share = max(share, float64(r.Accelerators)/float64(total.Accelerators))
	}
	return share
}

// Job is a submitted batch of identical tasks.
type Job struct {
	ID         string        `json:"id"`
	Workspace  string        `json:"workspace"`
	Class      string        `json:"class"`
	Tasks      int           `json:"tasks"`
	Need       Resources     `json:"need"`
	Runtime    time.Duration `json:"runtime"` // of one task, as declared by the submitter
	Deadline   time.Time     `json:"deadline,omitzero"`
	Submitted  time.Time     `json:"submitted"`
	Idempotent bool          `json:"idempotent"`
	Payload    string        `json:"work,omitempty"` // opaque, passed to the upstream unchanged
}

// Task is the record of one task in its chunk row.
type Task struct {
	Number            int       `json:"n"`
	State             State     `json:"state"`
	Attempt           int       `json:"attempt,omitempty"` // number of placements so far; 0 before the first
	Instance          string    `json:"instance,omitempty"`
	WorkerIncarnation string    `json:"boot,omitempty"` // of the worker it was placed on
	PreviousInstance  string    `json:"left,omitempty"` // instance from which it was last requeued
	CheckpointKey     string    `json:"checkpoint,omitempty"`
	Failures          int       `json:"failures,omitempty"`
	Evictions         int       `json:"evictions,omitempty"`
	Reason            string    `json:"why,omitempty"`
	Ended             time.Time `json:"ended,omitzero"`
}

// Chunk is a block of consecutive tasks of one job, stored in one row of the table.
type Chunk struct {
	Job    string `json:"job"`
	Index  int    `json:"index"`
	Tasks  []Task `json:"tasks"`
	Commit string `json:"commit"` // ID of the commit that wrote it
}

// ChunkSize is the number of tasks per row. It keeps a row below 4 KB.
const ChunkSize = 20

// Key returns the key of the chunk's row, without the prefix of chunk rows.
func (c Chunk) Key() string { return fmt.Sprintf("%s/%05d", c.Job, c.Index) }

// Split returns the initial chunks of a job, with all tasks waiting and the given commit ID.
func Split(job Job, commit string) []Chunk {
	var chunks []Chunk
	for first := 0; first < job.Tasks; first += ChunkSize {
		chunk := Chunk{Job: job.ID, Index: first / ChunkSize, Commit: commit}
		for n := first; n < min(first+ChunkSize, job.Tasks); n++ {
			chunk.Tasks = append(chunk.Tasks, Task{Number: n})
		}
		chunks = append(chunks, chunk)
	}
	return chunks
}

// TaskName returns the name of a task in messages and logs, such as j1.7 for task 7 of
// job j1.
func TaskName(job string, number int) string { return fmt.Sprintf("%s.%d", job, number) }
