package ledger

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Events of the log that the ledger counts. EventTask is the begin of an event.
const (
	EventAnswer = "answer"
	EventJob    = "job-accepted"
	EventTask   = "task-"
)

// FromLog computes a report from the log lines of all entries. It agrees with the
// one from the stored windows if the logs are whole; a line that says lines before
// it were left out is an error.
func FromLog(from io.Reader, document contract.Document) (Report, error) {
	book := New(time.Time{}, "log", "log")
	lines := logfmt.NewDecoder(from)
	for number := 1; lines.ScanRecord(); number++ {
		fields := map[string]string{}
		for lines.ScanKeyval() {
			fields[string(lines.Key())] = string(lines.Value())
		}
		if err := book.takeLine(fields); err != nil {
			return Report{}, errors.Wrapf(err, "line %d", number)
		}
	}
	if err := lines.Err(); err != nil {
		return Report{}, errors.Wrap(err, "read log")
	}
	window, err := book.Rotate(time.Time{}, document.Version, true)
	if err != nil {
		return Report{}, err
	}
	return Build(Query{}, document, []Window{window}, nil)
}

// takeLine counts what one line of the log says.
func (b *Recorder) takeLine(f map[string]string) error {
	if left := f["unlogged"]; left != "" && left != "0" && f["event"] == EventAnswer {
		return errors.Newf("%s answers before it were not logged: the log was sampled", left)
	}
	workspace, class := f["workspace"], f["class"]
	switch event := f["event"]; {
	case event == EventAnswer:
		b.Owe(workspace, class, 1)
		return b.takeAnswer(workspace, class, f)
	case event == EventJob:
		n, err := strconv.Atoi(f["tasks"])
		b.Owe(workspace, class, n)
		return errors.Wrap(err, "tasks")
	case strings.HasPrefix(event, EventTask) && f["move"] != "":
		b.Move(workspace, class, f["move"])
	case strings.HasPrefix(event, EventTask) && f["fate"] != "":
		return b.takeFate(workspace, class, f)
	}
	return nil
}

func (b *Recorder) takeAnswer(workspace, class string, f map[string]string) error {
	if f["timed"] == "true" {
		us, err := strconv.ParseInt(f["us"], 10, 64)
		if err != nil {
			return errors.Wrap(err, "us")
		}
		b.RecordLatency(workspace, class, time.Duration(us)*time.Microsecond)
	}
	return b.takeFate(workspace, class, f)
}

func (b *Recorder) takeFate(workspace, class string, f map[string]string) error {
	for _, fate := range Outcomes() {
		if fate.String() == f["fate"] {
			b.RecordOutcome(workspace, class, fate, f["cause"])
			return nil
		}
	}
	return errors.Newf("%q is no fate", f["fate"])
}
