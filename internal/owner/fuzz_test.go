package owner

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// badJobs are jobs of which none but the first can be scheduled as it is.
var badJobs = []string{
	`{"id":"j","under":9,"policy":{"service":"s","attempts":1},"steps":[{"count":2,"need":{"cpu":100}}]}`,
	`{"id":"j","under":9,"policy":{"service":"s"},"steps":[{"count":-1}]}`,
	`{"id":"j","under":9,"policy":{"service":"s"},"steps":[{"count":1,"after":[7]}]}`,
	`{"id":"j","under":9,"policy":{"service":"s"},"steps":[{"count":1,"after":[-1]}]}`,
	`{"id":"j","under":9,"policy":{"service":"s"},"steps":[{"count":1,"after":[0]}]}`,
	`{"id":"j","under":9,"policy":{"service":"s"},"steps":[{"count":1,"after":[1]},{"count":1,"after":[0]}]}`,
	`{"id":"j","under":9,"policy":{"service":"s"},"steps":[{"count":1,"need":{"cpu":-5,"mem":-1}}]}`,
	`{"id":"j","under":9,"policy":{"service":"s"},"first":1,"interval":-1,"repeat":-3,"steps":[{"count":1}]}`,
	`{"id":"j","under":9}`,
}

// onTerm runs a test on the loop of a term that has one instance, and plans afterwards. Planning
// and stored rows must survive whatever the test has passed to the term.
func onTerm(t *testing.T, test func(current *term, conn *Conn)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := loop.New(ctx)
	store, health := table.WithHealth(&table.Store{})
	elector := New(Settings{Name: "e0", Retention: time.Hour, Evacuations: Evacuations{Known: evacuation.New(zap.NewNop(), metrics.New())}}, store, health, l, zap.NewNop(), metrics.New(), func() int64 { return 1 << 40 }, func(Holder) {})
	near, far := net.Pipe()
	conn := NewConn()
	conn.Bind(link.New(ctx, near, "a", metrics.New(), link.RejectCalls))
	defer func() {
		cancel()
		_ = far.Close() // only ends the link
		l.Wait()
	}()
	err := l.Do(func() {
		current := newTerm(elector, Holder{Epoch: 2, OwnerRevision: 9}, elector.now())
		current.committing = true // the table of this test stores nothing
		registration := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "w", StartedAt: 1}, Service: "s", Capacity: dispatch.Resources{Processors: 8000, Memory: 8000}}
		current.handleAttach(conn, link.Attach{Registration: registration, Session: 1})
		current.scheduler.RowWritten(registration.Incarnation)
		if _, err := current.handleReport(conn, link.Report{Registration: &registration, Full: true}); err != nil {
			t.Error(err)
		}
		test(current, conn)
		current.scheduler.Trigger(1 << 40)
		current.scheduler.Plan(time.Now())
		current.scheduler.Dirty(10)
	})
	if err != nil {
		t.Error(err)
	}
}

// No call of another process ends the owner, whatever its parameters.
func FuzzCalls(f *testing.F) {
	methods := []string{link.MethodAttach, link.MethodReport, link.MethodAccepted, link.MethodCancelled, link.MethodKnown, link.MethodExplain}
	for _, job := range badJobs {
		f.Add(2, []byte(`{"job":`+job+`}`))
		f.Add(5, []byte(`{"job":`+job+`}`))
	}
	f.Add(1, []byte(`{"offer":{"life":{"id":"w","born":1},"service":"s"},"full":true,"running":[{"task":"j.0.0.1","run":3}]}`))
	f.Add(1, []byte(`{"offer":{"life":{"id":"w","born":1},"service":"s"},"ends":[{"task":"j.-1.7.99","run":-3}],"figures":[{}]}`))
	f.Add(0, []byte(`{"offer":{"life":{"id":"x","born":-1},"capacity":{"cpu":-9}},"session":7}`))
	f.Add(0, []byte(`{"offer":{"life":{"id":"x","born":9223372036854775807},"service":"s","capacity":{"cpu":9223372036854775807}},"session":7}`))
	f.Add(1, []byte(`{"life":{"id":"w","born":1},"lapsed":true,"silent":true,"underway":[{"task":"j.0.0.1","run":3,"remaining":9223372036854775807}]}`))
	f.Add(1, []byte(`{"life":{"id":"w","born":1},"evacuation":{"evacuated":true,"revision":18446744073709551615}}`))
	f.Add(1, []byte(`{"offer":{"life":{"id":"w","born":1},"service":"s","remaining":9223372036854775807,"leaving":true},"figures":[{"task":"j.0.0.1","v":1e308}]}`))
	f.Fuzz(func(t *testing.T, method int, params []byte) {
		onTerm(t, func(current *term, conn *Conn) {
			// A call with wrong parameters may fail.
			_, _ = current.handleCall(conn, methods[uint(method)%uint(len(methods))], params)
		})
	})
}

// No row of the table ends the owner, or the next one would end as well.
func FuzzRows(f *testing.F) {
	for _, job := range badJobs {
		f.Add("j"+suffixJob, []byte(job), "j"+suffixProgress, []byte(`{"occ":[{"done":["3","ffff"],"failed":{"7.-1":[1]},"saved":{"x":"y"}}]}`))
	}
	f.Add("j"+suffixJob, []byte(`{"id":"j","under":18446744073709551615,"policy":{"service":"s"},"steps":[{"count":1}]}`), "j"+suffixProgress, []byte(`null`))
	f.Add("w", []byte(`{"life":{"id":"x","born":9223372036854775807},"capacity":{"cpu":9223372036854775807}}`), "j"+suffixJob, []byte(`{"id":"k"}`))
	f.Add("j"+suffixJob, []byte(`{"id":"j","tombstone":true}`), "j"+suffixCancel, []byte(`{}`))
	f.Add("0", []byte(`[{"task":"j.-1.7.99","run":-3,"instance":"w","remaining":9223372036854775807}]`), "j"+suffixJob, []byte(badJobs[0]))
	f.Fuzz(func(t *testing.T, firstKey string, first []byte, secondKey string, second []byte) {
		onTerm(t, func(current *term, _ *Conn) {
			row := func(name, key string, value []byte) table.Record {
				return table.Record{RowKey: table.RowKey{Table: name, Partition: shardPartition, Key: key}, Value: value, Revision: 50}
			}
			current.restore(persistedRows{
				instances: []table.Record{row(tableInstances, firstKey, first)}, starts: []table.Record{row(tableStarts, firstKey, first)}, costs: []table.Record{row(tableCosts, firstKey, first)},
				jobs: []table.Record{row(tableJobs, firstKey, first), row(tableJobs, secondKey, second)},
			})
		})
	})
}
