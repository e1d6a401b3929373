package owner

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// maxCommitOperations is the number of preconditions and writes that the table accepts in
	// one transaction. fixedCommitOperations of them are reserved in each commit: the
	// precondition on the owner's row, the writes of the alive row, the costs row and the durations
	// row, and the write of the starts row with its precondition.
	maxCommitOperations   = 100
	fixedCommitOperations = 6
	// maxRowBytes bounds the value of a row, and maxCommitBytes the values of one commit, in bytes, but
	// for the costs row and the durations row. The table accepts calls of 1 MB, in which values take a
	// third more, and keys and revisions the rest.
	maxRowBytes    = 65_536
	maxCommitBytes = 610_000
	// operationsPerRow is 2 for a row in a commit: its precondition and its write.
	operationsPerRow = 2
	// maxCommitInstances bounds the instance rows in one commit.
	maxCommitInstances = 6
	maxCommitRemovals  = 4 // finished jobs removed by one commit, three rows each
	// maxAckDelay is how long the acknowledgement of an end waits for a message to the agent
	// that can carry it. Until then the worker lists the end in each answer to its agent.
	maxAckDelay = 100 * time.Millisecond
)

// batch holds the contents of one commit.
type batch struct {
	txn         table.Txn
	bytes       int // of all values
	jobs        []dispatch.ProgressChange
	instances   []dispatch.InstanceChange
	removed     []finishedJob
	pendingJobs []*pendingJob
	acks        map[*session]int64 // highest end to acknowledge per session after the commit
	sent        instant            // when the commit was made, just before it is sent
}

// scheduleCommit commits at once if a final state, an instance row, a submitted job or a
// handover waits for the commit, and after commitDelay if there is other unsaved progress.
// Without unsaved progress, it acknowledges ends and removes expired jobs. It does nothing
// while a commit is in flight or before commitRetryAt.
func (t *term) scheduleCommit() {
	if t.committing || time.Now().Before(t.commitRetryAt) {
		return
	}
	dirty, final := t.scheduler.HasDirty()
	if final || len(t.changes) > 0 || len(t.pendingJobs) > 0 || t.onEnd != nil {
		t.commit()
		return
	}
	if (dirty || t.startsOrdered) && !t.commitScheduled {
		t.commitScheduled = true
		time.AfterFunc(commitDelay, func() {
			t.post(func() {
				t.commitScheduled = false
				if !t.committing {
					t.commit()
				}
			})
		})
	}
	if !dirty {
		t.acknowledge(t.pendingAcks())
		t.removeExpiredJobs()
	}
}

// pendingAcks returns, for each session with unacknowledged ends, the highest sequence number
// of an end that the scheduler has recorded. These ends may be acknowledged once no progress
// is unsaved.
func (t *term) pendingAcks() map[*session]int64 {
	acks := map[*session]int64{}
	for _, s := range t.sessions {
		if s.lastSeenEnd > s.lastCommittedEnd {
			acks[s] = s.lastSeenEnd
		}
	}
	return acks
}

// acknowledge records which ends are in the table. The agents learn it, so that they can forget
// the ends, with the next orders or the next reply to a report, or from sendAcks.
func (t *term) acknowledge(acks map[*session]int64) {
	for s, end := range acks {
		if end <= s.lastCommittedEnd || t.sessions[s.incarnation.ID] != s {
			continue
		}
		s.recordCommit(end, time.Now())
	}
}

// recordCommit records that the ends up to sequence number end are in the table since now.
func (s *session) recordCommit(end int64, now time.Time) {
	if s.lastSentCommit == s.lastCommittedEnd {
		s.ackDue = now.Add(maxAckDelay)
	}
	s.lastCommittedEnd = end
}

// owesAck reports whether an acknowledgement waits that no message has carried for maxAckDelay.
func (s *session) owesAck(now time.Time) bool {
	return s.lastSentCommit < s.lastCommittedEnd && !now.Before(s.ackDue)
}

// sendAcks sends the acknowledgements that are owed.
func (t *term) sendAcks(now time.Time) {
	for id, s := range t.sessions {
		if s.owesAck(now) {
			t.send(id, &link.Orders{})
		}
	}
}

// commit writes unsaved progress, waiting submitted jobs and changed instance rows.
func (t *term) commit() { t.apply(t.nextBatch()) }

// nextBatch moves as many waiting changes into a batch as fit into one commit.
func (t *term) nextBatch() *batch {
	b := &batch{sent: t.elector.now(), txn: table.Txn{Preconditions: []table.Precondition{t.ownerPrecondition()}}}
	b.instances = t.changes[:min(len(t.changes), maxCommitInstances)]
	t.changes = slices.Clone(t.changes[len(b.instances):])
	for _, change := range b.instances {
		t.putInstance(b, change)
	}
	t.putStarts(b)
	t.putSubmissions(b)
	t.putProgress(b, (maxCommitOperations-fixedCommitOperations)/operationsPerRow-len(b.instances)-len(b.pendingJobs))
	t.putAliveRow(b)
	t.putCosts(b)
	t.putDurations(b)
	return b
}

func (t *term) put(b *batch, rowKey table.RowKey, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode row %s", rowKey.Key)
	}
	t.putValue(b, rowKey, text)
	return nil
}

func (t *term) putValue(b *batch, rowKey table.RowKey, value []byte) {
	b.txn.Preconditions = append(b.txn.Preconditions, table.Precondition{RowKey: rowKey, Revision: t.revisions[rowKey]})
	b.txn.Puts = append(b.txn.Puts, table.Put{RowKey: rowKey, Value: value})
	b.bytes += len(value)
}

func (t *term) putInstance(b *batch, change dispatch.InstanceChange) {
	rowKey := instanceRowKey(change.Registration.Incarnation.ID)
	if change.Gone {
		t.putRemoval(&b.txn, rowKey)
		return
	}
	if err := t.put(b, rowKey, change.Registration); err != nil {
		t.log.Error("instance-encode-failed", zap.String("instance", rowKey.Key), logs.Error(err))
	}
}

// putRemoval adds the removal of a row to txn, with the precondition that the row is at
// its last known revision: a removal that takes effect late must not remove a newer row.
func (t *term) putRemoval(txn *table.Txn, rowKey table.RowKey) {
	txn.Preconditions = append(txn.Preconditions, table.Precondition{RowKey: rowKey, Revision: t.revisions[rowKey]})
	txn.Removes = append(txn.Removes, rowKey)
}

func (t *term) apply(b *batch) {
	t.committing = true
	t.elector.loop.Go(func() {
		applied, err := t.elector.apply(b.txn)
		t.post(func() {
			t.committing = false
			t.handleCommitResult(b, applied, err)
		})
	})
}

// handleCommitResult handles the result of a commit. After a conflict or an unknown outcome
// the changes of the batch wait for the next commit.
func (t *term) handleCommitResult(b *batch, applied table.TxnResult, err error) {
	t.elector.registry.Observe("commit", time.Since(b.sent.at))
	switch {
	case applied.Outcome == table.Committed:
		t.handleCommitted(b, applied.Revision)
	case applied.Outcome == table.Conflict:
		t.requeueChanges(b)
		owned := t.refreshRevisions(b.txn.Preconditions, applied.Rows)
		t.submissionsConflicted(b, applied.Rows)
		if !owned {
			t.elector.stepDown("a commit found another owner")
			return
		}
	default:
		// The table refused the commit, or its outcome is unknown. The same changes are sent
		// again with the same preconditions, so they take effect at most once.
		t.requeueChanges(b)
		t.requeueSubmissions(b, errors.Is(err, table.ErrRefused))
		t.commitFailures.Note(errors.CombineErrors(err, errNoOutcome))
		t.commitRetryAt = time.Now().Add(commitRetryDelay)
		return
	}
	t.schedulePlan()
}

// queueChange makes the change of an instance's row wait for the next commit. It replaces a change of
// the same row that still waits, so that a commit changes each row once.
func (t *term) queueChange(change dispatch.InstanceChange) {
	t.changes = slices.DeleteFunc(t.changes, func(waiting dispatch.InstanceChange) bool { return sameRow(waiting, change) })
	t.changes = append(t.changes, change)
}

func sameRow(a, b dispatch.InstanceChange) bool {
	return a.Registration.Incarnation.ID == b.Registration.Incarnation.ID
}

// requeueChanges makes the instance rows and the removals of a commit wait for the next one, except
// the rows of which a later change waits already.
func (t *term) requeueChanges(b *batch) {
	later := t.changes
	t.changes = slices.Clone(b.instances)
	for _, change := range later {
		t.queueChange(change)
	}
	t.finished = append(b.removed, t.finished...)
}

// errNoOutcome is logged for a commit that was refused or whose outcome is unknown.
var errNoOutcome = errors.New("commit without outcome")

func (t *term) handleCommitted(b *batch, revision uint64) {
	t.commitFailures.Note(nil)
	t.confirmEpoch(b.sent)
	for _, put := range b.txn.Puts {
		t.recordPut(put, revision)
	}
	for _, rowKey := range b.txn.Removes {
		delete(t.revisions, rowKey)
	}
	for _, change := range b.jobs {
		t.scheduler.Committed(change)
		if change.Progress.State.Final() {
			t.log.Info("finished", zap.String("job", change.Job), zap.Stringer("state", change.Progress.State))
			t.expire(change.Job)
		}
	}
	for _, change := range b.instances {
		if !change.Gone {
			t.scheduler.RowWritten(change.Registration.Incarnation)
		}
	}
	t.submissionsCommitted(b)
	for _, expired := range b.removed {
		t.scheduler.Forget(expired.id)
		delete(t.expiring, expired.id)
	}
	t.acknowledge(b.acks)
	if t.onEnd != nil {
		t.tryHandOver()
	}
}

// recordPut records a row that was written. The revision matters of those rows only of which later
// writes have it as a precondition.
func (t *term) recordPut(put table.Put, revision uint64) {
	switch {
	case put.RowKey == durationsRowKey():
		t.durations = put.Value
	case put.RowKey == startsRowKey():
		t.starts, t.revisions[put.RowKey] = put.Value, revision
	case put.RowKey == aliveRowKey() || put.RowKey == costsRowKey() || strings.HasSuffix(put.Key, suffixJob):
	default:
		t.revisions[put.RowKey] = revision
	}
}

// refreshRevisions records the revisions found for the rows of a conflicting commit: an
// earlier attempt at the same commit may have taken effect. It reports whether this process
// still is the owner.
func (t *term) refreshRevisions(preconditions []table.Precondition, rows []table.Record) bool {
	found := map[table.RowKey]uint64{}
	for _, row := range rows {
		found[row.RowKey] = row.Revision
	}
	if found[ownerRowKey()] != t.ownerRevision {
		return false
	}
	for _, precondition := range preconditions {
		if precondition.RowKey != ownerRowKey() && !strings.HasSuffix(precondition.Key, suffixJob) {
			t.revisions[precondition.RowKey] = found[precondition.RowKey]
		}
	}
	return true
}

// expire has the rows of a finished job, or a tombstone, removed after the retention time.
func (t *term) expire(id string) {
	if t.expiring[id] {
		return
	}
	t.expiring[id] = true
	t.finished = append(t.finished, finishedJob{id, time.Now().Add(t.elector.settings.Retention)})
}

// removeExpiredJobs removes the rows of jobs that finished more than the retention time ago.
func (t *term) removeExpiredJobs() {
	if len(t.finished) > 0 && time.Now().After(t.finished[0].remove) {
		t.apply(t.nextRemovals())
	}
}

// nextRemovals moves as many expired jobs into a batch as one commit removes.
func (t *term) nextRemovals() *batch {
	b := &batch{sent: t.elector.now(), txn: table.Txn{Preconditions: []table.Precondition{t.ownerPrecondition()}}}
	for len(t.finished) > 0 && len(b.removed) < maxCommitRemovals && time.Now().After(t.finished[0].remove) {
		expired := t.finished[0]
		t.finished = t.finished[1:]
		b.removed = append(b.removed, expired)
		for _, suffix := range []string{suffixJob, suffixProgress, suffixCancel} {
			b.txn.Removes = append(b.txn.Removes, jobRowKey(expired.id, suffix))
		}
	}
	t.putAliveRow(b)
	return b
}
