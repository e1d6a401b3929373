package process

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/config"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// watchConfig looks for a higher version of the document in the table.
func (e *Entry) watchConfig(ctx context.Context) {
	document, err := config.ReadNewer(ctx, e.table, e.document.Load().Version)
	e.troubles.config.Note(err)
	if err != nil {
		return
	}
	e.loop.Post(func() { e.adopt(document) })
}

// writeRow renews this entry's row.
func (e *Entry) writeRow(ctx context.Context) {
	if e.draining.Load() {
		return
	}
	_, operators, links := e.Addresses()
	row, err := e.table.Get(ctx, record.EntryPrefix+e.settings.Name)
	if err == nil {
		err = e.putRow(ctx, row.Revision, record.Entry{
			Name: e.settings.Name, Incarnation: e.incarnation, Link: links, Operator: operators,
			Domain: e.settings.Domain, Heartbeat: e.attempts.Add(1),
		})
	}
	e.troubles.row.Note(err)
}

// watchEntries looks at the rows of all entries.
func (e *Entry) watchEntries(ctx context.Context) {
	rows, err := e.table.Scan(ctx, record.EntryPrefix)
	e.troubles.entries.Note(err)
	if err == nil {
		e.loop.Post(func() { e.seeEntries(rows) })
	}
}

func (e *Entry) putRow(ctx context.Context, version uint64, row record.Entry) error {
	write, err := record.NewWrite(record.EntryPrefix+row.Name, row)
	if err != nil {
		return err
	}
	_, err = e.table.Commit(ctx, []table.Condition{{Key: write.Key, Revision: version}}, []table.Write{write})
	return err
}

func (e *Entry) removeRow(ctx context.Context) {
	key := record.EntryPrefix + e.settings.Name
	row, err := e.table.Get(ctx, key)
	if err == nil {
		_, err = e.table.Commit(ctx, []table.Condition{{Key: key, Revision: row.Revision}}, []table.Write{{Key: key, Remove: true}})
	}
	if err != nil {
		e.log.Warn("row-kept", logs.Error(err))
	}
}

// seeEntries notes which entries' rows change. Rows that have not changed for long,
// by this entry's own clock, are removed.
func (e *Entry) seeEntries(rows []table.Row) {
	now := time.Now()
	listed := map[string]bool{}
	for _, row := range rows {
		value, err := record.Decode[record.Entry](row)
		if err != nil {
			e.log.Error("entry-row", logs.Error(err))
			continue
		}
		listed[value.Name] = true
		known, ok := e.entries[value.Name]
		if !ok || known.version != row.Revision {
			e.entries[value.Name] = &otherEntry{row: value, version: row.Revision, since: now}
			continue
		}
		if now.Sub(known.since) > goneLife {
			e.loop.Go(func() { e.forgetEntry(row) })
		}
	}
	for name := range e.entries {
		if !listed[name] {
			delete(e.entries, name)
		}
	}
}

func (e *Entry) forgetEntry(row table.Row) {
	conditions := []table.Condition{{Key: row.Key, Revision: row.Revision}}
	_, err := e.table.Commit(e.loop.Context(), conditions, []table.Write{{Key: row.Key, Remove: true}})
	e.log.Info("entry-forgotten", zap.String("key", row.Key), logs.Error(err))
}

// live names the entries whose rows change, this one included.
func (e *Entry) live() []string {
	names := []string{e.settings.Name}
	for name, other := range e.entries {
		if name != e.settings.Name && time.Since(other.since) < rowLife {
			names = append(names, name)
		}
	}
	return names
}

// peers lists the live entries for agents.
func (e *Entry) peers() []link.Peer {
	_, _, links := e.Addresses()
	list := []link.Peer{{Name: e.settings.Name, Link: links}}
	for name, other := range e.entries {
		if name != e.settings.Name && time.Since(other.since) < rowLife {
			list = append(list, link.Peer{Name: name, Link: other.row.Link})
		}
	}
	return list
}

// closeWindow closes the ledger's window and has it stored. It runs on the loop.
func (e *Entry) closeWindow(last bool) {
	window, err := e.book.Rotate(time.Now(), e.document.Load().Version, last)
	if err != nil {
		e.log.Error("window-lost", logs.Error(err))
		return
	}
	e.closed = append(e.closed, window)
	if len(e.closed) > windowsMost {
		e.log.Error("window-lost", zap.Int("number", e.closed[0].Number), zap.String("why", "too many windows wait for the platform"))
		e.closed = e.closed[1:]
	}
	if last {
		return
	}
	e.loop.Go(func() {
		e.troubles.ledger.Note(e.storeWindows(e.loop.Context()))
	})
}

// storeWindows stores the closed windows, oldest first, until one fails.
func (e *Entry) storeWindows(ctx context.Context) error {
	select {
	case e.storing <- struct{}{}:
		defer func() { <-e.storing }()
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
		e.loopDo(func() {
			if len(e.closed) > 0 && e.closed[0].Number == window.Number {
				e.closed = e.closed[1:]
			}
		})
	}
}
