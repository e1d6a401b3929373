package testcluster

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

const (
	// storeRead and storeApply are how long the stand-in of the partitioned store takes.
	storeRead  = 4 * time.Millisecond
	storeApply = 12 * time.Millisecond
)

// StoreFault is what befalls one call of the store.
type StoreFault struct {
	Refuse    bool          // turned away, nothing is done
	Silent    bool          // no answer and nothing is done
	DropReply bool          // done, no answer
	Late      time.Duration // with DropReply: done only so much later
	Slow      time.Duration // done and answered so much later
	InTurn    bool          // with Slow: writes are done one after another, and refused when a second of them waits
}

// Store is a stand-in of the partitioned store, in memory.
type Store struct {
	mu      sync.Mutex
	rows    map[table.RowKey]table.Record
	history []table.Record
	first   uint64 // oldest version from which a feed can go on
	version uint64
	changed chan struct{}
	writing chan struct{} // holds one while a write in turn is under way
	waiting int           // writes in turn
	fault   atomic.Pointer[func(process string, write bool) StoreFault]
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{rows: map[table.RowKey]table.Record{}, changed: make(chan struct{}), writing: make(chan struct{}, 1)}
}

// View is the store as the process named sees it.
func (s *Store) View(process string) *table.Store {
	return &table.Store{
		Read: func(ctx context.Context, of table.Range) ([]table.Record, uint64, error) {
			if err := s.befall(ctx, process); err != nil {
				return nil, 0, err
			}
			rows, version := s.read(of)
			return rows, version, nil
		},
		Watch: func(ctx context.Context, name string, after uint64, wait time.Duration) (table.Feed, error) {
			if err := s.befall(ctx, process); err != nil {
				return table.Feed{}, err
			}
			return s.follow(ctx, name, after, wait)
		},
		Apply: func(ctx context.Context, change table.Txn) (table.TxnResult, error) {
			return s.apply(ctx, process, change)
		},
	}
}

// SetFault sets what befalls a call of the process named; nil is nothing.
func (s *Store) SetFault(fault func(process string, write bool) StoreFault) { s.fault.Store(&fault) }

func (s *Store) faultOf(process string, write bool) StoreFault {
	if fault := s.fault.Load(); fault != nil && *fault != nil {
		return (*fault)(process, write)
	}
	return StoreFault{}
}

// befall spends the time of a read, or fails it.
func (s *Store) befall(ctx context.Context, process string) error {
	fault := s.faultOf(process, false)
	switch {
	case fault.Refuse:
		return errors.Mark(errors.New("turned away"), table.ErrRefused)
	case fault.Silent || fault.DropReply:
		<-ctx.Done()
		return ctx.Err()
	}
	return sleepOrDone(ctx, storeRead+fault.Slow)
}

func sleepOrDone(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (s *Store) read(of table.Range) ([]table.Record, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []table.Record
	for place, row := range s.rows {
		if place.Table == of.Table && place.Partition == of.Partition && place.Key >= of.From && (of.To == "" || place.Key < of.To) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Record) int { return cmp.Compare(a.Key, b.Key) })
	return rows, s.version
}

func (s *Store) follow(ctx context.Context, name string, after uint64, wait time.Duration) (table.Feed, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.first {
			s.mu.Unlock()
			return table.Feed{}, errors.Mark(errors.New("compacted"), table.ErrCompacted)
		}
		feed := table.Feed{Revision: s.version}
		for _, row := range s.history {
			if row.Table == name && row.Revision > after {
				feed.Rows = append(feed.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(feed.Rows) > 0 {
			return feed, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return feed, nil
		case <-ctx.Done():
			return table.Feed{}, ctx.Err()
		}
	}
}

func (s *Store) apply(ctx context.Context, process string, change table.Txn) (table.TxnResult, error) {
	fault := s.faultOf(process, true)
	switch {
	case fault.Refuse:
		return table.TxnResult{}, errors.Mark(errors.New("turned away"), table.ErrRefused)
	case fault.Silent:
		<-ctx.Done()
		return table.TxnResult{}, ctx.Err()
	case fault.DropReply:
		time.AfterFunc(storeApply+fault.Late, func() { s.do(change) })
		<-ctx.Done()
		return table.TxnResult{}, ctx.Err()
	}
	if fault.InTurn {
		release, err := s.turn(ctx, fault.Slow)
		if err != nil {
			return table.TxnResult{}, err
		}
		defer release()
	}
	if err := sleepOrDone(ctx, storeApply/2+fault.Slow); err != nil {
		return table.TxnResult{}, err
	}
	applied := s.do(change)
	return applied, sleepOrDone(ctx, storeApply/2)
}

// turn waits until no other write is under way.
func (s *Store) turn(ctx context.Context, slow time.Duration) (release func(), err error) {
	s.mu.Lock()
	full := time.Duration(s.waiting)*slow > time.Second
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return nil, errors.Mark(errors.New("too many writes wait"), table.ErrRefused)
	}
	leave := func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}
	select {
	case s.writing <- struct{}{}:
		return func() { <-s.writing; leave() }, nil
	case <-ctx.Done():
		leave()
		return nil, ctx.Err()
	}
}

// do applies a change if its conditions hold.
func (s *Store) do(change table.Txn) table.TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []table.Record
	holds := true
	for _, expected := range change.Preconditions {
		row := s.rows[expected.RowKey]
		row.RowKey = expected.RowKey
		rows = append(rows, row)
		holds = holds && row.Revision == expected.Revision
	}
	if !holds {
		return table.TxnResult{Outcome: table.Conflict, Revision: s.version, Rows: rows}
	}
	s.version++
	for _, set := range change.Puts {
		cell := table.Record{RowKey: set.RowKey, Value: slices.Clone(set.Value), Revision: s.version}
		s.rows[set.RowKey] = cell
		s.history = append(s.history, cell)
	}
	for _, place := range change.Removes {
		if _, there := s.rows[place]; there {
			delete(s.rows, place)
			s.history = append(s.history, table.Record{RowKey: place, Revision: s.version, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return table.TxnResult{Outcome: table.Committed, Revision: s.version}
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.first = nil, s.version
}
