package shard

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// inboxEntry is a row of the inbox with the chunks of the job that it names.
type inboxEntry struct {
	row      record.InboxItem
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

func (m *Manager) loadInbox(ctx context.Context, index int) ([]inboxEntry, error) {
	rows, err := m.table.Scan(ctx, record.InboxPrefixOf(index))
	if err != nil {
		return nil, err
	}
	var entries []inboxEntry
	for _, row := range rows {
		value, err := record.Decode[record.InboxItem](row)
		if err != nil {
			return entries, err
		}
		entry := inboxEntry{row: value, key: row.Key, revision: row.Revision}
		if value.Kind == record.InboxSubmit {
			entry.chunks, err = m.loadChunks(ctx, index, record.ChunkPrefix+value.Job+"/")
			if err != nil {
				return entries, err
			}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// processInbox passes new jobs and cancellations to the shard's owner. A submit row is
// removed once its chunks are loaded, because a later owner finds the chunks without it. A
// cancel row stays until the job has no chunk left that could still run.
func (m *Manager) processInbox(index int, shard *ownedShard, rows []inboxEntry) {
	now := time.Now()
	for _, entry := range rows {
		if entry.row.Kind == record.InboxCancel {
			shard.owner.Cancel(entry.row.Job)
			if shard.owner.AllFinal(entry.row.Job) {
				m.removeInboxRow(index, entry)
			}
			continue
		}
		for _, chunk := range entry.chunks {
			shard.owner.Load(now, chunk.job, chunk.chunk, chunk.version)
		}
		m.log.Info("job-loaded", zap.Int("shard", index), zap.String("job", entry.row.Job), zap.Int("chunks", len(entry.chunks)))
		m.removeInboxRow(index, entry)
	}
}

func (m *Manager) removeInboxRow(index int, entry inboxEntry) {
	m.loop.Go(func() {
		conditions := []table.Condition{{Key: entry.key, Revision: entry.revision}}
		_, err := m.table.Commit(m.loop.Context(), conditions, []table.Write{{Key: entry.key, Remove: true}})
		if err != nil {
			m.log.Warn("inbox-remove-failed", zap.Int("shard", index), zap.String("key", entry.key), logs.Error(err))
		}
	})
}
