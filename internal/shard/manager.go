// Package shard claims the ownership of shards for one entry with leases in the platform's
// table, and runs an owner of package placement for each owned shard: it loads the shard's
// chunks and inbox, and commits what the owner plans. The plan itself is left to package
// placement, the protocol with the agents to package link.
package shard

import (
	"context"
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

const (
	// watchPeriod is the time between two reads of the shard rows, the delay of a claim per
	// rank, and the delay of a retry while the number of shards is unknown.
	watchPeriod = time.Second
	// renewPeriod is the time between two renewals of a shard lease.
	renewPeriod = 2 * time.Second
	// leaseDuration is the duration of a shard lease, from before the claim or renewal was
	// sent.
	leaseDuration = 8 * time.Second
	// leaseDriftMargin is added to leaseDuration by an entry that waits for the lease of
	// another entry to expire, to allow for clock drift.
	leaseDriftMargin = 200 * time.Millisecond
	// recoveryGrace is the time for which the table must answer again after an outage before
	// a shard is claimed, so that a live owner can renew its lease first.
	recoveryGrace = 1500 * time.Millisecond
	// planPeriod is the time between two group commits of an owner. It bounds the commits of
	// one owner to seven per second, however many tasks start.
	planPeriod = 150 * time.Millisecond
	// pauseThreshold is the time between two calls of planAll above which this process counts
	// as having been paused. It then makes no plan for pauseGrace, so that agents can send
	// heartbeats before any of them counts as lost.
	pauseThreshold = time.Second
	pauseGrace     = 3 * time.Second
	// inboxPeriod is the time between two reads of the inboxes.
	inboxPeriod = 500 * time.Millisecond
)

// Hooks are the callbacks by which a Manager uses its process. All are called on the loop
// except ObserveCommit.
type Hooks struct {
	Live             func() []string          // names of the live entries, this one included
	Document         func() contract.Document // returns the current contract
	Decided          func(placement.Decision) // receives each committed decision
	RequestHeartbeat func(instance string)    // asks the agent of the instance to send a heartbeat at once
	ObserveCommit    func(time.Duration)      // receives the duration of a commit; called on any goroutine
}

// Manager claims and owns shards for one entry. Its exported methods must be called on the
// loop. The method Owner names the entry that owns a shard; elsewhere in this package, the
// owner of a shard is the placement.Owner that the entry runs for it.
type Manager struct {
	name          string
	loop          *loop.Loop
	table         *table.Client
	log           *zap.Logger
	hooks         Hooks
	readFailures  *logs.FailureLogger
	inboxFailures *logs.FailureLogger
	count         int
	observed      map[int]*observedRow
	owned         map[int]*ownedShard
	claiming      map[int]bool
	commitCount   uint64
	evacuations   record.Evacuations // the latest known
	incarnation   string
	stopping      bool
	readFailed    bool      // the last read of the rows failed
	recoveredAt   time.Time // when the table first answered again after a failed read
	lastPlanAllAt time.Time // when planAll was last called
	planNotBefore time.Time // no plan is made earlier
}

// observedRow is the last observed value of a shard's row, and since when it is unchanged.
type observedRow struct {
	row      record.Shard
	revision uint64
	since    time.Time
}

// New returns a Manager for the entry called name. The IDs of its commits start with
// incarnation, which must be unique to this process. It claims no shard before Begin.
func New(name, incarnation string, l *loop.Loop, client *table.Client, log *zap.Logger, hooks Hooks) *Manager {
	return &Manager{
		name: name, loop: l, table: client, log: log, hooks: hooks, incarnation: incarnation,
		readFailures: logs.NewFailureLogger(log, "shards-unread"), inboxFailures: logs.NewFailureLogger(log, "inbox-unread"),
		observed: map[int]*observedRow{}, owned: map[int]*ownedShard{}, claiming: map[int]bool{},
	}
}

// Begin starts to watch, claim and run shards. count is the number of shards, used only if no
// entry has stored one in the table yet.
func (m *Manager) Begin(count int) {
	m.loop.Go(func() {
		fixed := m.resolveCount(m.loop.Context(), count)
		m.loop.Post(func() { m.count = fixed })
		m.loop.GoEvery(watchPeriod, m.readShards)
	})
	m.loop.Every(planPeriod, m.planAll)
	m.loop.Every(renewPeriod, m.renew)
	m.loop.Every(inboxPeriod, m.PollInbox)
}

// resolveCount returns the number of shards stored in the table, and stores configured if
// there is none. It retries until the table answers.
func (m *Manager) resolveCount(ctx context.Context, configured int) int {
	for ctx.Err() == nil {
		fixed, revision, err := record.Get[record.Shards](ctx, m.table, record.ShardsKey)
		if err == nil && revision != table.Absent {
			if fixed.Count != configured {
				m.log.Warn("shards-fixed", zap.Int("count", fixed.Count), zap.Int("setting", configured))
			}
			return fixed.Count
		}
		if err == nil {
			err = m.putCount(ctx, configured)
		}
		if err != nil {
			m.log.Warn("shards-unknown", logs.Error(err))
		}
		loop.Sleep(ctx, watchPeriod)
	}
	return 0
}

func (m *Manager) putCount(ctx context.Context, count int) error {
	write, err := record.NewWrite(record.ShardsKey, record.Shards{Count: count})
	if err != nil {
		return err
	}
	// If several entries store a count at the same time, one succeeds and the next read of
	// the others returns its count.
	_, err = m.table.Commit(ctx, []table.Condition{{Key: write.Key, Revision: table.Absent}}, []table.Write{write})
	return err
}

// Count returns the number of shards, or 0 while it is unknown.
func (m *Manager) Count() int { return m.count }

// Owner returns the name of the entry that owns the shard of an instance, and the epoch, as
// last observed: the lease may have expired. The name is "" if no owner is known; the epoch
// is then the last one, or 0 if no row was observed.
func (m *Manager) Owner(instance string) (string, uint64) {
	index := record.ShardOf(instance, m.count)
	if shard, ok := m.owned[index]; ok {
		return m.name, shard.owner.Epoch()
	}
	if known, ok := m.observed[index]; ok {
		return known.row.Owner, known.row.Epoch
	}
	return "", 0
}

// Owned returns the number of shards that this entry owns.
func (m *Manager) Owned() int { return len(m.owned) }

// Counts returns the total numbers of waiting and of placed tasks in the owned shards.
func (m *Manager) Counts() (waiting, placed int) {
	for _, shard := range m.owned {
		w, p := shard.owner.Counts()
		waiting += w
		placed += p
	}
	return waiting, placed
}

// SetContract passes the contract's shares and quotas to the owners of all owned shards.
func (m *Manager) SetContract(document contract.Document) {
	for _, shard := range m.owned {
		m.applyContract(shard, document)
	}
}

// applyContract passes the contract to the owner of one shard. Chunks are spread over the
// shards by hash, so each owner enforces an equal part of a workspace's quota; memory and
// accelerators are rounded up.
func (m *Manager) applyContract(shard *ownedShard, document contract.Document) {
	shard.owner.SetShares(document.Shares())
	perShard := func(n int) int { return (n + m.count - 1) / m.count }
	quotas := map[string]placement.Resources{}
	for _, workspace := range document.Workspaces {
		if quota := workspace.Quota; quota != (contract.Quota{}) {
			quotas[workspace.Name] = placement.Resources{
				Processors: quota.Processors / float64(m.count), Memory: perShard(quota.Memory), Accelerators: perShard(quota.Accelerators),
			}
		}
	}
	shard.owner.SetQuotas(quotas)
}

// SetEvacuations passes the evacuated failure domains to the owners of all owned shards, if they are
// newer than the known ones. It reports whether they are.
func (m *Manager) SetEvacuations(evacuations record.Evacuations) bool {
	if evacuations.Version <= m.evacuations.Version {
		return false
	}
	m.evacuations = evacuations
	for _, shard := range m.owned {
		shard.owner.SetEvacuated(evacuations.Names())
	}
	return true
}

// Evacuations returns the latest known evacuated failure domains.
func (m *Manager) Evacuations() record.Evacuations { return m.evacuations }

// Announce passes an instance's announcement to the owner of its shard, if this entry owns
// that shard.
func (m *Manager) Announce(announced placement.Instance) {
	if shard, ok := m.owned[record.ShardOf(announced.Name, m.count)]; ok {
		shard.owner.Announce(time.Now(), announced)
	}
}

// Heartbeat passes a full heartbeat to the owner of the instance's shard and returns the
// owner's reply. It returns nil unless this entry owns the shard and has loaded it.
func (m *Manager) Heartbeat(announced placement.Instance, heartbeat placement.Heartbeat) *placement.Reply {
	shard, ok := m.owned[record.ShardOf(heartbeat.Instance, m.count)]
	if !ok {
		return nil
	}
	now := time.Now()
	shard.owner.Announce(now, announced)
	reply := shard.owner.Heartbeat(now, heartbeat, now.Before(shard.leaseEnd))
	return &reply
}

// readShards reads the shard rows. After a failed read no shard is claimed until the table
// has answered for recoveryGrace. Rows observed before the outage still count: a row that has
// not changed since then was not renewed.
func (m *Manager) readShards(ctx context.Context) {
	rows, err := m.table.Scan(ctx, record.ShardPrefix)
	m.readFailures.Note(err)
	m.loop.Post(func() {
		if err != nil {
			m.readFailed = true
			return
		}
		if m.readFailed {
			m.readFailed = false
			m.recoveredAt = time.Now()
		}
		m.observeRows(rows)
	})
}

func (m *Manager) observeRows(rows []table.Row) {
	now := time.Now()
	for _, row := range rows {
		var index int
		value, err := record.Decode[record.Shard](row)
		if _, scanErr := fmt.Sscanf(row.Key, record.ShardPrefix+"%d", &index); err != nil || scanErr != nil {
			m.log.Error("shard-row-invalid", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		known, ok := m.observed[index]
		if !ok || known.revision != row.Revision {
			m.observed[index] = &observedRow{row: value, revision: row.Revision, since: now}
		}
	}
	for index := range m.count {
		m.claimIfExpired(now, index)
	}
}

// claimIfExpired claims a shard that has no owner or whose owner's lease has expired. The
// entry of rank 0 for the shard claims at once, the others watchPeriod later for each rank,
// which spreads the shards over the entries. A shard without an owner has no lease to wait
// for. A shard without a row is entered as unchanged for leaseDuration and leaseDriftMargin
// already, so the next read claims it.
func (m *Manager) claimIfExpired(now time.Time, index int) {
	if m.stopping || m.claiming[index] || m.owned[index] != nil {
		return
	}
	known, ok := m.observed[index]
	if !ok {
		m.observed[index] = &observedRow{since: now.Add(-leaseDuration - leaseDriftMargin)}
		return
	}
	wait := leaseDuration + leaseDriftMargin + time.Duration(m.rank(index))*watchPeriod
	if known.row.Owner == "" {
		wait -= leaseDuration
	}
	if now.Sub(known.since) >= wait && now.Sub(m.recoveredAt) >= recoveryGrace {
		m.claim(index, *known)
	}
}

// rank returns this entry's rank for a shard among the live entries, by rendezvous hashing:
// the number of live entries with a higher weight.
func (m *Manager) rank(index int) int {
	own := record.RendezvousWeight(m.name, index)
	rank := 0
	for _, other := range m.hooks.Live() {
		if other != m.name && record.RendezvousWeight(other, index) > own {
			rank++
		}
	}
	return rank
}

// claim claims a shard with a commit whose condition is that the shard's row is as observed.
func (m *Manager) claim(index int, known observedRow) {
	m.claiming[index] = true
	epoch := known.row.Epoch + 1
	m.loop.Go(func() {
		ctx := m.loop.Context()
		sent := time.Now()
		result, err := m.claimAndLoad(ctx, index, epoch, known)
		m.loop.Post(func() {
			delete(m.claiming, index)
			if err != nil {
				m.log.Warn("claim-failed", zap.Int("shard", index), zap.Uint64("epoch", epoch), logs.Error(err))
				delete(m.observed, index)
				return
			}
			m.startOwnership(index, sent, epoch, result)
		})
	})
}

func (m *Manager) nextCommit() string {
	m.commitCount++
	return fmt.Sprintf("%s-%d", m.incarnation, m.commitCount)
}

// Release gives up all owned shards and makes no further claims, so that other entries need
// not wait for the leases to expire. It returns before the rows are written.
func (m *Manager) Release() {
	m.stopping = true
	for index, shard := range m.owned {
		shard.leaseEnd = time.Time{}
		m.loop.Go(func() { m.releaseRow(index, shard) })
		delete(m.owned, index)
	}
}

// releaseRow removes the owner from the shard's row. Grants issued to agents may still be
// valid; the next owner waits for their expiry, counted from its own claim.
func (m *Manager) releaseRow(index int, shard *ownedShard) {
	write, err := record.NewWrite(record.ShardKey(index), record.Shard{Epoch: shard.owner.Epoch(), Commit: m.incarnation + "-release"})
	if err != nil {
		m.log.Error("release-failed", zap.Int("shard", index), logs.Error(err))
		return
	}
	conditions := []table.Condition{{Key: write.Key, Revision: shard.revision}}
	_, err = m.table.Commit(m.loop.Context(), conditions, []table.Write{write})
	m.log.Info("release", zap.Int("shard", index), zap.Uint64("epoch", shard.owner.Epoch()), logs.Error(err))
}
