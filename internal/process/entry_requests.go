package process

import (
	"context"
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/caller"
	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/operator"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

// keyTimeout bounds the attempts to record the outcome of a request with an
// idempotency key.
const keyTimeout = 10 * time.Second

func (e *Entry) callerHooks() caller.Hooks {
	return caller.Hooks{
		Document: func() contract.Document { return *e.document.Load() },
		Pick:     e.pick,
		Finish: func(choice caller.Choice, end caller.AttemptResult) {
			e.loop.Post(func() { e.finishAttempt(choice, end) })
		},
		Count: func(c caller.Result) {
			e.loop.Post(func() { e.recordRequest(c) })
		},
		Revoke: func(ctx context.Context, choice caller.Choice, attempt string) (string, error) {
			return e.links.Revoke(ctx, choice.Instance, choice.Incarnation, attempt)
		},
		Idempotency: caller.IdempotencyStore{Begin: e.beginKey, End: e.endKey, Drop: e.dropKey},
	}
}

func (e *Entry) pick(tried []string) (caller.Choice, bool) {
	var choice caller.Choice
	found := false
	err := e.loop.Do(func() {
		if e.routingStopped {
			return
		}
		choice.Choice, found = e.routing.Pick(time.Now(), tried)
		if found {
			choice.GateAddress, found = e.links.GateAddress(choice.Instance)
		}
	})
	return choice, found && err == nil
}

// finishAttempt passes the result of an attempt, and the load reported with it, to the
// router.
func (e *Entry) finishAttempt(choice caller.Choice, end caller.AttemptResult) {
	now := time.Now()
	e.routing.Finish(now, choice.Instance, choice.Incarnation, end.Outcome, end.ServiceTime)
	if end.Load != nil {
		e.routing.Observe(now, choice.Instance, *end.Load)
	}
}

// recordRequest counts the outcome of a request in the ledger and logs it, so that the
// ledger can be recomputed from the log.
func (e *Entry) recordRequest(c caller.Result) {
	e.recorder.RecordOwed(c.Workspace, c.Class, 1)
	e.recorder.RecordOutcome(c.Workspace, c.Class, c.Outcome, c.Cause)
	if c.Outcome != ledger.Delivered {
		e.recorder.RecordNote(time.Now(), c.Workspace, c.Class, fmt.Sprintf("%s after %s, %s: %s", c.Outcome, c.Took.Round(time.Millisecond), c.Cause, c.Detail))
	}
	timed := c.Outcome == ledger.Delivered || c.Outcome == ledger.Late
	if timed {
		e.recorder.RecordLatency(c.Workspace, c.Class, c.Took)
	}
	if pass, left := e.sampler.Pass(); pass {
		e.log.Info(ledger.EventRequest, zap.String("workspace", c.Workspace), zap.String("class", c.Class),
			zap.Stringer("fate", c.Outcome), zap.String("cause", c.Cause), zap.Int64("us", c.Took.Microseconds()),
			zap.Bool("timed", timed), zap.Int("unlogged", left))
	}
}

func idempotencyRowKey(workspace, key string) string {
	return record.IdempotencyPrefix + workspace + "/" + key
}

// beginKey claims an idempotency key with a conditional insert. It reports whether the
// key was free; if not, it returns the key's existing row.
func (e *Entry) beginKey(ctx context.Context, workspace, key string) (bool, record.IdempotencyKey, error) {
	mine := record.IdempotencyKey{Commit: e.newID(), At: time.Now().UTC()}
	write, err := record.NewWrite(idempotencyRowKey(workspace, key), mine)
	if err != nil {
		return false, record.IdempotencyKey{}, err
	}
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	result, err := e.table.CommitRetry(callCtx, []table.Condition{{Key: write.Key, Revision: table.Absent}}, []table.Write{write})
	switch result.Outcome {
	case table.Committed:
		return true, record.IdempotencyKey{}, nil
	case table.Conflict:
		before, _, err := record.Get[record.IdempotencyKey](callCtx, e.table, write.Key)
		return false, before, err
	case table.Unknown:
	}
	return false, record.IdempotencyKey{}, err
}

// endKey records the outcome of a request with an idempotency key. Until the outcome is
// recorded, the key counts as in progress and its request is not run again.
func (e *Entry) endKey(workspace, key, outcome string, status int) {
	e.changeKey(workspace, key, func(before record.IdempotencyKey) table.Write {
		before.Outcome, before.Status = outcome, status
		// A row that was decoded from the table can always be encoded again.
		write, _ := record.NewWrite(idempotencyRowKey(workspace, key), before)
		return write
	})
}

// dropKey removes the idempotency key of a request that certainly was not run.
func (e *Entry) dropKey(workspace, key string) {
	e.changeKey(workspace, key, func(record.IdempotencyKey) table.Write {
		return table.Write{Key: idempotencyRowKey(workspace, key), Remove: true}
	})
}

func (e *Entry) changeKey(workspace, key string, change func(record.IdempotencyKey) table.Write) {
	e.loop.Go(func() {
		ctx, cancel := context.WithTimeout(e.loop.Context(), keyTimeout)
		defer cancel()
		before, revision, err := record.Get[record.IdempotencyKey](ctx, e.table, idempotencyRowKey(workspace, key))
		if err == nil && revision != table.Absent {
			write := change(before)
			_, err = e.table.CommitRetry(ctx, []table.Condition{{Key: write.Key, Revision: revision}}, []table.Write{write})
		}
		if err != nil {
			e.log.Warn("key-not-recorded", zap.String("workspace", workspace), zap.String("key", key), logs.Error(err))
		}
	})
}

func (e *Entry) operatorHooks() operator.Hooks {
	return operator.Hooks{
		Document:    func() contract.Document { return *e.document.Load() },
		LocalStatus: e.configVersions,
		Capacities:  e.capacities,
		Shards: func() int {
			count := 0
			e.runOnLoop(func() { count = e.shardManager.Count() })
			return count
		},
		OnDocument: func(document contract.Document) { e.runOnLoop(func() { e.applyConfig(document) }) },
		OnJob: func(of placement.Job) {
			e.runOnLoop(func() { e.recorder.RecordOwed(of.Workspace, of.Class, of.Tasks) })
		},
		NotifyInbox: func() { e.loop.Post(e.shardManager.PollInbox) },
		Flush: func(ctx context.Context) error {
			e.runOnLoop(func() { e.closeWindow(false) })
			return e.storeWindows(ctx)
		},
		Alive:         e.liveIncarnations,
		Evacuations:   e.evacuations,
		OnEvacuations: func(evacuations record.Evacuations) { e.runOnLoop(func() { e.applyEvacuations(evacuations) }) },
		Requests:      e.instanceRequests,
	}
}

func (e *Entry) configVersions() []operator.NodeVersion {
	list := []operator.NodeVersion{{Node: e.settings.Name, Role: "entry", Version: e.document.Load().Version}}
	e.runOnLoop(func() {
		for name, version := range e.links.ConfigVersions() {
			list = append(list, operator.NodeVersion{Node: name, Role: "agent", Version: version})
		}
	})
	return list
}

// capacities returns the capacities of the instances whose agents are linked to this
// entry.
func (e *Entry) capacities() []placement.Resources {
	var list []placement.Resources
	e.runOnLoop(func() {
		for _, a := range e.links.Announcements() {
			list = append(list, a.Capacity.Resources())
		}
	})
	return list
}

// liveIncarnations returns the incarnations of live entries, this one included. Each of
// them still holds an open ledger window.
func (e *Entry) liveIncarnations(context.Context) map[string]bool {
	liveIncarnations := map[string]bool{e.incarnation: true}
	e.runOnLoop(func() {
		for _, other := range e.entries {
			if time.Since(other.changedAt) < entryTimeout {
				liveIncarnations[other.row.Incarnation] = true
			}
		}
	})
	return liveIncarnations
}

// oldestWindow returns the oldest closed window that is not stored yet, and whether
// there is one.
func (e *Entry) oldestWindow() (ledger.Window, bool) {
	var window ledger.Window
	found := false
	e.runOnLoop(func() {
		if len(e.pendingWindows) > 0 {
			window, found = e.pendingWindows[0], true
		}
	})
	return window, found
}
