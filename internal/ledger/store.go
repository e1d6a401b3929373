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

// Store keeps closed windows in the platform: the window as an object, and an
// index row that names it.
type Store struct {
	table   *table.Client
	objects *object.Client
}

// NewStore makes a store over the platform's two services.
func NewStore(rows *table.Client, objects *object.Client) *Store {
	return &Store{table: rows, objects: objects}
}

// Put stores a window. Putting it twice stores it once.
func (s *Store) Put(ctx context.Context, window Window) error {
	text, err := json.Marshal(window)
	if err != nil {
		return errors.Wrap(err, "encode window")
	}
	index := record.Window{
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

// Get reads the windows that touch the time from..to, and the index of all windows
// of the nodes they belong to, by which gaps are found.
func (s *Store) Get(ctx context.Context, from, to time.Time) ([]Window, []record.Window, error) {
	index, err := record.Scan[record.Window](ctx, s.table, record.LedgerPrefix)
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
