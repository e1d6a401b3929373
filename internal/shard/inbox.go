package shard

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// inboxRow is a row of the inbox. For a submit row, chunks are those of its job in this
// shard.
type inboxRow struct {
	item     record.InboxItem
	key      string
	revision uint64 // revision of the row
	chunks   []loadedChunk
}

// PollInbox starts to read the inboxes of all owned shards for new jobs and cancellations. It
// returns at once; the rows are handled on the loop.
func (m *Manager) PollInbox() {
	for index, shard := range m.owned {
		m.readInbox(index, shard)
	}
}

func (m *Manager) readInbox(index int, shard *ownedShard) {
	if shard.readingInbox {
		return
	}
	shard.readingInbox = true
	m.loop.Go(func() {
		rows, err := m.loadInbox(m.loop.Context(), index)
		m.loop.Post(func() {
			shard.readingInbox = false
			m.inboxFailures.Note(err)
			if m.owned[index] == shard {
				m.processInbox(index, shard, rows)
			}
		})
	})
}

func (m *Manager) loadInbox(ctx context.Context, index int) ([]inboxRow, error) {
	rows, err := m.table.Scan(ctx, record.InboxPrefixOf(index))
	if err != nil {
		return nil, err
	}
	var inbox []inboxRow
	for _, row := range rows {
		value, err := record.Decode[record.InboxItem](row)
		if err != nil {
			return inbox, err
		}
		loaded := inboxRow{item: value, key: row.Key, revision: row.Revision}
		if value.Kind == record.InboxSubmit {
			loaded.chunks, err = m.loadChunks(ctx, index, record.ChunkPrefix+value.Job+"/")
			if err != nil {
				return inbox, err
			}
		}
		inbox = append(inbox, loaded)
	}
	return inbox, nil
}

// processInbox passes new jobs and cancellations to the shard's owner. A submit row is
// removed once its chunks are loaded, because a later owner finds the chunks without it. A
// cancel row stays until the job has no chunk left that could still run.
func (m *Manager) processInbox(index int, shard *ownedShard, rows []inboxRow) {
	now := time.Now()
	for _, row := range rows {
		if row.item.Kind == record.InboxCancel {
			shard.owner.Cancel(row.item.Job)
			if shard.owner.AllFinal(row.item.Job) {
				m.removeInboxRow(index, row)
			}
			continue
		}
		for _, chunk := range row.chunks {
			shard.owner.Load(now, chunk.job, chunk.chunk, chunk.revision)
		}
		m.log.Info("job-loaded", zap.Int("shard", index), zap.String("job", row.item.Job), zap.Int("chunks", len(row.chunks)))
		m.removeInboxRow(index, row)
	}
}

func (m *Manager) removeInboxRow(index int, row inboxRow) {
	m.loop.Go(func() {
		conditions := []table.Condition{{Key: row.key, Revision: row.revision}}
		_, err := m.table.Commit(m.loop.Context(), conditions, []table.Write{{Key: row.key, Remove: true}})
		if err != nil {
			m.log.Warn("inbox-remove-failed", zap.Int("shard", index), zap.String("key", row.key), logs.Error(err))
		}
	})
}
