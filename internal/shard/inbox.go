package shard

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// found is an inbox row with the chunks it is about.
type found struct {
	row    record.InboxItem
	key    string
	at     uint64 // the row's version
	chunks []loadedChunk
}

// PollInbox looks for jobs to take up and to cancel in the owned shards.
func (k *Manager) PollInbox() {
	for at, held := range k.owned {
		k.readInbox(at, held)
	}
}

func (k *Manager) readInbox(at int, held *owned) {
	if held.reading {
		return
	}
	held.reading = true
	k.loop.Go(func() {
		rows, err := k.inboxRows(k.loop.Context(), at)
		k.loop.Post(func() {
			held.reading = false
			k.inbox.Note(err)
			if k.owned[at] == held {
				k.takeUp(at, held, rows)
			}
		})
	})
}

func (k *Manager) inboxRows(ctx context.Context, at int) ([]found, error) {
	rows, err := k.table.Scan(ctx, record.InboxPrefixOf(at))
	if err != nil {
		return nil, err
	}
	var list []found
	for _, row := range rows {
		value, err := record.Decode[record.InboxItem](row)
		if err != nil {
			return list, err
		}
		each := found{row: value, key: row.Key, at: row.Revision}
		if value.Kind == record.InboxSubmit {
			each.chunks, err = k.loadChunks(ctx, at, record.ChunkPrefix+value.Job+"/")
			if err != nil {
				return list, err
			}
		}
		list = append(list, each)
	}
	return list, nil
}

// takeUp loads new jobs and applies cancellations. A submit row goes once its
// chunks are loaded: whoever owns the shard next finds them by themselves. A
// cancel row stays until the job has no chunk left that could still run.
func (k *Manager) takeUp(at int, held *owned, rows []found) {
	now := time.Now()
	for _, each := range rows {
		if each.row.Kind == record.InboxCancel {
			held.owner.Cancel(each.row.Job)
			if held.owner.Finished(each.row.Job) {
				k.removeInbox(at, each)
			}
			continue
		}
		for _, chunk := range each.chunks {
			held.owner.Load(now, chunk.job, chunk.chunk, chunk.version)
		}
		k.log.Info("job-taken-up", zap.Int("shard", at), zap.String("job", each.row.Job), zap.Int("chunks", len(each.chunks)))
		k.removeInbox(at, each)
	}
}

func (k *Manager) removeInbox(at int, each found) {
	k.loop.Go(func() {
		conditions := []table.Condition{{Key: each.key, Revision: each.at}}
		_, err := k.table.Commit(k.loop.Context(), conditions, []table.Write{{Key: each.key, Remove: true}})
		if err != nil {
			k.log.Warn("inbox-kept", zap.Int("shard", at), zap.String("key", each.key), logs.Error(err))
		}
	})
}
