// Package config reads and accepts the document of contract and targets in the
// platform's table.
package config

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// ErrConflict marks a document that was based on a version no longer in force.
var ErrConflict = errors.New("another version is in force")

// Read reads the document in force; version 0 when there is none.
func Read(ctx context.Context, from *table.Client) (contract.Document, error) {
	row, version, err := record.Get[record.Config](ctx, from, record.ConfigKey)
	if err != nil || version == table.Absent {
		return contract.Document{}, err
	}
	return parse(row)
}

// ReadNewer reads the document in force if its version is above known, and makes sure
// that it is in force still: a read may be old, and a node that starts must not serve
// by a document that its peers have left behind. Version 0 stands for nothing newer.
func ReadNewer(ctx context.Context, from *table.Client, known uint64) (contract.Document, error) {
	row, version, err := record.Get[record.Config](ctx, from, record.ConfigKey)
	if err != nil || version == table.Absent || row.Version <= known {
		return contract.Document{}, err
	}
	current, err := from.Commit(ctx, []table.Condition{{Key: record.ConfigKey, Revision: version}}, nil)
	if current.Outcome != table.Committed {
		return contract.Document{}, err
	}
	return parse(row)
}

func parse(row record.Config) (contract.Document, error) {
	document, err := contract.Parse([]byte(row.Text))
	document.Version = row.Version
	return document, errors.Wrapf(err, "document of version %d", row.Version)
}

// CompareAndSet makes document the one in force if base is in force still, and returns
// its version. The history row of each version is written by the same commit and
// never changes, so an answer that was lost is settled by reading it back.
func CompareAndSet(ctx context.Context, to *table.Client, base uint64, document contract.Document, by, commit string) (uint64, error) {
	current, rowVersion, err := record.Get[record.Config](ctx, to, record.ConfigKey)
	if err != nil {
		return 0, err
	}
	if current.Version != base {
		return 0, errors.Mark(errors.Newf("version %d is in force, not %d", current.Version, base), ErrConflict)
	}
	next := record.Config{Version: base + 1, Text: document.Text(), By: by, At: time.Now().UTC(), Commit: commit}
	history, err := record.NewWrite(record.HistoryKey(next.Version), next)
	if err != nil {
		return 0, err
	}
	inForce, err := record.NewWrite(record.ConfigKey, next)
	if err != nil {
		return 0, err
	}
	result, err := to.CommitRetry(ctx, []table.Condition{
		{Key: history.Key, Revision: table.Absent},
		{Key: inForce.Key, Revision: rowVersion},
	}, []table.Write{history, inForce})
	switch result.Outcome {
	case table.Committed:
		return next.Version, nil
	case table.Conflict:
		return 0, errors.Mark(errors.Newf("version %d was replaced meanwhile", base), ErrConflict)
	case table.Unknown:
	}
	return 0, errors.Wrap(err, "the platform did not say whether the document was accepted")
}

// History reads all versions accepted, oldest first.
func History(ctx context.Context, from *table.Client) ([]record.Config, error) {
	return record.Scan[record.Config](ctx, from, record.HistoryPrefix)
}
