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

// IdempotencyStore records keyed requests in the table, so that one key runs at most once
// through any entry. Begin tells false with what is known when the key was used
// before; its error means that nothing is known and the request must not run.
type IdempotencyStore struct {
	Begin func(ctx context.Context, workspace, key string) (begun bool, before record.IdempotencyKey, err error)
	End   func(workspace, key, outcome string, status int)
	Drop  func(workspace, key string)
}

// runKeyed runs a non-idempotent request with a key at most once.
func (h *Handler) runKeyed(ctx context.Context, w http.ResponseWriter, q *request) {
	begun, before, err := h.node.Key.Begin(ctx, q.workspace, q.key)
	switch {
	case err != nil:
		h.count(q, ledger.Refused, "platform out", err.Error())
		q.body.CloseUnlessEnded(w)
		h.log.Warn("key-unknown", zap.String("workspace", q.workspace), logs.Error(err))
		problem.New(http.StatusServiceUnavailable, problem.Refused, "key", "the platform cannot say whether the key was used: "+err.Error()).
			WithPeer("platform").WithRetryAfter(5 * time.Second).Write(w)
		return
	case !begun:
		h.metrics.Add("key-seen", 1)
		q.body.CloseUnlessEnded(w)
		seenBefore(before).WithPeer(h.name).Write(w)
		return
	}
	settled := false
	defer func() {
		if !settled {
			h.node.Key.End(q.workspace, q.key, problem.Unknown.String(), 0)
		}
	}()
	answered, status := h.run(ctx, w, q)
	settled = true
	switch {
	case answered:
		h.node.Key.End(q.workspace, q.key, problem.Done.String(), status)
	case w.Header().Get(problem.HeaderOutcome) == problem.Refused.String():
		h.node.Key.Drop(q.workspace, q.key)
	default:
		h.node.Key.End(q.workspace, q.key, problem.Unknown.String(), status)
	}
}

// seenBefore says what is known of the first request with a key.
func seenBefore(before record.IdempotencyKey) problem.Problem {
	switch before.Outcome {
	case problem.Done.String():
		return problem.New(http.StatusConflict, problem.Done, "key", "a request with this key was run before; its answer had status "+http.StatusText(before.Status))
	case "":
		return problem.New(http.StatusConflict, problem.Unknown, "key", "a request with this key is under way").WithRetryAfter(time.Second)
	}
	return problem.New(http.StatusConflict, problem.Unknown, "key", "what became of the first request with this key is not known")
}
