package ledger

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Log events that the ledger counts. EventTask is a prefix of event names.
const (
	EventRequest = "answer"
	EventJob     = "job-accepted"
	EventTask    = "task-"
)

// FromLog computes a report from the log lines of all entries. The report equals the one
// from the stored windows if the logs are complete. FromLog fails on an answer event whose
// field unlogged states that sampling omitted events before it, and on a line that states that
// lines were dropped.
func FromLog(log io.Reader, document contract.Document) (Report, error) {
	recorder := New(time.Time{}, "log", "log")
	lines := logfmt.NewDecoder(log)
	for number := 1; lines.ScanRecord(); number++ {
		fields := map[string]string{}
		for lines.ScanKeyval() {
			fields[string(lines.Key())] = string(lines.Value())
		}
		if err := recorder.countLine(fields); err != nil {
			return Report{}, errors.Wrapf(err, "line %d", number)
		}
	}
	if err := lines.Err(); err != nil {
		return Report{}, errors.Wrap(err, "read log")
	}
	window, err := recorder.Rotate(time.Time{}, document.Version, true)
	if err != nil {
		return Report{}, err
	}
	return Build(Query{}, document, []Window{window}, nil)
}

// countLine counts the event of one log line.
func (r *Recorder) countLine(fields map[string]string) error {
	if left := fields["unlogged"]; left != "" && left != "0" && fields["event"] == EventRequest {
		return errors.Newf("%s answer events before this line were not logged: the log was sampled", left)
	}
	if fields["event"] == logs.EventDropped {
		return errors.Newf("%s lines before this line were dropped: the log is incomplete", fields["lines"])
	}
	workspace, class := fields["workspace"], fields["class"]
	switch event := fields["event"]; {
	case event == EventRequest:
		r.RecordOwed(workspace, class, 1)
		return r.countRequest(workspace, class, fields)
	case event == EventJob:
		n, err := strconv.Atoi(fields["tasks"])
		r.RecordOwed(workspace, class, n)
		return errors.Wrap(err, "tasks")
	case strings.HasPrefix(event, EventTask) && fields["move"] != "":
		r.RecordMove(workspace, class, fields["move"])
	case strings.HasPrefix(event, EventTask) && fields["fate"] != "":
		return r.countOutcome(workspace, class, fields)
	}
	return nil
}

func (r *Recorder) countRequest(workspace, class string, fields map[string]string) error {
	if fields["timed"] == "true" {
		us, err := strconv.ParseInt(fields["us"], 10, 64)
		if err != nil {
			return errors.Wrap(err, "us")
		}
		r.RecordLatency(workspace, class, time.Duration(us)*time.Microsecond)
	}
	return r.countOutcome(workspace, class, fields)
}

func (r *Recorder) countOutcome(workspace, class string, fields map[string]string) error {
	for _, outcome := range Outcomes() {
		if outcome.String() == fields["fate"] {
			r.RecordOutcome(workspace, class, outcome, fields["cause"])
			return nil
		}
	}
	return errors.Newf("field fate: %q is not a known outcome", fields["fate"])
}
