package owner

import (
	"encoding/json"
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
	// entriesACommit is how many conditions and writes the table takes in one change;
	// entriesAlways are those that each commit may have: the condition on the owner's row,
	// the alive row and the row of costs.
	entriesACommit = 100
	entriesAlways  = 3
	// entriesARow are a row's: its condition and its write.
	entriesARow = 2
	// instancesACommit bounds the rows of instances in a commit.
	instancesACommit = 6
	removalsACommit  = 4 // jobs, with three rows each
)

// batch is one commit under way.
type batch struct {
	change    table.Txn
	jobs      []dispatch.ProgressChange
	instances []dispatch.InstanceChange
	removed   []string
	submits   []*submission
	acks      map[*session]int64 // ends that are kept once it is committed
	began     time.Time
}

// scheduleCommit commits at once if somebody waits for it, else soon.
func (t *term) scheduleCommit() {
	if t.committing || time.Now().Before(t.pausedTill) {
		return
	}
	dirty, final := t.book.HasDirty()
	if final || len(t.changes) > 0 || len(t.submits) > 0 || t.handedOver != nil {
		t.commit()
		return
	}
	if dirty && !t.commitDue {
		t.commitDue = true
		time.AfterFunc(commitPause, func() {
			t.post(func() {
				t.commitDue = false
				if !t.committing {
					t.commit()
				}
			})
		})
	}
	if !dirty {
		t.acknowledge(t.allSeen())
		t.removeOld()
	}
}

// allSeen is what may be acknowledged when nothing is left to keep.
func (t *term) allSeen() map[*session]int64 {
	acks := map[*session]int64{}
	for _, s := range t.sessions {
		if s.seen > s.kept {
			acks[s] = s.seen
		}
	}
	return acks
}

// acknowledge lets agents forget ends that are in the table.
func (t *term) acknowledge(acks map[*session]int64) {
	for s, kept := range acks {
		if kept <= s.kept || t.sessions[s.life.ID] != s {
			continue
		}
		s.kept = kept
		t.send(s.life.ID, &link.Orders{})
	}
}

// commit writes the progress that is not kept yet, along with what else waits.
func (t *term) commit() { t.apply(t.nextBatch()) }

// nextBatch takes what waits into a commit, as far as it fits.
func (t *term) nextBatch() *batch {
	b := &batch{began: time.Now(), change: table.Txn{Preconditions: []table.Precondition{t.guard()}}}
	b.instances = t.changes[:min(len(t.changes), instancesACommit)]
	t.changes = t.changes[len(b.instances):]
	for _, change := range b.instances {
		t.putInstance(b, change)
	}
	t.putSubmits(b)
	t.putProgress(b, (entriesACommit-entriesAlways)/entriesARow-len(b.instances)-len(b.submits))
	t.putAlive(b)
	t.putCosts(b)
	return b
}

// putProgress writes the progress of at most so many jobs. If that is all that is not
// kept, the ends seen so far are in the table afterwards.
func (t *term) putProgress(b *batch, most int) {
	b.jobs = t.book.Dirty(most + 1)
	if len(b.jobs) > most {
		b.jobs = b.jobs[:most]
	} else {
		b.acks = t.allSeen()
	}
	for _, change := range b.jobs {
		if err := t.put(b, jobPlace(change.Job, suffixProgress), change.Progress); err != nil {
			t.log.Error("commit-left-out", zap.String("job", change.Job), logs.Error(err))
		}
	}
}

func (t *term) put(b *batch, place table.RowKey, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "write row %s", place.Key)
	}
	b.change.Preconditions = append(b.change.Preconditions, table.Precondition{RowKey: place, Revision: t.versions[place]})
	b.change.Puts = append(b.change.Puts, table.Put{RowKey: place, Value: text})
	return nil
}

func (t *term) putInstance(b *batch, change dispatch.InstanceChange) {
	place := instancePlace(change.Registration.Incarnation.ID)
	for _, expected := range b.change.Preconditions {
		if expected.RowKey == place {
			t.changes = append(t.changes, change) // one change of a row a commit
			return
		}
	}
	if change.Gone {
		t.putRemoval(&b.change, place)
		return
	}
	if err := t.put(b, place, change.Registration); err != nil {
		t.log.Error("commit-left-out", zap.String("instance", place.Key), logs.Error(err))
	}
}

// putRemoval removes a row as it was last written, so that a removal which is carried
// out late does not remove what was written since.
func (t *term) putRemoval(change *table.Txn, place table.RowKey) {
	change.Preconditions = append(change.Preconditions, table.Precondition{RowKey: place, Revision: t.versions[place]})
	change.Removes = append(change.Removes, place)
}

func (t *term) apply(b *batch) {
	t.committing = true
	t.seat.loop.Go(func() {
		applied, err := t.seat.apply(b.change)
		t.post(func() {
			t.committing = false
			t.applied(b, applied, err)
		})
	})
}

// applied takes the outcome of a commit.
func (t *term) applied(b *batch, applied table.TxnResult, err error) {
	t.seat.set.Observe("commit", time.Since(b.began))
	switch {
	case applied.Outcome == table.Committed:
		t.committed(b, applied.Revision)
	case applied.Outcome == table.Conflict:
		t.changes = append(b.instances, t.changes...)
		owned := t.relearn(b.change.Preconditions, applied.Rows)
		t.submitsConflicted(b, applied.Rows)
		if !owned {
			t.seat.depose("a commit found another owner")
			return
		}
	default:
		// Nothing was done, or it is not known: the same is sent again under the same
		// conditions, so that it takes effect once.
		t.changes = append(b.instances, t.changes...)
		t.submitsUnanswered(b, errors.Is(err, table.ErrRefused))
		t.commitTrouble.Note(errors.CombineErrors(err, errNoOutcome))
		t.pausedTill = time.Now().Add(refusedPause)
		return
	}
	t.wake()
}

// errNoOutcome marks commits of which it is not known whether they took effect.
var errNoOutcome = errors.New("commit without outcome")

func (t *term) committed(b *batch, version uint64) {
	t.commitTrouble.Note(nil)
	t.confirmed = maxTime(t.confirmed, b.began)
	for _, set := range b.change.Puts {
		if set.RowKey != alivePlace() && set.RowKey != costsPlace() && !strings.HasSuffix(set.Key, suffixJob) {
			t.versions[set.RowKey] = version
		}
	}
	for _, place := range b.change.Removes {
		delete(t.versions, place)
	}
	for _, change := range b.jobs {
		t.book.Committed(change)
		if change.Progress.State.Final() {
			t.log.Info("finished", zap.String("job", change.Job), zap.Stringer("state", change.Progress.State))
			t.finished = append(t.finished, finishedJob{change.Job, time.Now().Add(t.seat.settings.Retention)})
		}
	}
	for _, change := range b.instances {
		if !change.Gone {
			t.book.Registered(change.Registration.Incarnation)
		}
	}
	t.submitsCommitted(b)
	for _, id := range b.removed {
		t.book.Forget(id)
	}
	t.acknowledge(b.acks)
	if t.handedOver != nil {
		t.tryHandOver()
	}
}

// relearn takes the versions of rows whose conditions failed: an earlier copy of a
// commit may have taken effect. It tells whether this is still the owner.
func (t *term) relearn(expected []table.Precondition, rows []table.Record) bool {
	found := map[table.RowKey]uint64{}
	for _, row := range rows {
		found[row.RowKey] = row.Revision
	}
	if found[ownerPlace()] != t.under {
		return false
	}
	for _, condition := range expected {
		if condition.RowKey != ownerPlace() && !strings.HasSuffix(condition.Key, suffixJob) {
			t.versions[condition.RowKey] = found[condition.RowKey]
		}
	}
	return true
}

// removeOld removes the rows of jobs that finished long ago.
func (t *term) removeOld() {
	b := &batch{began: time.Now(), change: table.Txn{Preconditions: []table.Precondition{t.guard()}}}
	for len(t.finished) > 0 && len(b.removed) < removalsACommit && time.Now().After(t.finished[0].remove) {
		id := t.finished[0].id
		t.finished = t.finished[1:]
		b.removed = append(b.removed, id)
		for _, suffix := range []string{suffixJob, suffixProgress, suffixCancel} {
			b.change.Removes = append(b.change.Removes, jobPlace(id, suffix))
		}
	}
	if len(b.removed) > 0 {
		t.apply(b)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
