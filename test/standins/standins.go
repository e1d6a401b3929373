// Package standins serves stand-ins of the store and of workers over HTTP, in the platform's protocol, to
// tests that start real processes.
package standins

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

// Messages of the platform's protocol, with the fields that the stand-ins use.
type (
	row struct {
		Table     string `json:"table"`
		Partition string `json:"part"`
		Key       string `json:"key"`
		Value     []byte `json:"value"`
		Revision  uint64 `json:"ver,omitempty"`
		Removed   bool   `json:"removed,omitempty"`
	}
	rowsReply struct {
		Rows     []row  `json:"rows"`
		Revision uint64 `json:"ver"`
	}
	txnRequest struct {
		Expected []row `json:"expected_rev"`
		Writes   []row `json:"writes"`
		Deletes  []row `json:"deletes"`
	}
	workerRequest struct {
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

// rowKey returns the key of a row.
func (r row) rowKey() table.RowKey {
	return table.RowKey{Table: r.Table, Partition: r.Partition, Key: r.Key}
}

// encodeRows encodes records of the store for a reply.
func encodeRows(records []table.Record, revision uint64) rowsReply {
	reply := rowsReply{Rows: []row{}, Revision: revision}
	for _, c := range records {
		reply.Rows = append(reply.Rows, row{c.Table, c.Partition, c.Key, c.Value, c.Revision, c.Removed})
	}
	return reply
}

// writeReply writes a reply with a JSON body.
func writeReply(w http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	// The caller may have disconnected.
	_, _ = w.Write(content)
}

// hang blocks until the caller gives up the request, and then aborts it without a reply.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// StoreHandler serves the stand-in store to one process over HTTP.
func StoreHandler(store *table.Store) http.Handler {
	mux := http.NewServeMux()
	writeError := func(w http.ResponseWriter, r *http.Request, err error) {
		switch {
		case errors.Is(err, table.ErrRefused):
			writeReply(w, http.StatusServiceUnavailable, struct{}{})
		case errors.Is(err, table.ErrCompacted):
			writeReply(w, http.StatusGone, struct{}{})
		default:
			hang(r)
		}
	}
	mux.HandleFunc("GET /api/rows-get", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		records, revision, err := store.Read(r.Context(), table.Range{Table: q.Get("table"), Partition: q.Get("part"), From: q.Get("from"), To: q.Get("to")})
		if err != nil {
			writeError(w, r, err)
			return
		}
		writeReply(w, http.StatusOK, encodeRows(records, revision))
	})
	mux.HandleFunc("GET /api/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		changes, err := store.Watch(r.Context(), q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		if err != nil {
			writeError(w, r, err)
			return
		}
		writeReply(w, http.StatusOK, encodeRows(changes.Rows, changes.Revision))
	})
	mux.HandleFunc("POST /api/rows-tx", func(w http.ResponseWriter, r *http.Request) {
		var request txnRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			writeReply(w, http.StatusBadRequest, struct{}{})
			return
		}
		var txn table.Txn
		for _, e := range request.Expected {
			txn.Preconditions = append(txn.Preconditions, table.Precondition{RowKey: e.rowKey(), Revision: e.Revision})
		}
		for _, s := range request.Writes {
			txn.Puts = append(txn.Puts, table.Put{RowKey: s.rowKey(), Value: s.Value})
		}
		for _, d := range request.Deletes {
			txn.Removes = append(txn.Removes, d.rowKey())
		}
		result, err := store.Apply(r.Context(), txn)
		switch result.Outcome {
		case table.Committed:
			writeReply(w, http.StatusOK, encodeRows(nil, result.Revision))
		case table.Conflict:
			writeReply(w, http.StatusPreconditionFailed, encodeRows(result.Rows, result.Revision))
		default:
			writeError(w, r, err)
		}
	})
	return mux
}

// encodeEndReason returns the end reason of a run as a worker reports it.
func encodeEndReason(reason dispatch.EndReason) string { return reason.String() }

// statusCodes maps the status of a reply of a worker to its HTTP status code.
var statusCodes = map[runner.Status]int{
	runner.Applied: http.StatusOK, runner.Rejected: http.StatusConflict,
	runner.Unhealthy: http.StatusServiceUnavailable, runner.WrongIncarnation: http.StatusMisdirectedRequest,
}

// WorkerHandler serves a stand-in worker to its agent over HTTP.
func WorkerHandler(worker *testcluster.Worker) http.Handler {
	calls := worker.Calls()
	mux := http.NewServeMux()
	handle := func(path string, execute func(ctx context.Context, incarnation dispatch.Incarnation, request workerRequest, name dispatch.TaskName) (runner.PollResult, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var request workerRequest
			if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
				writeReply(w, http.StatusBadRequest, struct{}{})
				return
			}
			name, _ := dispatch.ParseTaskName(request.Task)
			result, err := execute(r.Context(), dispatch.Incarnation{ID: r.Header.Get("Expected-Instance")}, request, name)
			if err != nil {
				hang(r)
			}
			running, ended := [][]any{}, [][]any{}
			for _, l := range result.Running {
				running = append(running, []any{l.Task.String(), l.Run, l.Checkpoint, 100, 0})
			}
			for _, e := range result.Ended {
				ended = append(ended, []any{e.Sequence, e.Task.String(), e.Run, encodeEndReason(e.Reason), e.Checkpoint})
			}
			writeReply(w, statusCodes[result.Status], map[string]any{
				"clock_ms": result.Clock, "born": result.StartedAt, "reason": result.Reason, "running": running, "ended": ended,
			})
		})
	}
	handle("/api/run-start", func(ctx context.Context, incarnation dispatch.Incarnation, request workerRequest, name dispatch.TaskName) (runner.PollResult, error) {
		a, err := calls.Start(ctx, runner.StartCall{Incarnation: incarnation, Fence: request.Fence, LeaseDeadline: request.LeaseDeadline, Task: name, Run: request.Run, Payload: request.Payload, Checkpoint: request.Checkpoint})
		return runner.PollResult{Answer: a, Clock: a.AnsweredAt}, err
	})
	handle("/api/run-stop", func(ctx context.Context, incarnation dispatch.Incarnation, request workerRequest, name dispatch.TaskName) (runner.PollResult, error) {
		a, err := calls.Stop(ctx, runner.StopCall{Incarnation: incarnation, Fence: request.Fence, Task: name, Run: request.Run})
		return runner.PollResult{Answer: a, Clock: a.AnsweredAt}, err
	})
	handle("/api/pace", func(ctx context.Context, incarnation dispatch.Incarnation, request workerRequest, name dispatch.TaskName) (runner.PollResult, error) {
		a, err := calls.SetPace(ctx, runner.PaceCall{Incarnation: incarnation, Fence: request.Fence, Task: name, Run: request.Run, Pace: request.Pace})
		return runner.PollResult{Answer: a, Clock: a.AnsweredAt}, err
	})
	handle("/api/hold", func(ctx context.Context, incarnation dispatch.Incarnation, request workerRequest, _ dispatch.TaskName) (runner.PollResult, error) {
		return calls.Poll(ctx, runner.PollCall{Incarnation: incarnation, Fence: request.Fence, LeaseDeadline: request.LeaseDeadline, Acked: request.Acked, Wait: request.Wait})
	})
	return mux
}
