package shard

import (
	"context"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// owned is a shard that this entry owns.
type owned struct {
	owner        *placement.Owner
	version      uint64 // of the shard row
	epochVersion uint64 // of the epoch row
	beat         uint64
	until        time.Time // the lease ends
	renewing     bool
	reading      bool // the inbox is being read
}

// loadedChunk is a chunk with its job and row version.
type loadedChunk struct {
	job     placement.Job
	chunk   placement.Chunk
	version uint64
}

// loaded is what a claim brings.
type loaded struct {
	version      uint64
	epochVersion uint64
	chunks       []loadedChunk
}

// claimAndLoad commits the claim and reads the shard's unfinished chunks.
func (k *Manager) claimAndLoad(ctx context.Context, at int, epoch uint64, known sight) (loaded, error) {
	_, epochVersion, err := record.Get[record.Epoch](ctx, k.table, record.EpochKey(at))
	if err != nil {
		return loaded{}, err
	}
	commit := k.unique + "-claim-" + time.Now().String()
	shardWrite, err := record.NewWrite(record.ShardKey(at), record.Shard{Owner: k.name, Epoch: epoch, Lease: lease, Commit: commit})
	if err != nil {
		return loaded{}, err
	}
	epochWrite, err := record.NewWrite(record.EpochKey(at), record.Epoch{Owner: k.name, Epoch: epoch, Commit: commit})
	if err != nil {
		return loaded{}, err
	}
	bounded, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	result, err := k.table.CommitRetry(bounded, []table.Condition{
		{Key: shardWrite.Key, Revision: known.version},
		{Key: epochWrite.Key, Revision: epochVersion},
	}, []table.Write{shardWrite, epochWrite})
	if result.Outcome != table.Committed {
		return loaded{}, errors.CombineErrors(err, errors.Newf("claim of shard %d: %s", at, result.Outcome))
	}
	chunks, err := k.loadChunks(bounded, at, record.ChunkPrefix)
	return loaded{version: result.Revision, epochVersion: result.Revision, chunks: chunks}, err
}

// loadChunks reads the chunks of a shard below prefix, with their jobs.
func (k *Manager) loadChunks(ctx context.Context, at int, prefix string) ([]loadedChunk, error) {
	rows, err := k.table.Scan(ctx, prefix)
	if err != nil {
		return nil, err
	}
	jobs := map[string]placement.Job{}
	var found []loadedChunk
	for _, row := range rows {
		if record.ShardOf(strings.TrimPrefix(row.Key, record.ChunkPrefix), k.count) != at {
			continue
		}
		chunk, err := record.Decode[placement.Chunk](row)
		if err != nil {
			return nil, err
		}
		of, known := jobs[chunk.Job]
		if !known {
			of, _, err = record.Get[placement.Job](ctx, k.table, record.JobPrefix+chunk.Job)
			if err != nil {
				return nil, err
			}
			jobs[chunk.Job] = of
		}
		found = append(found, loadedChunk{job: of, chunk: chunk, version: row.Revision})
	}
	return found, nil
}

// hold begins to own a shard. The time of the claim is now, after the commit:
// whatever the last owner granted was granted before.
func (k *Manager) hold(at int, sent time.Time, epoch uint64, with loaded) {
	now := time.Now()
	held := &owned{
		owner:        placement.New(now, placement.Spread, epoch, link.GrantTTL),
		version:      with.version,
		epochVersion: with.epochVersion,
		until:        sent.Add(lease),
	}
	k.apply(held, k.seams.Document())
	for _, each := range with.chunks {
		held.owner.Load(now, each.job, each.chunk, each.version)
	}
	k.owned[at] = held
	waiting, placed := held.owner.Counts()
	k.log.Info("shard-claimed", zap.Int("shard", at), zap.Uint64("epoch", epoch), zap.Int("waiting", waiting), zap.Int("placed", placed))
	k.readInbox(at, held)
}

// renew extends the leases of the owned shards.
func (k *Manager) renew() {
	for at, held := range k.owned {
		if held.renewing {
			continue
		}
		held.renewing = true
		held.beat++
		row := record.Shard{Owner: k.name, Epoch: held.owner.Epoch(), Heartbeat: held.beat, Lease: lease, Commit: k.nextCommit()}
		version := held.version
		k.loop.Go(func() {
			sent, result, err := k.renewRow(at, row, version)
			k.loop.Post(func() {
				held.renewing = false
				k.renewed(at, held, sent, result, err)
			})
		})
	}
}

// renewRow renews and tells when the try that may have taken effect was sent.
func (k *Manager) renewRow(at int, row record.Shard, version uint64) (time.Time, table.Result, error) {
	write, err := record.NewWrite(record.ShardKey(at), row)
	if err != nil {
		return time.Time{}, table.Result{}, err
	}
	sent := time.Now()
	result, err := k.table.CommitRetry(k.loop.Context(), []table.Condition{{Key: write.Key, Revision: version}}, []table.Write{write})
	return sent, result, err
}

func (k *Manager) renewed(at int, held *owned, sent time.Time, result table.Result, err error) {
	if k.owned[at] != held {
		return
	}
	if result.Outcome != table.Committed {
		k.lose(at, held, "renewal", result, err)
		return
	}
	held.version = result.Revision
	held.until = sent.Add(lease)
}

// lose gives up a shard that another entry has taken.
func (k *Manager) lose(at int, held *owned, step string, result table.Result, err error) {
	k.log.Warn("shard-lost", zap.Int("shard", at), zap.Uint64("epoch", held.owner.Epoch()),
		zap.String("step", step), zap.Stringer("outcome", result.Outcome), logs.Error(err))
	held.until = time.Time{}
	delete(k.owned, at)
	delete(k.seen, at)
}

// work plans and commits for each owned shard.
func (k *Manager) work() {
	now := time.Now()
	if !k.worked.IsZero() && now.Sub(k.worked) > workGap {
		k.log.Warn("paused", zap.Duration("for", now.Sub(k.worked)))
		k.grace = now.Add(workGrace)
	}
	k.worked = now
	if now.Before(k.grace) {
		return
	}
	for at, held := range k.owned {
		if !now.Before(held.until) {
			continue
		}
		changes := held.owner.Plan(now)
		if len(changes) == 0 {
			continue
		}
		conditions, writes, err := k.commitOf(at, held, changes)
		if err != nil {
			k.lose(at, held, "encode", table.Result{}, err)
			continue
		}
		k.loop.Go(func() {
			begun := time.Now()
			result, err := k.table.CommitRetry(k.loop.Context(), conditions, writes)
			k.seams.ObserveCommit(time.Since(begun))
			k.loop.Post(func() { k.committed(at, held, changes, result, err) })
		})
	}
}

// commitOf makes one commit of all changes, conditional on the epoch. A chunk
// whose tasks have all ended moves to the ended rows.
func (k *Manager) commitOf(at int, held *owned, changes []placement.Change) ([]table.Condition, []table.Write, error) {
	commit := k.nextCommit()
	conditions := []table.Condition{{Key: record.EpochKey(at), Revision: held.epochVersion}}
	var writes []table.Write
	for _, change := range changes {
		change.Chunk.Commit = commit
		key := record.ChunkPrefix + change.Chunk.Key()
		conditions = append(conditions, table.Condition{Key: key, Revision: change.Revision})
		target := key
		if allFinal(change.Chunk.Tasks) {
			target = record.EndedPrefix + change.Chunk.Key()
			conditions = append(conditions, table.Condition{Key: target, Revision: table.Absent})
		}
		write, err := record.NewWrite(target, change.Chunk)
		if err != nil {
			return nil, nil, err
		}
		writes = append(writes, write)
		if target != key {
			writes = append(writes, table.Write{Key: key, Remove: true})
		}
	}
	return conditions, writes, nil
}

func allFinal(tasks []placement.Task) bool {
	for _, task := range tasks {
		if !task.State.Final() {
			return false
		}
	}
	return true
}

// committed makes a commit current: decisions are told, and agents that have
// something to start or stop are poked.
func (k *Manager) committed(at int, held *owned, changes []placement.Change, result table.Result, err error) {
	if k.owned[at] != held {
		return
	}
	if result.Outcome != table.Committed {
		k.lose(at, held, "commit", result, err)
		return
	}
	held.owner.Committed(time.Now(), result.Revision)
	poked := map[string]bool{}
	for _, decision := range held.owner.Decisions() {
		k.seams.Decided(decision)
		if decision.Instance != "" && !poked[decision.Instance] {
			poked[decision.Instance] = true
			k.seams.RequestHeartbeat(decision.Instance)
		}
	}
	k.log.Debug("committed", zap.Int("shard", at), zap.Int("chunks", len(changes)), zap.Uint64("version", result.Revision))
}
