package owner

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// load starts the renewal of the alive row and reads the state of earlier owners from the
// table, with retries until that succeeds.
func (t *term) load() {
	t.run(alivePeriod, t.renewAliveRow)
	t.elector.loop.Go(func() {
		for t.ctx.Err() == nil {
			persisted, err := t.read()
			if err == nil {
				t.post(func() { t.open(persisted) })
				return
			}
			t.log.Warn("load-failed", logs.Error(err))
			sleep(t.ctx, commitRetryDelay)
		}
	})
}

// persistedRows are the rows that earlier owners left in the table.
type persistedRows struct {
	instances, starts, costs, jobs []table.Record
	jobsRevision                   uint64 // revision at which the jobs were read
}

func (t *term) read() (persisted persistedRows, err error) {
	callCtx, cancel := context.WithTimeout(t.ctx, maxCallTimeout)
	defer cancel()
	read := func(name string) (rows []table.Record, revision uint64) {
		if err == nil {
			rows, revision, err = t.elector.store.Read(callCtx, table.Range{Table: name, Partition: shardPartition})
		}
		return rows, revision
	}
	persisted.instances, _ = read(tableInstances)
	persisted.starts, _ = read(tableStarts)
	persisted.costs, _ = read(tableCosts)
	persisted.jobs, persisted.jobsRevision = read(tableJobs)
	if err == nil {
		err = t.readEvacuations(callCtx)
	}
	return persisted, err
}

// open gives the scheduler the state found in the table and starts the periodic work of the
// term.
func (t *term) open(persisted persistedRows) {
	t.restore(persisted)
	t.followEvacuations()
	t.log.Info("term", zap.Int("instances", len(persisted.instances)), zap.Int("rows", len(persisted.jobs)), zap.Duration("took", time.Since(t.claimed)))
	t.run(jobsPollPeriod, t.pollJobs)
	t.run(tickPeriod, t.tick)
	t.schedulePlan()
}

// restore gives the scheduler the state found in the table. It leaves epochConfirmed as it
// is, since the read did not look at the owner's row.
func (t *term) restore(persisted persistedRows) {
	for _, row := range persisted.instances {
		registration, err := readInstance(row)
		if err != nil {
			t.log.Warn("row-ignored", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		t.revisions[row.RowKey] = row.Revision
		t.scheduler.RestoreInstance(registration)
		t.leaseExpiry[registration.Incarnation.ID] = t.claimed.Add(t.takeoverWait())
		t.grantsEnd[registration.Incarnation.ID] = t.claimed.Add(grantedLeaseWait)
	}
	t.restoreStarts(persisted.starts)
	t.restoreCosts(persisted.costs)
	t.applyRows(persisted.jobs)
	t.jobsRevision, t.loaded = persisted.jobsRevision, true
}

// applyRows passes jobs and cancellations from rows of the jobs table to the scheduler.
func (t *term) applyRows(rows []table.Record) {
	jobs := gatherJobs(rows, func(key string, err error) {
		t.log.Warn("row-ignored", zap.String("key", key), logs.Error(err))
	})
	for id, stored := range jobs {
		if t.ended {
			return
		}
		if stored.job != nil {
			if _, known := t.revisions[jobRowKey(id, suffixProgress)]; !known {
				t.revisions[jobRowKey(id, suffixProgress)] = stored.progressRevision
			}
			t.accept(stored.job, stored.progress)
		}
		if stored.cancelled {
			t.cancel(id)
		}
		if stored.tombstone {
			t.expire(id)
		}
	}
}
