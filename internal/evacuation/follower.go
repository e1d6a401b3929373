package evacuation

import (
	"context"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

const (
	// watchTimeout is how long the store holds a request open while it waits for a change.
	watchTimeout = 800 * time.Millisecond
	// watchGrace is how much longer the answer to a watch may take.
	watchGrace = 700 * time.Millisecond
	// retryDelay is the delay before the next read after a failed one, or after one that is to be
	// repeated.
	retryDelay = 100 * time.Millisecond
	// watchesPerRead is the number of watches between two reads of the rows themselves. The reads
	// find a change that the store omitted from a watch.
	watchesPerRead = 6
)

// Follower keeps a Tracker up to date with the requests in a table: one row for each evacuated
// domain, whose key is Prefix and the domain. The value of a row does not matter. A Follower may
// follow other rows of the table at the same time.
type Follower struct {
	Store  *table.Store
	Table  string
	Prefix string // of the keys, not empty
	From   string // first key of each read, not after Prefix; "" for Prefix
	// Apply receives all rows that a read or a watch returns. nil: no other rows are followed.
	Apply func(rows []table.Record)
	// Incomplete reports whether the rows are to be read again at once. nil: never.
	Incomplete func() bool
	// FailureEvent is the event that is logged when the table cannot be followed.
	FailureEvent string
}

// progress is how far a Follower has followed its table.
type progress struct {
	after   uint64 // revision up to which changes are known; 0: the rows must be read
	watches int    // since the rows were read
}

// Run follows the table until ctx is done. It logs and repeats what fails.
func (f *Follower) Run(ctx context.Context, known *Tracker, log *zap.Logger) {
	failures := logs.NewFailureLogger(log, f.FailureEvent)
	var p progress
	for ctx.Err() == nil {
		err := f.poll(ctx, known, &p)
		failures.Note(err)
		if err != nil {
			p.after = 0
			loop.Sleep(ctx, retryDelay)
		}
	}
}

// poll reads the rows or waits for their next change.
func (f *Follower) poll(ctx context.Context, known *Tracker, p *progress) error {
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout+watchGrace)
	defer cancel()
	if p.after == 0 || p.watches >= watchesPerRead || f.incomplete() {
		revision, err := f.read(callCtx, known)
		if err != nil {
			return err
		}
		p.after, p.watches = revision, 0
		if f.incomplete() || revision == 0 { // an empty table has no revision to watch from
			loop.Sleep(ctx, retryDelay)
		}
		return nil
	}
	changes, err := f.Store.Watch(callCtx, f.Table, p.after, watchTimeout)
	if err != nil {
		return err
	}
	p.after = changes.Revision
	p.watches++
	for _, row := range changes.Rows {
		if domain, ok := strings.CutPrefix(row.Key, f.Prefix); ok {
			known.Record(domain, !row.Removed, row.Revision)
			if row.Removed {
				// The next poll reads the rows, since the revision of a removed row may be that of
				// its last value.
				p.watches = watchesPerRead
			}
		}
	}
	f.apply(changes.Rows)
	return nil
}

// Read reads the requests once.
func (f *Follower) Read(ctx context.Context, known *Tracker) error {
	_, err := f.read(ctx, known)
	return err
}

func (f *Follower) read(ctx context.Context, known *Tracker) (uint64, error) {
	from := f.From
	if from == "" {
		from = f.Prefix
	}
	rows, revision, err := f.Store.Read(ctx, table.Range{Table: f.Table, From: from, To: prefixEnd(f.Prefix)})
	if err != nil {
		return 0, err
	}
	var domains []string
	for _, row := range rows {
		if domain, ok := strings.CutPrefix(row.Key, f.Prefix); ok {
			domains = append(domains, domain)
		}
	}
	known.Replace(domains, revision)
	f.apply(rows)
	return revision, nil
}

// prefixEnd returns the first key after all keys with a prefix, which must end with a letter or a
// sign below 0x7f.
func prefixEnd(prefix string) string {
	last := len(prefix) - 1
	return prefix[:last] + string(prefix[last]+1)
}

func (f *Follower) apply(rows []table.Record) {
	if f.Apply != nil {
		f.Apply(rows)
	}
}

func (f *Follower) incomplete() bool { return f.Incomplete != nil && f.Incomplete() }
