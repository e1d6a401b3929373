package testcluster

import (
	"cmp"
	"context"
	"encoding/base64"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

const (
	// storeReadDelay and storeCommitDelay are how long the stand-in of the partitioned store
	// takes for a read and for a transaction.
	storeReadDelay   = 4 * time.Millisecond
	storeCommitDelay = 12 * time.Millisecond
)

// StoreFault is the fault that the store injects into one call.
type StoreFault struct {
	Refuse    bool          // refused, with no effect
	Silent    bool          // not answered, with no effect
	DropReply bool          // applied, but not answered
	Late      time.Duration // with DropReply: delay until it is applied
	Slow      time.Duration // additional delay of the call
	Omit      bool          // a watch returns no changes, but the newest revision
	InTurn    bool          // with Slow: writes run one at a time, and are refused while more than one second of writes waits
}

// Store is an in-memory stand-in of the partitioned table store. It may be used
// concurrently.
type Store struct {
	mu             sync.Mutex
	rows           map[table.RowKey]table.Record
	history        []table.Record
	oldestRevision uint64 // oldest revision from which a watch can continue
	revision       uint64
	changed        chan struct{}
	writeSemaphore chan struct{} // capacity 1: held by the InTurn write in progress
	pendingWrites  int           // InTurn writes, waiting and in progress
	fault          atomic.Pointer[func(process string, write bool) StoreFault]
	txnFault       atomic.Pointer[func(process string, change table.Txn) StoreFault]
	unreachable    sync.Map // names of the processes that are cut off from the store
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[table.RowKey]table.Record{}, changed: make(chan struct{}), writeSemaphore: make(chan struct{}, 1)}
}

// View returns the store as the given process sees it.
func (s *Store) View(process string) *table.Store {
	return &table.Store{
		Read: func(ctx context.Context, of table.Range) ([]table.Record, uint64, error) {
			if err := s.simulateRead(ctx, process); err != nil {
				return nil, 0, err
			}
			rows, revision := s.read(of)
			return rows, revision, nil
		},
		Watch: func(ctx context.Context, name string, after uint64, wait time.Duration) (table.WatchResult, error) {
			if err := s.simulateRead(ctx, process); err != nil {
				return table.WatchResult{}, err
			}
			if s.currentFault(process, false).Omit {
				return s.watchOmitting(ctx, wait)
			}
			return s.watch(ctx, name, after, wait)
		},
		Apply: func(ctx context.Context, change table.Txn) (table.TxnResult, error) {
			return s.apply(ctx, process, change)
		},
	}
}

// SetFault sets the function that returns the fault of each call, by calling process and by
// whether the call writes. A nil function injects no faults.
func (s *Store) SetFault(fault func(process string, write bool) StoreFault) { s.fault.Store(&fault) }

// SetTxnFault sets the function that returns the fault of each transaction, by calling process. It has
// precedence over that of SetFault where it returns one. A nil function injects no faults.
func (s *Store) SetTxnFault(fault func(process string, change table.Txn) StoreFault) {
	s.txnFault.Store(&fault)
}

// SetUnreachable sets whether a process is cut off from the store, whatever the other faults.
func (s *Store) SetUnreachable(process string, unreachable bool) {
	if unreachable {
		s.unreachable.Store(process, true)
		return
	}
	s.unreachable.Delete(process)
}

func (s *Store) currentFault(process string, write bool) StoreFault {
	if _, unreachable := s.unreachable.Load(process); unreachable {
		return StoreFault{Silent: true}
	}
	if fault := s.fault.Load(); fault != nil && *fault != nil {
		return (*fault)(process, write)
	}
	return StoreFault{}
}

func (s *Store) faultOfTxn(process string, change table.Txn) StoreFault {
	if faultOf := s.txnFault.Load(); faultOf != nil && *faultOf != nil {
		if fault := (*faultOf)(process, change); fault != (StoreFault{}) {
			return fault
		}
	}
	return s.currentFault(process, true)
}

// simulateRead waits for the duration of a read, or fails it as the current fault demands.
func (s *Store) simulateRead(ctx context.Context, process string) error {
	fault := s.currentFault(process, false)
	switch {
	case fault.Refuse:
		return errors.Mark(errors.New("turned away"), table.ErrRefused)
	case fault.Silent || fault.DropReply:
		<-ctx.Done()
		return ctx.Err()
	}
	return sleepOrDone(ctx, storeReadDelay+fault.Slow)
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
	for rowKey, row := range s.rows {
		if rowKey.Table == of.Table && rowKey.Partition == of.Partition && rowKey.Key >= of.From && (of.To == "" || rowKey.Key < of.To) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Record) int { return cmp.Compare(a.Key, b.Key) })
	return rows, s.revision
}

func (s *Store) watch(ctx context.Context, name string, after uint64, wait time.Duration) (table.WatchResult, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		if after < s.oldestRevision {
			s.mu.Unlock()
			return table.WatchResult{}, errors.Mark(errors.New("compacted"), table.ErrCompacted)
		}
		changes := table.WatchResult{Revision: s.revision}
		for _, row := range s.history {
			if row.Table == name && row.Revision > after {
				changes.Rows = append(changes.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(changes.Rows) > 0 {
			return changes, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return changes, nil
		case <-ctx.Done():
			return table.WatchResult{}, ctx.Err()
		}
	}
}

// watchOmitting returns no changes, as if there were none up to the newest revision.
func (s *Store) watchOmitting(ctx context.Context, wait time.Duration) (table.WatchResult, error) {
	err := sleepOrDone(ctx, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	return table.WatchResult{Revision: s.revision}, err
}

func (s *Store) apply(ctx context.Context, process string, change table.Txn) (table.TxnResult, error) {
	fault := s.faultOfTxn(process, change)
	switch {
	case fault.Refuse:
		return table.TxnResult{}, errors.Mark(errors.New("turned away"), table.ErrRefused)
	case fault.Silent:
		<-ctx.Done()
		return table.TxnResult{}, ctx.Err()
	case fault.DropReply:
		time.AfterFunc(storeCommitDelay+fault.Late, func() { s.commit(change) })
		<-ctx.Done()
		return table.TxnResult{}, ctx.Err()
	}
	if fault.InTurn {
		release, err := s.acquireWrite(ctx, fault.Slow)
		if err != nil {
			return table.TxnResult{}, err
		}
		defer release()
	}
	if err := sleepOrDone(ctx, storeCommitDelay/2+fault.Slow); err != nil {
		return table.TxnResult{}, err
	}
	if err := checkSize(change); err != nil {
		return table.TxnResult{}, err
	}
	applied := s.commit(change)
	return applied, sleepOrDone(ctx, storeCommitDelay/2)
}

const (
	// maxRowBytes bounds the value of a row, and maxTxnBytes a transaction, in bytes.
	maxRowBytes = 65_536
	maxTxnBytes = 1_000_000
	// maxTxnOperations bounds the preconditions and writes of a transaction.
	maxTxnOperations = 100
)

// checkSize returns the error of a transaction that is too large to be stored, or nil. Values count as
// they are sent, encoded in base64.
func checkSize(change table.Txn) error {
	size := 0
	for _, put := range change.Puts {
		if len(put.Value) > maxRowBytes {
			return errors.Mark(errors.Newf("the value of row %s has %d bytes", put.Key, len(put.Value)), table.ErrRefused)
		}
		size += len(put.Key) + base64.StdEncoding.EncodedLen(len(put.Value))
	}
	if operations := len(change.Preconditions) + len(change.Puts) + len(change.Removes); operations > maxTxnOperations || size > maxTxnBytes {
		return errors.Mark(errors.Newf("a transaction of %d operations and %d bytes", operations, size), table.ErrRefused)
	}
	return nil
}

// acquireWrite waits until no other InTurn write is in progress. It refuses the write if
// those that wait would take longer than one second.
func (s *Store) acquireWrite(ctx context.Context, slow time.Duration) (release func(), err error) {
	s.mu.Lock()
	full := time.Duration(s.pendingWrites)*slow > time.Second
	if !full {
		s.pendingWrites++
	}
	s.mu.Unlock()
	if full {
		return nil, errors.Mark(errors.New("too many writes wait"), table.ErrRefused)
	}
	dequeue := func() {
		s.mu.Lock()
		s.pendingWrites--
		s.mu.Unlock()
	}
	select {
	case s.writeSemaphore <- struct{}{}:
		return func() { <-s.writeSemaphore; dequeue() }, nil
	case <-ctx.Done():
		dequeue()
		return nil, ctx.Err()
	}
}

// commit applies a transaction if its preconditions hold.
func (s *Store) commit(change table.Txn) table.TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []table.Record
	satisfied := true
	for _, expected := range change.Preconditions {
		row := s.rows[expected.RowKey]
		row.RowKey = expected.RowKey
		rows = append(rows, row)
		satisfied = satisfied && row.Revision == expected.Revision
	}
	if !satisfied {
		return table.TxnResult{Outcome: table.Conflict, Revision: s.revision, Rows: rows}
	}
	s.revision++
	for _, put := range change.Puts {
		record := table.Record{RowKey: put.RowKey, Value: slices.Clone(put.Value), Revision: s.revision}
		s.rows[put.RowKey] = record
		s.history = append(s.history, record)
	}
	for _, rowKey := range change.Removes {
		if _, exists := s.rows[rowKey]; exists {
			delete(s.rows, rowKey)
			s.history = append(s.history, table.Record{RowKey: rowKey, Revision: s.revision, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return table.TxnResult{Outcome: table.Committed, Revision: s.revision}
}

// Compact discards the history, so that watches from an earlier revision fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldestRevision = nil, s.revision
}
