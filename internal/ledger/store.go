package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/platform/object"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// Store stores closed windows in the platform: each window as an object, and an index row
// in the table that names the object. It is safe for concurrent use.
type Store struct {
	table   *table.Client
	objects *object.Client
}

// NewStore returns a store that uses the table and the object store of the platform.
func NewStore(client *table.Client, objects *object.Client) *Store {
	return &Store{table: client, objects: objects}
}

// Put stores a window. Storing the same window again has no effect. On an error the window
// may or may not be stored, and Put may be repeated.
func (s *Store) Put(ctx context.Context, window Window) error {
	text, err := json.Marshal(window)
	if err != nil {
		return errors.Wrap(err, "encode window")
	}
	index := record.WindowIndex{
		Node: window.Node, Incarnation: window.Incarnation, Number: window.Number,
		From: window.From, To: window.To, Last: window.Last,
		Object: fmt.Sprintf("ledger/%s/%s/%06d", window.Node, window.Incarnation, window.Number),
	}
	if err := s.objects.Put(ctx, index.Object, text); err != nil {
		return err
	}
	write, err := record.NewWrite(record.WindowKey(index), index)
	if err != nil {
		return err
	}
	result, err := s.table.Commit(ctx, []table.Condition{{Key: write.Key, Revision: table.Absent}}, []table.Write{write})
	if result.Outcome == table.Unknown {
		return err
	}
	return nil
}

// Get returns the windows that overlap the period between from and to, and the index rows of
// all stored windows, which Build finds gaps with.
func (s *Store) Get(ctx context.Context, from, to time.Time) ([]Window, []record.WindowIndex, error) {
	index, err := record.Scan[record.WindowIndex](ctx, s.table, record.LedgerPrefix)
	if err != nil {
		return nil, nil, err
	}
	var windows []Window
	for _, row := range index {
		if row.To.Before(from) || row.From.After(to) {
			continue
		}
		text, err := s.objects.Get(ctx, row.Object)
		if err != nil {
			return nil, nil, err
		}
		var window Window
		if err := json.Unmarshal(text, &window); err != nil {
			return nil, nil, errors.Wrapf(err, "decode window %s", row.Object)
		}
		windows = append(windows, window)
	}
	return windows, index, nil
}
