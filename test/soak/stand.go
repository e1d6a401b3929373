package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/runner"
	"github.com/apricotwind/apricotwind/internal/testcluster"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// Shapes of the platform's messages, as far as the stand-ins speak them.
type (
	row struct {
		Table     string `json:"table"`
		Partition string `json:"part"`
		Key       string `json:"key"`
		Value     []byte `json:"value"`
		Revision  uint64 `json:"ver,omitempty"`
		Removed   bool   `json:"removed,omitempty"`
	}
	rowsAnswer struct {
		Rows     []row  `json:"rows"`
		Revision uint64 `json:"ver"`
	}
	change struct {
		Expected []row `json:"expected_rev"`
		Writes   []row `json:"writes"`
		Deletes  []row `json:"deletes"`
	}
	order struct {
		Task          string `json:"task"`
		Run           int64  `json:"run"`
		Payload       string `json:"spec"`
		LeaseDeadline int64  `json:"until_ms"`
		Fence         uint64 `json:"fence"`
		Checkpoint    string `json:"checkpoint_data"`
		Pace          int    `json:"percent"`
		Acked         int64  `json:"last_seen"`
		Wait          int64  `json:"wait_ms"`
	}
)

func (r row) place() table.RowKey {
	return table.RowKey{Table: r.Table, Partition: r.Partition, Key: r.Key}
}

func rowsOf(cells []table.Record, version uint64) rowsAnswer {
	answer := rowsAnswer{Rows: []row{}, Revision: version}
	for _, c := range cells {
		answer.Rows = append(answer.Rows, row{c.Table, c.Partition, c.Key, c.Value, c.Revision, c.Removed})
	}
	return answer
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	// Whoever asked may be gone.
	_, _ = w.Write(text)
}

// silence keeps a call without an answer until its caller gives up.
func silence(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// storeHandler serves the store to one process over HTTP.
func storeHandler(store *table.Store) http.Handler {
	mux := http.NewServeMux()
	fail := func(w http.ResponseWriter, r *http.Request, err error) {
		switch {
		case errors.Is(err, table.ErrRefused):
			answer(w, http.StatusServiceUnavailable, struct{}{})
		case errors.Is(err, table.ErrCompacted):
			answer(w, http.StatusGone, struct{}{})
		default:
			silence(r)
		}
	}
	mux.HandleFunc("GET /api/rows-get", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		cells, version, err := store.Read(r.Context(), table.Range{Table: q.Get("table"), Partition: q.Get("part"), From: q.Get("from"), To: q.Get("to")})
		if err != nil {
			fail(w, r, err)
			return
		}
		answer(w, http.StatusOK, rowsOf(cells, version))
	})
	mux.HandleFunc("GET /api/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		feed, err := store.Watch(r.Context(), q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		if err != nil {
			fail(w, r, err)
			return
		}
		answer(w, http.StatusOK, rowsOf(feed.Rows, feed.Revision))
	})
	mux.HandleFunc("POST /api/rows-tx", func(w http.ResponseWriter, r *http.Request) {
		var c change
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		var to table.Txn
		for _, e := range c.Expected {
			to.Preconditions = append(to.Preconditions, table.Precondition{RowKey: e.place(), Revision: e.Revision})
		}
		for _, s := range c.Writes {
			to.Puts = append(to.Puts, table.Put{RowKey: s.place(), Value: s.Value})
		}
		for _, d := range c.Deletes {
			to.Removes = append(to.Removes, d.place())
		}
		applied, err := store.Apply(r.Context(), to)
		switch applied.Outcome {
		case table.Committed:
			answer(w, http.StatusOK, rowsOf(nil, applied.Revision))
		case table.Conflict:
			answer(w, http.StatusPreconditionFailed, rowsOf(applied.Rows, applied.Revision))
		default:
			fail(w, r, err)
		}
	})
	return mux
}

// howOf spells the ends of runs as a worker does.
func howOf(how dispatch.EndReason) string { return how.String() }

// statuses are the answers of a worker, by kind.
var statuses = map[runner.Status]int{
	runner.Applied: http.StatusOK, runner.Rejected: http.StatusConflict,
	runner.Unhealthy: http.StatusServiceUnavailable, runner.WrongIncarnation: http.StatusMisdirectedRequest,
}

// workerHandler serves a worker to the agent beside it over HTTP.
func workerHandler(worker *testcluster.Worker) http.Handler {
	calls := worker.Calls()
	mux := http.NewServeMux()
	handle := func(path string, do func(ctx context.Context, life dispatch.Incarnation, o order, name dispatch.TaskName) (runner.PollResult, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var o order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				answer(w, http.StatusBadRequest, struct{}{})
				return
			}
			name, _ := dispatch.ParseTaskName(o.Task)
			lists, err := do(r.Context(), dispatch.Incarnation{ID: r.Header.Get("Expected-Instance")}, o, name)
			if err != nil {
				silence(r)
			}
			running, ended := [][]any{}, [][]any{}
			for _, l := range lists.Running {
				running = append(running, []any{l.Task.String(), l.Run, l.Checkpoint, 100, 0})
			}
			for _, e := range lists.Ended {
				ended = append(ended, []any{e.Sequence, e.Task.String(), e.Run, howOf(e.Reason), e.Checkpoint})
			}
			answer(w, statuses[lists.Status], map[string]any{
				"clock_ms": lists.Clock, "born": lists.StartedAt, "reason": lists.Reason, "running": running, "ended": ended,
			})
		})
	}
	handle("/api/run-start", func(ctx context.Context, life dispatch.Incarnation, o order, name dispatch.TaskName) (runner.PollResult, error) {
		a, err := calls.Start(ctx, runner.StartCall{Incarnation: life, Fence: o.Fence, LeaseDeadline: o.LeaseDeadline, Task: name, Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint})
		return runner.PollResult{Answer: a}, err
	})
	handle("/api/run-stop", func(ctx context.Context, life dispatch.Incarnation, o order, name dispatch.TaskName) (runner.PollResult, error) {
		a, err := calls.Stop(ctx, runner.StopCall{Incarnation: life, Fence: o.Fence, Task: name, Run: o.Run})
		return runner.PollResult{Answer: a}, err
	})
	handle("/api/pace", func(ctx context.Context, life dispatch.Incarnation, o order, name dispatch.TaskName) (runner.PollResult, error) {
		a, err := calls.SetPace(ctx, runner.PaceCall{Incarnation: life, Fence: o.Fence, Task: name, Run: o.Run, Pace: o.Pace})
		return runner.PollResult{Answer: a}, err
	})
	handle("/api/hold", func(ctx context.Context, life dispatch.Incarnation, o order, _ dispatch.TaskName) (runner.PollResult, error) {
		return calls.Poll(ctx, runner.PollCall{Incarnation: life, Fence: o.Fence, LeaseDeadline: o.LeaseDeadline, Acked: o.Acked, Wait: o.Wait})
	})
	return mux
}
