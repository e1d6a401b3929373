package shard

import (
	"context"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// ownedShard is a shard that this entry owns.
type ownedShard struct {
	owner         *placement.Owner
	revision      uint64    // revision of the shard row
	epochRevision uint64    // revision of the epoch row
	renewals      uint64    // number of renewals sent; written to the row so that it changes
	leaseEnd      time.Time // when the lease of this entry ends
	renewing      bool
	readingInbox  bool // a read of the inbox is in progress; no other one starts until it ends
}

// loadedChunk is a chunk with its job and the revision of its row.
type loadedChunk struct {
	job      placement.Job
	chunk    placement.Chunk
	revision uint64
}

// claimResult is the result of a successful claim.
type claimResult struct {
	revision      uint64
	epochRevision uint64
	chunks        []loadedChunk
	evacuations   record.Evacuations
}

// claimAndLoad commits a claim of a shard and reads the shard's unfinished chunks.
func (m *Manager) claimAndLoad(ctx context.Context, index int, epoch uint64, known observedRow) (claimResult, error) {
	_, epochRevision, err := record.Get[record.Epoch](ctx, m.table, record.EpochKey(index))
	if err != nil {
		return claimResult{}, err
	}
	commit := m.incarnation + "-claim-" + time.Now().String()
	shardWrite, err := record.NewWrite(record.ShardKey(index), record.Shard{Owner: m.name, Epoch: epoch, Lease: leaseDuration, Commit: commit})
	if err != nil {
		return claimResult{}, err
	}
	epochWrite, err := record.NewWrite(record.EpochKey(index), record.Epoch{Owner: m.name, Epoch: epoch, Commit: commit})
	if err != nil {
		return claimResult{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, leaseDuration)
	defer cancel()
	result, err := m.table.CommitRetry(callCtx, []table.Condition{
		{Key: shardWrite.Key, Revision: known.revision},
		{Key: epochWrite.Key, Revision: epochRevision},
	}, []table.Write{shardWrite, epochWrite})
	if result.Outcome != table.Committed {
		return claimResult{}, errors.CombineErrors(err, errors.Newf("claim of shard %d failed: %s", index, result.Outcome))
	}
	evacuations, err := evacuation.ReadRequests(callCtx, m.table)
	if err != nil {
		return claimResult{}, err
	}
	chunks, err := m.loadChunks(callCtx, index, record.ChunkPrefix)
	return claimResult{revision: result.Revision, epochRevision: result.Revision, chunks: chunks, evacuations: evacuations}, err
}

// loadChunks reads the chunks of a shard whose keys start with prefix, and their jobs.
func (m *Manager) loadChunks(ctx context.Context, index int, prefix string) ([]loadedChunk, error) {
	rows, err := m.table.Scan(ctx, prefix)
	if err != nil {
		return nil, err
	}
	jobs := map[string]placement.Job{}
	var chunks []loadedChunk
	for _, row := range rows {
		if record.ShardOf(strings.TrimPrefix(row.Key, record.ChunkPrefix), m.count) != index {
			continue
		}
		chunk, err := record.Decode[placement.Chunk](row)
		if err != nil {
			return nil, err
		}
		job, known := jobs[chunk.Job]
		if !known {
			job, _, err = record.Get[placement.Job](ctx, m.table, record.JobPrefix+chunk.Job)
			if err != nil {
				return nil, err
			}
			jobs[chunk.Job] = job
		}
		chunks = append(chunks, loadedChunk{job: job, chunk: chunk, revision: row.Revision})
	}
	return chunks, nil
}

// startOwnership starts to run the owner of a claimed shard. The owner counts the current
// time, after the commit, as the time of the claim: the previous owner issued all its grants
// before that.
func (m *Manager) startOwnership(index int, sent time.Time, epoch uint64, claimed claimResult) {
	now := time.Now()
	shard := &ownedShard{
		owner:         placement.New(now, placement.Spread, epoch, link.GrantTTL),
		revision:      claimed.revision,
		epochRevision: claimed.epochRevision,
		leaseEnd:      sent.Add(leaseDuration),
	}
	m.applyContract(shard, m.hooks.Document())
	m.SetEvacuations(claimed.evacuations)
	shard.owner.SetEvacuated(m.evacuations.Names())
	for _, chunk := range claimed.chunks {
		shard.owner.Load(now, chunk.job, chunk.chunk, chunk.revision)
	}
	m.owned[index] = shard
	waiting, placed := shard.owner.Counts()
	m.log.Info("shard-claimed", zap.Int("shard", index), zap.Uint64("epoch", epoch), zap.Int("waiting", waiting), zap.Int("placed", placed))
	m.readInbox(index, shard)
}

// renew extends the leases of the owned shards.
func (m *Manager) renew() {
	for index, shard := range m.owned {
		if shard.renewing {
			continue
		}
		shard.renewing = true
		shard.renewals++
		row := record.Shard{Owner: m.name, Epoch: shard.owner.Epoch(), Heartbeat: shard.renewals, Lease: leaseDuration, Commit: m.nextCommit()}
		revision := shard.revision
		m.loop.Go(func() {
			sent, result, err := m.renewRow(index, row, revision)
			m.loop.Post(func() {
				shard.renewing = false
				m.handleRenewal(index, shard, sent, result, err)
			})
		})
	}
}

// renewRow renews the lease of a shard. It returns the time just before the commit was sent
// for the first time.
func (m *Manager) renewRow(index int, row record.Shard, revision uint64) (time.Time, table.Result, error) {
	write, err := record.NewWrite(record.ShardKey(index), row)
	if err != nil {
		return time.Time{}, table.Result{}, err
	}
	sent := time.Now()
	result, err := m.table.CommitRetry(m.loop.Context(), []table.Condition{{Key: write.Key, Revision: revision}}, []table.Write{write})
	return sent, result, err
}

func (m *Manager) handleRenewal(index int, shard *ownedShard, sent time.Time, result table.Result, err error) {
	if m.owned[index] != shard {
		return
	}
	if result.Outcome != table.Committed {
		m.dropShard(index, shard, "renewal", result, err)
		return
	}
	shard.revision = result.Revision
	shard.leaseEnd = sent.Add(leaseDuration)
}

// dropShard stops owning a shard after a commit that failed or could not be encoded. step
// names the commit for the log.
func (m *Manager) dropShard(index int, shard *ownedShard, step string, result table.Result, err error) {
	m.log.Warn("shard-lost", zap.Int("shard", index), zap.Uint64("epoch", shard.owner.Epoch()),
		zap.String("step", step), zap.Stringer("outcome", result.Outcome), logs.Error(err))
	shard.leaseEnd = time.Time{}
	delete(m.owned, index)
	delete(m.observed, index)
}

// planAll makes and commits a plan for each owned shard whose lease is valid.
func (m *Manager) planAll() {
	now := time.Now()
	if !m.lastPlanAllAt.IsZero() && now.Sub(m.lastPlanAllAt) > pauseThreshold {
		m.log.Warn("paused", zap.Duration("for", now.Sub(m.lastPlanAllAt)))
		m.planNotBefore = now.Add(pauseGrace)
	}
	m.lastPlanAllAt = now
	if now.Before(m.planNotBefore) {
		return
	}
	for index, shard := range m.owned {
		if !now.Before(shard.leaseEnd) {
			continue
		}
		changes := shard.owner.Plan(now)
		if len(changes) == 0 {
			continue
		}
		conditions, writes, err := m.buildCommit(index, shard, changes)
		if err != nil {
			m.dropShard(index, shard, "encode", table.Result{}, err)
			continue
		}
		m.loop.Go(func() {
			start := time.Now()
			result, err := m.table.CommitRetry(m.loop.Context(), conditions, writes)
			m.hooks.ObserveCommit(time.Since(start))
			m.loop.Post(func() { m.handleCommit(index, shard, changes, result, err) })
		})
	}
}

// buildCommit returns the conditions and writes of one commit with all changes, conditional
// on the epoch row. A chunk whose tasks have all ended moves to the ended rows.
func (m *Manager) buildCommit(index int, shard *ownedShard, changes []placement.Change) ([]table.Condition, []table.Write, error) {
	commit := m.nextCommit()
	conditions := []table.Condition{{Key: record.EpochKey(index), Revision: shard.epochRevision}}
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

// handleCommit handles the result of a commit. If it succeeded, the decisions take effect:
// they are passed to the Decided hook, and the agent of each instance that they name is asked
// for a heartbeat at once, whose reply carries the orders and acknowledgements.
func (m *Manager) handleCommit(index int, shard *ownedShard, changes []placement.Change, result table.Result, err error) {
	if m.owned[index] != shard {
		return
	}
	if result.Outcome != table.Committed {
		m.dropShard(index, shard, "commit", result, err)
		return
	}
	shard.owner.Committed(time.Now(), result.Revision)
	requested := map[string]bool{}
	for _, decision := range shard.owner.Decisions() {
		m.hooks.Decided(decision)
		if decision.Instance != "" && !requested[decision.Instance] {
			requested[decision.Instance] = true
			m.hooks.RequestHeartbeat(decision.Instance)
		}
	}
	m.log.Debug("committed", zap.Int("shard", index), zap.Int("chunks", len(changes)), zap.Uint64("version", result.Revision))
}
