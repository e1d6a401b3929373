// Package job validates, stores, reads and cancels batch jobs in the platform's table.
// Shard owners schedule the stored jobs; see package placement.
package job

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// MaxTasks bounds the tasks of one job, so that one commit can hold all its rows.
	MaxTasks = 10_000
	// maxRuntime bounds the declared run time of a task.
	maxRuntime = 30 * 24 * time.Hour
	// maxKeyBytes bounds an idempotency key, in bytes.
	maxKeyBytes = 200
)

// ErrInvalid marks the error for a submission that does not pass validation.
var ErrInvalid = errors.New("invalid job")

// ErrNotFound marks the error for a job that is not in the table.
var ErrNotFound = errors.New("job not found")

// Submission is a request of an operator to run a job. Processors (cores), Memory,
// Accelerators and Runtime are those of each task. Payload is passed to the tasks
// unchanged.
type Submission struct {
	Workspace    string        `json:"workspace"`
	Class        string        `json:"class"`
	Tasks        int           `json:"tasks"`
	Processors   float64       `json:"cpu"`
	Memory       int           `json:"memory"` // MB
	Accelerators int           `json:"accelerators"`
	Runtime      time.Duration `json:"runtime"`
	Deadline     time.Duration `json:"deadline"` // from submission; 0 for the deadline of the class
	Idempotent   bool          `json:"idempotent"`
	Payload      string        `json:"work"`
	Key          string        `json:"key"` // idempotency key: the same workspace and key give the same job
}

// Validate checks a submission against the document in force and the capacities of the
// known instances, and returns the job without an ID. Its error is marked ErrInvalid.
func Validate(now time.Time, s Submission, document contract.Document, capacities []placement.Resources) (placement.Job, error) {
	class, known := document.Class(s.Class)
	need := placement.Resources{Processors: s.Processors, Memory: s.Memory, Accelerators: s.Accelerators}
	_, member := document.Workspace(s.Workspace)
	var reason string
	switch {
	case !member:
		reason = fmt.Sprintf("workspace %q is not in the contract", s.Workspace)
	case !known:
		reason = fmt.Sprintf("class %q has no target", s.Class)
	case class.Kind == contract.Service:
		reason = fmt.Sprintf("class %s is a service class and takes requests, not jobs", s.Class)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		reason = fmt.Sprintf("tasks must be 1 to %d, not %d", MaxTasks, s.Tasks)
	case s.Runtime <= 0 || s.Runtime > maxRuntime:
		reason = fmt.Sprintf("runtime must be over 0 and at most %s, not %s", maxRuntime, s.Runtime)
	case s.Deadline < 0:
		reason = fmt.Sprintf("deadline must not be negative: %s", s.Deadline)
	case s.Processors <= 0 || s.Memory < 0 || s.Accelerators < 0:
		reason = "cpu must be over 0, memory and accelerators not negative"
	case len(s.Key) > maxKeyBytes:
		reason = fmt.Sprintf("key is longer than %d bytes", maxKeyBytes)
	default:
		reason = misfit(need, capacities)
	}
	if reason != "" {
		return placement.Job{}, errors.Mark(errors.Newf("%s", reason), ErrInvalid)
	}
	return placement.Job{
		Workspace: s.Workspace, Class: s.Class, Tasks: s.Tasks, Need: need, Runtime: s.Runtime,
		Deadline: deadline(now, s, class), Submitted: now, Idempotent: s.Idempotent, Payload: s.Payload,
	}, nil
}

// deadline returns the deadline of the submission, else the one that its class gives.
func deadline(now time.Time, s Submission, class contract.Class) time.Time {
	switch {
	case s.Deadline > 0:
		return now.Add(s.Deadline)
	case class.Kind == contract.Sync:
		return now.Add(time.Duration(float64(s.Runtime) / class.ProcessorShare))
	}
	if class.TasksPerHour > 0 {
		return now.Add(time.Duration(float64(s.Tasks)/class.TasksPerHour*float64(time.Hour)) + s.Runtime)
	}
	return now.Add(class.Deadline)
}

// misfit returns why no instance has the capacity for need, or "" if one has.
func misfit(need placement.Resources, capacities []placement.Resources) string {
	reason := "no instance is known yet"
	for _, capacity := range capacities {
		shortage := need.Shortage(capacity)
		if shortage == "" {
			return ""
		}
		reason = "fits no instance: " + shortage
	}
	return reason
}

// Submit stores a validated job and returns it as stored. Submissions with the same
// workspace and key store one job only; fresh reports whether this call stored it. On an
// error the job may or may not be stored. commitID identifies the commit, and the job if key
// is empty.
func Submit(ctx context.Context, client *table.Client, shards int, checked placement.Job, key, commitID string) (stored placement.Job, fresh bool, err error) {
	checked.ID = "j" + commitID
	if key != "" {
		checked.ID = fmt.Sprintf("j%016x", xxhash.Sum64String(checked.Workspace+"/"+key))
	}
	conditions, writes, err := rowsOf(checked, shards, commitID)
	if err != nil {
		return placement.Job{}, false, err
	}
	result, err := client.CommitRetry(ctx, conditions, writes)
	switch result.Outcome {
	case table.Committed:
		return checked, true, nil
	case table.Conflict:
		stored, err = existing(ctx, client, checked.ID)
		return stored, false, err
	case table.Unknown:
	}
	return checked, false, errors.Wrapf(err, "the platform did not confirm whether job %s was stored", checked.ID)
}

func existing(ctx context.Context, client *table.Client, id string) (placement.Job, error) {
	stored, revision, err := record.Get[placement.Job](ctx, client, record.JobPrefix+id)
	if err == nil && revision == table.Absent {
		err = errors.Newf("job %s conflicts with rows of another job", id)
	}
	return stored, err
}

// rowsOf returns the conditions and writes for the row of the job, the rows of its chunks
// and one inbox row for each shard that a chunk belongs to.
func rowsOf(newJob placement.Job, shards int, commitID string) ([]table.Condition, []table.Write, error) {
	rows := map[string]any{}
	order := []string{record.JobPrefix + newJob.ID}
	rows[order[0]] = newJob
	for _, chunk := range placement.Split(newJob, commitID) {
		key := record.ChunkPrefix + chunk.Key()
		inbox := record.InboxKey(record.ShardOf(chunk.Key(), shards), newJob.ID, record.InboxSubmit)
		if _, known := rows[inbox]; !known {
			rows[inbox] = record.InboxItem{Job: newJob.ID, Kind: record.InboxSubmit, At: newJob.Submitted, Commit: commitID}
			order = append(order, inbox)
		}
		rows[key] = chunk
		order = append(order, key)
	}
	var conditions []table.Condition
	var writes []table.Write
	for _, key := range order {
		write, err := record.NewWrite(key, rows[key])
		if err != nil {
			return nil, nil, err
		}
		conditions = append(conditions, table.Condition{Key: key, Revision: table.Absent})
		writes = append(writes, write)
	}
	return conditions, writes, nil
}

// Status is a job with its tasks, ordered by number.
type Status struct {
	Job    placement.Job    `json:"job"`
	Counts map[string]int   `json:"counts"` // number of tasks by state
	Tasks  []placement.Task `json:"tasks"`
}

// Read returns a job and its tasks. Its error is marked ErrNotFound if there is no such job.
func Read(ctx context.Context, client *table.Client, id string) (Status, error) {
	stored, revision, err := record.Get[placement.Job](ctx, client, record.JobPrefix+id)
	if err != nil {
		return Status{}, err
	}
	if revision == table.Absent {
		return Status{}, errors.Mark(errors.Newf("job %q is not known", id), ErrNotFound)
	}
	status := Status{Job: stored, Counts: map[string]int{}}
	seen := map[int]bool{}
	// A chunk may move from the first prefix to the second between the two scans.
	for _, prefix := range []string{record.ChunkPrefix, record.EndedPrefix} {
		chunks, err := record.Scan[placement.Chunk](ctx, client, prefix+id+"/")
		if err != nil {
			return Status{}, err
		}
		for _, chunk := range chunks {
			if !seen[chunk.Index] {
				seen[chunk.Index] = true
				status.Tasks = append(status.Tasks, chunk.Tasks...)
			}
		}
	}
	slices.SortFunc(status.Tasks, func(a, b placement.Task) int { return a.Number - b.Number })
	for _, task := range status.Tasks {
		status.Counts[task.State.String()]++
	}
	return status, nil
}

// List returns all jobs, oldest first.
func List(ctx context.Context, client *table.Client) ([]placement.Job, error) {
	jobs, err := record.Scan[placement.Job](ctx, client, record.JobPrefix)
	slices.SortFunc(jobs, func(a, b placement.Job) int { return a.Submitted.Compare(b.Submitted) })
	return jobs, err
}

// Cancel writes a cancellation into the inbox of every shard, whose owners then cancel the
// chunks of the job. The cancellation is accepted once all inbox rows are committed.
// Repeating it has no further effect. Its error is marked ErrNotFound if there is no such job.
func Cancel(ctx context.Context, client *table.Client, shards int, id, commitID string) error {
	if _, revision, err := record.Get[placement.Job](ctx, client, record.JobPrefix+id); err != nil {
		return err
	} else if revision == table.Absent {
		return errors.Mark(errors.Newf("job %q is not known", id), ErrNotFound)
	}
	for shard := range shards {
		write, err := record.NewWrite(record.InboxKey(shard, id, record.InboxCancel), record.InboxItem{
			Job: id, Kind: record.InboxCancel, At: time.Now().UTC(), Commit: commitID,
		})
		if err != nil {
			return err
		}
		result, err := client.CommitRetry(ctx, []table.Condition{{Key: write.Key, Revision: table.Absent}}, []table.Write{write})
		if result.Outcome == table.Unknown {
			return errors.Wrapf(err, "the platform did not confirm whether the cancellation of %s was stored", id)
		}
	}
	return nil
}
