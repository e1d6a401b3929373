package owner

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/durations"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// learnedDurations returns the state of a model that has seen steps of a queue.
func learnedDurations(queue string) durations.State {
	m := durations.New()
	for step := range 10 {
		runs := &durations.Runs{}
		runs.Add(time.Duration(3000+100*step)*time.Millisecond, 0)
		m.Observe(durations.Class{Queue: queue, Image: "f"}, time.Second, runs)
	}
	return m.State()
}

// The next term restores what a term has written. A term writes the row again once it has changed, or
// after a commit that the table did not answer.
func TestDurationsPassFromTermToTerm(t *testing.T) {
	first, b := newTestTerm(nil), &batch{}
	first.scheduler.RestoreDurations(learnedDurations("q"))
	first.putDurations(b)
	if len(b.txn.Puts) != 1 || b.txn.Puts[0].RowKey != durationsRowKey() {
		t.Fatalf("rows written: %v, want the durations row", b.txn.Puts)
	}
	next := newTestTerm(nil)
	next.restoreCosts([]table.Record{{RowKey: durationsRowKey(), Value: b.txn.Puts[0].Value}})
	if diff := cmp.Diff(learnedDurations("q"), next.scheduler.LearnedDurations()); diff != "" {
		t.Errorf("restored durations (-want +got):\n%s", diff)
	}
	later := func() { first.durationsComparedAt = time.Now().Add(-costsPeriod) }
	steps := []struct {
		name    string
		prepare func()
		want    int
	}{
		{"not answered, too early", func() {}, 0},
		{"not answered, later", later, 1},
		{"unchanged, later", func() { first.recordPut(b.txn.Puts[0], 10); later() }, 0},
		{"changed, too early", func() { first.scheduler.RestoreDurations(learnedDurations("other")) }, 0},
		{"changed, later", later, 1},
	}
	for _, step := range steps {
		step.prepare()
		again := &batch{}
		first.putDurations(again)
		if got := len(again.txn.Puts); got != step.want {
			t.Errorf("%s: %d rows written, want %d", step.name, got, step.want)
		}
	}
}

// A row of durations that is torn, odd or of another form changes nothing but its one log line, and
// the costs beside it are restored.
func TestAnOddDurationsRowIsIgnored(t *testing.T) {
	for _, odd := range []string{
		``, `{"queues":[{"queue":"q","fit":[1,2`, `[]`, `7`, `{"queues":7}`, `{}`, `null`, `{"queues":[{"queue":"q"}]}`,
		`{"queues":[{"queue":"q","fit":[-1,0,0,0,0,0,0,0],"steps":[],"tasks":[]}]}`, `{"queues":[{"queue":"q","fit":[1e400]}]}`,
	} {
		core, lines := observer.New(zapcore.InfoLevel)
		next := newTestTerm(nil)
		next.log = zap.New(core)
		next.restoreCosts([]table.Record{
			{RowKey: durationsRowKey(), Value: []byte(odd)}, {RowKey: costsRowKey(), Value: []byte(`[{"s":"a","f":"b","m":0.1,"d":0.01}]`)},
		})
		if known := next.scheduler.LearnedDurations(); len(known.Queues) > 0 || len(next.scheduler.LearnedCosts(9)) != 1 {
			t.Errorf("%s: restored %v", odd, known)
		}
		if lines.Len() != 2 {
			t.Errorf("%s: %d log lines, want 2", odd, lines.Len())
		}
	}
}
