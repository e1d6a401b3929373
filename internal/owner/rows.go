// Package owner runs in the entry and, as a standby, in the agent. It elects the one process that
// owns the shard, an entry as long as one runs, and does that owner's work: it renews the
// ownership in the table, runs the scheduler of package dispatch, sends the scheduler's orders to
// the agents and stores its state in the table. Scheduling decisions are left to package dispatch,
// the execution of orders to the agents.
//
// Only the owner starts tasks of jobs with steps (dispatch.Job), once it has loaded its state
// from the table. The table holds the jobs, their progress and the registered instances. An owner
// learns which runs exist on an instance from the full report of the instance's agent, and sends no
// start to an instance before that report. No start waits for the table. The row of starts under
// way follows, for the case that the next owner never hears of the instance; see putStarts.
//
// Four checks prevent a second start of a task that runs already:
//   - The scheduler places only tasks that are neither done nor placed, and each new run of a
//     task gets a higher run number. Each epoch has its own range of run numbers.
//   - Each claim of the ownership increases the epoch. Agents do not attach to an owner with a
//     lower epoch than one that they have attached to, which they keep in memory, and send the
//     epoch to the worker as the fencing token of each call.
//   - A session of an agent with the owner is for one incarnation of the worker. The owner
//     rejects a report for another incarnation, and the agent ignores orders of another
//     session.
//   - The agent and the worker check the run number; see package runner.
//
// A new owner may find jobs that were stored under an earlier owner, which may have started
// their tasks. A task of such a job that no instance has reported waits until every instance
// in the table has sent its full report or is lost. An instance that does not attach is lost
// term.takeoverWait after the claim at the earliest, because its worker may hold a lease that an
// earlier owner granted; it is lost before that if its agent attaches with a later incarnation
// of the worker under another ID, or says that all leases have expired. A job stored under the
// new owner does not wait for this: no earlier owner can have started it. A task whose start may be under
// way on an instance that is lost waits longer, see holdUnsettled.
package owner

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// Tables and keys. All rows that the owner writes are in one partition, so that a
// transaction on them can have the owner's row as a precondition.
const (
	shardPartition = "0"
	tableOwner     = "owner"     // key 0: the current owner; written only by a claim or a handover
	tableAlive     = "alive"     // key 0: the owner's heartbeat, written every alivePeriod
	tableJobs      = "jobs"      // ID/job, ID/progress, ID/cancel
	tableInstances = "instances" // ID of a worker's incarnation: its registration
	tableStarts    = "starts"    // key 0: the starts that may be under way
	tableCosts     = "costs"     // key 0: estimated interference costs of image pairs; durations: of tasks
	singleRowKey   = "0"
	durationsKey   = "durations"
	suffixJob      = "/job"
	suffixProgress = "/progress"
	suffixCancel   = "/cancel"
	// suffixEnd is the suffix of the end of a job's key range: '0' follows '/'.
	suffixEnd = "0"
)

// Holder describes the owner of the shard. It is the value of the owner's row and of the
// alive row. Epoch fences orders to workers: a worker rejects a call with a lower epoch than
// one it has seen. OwnerRevision fences the owner's writes to the table and the insertion of jobs:
// they have the owner's row at this revision as a precondition. A handover changes the revision
// and keeps the epoch.
type Holder struct {
	Epoch   uint64 `json:"epoch"`   // number of the claim: each claim adds 1, a handover keeps it
	Name    string `json:"name"`    // of the owning process; "" after a handover
	Address string `json:"address"` // of the owner's link, host:port
	// OwnerRevision is the revision of the owner's row. It is 0 in the rows that a claim or a
	// handover writes: one transaction writes both rows, so the revision of the row itself
	// is meant.
	OwnerRevision uint64 `json:"under,omitempty"`
	Heartbeat     uint64 `json:"beat,omitempty"`    // counter, so that each write changes the row
	Standby       bool   `json:"standby,omitempty"` // the owner is a standby, see Settings
}

// maxEpoch bounds the epoch, so that the run numbers of an epoch do not overflow.
const maxEpoch = 1 << 40

func ownerRowKey() table.RowKey {
	return table.RowKey{Table: tableOwner, Partition: shardPartition, Key: singleRowKey}
}

func aliveRowKey() table.RowKey {
	return table.RowKey{Table: tableAlive, Partition: shardPartition, Key: singleRowKey}
}

func startsRowKey() table.RowKey {
	return table.RowKey{Table: tableStarts, Partition: shardPartition, Key: singleRowKey}
}

func durationsRowKey() table.RowKey {
	return table.RowKey{Table: tableCosts, Partition: shardPartition, Key: durationsKey}
}

func costsRowKey() table.RowKey {
	return table.RowKey{Table: tableCosts, Partition: shardPartition, Key: singleRowKey}
}

func jobRowKey(id, suffix string) table.RowKey {
	return table.RowKey{Table: tableJobs, Partition: shardPartition, Key: id + suffix}
}

func instanceRowKey(id string) table.RowKey {
	return table.RowKey{Table: tableInstances, Partition: shardPartition, Key: id}
}

// TableName is the name of the table to watch for changes of the owner.
const TableName = tableOwner

// RowRange selects the owner's row.
func RowRange() table.Range { return table.Range{Table: tableOwner, Partition: shardPartition} }

// ReadHolder decodes the value of the owner's row or the alive row. It sets OwnerRevision to
// the row's revision where the value has none.
func ReadHolder(row table.Record) (Holder, error) {
	var holder Holder
	if err := json.Unmarshal(row.Value, &holder); err != nil {
		return Holder{}, errors.Wrapf(err, "decode row %s/%s", row.Table, row.Key)
	}
	if holder.OwnerRevision > row.Revision || holder.Epoch > maxEpoch {
		return Holder{}, errors.Newf("row %s/%s at revision %d: owner's row at revision %d, epoch %d", row.Table, row.Key, row.Revision, holder.OwnerRevision, holder.Epoch)
	}
	if holder.OwnerRevision == 0 {
		holder.OwnerRevision = row.Revision
	}
	return holder, nil
}

// readInstance decodes the row of an instance.
func readInstance(row table.Record) (dispatch.Registration, error) {
	var registration dispatch.Registration
	if err := json.Unmarshal(row.Value, &registration); err != nil {
		return registration, errors.Wrap(err, "decode instance")
	}
	if registration.Incarnation.ID != row.Key {
		return registration, errors.Newf("the row has instance %.80q", registration.Incarnation.ID)
	}
	return registration, registration.Validate(time.Now())
}

// jobRows holds the decoded rows of one job.
type jobRows struct {
	job              *dispatch.Job
	jobRevision      uint64
	tombstone        bool
	progress         *dispatch.Progress
	progressRevision uint64
	cancelled        bool
}

// gatherJobs groups rows of the jobs table by job ID. It calls bad for each row that cannot
// be decoded.
func gatherJobs(rows []table.Record, bad func(key string, err error)) map[string]*jobRows {
	jobs := map[string]*jobRows{}
	for _, row := range rows {
		id, suffix, found := strings.Cut(row.Key, "/")
		if !found || row.Removed {
			continue
		}
		stored := jobs[id]
		if stored == nil {
			stored = &jobRows{}
			jobs[id] = stored
		}
		if err := stored.setField(id, "/"+suffix, row); err != nil {
			bad(row.Key, err)
		}
	}
	return jobs
}

func (r *jobRows) setField(id, suffix string, row table.Record) error {
	switch suffix {
	case suffixJob:
		job := &jobRow{}
		if err := json.Unmarshal(row.Value, job); err != nil {
			return errors.Wrap(err, "decode job")
		}
		if job.ID != id || job.OwnerRevision > row.Revision {
			return errors.Newf("the row at revision %d has job %.80q, accepted at revision %d", row.Revision, job.ID, job.OwnerRevision)
		}
		if job.Tombstone {
			r.tombstone = true
			return nil
		}
		r.job, r.jobRevision = &job.Job, row.Revision
	case suffixProgress:
		r.progress = &dispatch.Progress{}
		if err := json.Unmarshal(row.Value, r.progress); err != nil {
			return errors.Wrap(err, "decode progress")
		}
		r.progressRevision = row.Revision
	case suffixCancel:
		r.cancelled = true
	}
	return nil
}
