// Package job submits, reads and cancels batch jobs.
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
	// MaxTasks bounds the tasks of one job, so that one commit can hold its rows.
	MaxTasks = 10_000
	// runtimeMost bounds the declared run time of a task.
	runtimeMost = 30 * 24 * time.Hour
	// keyMost bounds an idempotency key, in bytes.
	keyMost = 200
)

// ErrInvalid marks a job that is refused for what it says.
var ErrInvalid = errors.New("job refused")

// ErrNotFound marks a job that is not in the table.
var ErrNotFound = errors.New("no such job")

// Submission is a job as an operator states it.
type Submission struct {
	Workspace    string        `json:"workspace"`
	Class        string        `json:"class"`
	Tasks        int           `json:"tasks"`
	Processors   float64       `json:"cpu"`
	Memory       int           `json:"memory"` // MB
	Accelerators int           `json:"accelerators"`
	Runtime      time.Duration `json:"runtime"`
	Deadline     time.Duration `json:"deadline"` // from submission; 0: the class's
	Idempotent   bool          `json:"idempotent"`
	Payload      string        `json:"work"`
	Key          string        `json:"key"` // the same key twice is the same job
}

// Validate turns a submission into a job under the document in force. Rooms are the
// capacities of the instances known.
func Validate(now time.Time, s Submission, document contract.Document, rooms []placement.Resources) (placement.Job, error) {
	class, known := document.Class(s.Class)
	need := placement.Resources{Processors: s.Processors, Memory: s.Memory, Accelerators: s.Accelerators}
	_, member := document.Workspace(s.Workspace)
	var why string
	switch {
	case !member:
		why = fmt.Sprintf("workspace %q is not in the contract", s.Workspace)
	case !known:
		why = fmt.Sprintf("class %q has no target", s.Class)
	case class.Kind == contract.Service:
		why = fmt.Sprintf("class %s is a service class and takes requests, not jobs", s.Class)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		why = fmt.Sprintf("tasks must be 1 to %d, not %d", MaxTasks, s.Tasks)
	case s.Runtime <= 0 || s.Runtime > runtimeMost:
		why = fmt.Sprintf("runtime must be over 0 and at most %s, not %s", runtimeMost, s.Runtime)
	case s.Deadline < 0:
		why = fmt.Sprintf("deadline must not be negative: %s", s.Deadline)
	case s.Processors <= 0 || s.Memory < 0 || s.Accelerators < 0:
		why = "cpu must be over 0, memory and accelerators not negative"
	case len(s.Key) > keyMost:
		why = fmt.Sprintf("key is longer than %d bytes", keyMost)
	default:
		why = misfit(need, rooms)
	}
	if why != "" {
		return placement.Job{}, errors.Mark(errors.Newf("%s", why), ErrInvalid)
	}
	return placement.Job{
		Workspace: s.Workspace, Class: s.Class, Tasks: s.Tasks, Need: need, Runtime: s.Runtime,
		Deadline: deadline(now, s, class), Submitted: now, Idempotent: s.Idempotent, Payload: s.Payload,
	}, nil
}

// deadline is the job's own, or what its class is owed.
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

// misfit tells why a need fits no instance; "" if it fits one.
func misfit(need placement.Resources, rooms []placement.Resources) string {
	why := "no instance is known yet"
	for _, room := range rooms {
		text := need.Shortage(room)
		if text == "" {
			return ""
		}
		why = "fits no instance: " + text
	}
	return why
}

// Submit commits a checked job and returns it as stored. The same workspace and
// key give the same job, however often they are sent; fresh tells whether this call
// stored it.
func Submit(ctx context.Context, to *table.Client, shards int, checked placement.Job, key, unique string) (stored placement.Job, fresh bool, err error) {
	checked.ID = "j" + unique
	if key != "" {
		checked.ID = fmt.Sprintf("j%016x", xxhash.Sum64String(checked.Workspace+"/"+key))
	}
	conditions, writes, err := rowsOf(checked, shards, unique)
	if err != nil {
		return placement.Job{}, false, err
	}
	result, err := to.CommitRetry(ctx, conditions, writes)
	switch result.Outcome {
	case table.Committed:
		return checked, true, nil
	case table.Conflict:
		stored, err = existing(ctx, to, checked.ID)
		return stored, false, err
	case table.Unknown:
	}
	return checked, false, errors.Wrapf(err, "the platform did not say whether job %s was stored", checked.ID)
}

func existing(ctx context.Context, from *table.Client, id string) (placement.Job, error) {
	stored, version, err := record.Get[placement.Job](ctx, from, record.JobPrefix+id)
	if err == nil && version == table.Absent {
		err = errors.Newf("job %s conflicts with rows that are not its own", id)
	}
	return stored, err
}

// rowsOf makes the job's row, its chunks and one inbox row for each shard they
// fall into.
func rowsOf(of placement.Job, shards int, unique string) ([]table.Condition, []table.Write, error) {
	rows := map[string]any{}
	order := []string{record.JobPrefix + of.ID}
	rows[order[0]] = of
	for _, chunk := range placement.Split(of, unique) {
		key := record.ChunkPrefix + chunk.Key()
		inbox := record.InboxKey(record.ShardOf(chunk.Key(), shards), of.ID, record.InboxSubmit)
		if _, known := rows[inbox]; !known {
			rows[inbox] = record.InboxItem{Job: of.ID, Kind: record.InboxSubmit, At: of.Submitted, Commit: unique}
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

// Status is a job with its tasks.
type Status struct {
	Job    placement.Job    `json:"job"`
	Counts map[string]int   `json:"counts"` // by state
	Tasks  []placement.Task `json:"tasks"`
}

// Read reads a job and its tasks.
func Read(ctx context.Context, from *table.Client, id string) (Status, error) {
	stored, version, err := record.Get[placement.Job](ctx, from, record.JobPrefix+id)
	if err != nil {
		return Status{}, err
	}
	if version == table.Absent {
		return Status{}, errors.Mark(errors.Newf("job %q is not known", id), ErrNotFound)
	}
	status := Status{Job: stored, Counts: map[string]int{}}
	seen := map[int]bool{}
	// A chunk may move from the first prefix to the second between the two reads.
	for _, prefix := range []string{record.ChunkPrefix, record.EndedPrefix} {
		chunks, err := record.Scan[placement.Chunk](ctx, from, prefix+id+"/")
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

// List reads all jobs, oldest first.
func List(ctx context.Context, from *table.Client) ([]placement.Job, error) {
	jobs, err := record.Scan[placement.Job](ctx, from, record.JobPrefix)
	slices.SortFunc(jobs, func(a, b placement.Job) int { return a.Submitted.Compare(b.Submitted) })
	return jobs, err
}

// Cancel asks the owners of a job's chunks to cancel it. It is accepted once the
// rows are committed; asking twice is asking once.
func Cancel(ctx context.Context, to *table.Client, shards int, id, unique string) error {
	if _, version, err := record.Get[placement.Job](ctx, to, record.JobPrefix+id); err != nil {
		return err
	} else if version == table.Absent {
		return errors.Mark(errors.Newf("job %q is not known", id), ErrNotFound)
	}
	for at := range shards {
		write, err := record.NewWrite(record.InboxKey(at, id, record.InboxCancel), record.InboxItem{
			Job: id, Kind: record.InboxCancel, At: time.Now().UTC(), Commit: unique,
		})
		if err != nil {
			return err
		}
		result, err := to.CommitRetry(ctx, []table.Condition{{Key: write.Key, Revision: table.Absent}}, []table.Write{write})
		if result.Outcome == table.Unknown {
			return errors.Wrapf(err, "the platform did not say whether the cancellation of %s was stored", id)
		}
	}
	return nil
}
