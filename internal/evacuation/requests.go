package evacuation

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// ErrConflict marks the error of a change that others kept overtaking.
var ErrConflict = errors.New("the evacuated domains have changed meanwhile")

// maxChangeTries bounds how often a change is tried that a concurrent one has overtaken.
const maxChangeTries = 5

// ReadRequests returns the row with the evacuated domains. Its version is 0 if there is none. The
// table may return an outdated row, which has a lower version.
func ReadRequests(ctx context.Context, client *table.Client) (record.Evacuations, error) {
	row, _, err := record.Get[record.Evacuations](ctx, client, record.EvacuationsKey)
	return row, err
}

// ChangeRequest evacuates a domain or takes it back, and returns the row with the change. A domain
// that is as asked already is left alone. by names the operator, and newCommit returns a new commit ID
// for each try.
func ChangeRequest(ctx context.Context, client *table.Client, domain string, evacuated bool, by string, newCommit func() string) (record.Evacuations, error) {
	for range maxChangeTries {
		row, revision, err := record.Get[record.Evacuations](ctx, client, record.EvacuationsKey)
		if err != nil {
			return row, err
		}
		if slices.Contains(row.Names(), domain) == evacuated {
			return row, nil
		}
		next := record.Evacuations{Version: row.Version + 1, Commit: newCommit(), Domains: slices.DeleteFunc(slices.Clone(row.Domains), func(other record.Evacuation) bool { return other.Domain == domain })}
		if evacuated {
			next.Domains = append(next.Domains, record.Evacuation{Domain: domain, By: by, At: time.Now().UTC()})
			slices.SortFunc(next.Domains, func(a, b record.Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
		}
		write, err := record.NewWrite(record.EvacuationsKey, next)
		if err != nil {
			return row, err
		}
		result, err := client.CommitRetry(ctx, []table.Condition{{Key: write.Key, Revision: revision}}, []table.Write{write})
		if result.Outcome == table.Committed {
			return next, nil
		}
		if result.Outcome == table.Unknown {
			return row, errors.Wrap(err, "the platform did not confirm whether the change was accepted")
		}
	}
	return record.Evacuations{}, ErrConflict
}
