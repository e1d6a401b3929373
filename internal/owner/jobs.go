package owner

import (
	"encoding/json"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// JobInsert puts a job into the table if there is none of its ID and the owner's
// row is at the version that the job names. So no owner but that one, or a later one,
// can have started any of it.
func JobInsert(job dispatch.Job) (table.Txn, error) {
	value, err := json.Marshal(job)
	if err != nil {
		return table.Txn{}, errors.Wrapf(err, "write job %s", job.ID)
	}
	place := jobPlace(job.ID, suffixJob)
	return table.Txn{
		Preconditions: []table.Precondition{{RowKey: place}, {RowKey: ownerPlace(), Revision: job.OwnerVersion}},
		Puts:          []table.Put{{RowKey: place, Value: value}},
	}, nil
}

// ReadInsertConflict reads the rows of a failed JobInsert: the job that is there, or nil
// and the version of the owner's row.
func ReadInsertConflict(job dispatch.Job, rows []table.Record) (*dispatch.Job, uint64) {
	var under uint64
	for _, row := range rows {
		if row.RowKey == ownerPlace() {
			under = row.Revision
		}
		if row.RowKey != jobPlace(job.ID, suffixJob) || row.Revision == table.Absent {
			continue
		}
		known := &dispatch.Job{}
		if err := json.Unmarshal(row.Value, known); err != nil {
			// What cannot be read is there all the same; the owner reports it.
			return &job, 0
		}
		return known, 0
	}
	return nil, under
}

// JobCancel marks a job as cancelled.
func JobCancel(id string) table.Txn {
	return table.Txn{Puts: []table.Put{{RowKey: jobPlace(id, suffixCancel), Value: []byte("{}")}}}
}

// JobRange selects the rows of one job.
func JobRange(id string) table.Range {
	return table.Range{Table: tableJobs, Partition: shardPart, From: id + "/", To: id + suffixEnd}
}

// AllJobs selects the rows of all jobs.
func AllJobs() table.Range { return table.Range{Table: tableJobs, Partition: shardPart} }

// JobState is what the rows of one job say.
type JobState struct {
	Known bool
	State dispatch.State
}

// ReadJob reads the rows of one job.
func ReadJob(id string, rows []table.Record) (JobState, error) {
	var bad error
	jobs := gatherJobs(rows, func(key string, err error) { bad = errors.Wrapf(err, "row %s", key) })
	of := jobs[id]
	if of == nil || of.job == nil {
		return JobState{}, bad
	}
	return JobState{Known: true, State: of.state()}, bad
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

// CountBacklog counts the jobs of a queue of which nothing has ended, which is at least
// as many as have not started.
func CountBacklog(queue string, rows []table.Record) int {
	count := 0
	for _, of := range gatherJobs(rows, func(string, error) {}) {
		if of.job != nil && of.job.Queue == queue && of.progress == nil && !of.cancelled {
			count++
		}
	}
	return count
}
