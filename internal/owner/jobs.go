package owner

import (
	"encoding/json"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// JobInsertTxn returns a transaction that inserts a job if no job has its ID and the owner's
// row is at job.OwnerRevision. So only that owner or a later one can start tasks of the job.
func JobInsertTxn(job dispatch.Job) (table.Txn, error) {
	value, err := json.Marshal(job)
	if err != nil {
		return table.Txn{}, errors.Wrapf(err, "encode job %s", job.ID)
	}
	rowKey := jobRowKey(job.ID, suffixJob)
	return table.Txn{
		Preconditions: []table.Precondition{{RowKey: rowKey}, {RowKey: ownerRowKey(), Revision: job.OwnerRevision}},
		Puts:          []table.Put{{RowKey: rowKey, Value: value}},
	}, nil
}

// ReadInsertConflict decodes the rows returned by a JobInsertTxn that conflicted. It returns
// the stored job of that ID, or nil and the current revision of the owner's row.
func ReadInsertConflict(job dispatch.Job, rows []table.Record) (*dispatch.Job, uint64) {
	var ownerRevision uint64
	for _, row := range rows {
		if row.RowKey == ownerRowKey() {
			ownerRevision = row.Revision
		}
		if row.RowKey != jobRowKey(job.ID, suffixJob) || row.Revision == table.Absent {
			continue
		}
		known := &dispatch.Job{}
		if err := json.Unmarshal(row.Value, known); err != nil {
			// A row that cannot be decoded still occupies the ID. The owner logs it.
			return &job, 0
		}
		return known, 0
	}
	return nil, ownerRevision
}

// JobCancelTxn returns a transaction that marks a job as cancelled.
func JobCancelTxn(id string) table.Txn {
	return table.Txn{Puts: []table.Put{{RowKey: jobRowKey(id, suffixCancel), Value: []byte("{}")}}}
}

// JobRange selects the rows of one job.
func JobRange(id string) table.Range {
	return table.Range{Table: tableJobs, Partition: shardPartition, From: id + "/", To: id + suffixEnd}
}

// AllJobsRange selects the rows of all jobs.
func AllJobsRange() table.Range { return table.Range{Table: tableJobs, Partition: shardPartition} }

// JobState is the state of one job according to its rows. State is meaningless unless Known
// is set.
type JobState struct {
	Known bool
	State dispatch.State
}

// ReadJob decodes the rows of one job. An error names a row that could not be decoded; the
// returned state then comes from the other rows.
func ReadJob(id string, rows []table.Record) (JobState, error) {
	var bad error
	jobs := gatherJobs(rows, func(key string, err error) { bad = errors.Wrapf(err, "row %s", key) })
	stored := jobs[id]
	if stored == nil || stored.job == nil {
		return JobState{}, bad
	}
	return JobState{Known: true, State: stored.state()}, bad
}

func (r *jobRows) state() dispatch.State {
	switch {
	case r.progress != nil && r.progress.State.Final():
		return r.progress.State
	case r.cancelled:
		return dispatch.Cancelled
	case r.progress != nil:
		return dispatch.Running
	}
	return dispatch.Queued
}

// CountBacklog counts the jobs of a queue that have neither progress nor a cancellation in
// the table. Since progress is written only when a task has ended, the count is at least
// the number of jobs that have not started.
func CountBacklog(queue string, rows []table.Record) int {
	count := 0
	for _, stored := range gatherJobs(rows, func(string, error) {}) {
		if stored.job != nil && stored.job.Queue == queue && stored.progress == nil && !stored.cancelled {
			count++
		}
	}
	return count
}
