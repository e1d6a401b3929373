// Package placement decides where batch tasks run and when they may move.
//
// An Owner holds one shard: its tasks as committed in the table and the
// instances that beat. Facts arrive by Heartbeat, Load and Cancel; Plan turns them
// into changes of chunk rows; only after Committed do they show in replies.
package placement

import (
	"fmt"
	"time"
)

//go:generate stringer -type=State -linecomment

// State is where a task stands in the table.
type State int

// The states of a task. The last four are final.
const (
	Waiting   State = iota // waiting
	Placed                 // placed
	Done                   // done
	Failed                 // failed
	Cancelled              // cancelled
	Unknown                // unknown
)

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the state's name.
func (s *State) UnmarshalText(text []byte) error {
	for state := Waiting; state <= Unknown; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("no task state %q", text)
}

// Final tells whether a task in this state never changes again.
func (s State) Final() bool { return s >= Done }

// Resources is an amount of what an instance offers.
type Resources struct {
	Processors   float64 `json:"cpu,omitempty"`
	Memory       int     `json:"memory,omitempty"` // MB
	Accelerators int     `json:"accelerators,omitempty"`
}

// Plus is the sum of two needs.
func (n Resources) Plus(other Resources) Resources {
	return Resources{n.Processors + other.Processors, n.Memory + other.Memory, n.Accelerators + other.Accelerators}
}

// Minus is the difference of two needs.
func (n Resources) Minus(other Resources) Resources {
	return Resources{n.Processors - other.Processors, n.Memory - other.Memory, n.Accelerators - other.Accelerators}
}

// roundingSlack keeps sums of fractions of a processor from refusing an exact fit.
const roundingSlack = 1e-9

// Shortage names the first dimension in which n does not fit into room; "" if it fits.
func (n Resources) Shortage(room Resources) string {
	switch {
	case n.Processors > room.Processors+roundingSlack:
		return fmt.Sprintf("processors: %g needed, %g there", n.Processors, room.Processors)
	case n.Memory > room.Memory:
		return fmt.Sprintf("memory: %d MB needed, %d MB there", n.Memory, room.Memory)
	case n.Accelerators > room.Accelerators:
		return fmt.Sprintf("accelerators: %d needed, %d there", n.Accelerators, room.Accelerators)
	}
	return ""
}

// dominant is the largest share of whole that n takes in any dimension.
func (n Resources) dominant(whole Resources) float64 {
	share := 0.0
	if whole.Processors > 0 {
		share = max(share, n.Processors/whole.Processors)
	}
	if whole.Memory > 0 {
		share = max(share, float64(n.Memory)/float64(whole.Memory))
	}
	if whole.Accelerators > 0 {
		share = max(share, float64(n.Accelerators)/float64(whole.Accelerators))
	}
	return share
}

// Job is a batch of like tasks, as submitted.
type Job struct {
	ID         string        `json:"id"`
	Workspace  string        `json:"workspace"`
	Class      string        `json:"class"`
	Tasks      int           `json:"tasks"`
	Need       Resources     `json:"need"`
	Runtime    time.Duration `json:"runtime"` // declared, of one task
	Deadline   time.Time     `json:"deadline,omitzero"`
	Submitted  time.Time     `json:"submitted"`
	Idempotent bool          `json:"idempotent"`
	Payload    string        `json:"work,omitempty"` // handed to the upstream as it is
}

// Task is one task's record in its chunk row.
type Task struct {
	Number            int       `json:"n"`
	State             State     `json:"state"`
	Attempt           int       `json:"attempt,omitempty"`
	Instance          string    `json:"instance,omitempty"`
	WorkerIncarnation string    `json:"boot,omitempty"` // of the worker it was placed on
	PreviousInstance  string    `json:"left,omitempty"` // instance it left last without an end
	Checkpoint        string    `json:"checkpoint,omitempty"`
	Failures          int       `json:"failures,omitempty"`
	Evictions         int       `json:"evictions,omitempty"`
	Reason            string    `json:"why,omitempty"`
	Ended             time.Time `json:"ended,omitzero"`
}

// Chunk is a block of one job's tasks, kept in one row.
type Chunk struct {
	Job    string `json:"job"`
	Index  int    `json:"index"`
	Tasks  []Task `json:"tasks"`
	Commit string `json:"commit"` // id of the commit that wrote it
}

// ChunkSize is how many tasks share a row, so that a row stays below 4 KB.
const ChunkSize = 20

// Key names the chunk's row below the chunk prefix.
func (c Chunk) Key() string { return fmt.Sprintf("%s/%05d", c.Job, c.Index) }

// Split makes the first chunks of a job.
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

// TaskName names a task in messages and logs, such as j1.7.
func TaskName(job string, number int) string { return fmt.Sprintf("%s.%d", job, number) }
