package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/internal/record"
	"go.uber.org/zap"
)

// IdempotencyStore records requests with an idempotency key in the table, so that a
// request with one key runs at most once across all entries. Begin claims a key; if the
// key was used before, it reports false with the recorded state. An error of Begin
// means that the state is not known and the request must not run. End records the
// outcome (that of package problem, as text) and the status of a request. Drop removes
// the key of a request that was not run. The functions must be safe for concurrent use.
type IdempotencyStore struct {
	Begin func(ctx context.Context, workspace, key string) (begun bool, before record.IdempotencyKey, err error)
	End   func(workspace, key, outcome string, status int)
	Drop  func(workspace, key string)
}

// runKeyed runs a non-idempotent request with an idempotency key at most once.
func (h *Handler) runKeyed(ctx context.Context, w http.ResponseWriter, req *request) {
	begun, before, err := h.hooks.Idempotency.Begin(ctx, req.workspace, req.key)
	switch {
	case err != nil:
		h.count(req, ledger.Refused, "platform out", err.Error())
		req.body.CloseUnlessEnded(w)
		h.log.Warn("key-unknown", zap.String("workspace", req.workspace), logs.Error(err))
		problem.New(http.StatusServiceUnavailable, problem.Refused, "key", "the platform cannot say whether the key was used: "+err.Error()).
			WithPeer("platform").WithRetryAfter(5 * time.Second).Write(w)
		return
	case !begun:
		h.metrics.Add("key-seen", 1)
		req.body.CloseUnlessEnded(w)
		duplicateKey(before).WithPeer(h.name).Write(w)
		return
	}
	recorded := false
	defer func() {
		if !recorded {
			h.hooks.Idempotency.End(req.workspace, req.key, problem.Unknown.String(), 0)
		}
	}()
	answered, status := h.run(ctx, w, req)
	recorded = true
	switch {
	case answered:
		h.hooks.Idempotency.End(req.workspace, req.key, problem.Done.String(), status)
	case w.Header().Get(problem.HeaderOutcome) == problem.Refused.String():
		h.hooks.Idempotency.Drop(req.workspace, req.key)
	default:
		h.hooks.Idempotency.End(req.workspace, req.key, problem.Unknown.String(), status)
	}
}

// duplicateKey returns the problem for a key that was used before, with the recorded
// outcome of the first request.
func duplicateKey(before record.IdempotencyKey) problem.Problem {
	switch before.Outcome {
	case problem.Done.String():
		return problem.New(http.StatusConflict, problem.Done, "key", "a request with this key was run before; its answer had status "+http.StatusText(before.Status))
	case "":
		return problem.New(http.StatusConflict, problem.Unknown, "key", "a request with this key is under way").WithRetryAfter(time.Second)
	}
	return problem.New(http.StatusConflict, problem.Unknown, "key", "what became of the first request with this key is not known")
}
