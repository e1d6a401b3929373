package owner

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/cockroachdb/errors"
)

// handleCall handles a call to the owner. It runs on the loop.
func (t *term) handleCall(conn *Conn, method string, params []byte) (any, error) {
	switch method {
	case link.MethodAttach:
		attach, err := link.Decode[link.Attach](params)
		if err != nil {
			return nil, err
		}
		if attach.Vacant {
			return t.handleVacant(attach), nil
		}
		if err := attach.Registration.Validate(time.Now()); err != nil {
			return nil, errors.Wrap(err, "attach")
		}
		if attach.LeasesExpired {
			return t.handleExpired(attach), nil
		}
		if t.attaches == link.MaxAttaches {
			// The next claim, which may be of this process, has an epoch and tokens of its own.
			t.elector.stepDown("the fencing tokens of the epoch are used up")
			return nil, ErrNotOwner
		}
		return t.handleAttach(conn, attach), nil
	case link.MethodReport:
		report, err := link.Decode[link.Report](params)
		if err != nil {
			return nil, err
		}
		return t.handleReport(conn, report)
	case link.MethodAccepted:
		accepted, err := link.Decode[link.Accepted](params)
		if err == nil && accepted.Job.OwnerRevision == t.ownerRevision {
			t.accept(&accepted.Job, nil)
		}
		return nil, err
	case link.MethodCancelled:
		cancelled, err := link.Decode[link.Cancelled](params)
		if err == nil {
			t.cancel(cancelled.ID)
		}
		return nil, err
	case link.MethodKnown:
		job, err := link.Decode[link.JobID](params)
		if err != nil {
			return nil, err
		}
		return t.known(job.ID), nil
	case link.MethodExplain:
		asked, err := link.Decode[link.Explain](params)
		if err != nil {
			return nil, err
		}
		return t.explain(&asked)
	case link.MethodBacklog:
		return link.Backlog{Counts: t.scheduler.Backlog()}, nil
	}
	return nil, errors.Newf("unknown method %s", method)
}

// known returns what the scheduler knows of a job. It reports a final state only if that
// state is in the table, and Running for every other known job, started or not.
func (t *term) known(id string) link.Known {
	if state, done := t.scheduler.Finished(id); done {
		return link.Known{Known: true, State: state}
	}
	return link.Known{Known: t.scheduler.Active(id), State: dispatch.Running}
}

// explain explains where the tasks of a job would go now. It changes nothing.
func (t *term) explain(asked *link.Explain) (link.Explained, error) {
	if err := asked.Validate(); err != nil {
		return link.Explained{}, err
	}
	if asked.Job != nil {
		return link.Explained{Known: true, Explanation: t.scheduler.ExplainDescribed(time.Now(), asked.Job)}, nil
	}
	explanation, known := t.scheduler.Explain(time.Now(), asked.ID)
	return link.Explained{Known: known, Explanation: explanation}, nil
}
