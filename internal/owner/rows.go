// Package owner claims the ownership of the shard, keeps it alive and does the
// owner's work: it runs the book of package dispatch against the agents and the table.
package owner

import (
	"encoding/json"
	"strings"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// Tables and keys. All rows that the owner guards are in one part, so that a change is
// atomic with the condition on the owner's row.
const (
	shardPart      = "0"
	tableOwner     = "owner"     // key 0: who owns; changes with each claim only
	tableAlive     = "alive"     // key 0: written again and again by the owner
	tableJobs      = "jobs"      // ID/job, ID/progress, ID/cancel
	tableInstances = "instances" // life ID: what may run tasks
	tableCosts     = "costs"     // key 0: what is known of the costs of image pairs
	keyOwner       = "0"
	suffixJob      = "/job"
	suffixProgress = "/progress"
	suffixCancel   = "/cancel"
	// suffixEnd is the key after all keys of a job: '0' follows '/'.
	suffixEnd = "0"
)

// Holder is the value of the owner's row and of the alive row.
type Holder struct {
	Epoch   uint64 `json:"epoch"`
	Name    string `json:"name"`    // of the process; "" after it has handed over
	Address string `json:"address"` // of its link
	// OwnerVersion is the version of the owner's row; 0 in rows of the claim itself, whose
	// version it is.
	OwnerVersion uint64 `json:"under,omitempty"`
	Heartbeat    uint64 `json:"beat,omitempty"` // grows, so that each write is a change
}

func ownerPlace() table.RowKey {
	return table.RowKey{Table: tableOwner, Partition: shardPart, Key: keyOwner}
}

func alivePlace() table.RowKey {
	return table.RowKey{Table: tableAlive, Partition: shardPart, Key: keyOwner}
}

func costsPlace() table.RowKey {
	return table.RowKey{Table: tableCosts, Partition: shardPart, Key: keyOwner}
}

func jobPlace(id, suffix string) table.RowKey {
	return table.RowKey{Table: tableJobs, Partition: shardPart, Key: id + suffix}
}

func instancePlace(id string) table.RowKey {
	return table.RowKey{Table: tableInstances, Partition: shardPart, Key: id}
}

// TableName is the table that changes when the owner does, for those who follow it.
const TableName = tableOwner

// RowRange selects the owner's row.
func RowRange() table.Range { return table.Range{Table: tableOwner, Partition: shardPart} }

// ReadHolder reads the value of an owner's or alive row. Its OwnerVersion is always set.
func ReadHolder(row table.Record) (Holder, error) {
	var holder Holder
	if err := json.Unmarshal(row.Value, &holder); err != nil {
		return Holder{}, errors.Wrapf(err, "read row %s/%s", row.Table, row.Key)
	}
	if holder.OwnerVersion == 0 {
		holder.OwnerVersion = row.Revision
	}
	return holder, nil
}

// jobRows is what the table holds of one job.
type jobRows struct {
	job             *dispatch.Job
	progress        *dispatch.Progress
	progressVersion uint64
	cancelled       bool
}

// gatherJobs sorts rows of the jobs table by job. Rows that cannot be read go to bad.
func gatherJobs(rows []table.Record, bad func(key string, err error)) map[string]*jobRows {
	jobs := map[string]*jobRows{}
	for _, row := range rows {
		id, suffix, found := strings.Cut(row.Key, "/")
		if !found || row.Removed {
			continue
		}
		of := jobs[id]
		if of == nil {
			of = &jobRows{}
			jobs[id] = of
		}
		if err := of.take("/"+suffix, row); err != nil {
			bad(row.Key, err)
		}
	}
	return jobs
}

func (r *jobRows) take(suffix string, row table.Record) error {
	switch suffix {
	case suffixJob:
		r.job = &dispatch.Job{}
		if err := json.Unmarshal(row.Value, r.job); err != nil {
			r.job = nil
			return errors.Wrap(err, "read job")
		}
	case suffixProgress:
		r.progress = &dispatch.Progress{}
		if err := json.Unmarshal(row.Value, r.progress); err != nil {
			return errors.Wrap(err, "read progress")
		}
		r.progressVersion = row.Revision
	case suffixCancel:
		r.cancelled = true
	}
	return nil
}
