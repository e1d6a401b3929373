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

// InsertConflict is why a job cannot be inserted. If the ID is free, the owner has changed.
type InsertConflict struct {
	Stored        *dispatch.Job // the job that has the ID; nil: none
	Tombstone     bool          // the ID was cancelled before a job with it was stored
	OwnerRevision uint64        // current revision of the owner's row, if the ID is free
}

// ReadInsertConflict decodes the rows returned by a JobInsertTxn that conflicted.
func ReadInsertConflict(job dispatch.Job, rows []table.Record) InsertConflict {
	var conflict InsertConflict
	for _, row := range rows {
		if row.RowKey == ownerRowKey() {
			conflict.OwnerRevision = row.Revision
		}
		if row.RowKey != jobRowKey(job.ID, suffixJob) || row.Revision == table.Absent {
			continue
		}
		known := &jobRow{}
		switch err := json.Unmarshal(row.Value, known); {
		case err != nil:
			// A row that cannot be decoded still occupies the ID. The owner logs it.
			return InsertConflict{Stored: &job}
		case known.Tombstone:
			return InsertConflict{Tombstone: true}
		}
		return InsertConflict{Stored: &known.Job}
	}
	return conflict
}

// JobCancelTxn returns a transaction that marks a job as cancelled, if its row still is at
// jobRevision. A transaction that the table carries out late leaves no mark of a job whose rows are
// removed by then.
func JobCancelTxn(id string, jobRevision uint64) table.Txn {
	return table.Txn{
		Preconditions: []table.Precondition{{RowKey: jobRowKey(id, suffixJob), Revision: jobRevision}},
		Puts:          []table.Put{{RowKey: jobRowKey(id, suffixCancel), Value: []byte("{}")}},
	}
}

// jobRow is the value of a job's row: the job or, with Tombstone, only the ID of a job that was
// cancelled before it was stored. A tombstone takes the place of the job, so no insert of the job
// finds its preconditions met, also none that the table carries out late. The owner removes a
// tombstone like the rows of a finished job.
type jobRow struct {
	dispatch.Job
	Tombstone bool `json:"tombstone,omitempty"`
}

// TombstoneTxn returns a transaction that puts a tombstone if no job has the ID.
func TombstoneTxn(id string) (table.Txn, error) {
	value, err := json.Marshal(jobRow{Job: dispatch.Job{ID: id}, Tombstone: true})
	if err != nil {
		return table.Txn{}, errors.Wrapf(err, "encode tombstone of job %s", id)
	}
	rowKey := jobRowKey(id, suffixJob)
	return table.Txn{
		Preconditions: []table.Precondition{{RowKey: rowKey}},
		Puts:          []table.Put{{RowKey: rowKey, Value: value}},
	}, nil
}

// JobRange selects the rows of one job.
func JobRange(id string) table.Range {
	return table.Range{Table: tableJobs, Partition: shardPartition, From: id + "/", To: id + suffixEnd}
}

// AllJobsRange selects the rows of all jobs.
func AllJobsRange() table.Range { return table.Range{Table: tableJobs, Partition: shardPartition} }

// JobState is the state of one job according to its rows. State and Revision are meaningless unless
// Known is set.
type JobState struct {
	Known     bool
	State     dispatch.State
	Revision  uint64 // of the job's row
	Tombstone bool   // the ID was cancelled before a job with it was stored
}

// ReadJob decodes the rows of one job. An error names a row that could not be decoded; the
// returned state then comes from the other rows.
func ReadJob(id string, rows []table.Record) (JobState, error) {
	var bad error
	jobs := gatherJobs(rows, func(key string, err error) { bad = errors.Wrapf(err, "row %s", key) })
	stored := jobs[id]
	if stored == nil || stored.job == nil {
		return JobState{Tombstone: stored != nil && stored.tombstone}, bad
	}
	return JobState{Known: true, State: stored.state(), Revision: stored.jobRevision}, bad
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
