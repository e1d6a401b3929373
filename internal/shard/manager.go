// Package shard claims shards in the platform's table and runs their owners.
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
	// watchPeriod is the time between two looks at the shard rows.
	watchPeriod = time.Second
	// renewPeriod is the time between two renewals of a lease.
	renewPeriod = 2 * time.Second
	// lease is how long a renewal holds, from before it was sent.
	lease = 8 * time.Second
	// leaseDrift is added by those who wait for a lease to lapse.
	leaseDrift = 200 * time.Millisecond
	// returnGrace is how long the table must answer again after an outage before a
	// shard is claimed, so that an owner that lives can renew first.
	returnGrace = 1500 * time.Millisecond
	// planPeriod is the time between two group commits of an owner. It bounds the
	// commits of one owner to seven a second, however many tasks start.
	planPeriod = 150 * time.Millisecond
	// workGap is the time without a plan after which this process counts as having
	// been paused; it then gives its agents workGrace to be heard again before it
	// calls any of them lost.
	workGap   = time.Second
	workGrace = 3 * time.Second
	// inboxPeriod is the time between two looks at the inbox.
	inboxPeriod = 500 * time.Millisecond
)

// Hooks are what a keeper asks of its process. All run on the loop.
type Hooks struct {
	Live             func() []string // names of the live entries, this one included
	Document         func() contract.Document
	Decided          func(placement.Decision)
	RequestHeartbeat func(instance string)
	ObserveCommit    func(time.Duration) // a commit took so long; on any goroutine
}

// Manager holds the shards of one entry. All methods but New run on the loop.
type Manager struct {
	name     string
	loop     *loop.Loop
	table    *table.Client
	log      *zap.Logger
	seams    Hooks
	reading  *logs.FailureLogger
	inbox    *logs.FailureLogger
	count    int
	seen     map[int]*sight
	owned    map[int]*owned
	claiming map[int]bool
	commits  uint64
	unique   string
	stopping bool
	unread   bool      // the last read of the rows failed
	back     time.Time // the table answered again after a failure
	worked   time.Time // of the last plan
	grace    time.Time // no plan before
}

// sight is what was last seen of a shard's row, and since when.
type sight struct {
	row     record.Shard
	version uint64
	since   time.Time
}

// New makes the keeper of the entry named; incarnation makes its commits unique.
// It claims nothing before Begin.
func New(name, incarnation string, l *loop.Loop, client *table.Client, log *zap.Logger, seams Hooks) *Manager {
	return &Manager{
		name: name, loop: l, table: client, log: log, seams: seams, unique: incarnation,
		reading: logs.NewFailureLogger(log, "shards-unread"), inbox: logs.NewFailureLogger(log, "inbox-unread"),
		seen: map[int]*sight{}, owned: map[int]*owned{}, claiming: map[int]bool{},
	}
}

// Begin starts to watch the shards. Count is used if no entry has fixed one yet.
func (k *Manager) Begin(count int) {
	k.loop.Go(func() {
		fixed := k.fixCount(k.loop.Context(), count)
		k.loop.Post(func() { k.count = fixed })
		k.loop.GoEvery(watchPeriod, k.watch)
	})
	k.loop.Every(planPeriod, k.work)
	k.loop.Every(renewPeriod, k.renew)
	k.loop.Every(inboxPeriod, k.PollInbox)
}

// fixCount reads the number of shards, or fixes it; it tries until the table answers.
func (k *Manager) fixCount(ctx context.Context, wanted int) int {
	for ctx.Err() == nil {
		fixed, version, err := record.Get[record.Shards](ctx, k.table, record.ShardsKey)
		if err == nil && version != table.Absent {
			if fixed.Count != wanted {
				k.log.Warn("shards-fixed", zap.Int("count", fixed.Count), zap.Int("setting", wanted))
			}
			return fixed.Count
		}
		if err == nil {
			err = k.putCount(ctx, wanted)
		}
		if err != nil {
			k.log.Warn("shards-unknown", logs.Error(err))
		}
		loop.Sleep(ctx, watchPeriod)
	}
	return 0
}

func (k *Manager) putCount(ctx context.Context, count int) error {
	write, err := record.NewWrite(record.ShardsKey, record.Shards{Count: count})
	if err != nil {
		return err
	}
	// Whoever wins, the next read tells the count in force.
	_, err = k.table.Commit(ctx, []table.Condition{{Key: write.Key, Revision: table.Absent}}, []table.Write{write})
	return err
}

// Count is the number of shards, 0 while it is not known.
func (k *Manager) Count() int { return k.count }

// Owner tells who owns the shard of an instance, and since which epoch.
func (k *Manager) Owner(instance string) (string, uint64) {
	at := record.ShardOf(instance, k.count)
	if held, ok := k.owned[at]; ok {
		return k.name, held.owner.Epoch()
	}
	if known, ok := k.seen[at]; ok {
		return known.row.Owner, known.row.Epoch
	}
	return "", 0
}

// Owned counts the shards this entry owns.
func (k *Manager) Owned() int { return len(k.owned) }

// Counts sums the tasks that wait and that are placed in the owned shards.
func (k *Manager) Counts() (waiting, placed int) {
	for _, held := range k.owned {
		w, p := held.owner.Counts()
		waiting += w
		placed += p
	}
	return waiting, placed
}

// SetContract hands the contract's shares and quotas to the owners.
func (k *Manager) SetContract(document contract.Document) {
	for _, held := range k.owned {
		k.apply(held, document)
	}
}

// apply gives one owner the contract. Jobs spread over the shards by hash, so each
// owner holds a workspace to its part of the quota, rounded up.
func (k *Manager) apply(held *owned, document contract.Document) {
	held.owner.SetShares(document.Shares())
	part := func(n int) int { return (n + k.count - 1) / k.count }
	quotas := map[string]placement.Resources{}
	for _, workspace := range document.Workspaces {
		if quota := workspace.Quota; quota != (contract.Quota{}) {
			quotas[workspace.Name] = placement.Resources{
				Processors: quota.Processors / float64(k.count), Memory: part(quota.Memory), Accelerators: part(quota.Accelerators),
			}
		}
	}
	held.owner.SetQuotas(quotas)
}

// Announce hands an instance's announcement to the owner of its shard.
func (k *Manager) Announce(announced placement.Instance) {
	if held, ok := k.owned[record.ShardOf(announced.Name, k.count)]; ok {
		held.owner.Announce(time.Now(), announced)
	}
}

// Heartbeat hands a full beat to the owner, if this entry is that and has loaded the
// shard; nil otherwise.
func (k *Manager) Heartbeat(announced placement.Instance, beat placement.Heartbeat) *placement.Reply {
	held, ok := k.owned[record.ShardOf(beat.Instance, k.count)]
	if !ok {
		return nil
	}
	now := time.Now()
	held.owner.Announce(now, announced)
	reply := held.owner.Heartbeat(now, beat, now.Before(held.until))
	return &reply
}

// watch reads the shard rows. After a read that failed, nothing is claimed for
// returnGrace. What was seen before the outage still counts: a row that has not
// changed since then was not renewed.
func (k *Manager) watch(ctx context.Context) {
	rows, err := k.table.Scan(ctx, record.ShardPrefix)
	k.reading.Note(err)
	k.loop.Post(func() {
		if err != nil {
			k.unread = true
			return
		}
		if k.unread {
			k.unread = false
			k.back = time.Now()
		}
		k.see(rows)
	})
}

func (k *Manager) see(rows []table.Row) {
	now := time.Now()
	for _, row := range rows {
		var at int
		value, err := record.Decode[record.Shard](row)
		if _, scanErr := fmt.Sscanf(row.Key, record.ShardPrefix+"%d", &at); err != nil || scanErr != nil {
			k.log.Error("shard-row", zap.String("key", row.Key), logs.Error(err))
			continue
		}
		known, ok := k.seen[at]
		if !ok || known.version != row.Revision {
			k.seen[at] = &sight{row: value, version: row.Revision, since: now}
		}
	}
	for at := range k.count {
		k.consider(now, at)
	}
}

// consider claims a shard that nobody holds. The entry that ranks first for the
// shard claims at once, the others later by their rank, which spreads the shards.
func (k *Manager) consider(now time.Time, at int) {
	if k.stopping || k.claiming[at] || k.owned[at] != nil {
		return
	}
	known, ok := k.seen[at]
	if !ok {
		k.seen[at] = &sight{since: now.Add(-lease - leaseDrift)}
		return
	}
	patience := lease + leaseDrift + time.Duration(k.rank(at))*watchPeriod
	if known.row.Owner == "" {
		patience -= lease
	}
	if now.Sub(known.since) >= patience && now.Sub(k.back) >= returnGrace {
		k.claim(at, *known)
	}
}

// rank is this entry's place for a shard among the live entries, by rendezvous hash.
func (k *Manager) rank(at int) int {
	own := record.RendezvousWeight(k.name, at)
	rank := 0
	for _, other := range k.seams.Live() {
		if other != k.name && record.RendezvousWeight(other, at) > own {
			rank++
		}
	}
	return rank
}

// claim takes over a shard by a commit that is conditional on the row as seen.
func (k *Manager) claim(at int, known sight) {
	k.claiming[at] = true
	epoch := known.row.Epoch + 1
	k.loop.Go(func() {
		ctx := k.loop.Context()
		sent := time.Now()
		loaded, err := k.claimAndLoad(ctx, at, epoch, known)
		k.loop.Post(func() {
			delete(k.claiming, at)
			if err != nil {
				k.log.Warn("claim-failed", zap.Int("shard", at), zap.Uint64("epoch", epoch), logs.Error(err))
				delete(k.seen, at)
				return
			}
			k.hold(at, sent, epoch, loaded)
		})
	})
}

func (k *Manager) nextCommit() string {
	k.commits++
	return fmt.Sprintf("%s-%d", k.unique, k.commits)
}

// Release gives up all shards in order, so that others need not wait for the leases.
func (k *Manager) Release() {
	k.stopping = true
	for at, held := range k.owned {
		held.until = time.Time{}
		k.loop.Go(func() { k.releaseRow(at, held) })
		delete(k.owned, at)
	}
}

// releaseRow clears the owner in the row. Grants given before may still last; the
// next owner waits for them, counted from its own claim.
func (k *Manager) releaseRow(at int, held *owned) {
	write, err := record.NewWrite(record.ShardKey(at), record.Shard{Epoch: held.owner.Epoch(), Commit: k.unique + "-release"})
	if err != nil {
		k.log.Error("release", zap.Int("shard", at), logs.Error(err))
		return
	}
	conditions := []table.Condition{{Key: write.Key, Revision: held.version}}
	_, err = k.table.Commit(k.loop.Context(), conditions, []table.Write{write})
	k.log.Info("release", zap.Int("shard", at), zap.Uint64("epoch", held.owner.Epoch()), logs.Error(err))
}
