package process

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/config"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// readConfig reads the document from the table and applies it if it is newer.
func (e *Entry) readConfig(ctx context.Context) {
	document, err := config.ReadNewer(ctx, e.table, e.document.Load().Version)
	e.failureLoggers.config.Note(err)
	if err != nil {
		return
	}
	e.loop.Post(func() { e.applyConfig(document) })
}

// maintainRow writes this entry's row every rowInterval, and after a failed write every
// rowRetryInterval, until the entry drains or the loop ends. Agents without a link find the
// entry by its row, and other entries consider it failed if its row does not change for
// entryTimeout.
func (e *Entry) maintainRow() {
	ctx := e.loop.Context()
	for ctx.Err() == nil && !e.draining.Load() {
		err := e.writeRow(ctx)
		e.failureLoggers.row.Note(err)
		if err != nil {
			loop.Sleep(ctx, rowRetryInterval)
			continue
		}
		loop.Sleep(ctx, rowInterval)
	}
}

// writeRow writes this entry's row with a new heartbeat value.
func (e *Entry) writeRow(ctx context.Context) error {
	_, operatorAddress, linkAddress := e.Addresses()
	row, err := e.table.Get(ctx, record.EntryPrefix+e.settings.Name)
	if err != nil {
		return err
	}
	return e.putRow(ctx, row.Revision, record.Entry{
		Name: e.settings.Name, Incarnation: e.incarnation, LinkAddress: linkAddress, OperatorAddress: operatorAddress,
		Domain: e.settings.Domain, Heartbeat: e.sequence.Add(1),
	})
}

// readEntries reads the rows of all entries.
func (e *Entry) readEntries(ctx context.Context) {
	rows, err := e.table.Scan(ctx, record.EntryPrefix)
	e.failureLoggers.entries.Note(err)
	if err == nil {
		e.loop.Post(func() { e.updateEntries(rows) })
	}
}

func (e *Entry) putRow(ctx context.Context, revision uint64, row record.Entry) error {
	write, err := record.NewWrite(record.EntryPrefix+row.Name, row)
	if err != nil {
		return err
	}
	_, err = e.table.Commit(ctx, []table.Condition{{Key: write.Key, Revision: revision}}, []table.Write{write})
	return err
}

func (e *Entry) removeRow(ctx context.Context) {
	key := record.EntryPrefix + e.settings.Name
	row, err := e.table.Get(ctx, key)
	if err == nil {
		_, err = e.table.Commit(ctx, []table.Condition{{Key: key, Revision: row.Revision}}, []table.Write{{Key: key, Remove: true}})
	}
	if err != nil {
		e.log.Warn("row-not-removed", logs.Error(err))
	}
}

// updateEntries records which entries' rows have changed. It removes rows that have
// not changed for rowRemovalAge by this entry's own clock.
func (e *Entry) updateEntries(rows []table.Row) {
	now := time.Now()
	listed := map[string]bool{}
	for _, row := range rows {
		value, err := record.Decode[record.Entry](row)
		if err != nil {
			e.log.Error("entry-row-invalid", logs.Error(err))
			continue
		}
		listed[value.Name] = true
		known, ok := e.entries[value.Name]
		if !ok || known.revision != row.Revision {
			e.entries[value.Name] = &peerEntry{row: value, revision: row.Revision, changedAt: now}
			continue
		}
		if now.Sub(known.changedAt) > rowRemovalAge {
			e.loop.Go(func() { e.removeEntryRow(row) })
		}
	}
	for name := range e.entries {
		if !listed[name] {
			delete(e.entries, name)
		}
	}
}

func (e *Entry) removeEntryRow(row table.Row) {
	conditions := []table.Condition{{Key: row.Key, Revision: row.Revision}}
	_, err := e.table.Commit(e.loop.Context(), conditions, []table.Write{{Key: row.Key, Remove: true}})
	e.log.Info("entry-row-removed", zap.String("key", row.Key), logs.Error(err))
}

// liveEntries returns the names of the entries whose rows changed within entryTimeout,
// and of this entry.
func (e *Entry) liveEntries() []string {
	names := []string{e.settings.Name}
	for name, other := range e.entries {
		if name != e.settings.Name && time.Since(other.changedAt) < entryTimeout {
			names = append(names, name)
		}
	}
	return names
}

// peers lists the live entries, this one included, for agents to connect to.
func (e *Entry) peers() []link.Peer {
	_, _, linkAddress := e.Addresses()
	list := []link.Peer{{Name: e.settings.Name, LinkAddress: linkAddress}}
	for name, other := range e.entries {
		if name != e.settings.Name && time.Since(other.changedAt) < entryTimeout {
			list = append(list, link.Peer{Name: name, LinkAddress: other.row.LinkAddress})
		}
	}
	return list
}

// closeWindow closes the current ledger window. Unless it is the last one, which Drain
// stores, it starts to store the closed windows in the background. It runs on the loop.
func (e *Entry) closeWindow(last bool) {
	window, err := e.recorder.Rotate(time.Now(), e.document.Load().Version, last)
	if err != nil {
		e.log.Error("window-lost", logs.Error(err))
		return
	}
	e.pendingWindows = append(e.pendingWindows, window)
	if len(e.pendingWindows) > maxPendingWindows {
		e.log.Error("window-lost", zap.Int("number", e.pendingWindows[0].Number), zap.String("why", "too many windows wait for the platform"))
		e.pendingWindows = e.pendingWindows[1:]
	}
	if last {
		return
	}
	e.loop.Go(func() {
		e.failureLoggers.ledger.Note(e.storeWindows(e.loop.Context()))
	})
}

// storeWindows stores the closed windows, oldest first. It stops at the first error.
func (e *Entry) storeWindows(ctx context.Context) error {
	select {
	case e.storeSemaphore <- struct{}{}:
		defer func() { <-e.storeSemaphore }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		window, ok := e.oldestWindow()
		if !ok {
			return nil
		}
		if err := e.store.Put(ctx, window); err != nil {
			return err
		}
		e.runOnLoop(func() {
			if len(e.pendingWindows) > 0 && e.pendingWindows[0].Number == window.Number {
				e.pendingWindows = e.pendingWindows[1:]
			}
		})
	}
}
