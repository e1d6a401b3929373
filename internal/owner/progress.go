package owner

import (
	"encoding/json"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/cockroachdb/errors"
)

// putProgress adds the unsaved progress of at most maxJobs jobs to b, as far as it fits. If that
// covers all unsaved progress, b also acknowledges all ends recorded so far. The progress of a job that
// fits into no row waits, and does not keep that of other jobs from the table.
func (t *term) putProgress(b *batch, maxJobs int) {
	changes := t.scheduler.Dirty(maxJobs + 1)
	complete := len(changes) <= maxJobs
	var failed error
	for _, change := range changes[:min(len(changes), maxJobs)] {
		value, err := t.encodeProgress(change)
		if err != nil {
			complete, failed = false, err
			continue
		}
		if b.bytes+len(value) > maxCommitBytes {
			complete = false
			break
		}
		t.putValue(b, jobRowKey(change.Job, suffixProgress), value)
		b.jobs = append(b.jobs, change)
	}
	t.progressFailures.Note(failed)
	if complete {
		b.acks = t.pendingAcks()
	}
}

// encodeProgress encodes the progress of a job. If it does not fit into a row otherwise, occurrences that
// are done are only counted and, if that is not enough, some of the checkpoints are left out: they save
// work, but only if the owner changes.
func (t *term) encodeProgress(change dispatch.ProgressChange) ([]byte, error) {
	value, err := json.Marshal(change.Progress)
	if err == nil && len(value) > maxRowBytes {
		change.Progress.Compact()
		value, err = json.Marshal(change.Progress)
	}
	if excess := len(value) - maxRowBytes; err == nil && excess > 0 {
		t.elector.registry.Add("checkpoints-not-stored", int64(change.Progress.DropCheckpoints(excess)))
		value, err = json.Marshal(change.Progress)
	}
	if err == nil && len(value) > maxRowBytes {
		err = errors.Newf("%d bytes, at most %d fit into a row", len(value), maxRowBytes)
	}
	return value, errors.Wrapf(err, "progress of job %s", change.Job)
}
