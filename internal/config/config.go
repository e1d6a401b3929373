// Package config stores the configuration document, which holds the contract and the
// targets, in the platform's table, and reads it from there. It does not validate the
// document; package contract does.
package config

import (
	"context"
	"time"

	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// ErrConflict marks the error for a document that is based on a version that is no longer
// in force.
var ErrConflict = errors.New("another version is in force")

// Read returns the document in force. Its version is 0 if there is none. The table may
// return an outdated document; see ReadNewer.
func Read(ctx context.Context, client *table.Client) (contract.Document, error) {
	row, revision, err := record.Get[record.Config](ctx, client, record.ConfigKey)
	if err != nil || revision == table.Absent {
		return contract.Document{}, err
	}
	return parse(row)
}

// ReadNewer returns the document in force if its version is above known, and version 0
// otherwise. It confirms with a conditional commit that the document is still in force:
// a read may return an outdated row, and a node that starts must not serve under a
// document that its peers have replaced already.
func ReadNewer(ctx context.Context, client *table.Client, known uint64) (contract.Document, error) {
	row, revision, err := record.Get[record.Config](ctx, client, record.ConfigKey)
	if err != nil || revision == table.Absent || row.Version <= known {
		return contract.Document{}, err
	}
	current, err := client.Commit(ctx, []table.Condition{{Key: record.ConfigKey, Revision: revision}}, nil)
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

// CompareAndSet puts document in force if base is still the version in force, and returns
// the new version; otherwise its error is marked ErrConflict. The same commit writes the
// history row of the version, which never changes. If the reply to the commit is lost,
// reading that row shows whether the commit was applied. By names the operator, and
// commitID makes the commit unique.
func CompareAndSet(ctx context.Context, client *table.Client, base uint64, document contract.Document, by, commitID string) (uint64, error) {
	current, revision, err := record.Get[record.Config](ctx, client, record.ConfigKey)
	if err != nil {
		return 0, err
	}
	if current.Version != base {
		return 0, errors.Mark(errors.Newf("version %d is in force, not %d", current.Version, base), ErrConflict)
	}
	next := record.Config{Version: base + 1, Text: document.Text(), By: by, At: time.Now().UTC(), Commit: commitID}
	history, err := record.NewWrite(record.HistoryKey(next.Version), next)
	if err != nil {
		return 0, err
	}
	inForce, err := record.NewWrite(record.ConfigKey, next)
	if err != nil {
		return 0, err
	}
	result, err := client.CommitRetry(ctx, []table.Condition{
		{Key: history.Key, Revision: table.Absent},
		{Key: inForce.Key, Revision: revision},
	}, []table.Write{history, inForce})
	switch result.Outcome {
	case table.Committed:
		return next.Version, nil
	case table.Conflict:
		return 0, errors.Mark(errors.Newf("version %d was replaced by a concurrent update", base), ErrConflict)
	case table.Unknown:
	}
	return 0, errors.Wrap(err, "the platform did not confirm whether the document was accepted")
}

// History returns all accepted versions, oldest first.
func History(ctx context.Context, client *table.Client) ([]record.Config, error) {
	return record.Scan[record.Config](ctx, client, record.HistoryPrefix)
}
