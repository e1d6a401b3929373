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

// keyBound is how long the end of a keyed request is tried to be recorded.
const keyBound = 10 * time.Second

func (e *Entry) callerNode() caller.Hooks {
	return caller.Hooks{
		Document: func() contract.Document { return *e.document.Load() },
		Pick:     e.pick,
		Finish: func(choice caller.Choice, end caller.AttemptResult) {
			e.loop.Post(func() { e.finish(choice, end) })
		},
		Count: func(c caller.Result) {
			e.loop.Post(func() { e.countRequest(c) })
		},
		Revoke: func(ctx context.Context, choice caller.Choice, attempt string) (string, error) {
			return e.links.Revoke(ctx, choice.Instance, choice.Incarnation, attempt)
		},
		Key: caller.IdempotencyStore{Begin: e.beginKey, End: e.endKey, Drop: e.dropKey},
	}
}

func (e *Entry) pick(tried []string) (caller.Choice, bool) {
	var choice caller.Choice
	found := false
	err := e.loop.Do(func() {
		if e.leaving {
			return
		}
		choice.Choice, found = e.routing.Pick(time.Now(), tried)
		if found {
			choice.GateAddress, found = e.links.GateAddress(choice.Instance)
		}
	})
	return choice, found && err == nil
}

// finish takes the end of an attempt and the load reported with it.
func (e *Entry) finish(choice caller.Choice, end caller.AttemptResult) {
	now := time.Now()
	e.routing.Finish(now, choice.Instance, choice.Incarnation, end.Outcome, end.ServiceTime)
	if end.Load != nil {
		e.routing.Observe(now, choice.Instance, *end.Load)
	}
}

// countRequest counts what became of a request, and logs it so that the ledger can
// be computed again from the log.
func (e *Entry) countRequest(c caller.Result) {
	e.book.Owe(c.Workspace, c.Class, 1)
	e.book.RecordOutcome(c.Workspace, c.Class, c.Outcome, c.Cause)
	if c.Outcome != ledger.Delivered {
		e.book.Note(time.Now(), c.Workspace, c.Class, fmt.Sprintf("%s after %s, %s: %s", c.Outcome, c.Took.Round(time.Millisecond), c.Cause, c.Detail))
	}
	timed := c.Outcome == ledger.Delivered || c.Outcome == ledger.Late
	if timed {
		e.book.RecordLatency(c.Workspace, c.Class, c.Took)
	}
	if pass, left := e.sampler.Pass(); pass {
		e.log.Info(ledger.EventAnswer, zap.String("workspace", c.Workspace), zap.String("class", c.Class),
			zap.Stringer("fate", c.Outcome), zap.String("cause", c.Cause), zap.Int64("us", c.Took.Microseconds()),
			zap.Bool("timed", timed), zap.Int("unlogged", left))
	}
}

func keyOf(workspace, key string) string { return record.IdempotencyPrefix + workspace + "/" + key }

// beginKey claims a key by a conditional insert.
func (e *Entry) beginKey(ctx context.Context, workspace, key string) (bool, record.IdempotencyKey, error) {
	mine := record.IdempotencyKey{Attempt: e.unique(), At: time.Now().UTC()}
	write, err := record.NewWrite(keyOf(workspace, key), mine)
	if err != nil {
		return false, record.IdempotencyKey{}, err
	}
	bounded, cancel := context.WithTimeout(ctx, platformBound)
	defer cancel()
	result, err := e.table.CommitRetry(bounded, []table.Condition{{Key: write.Key, Revision: table.Absent}}, []table.Write{write})
	switch result.Outcome {
	case table.Committed:
		return true, record.IdempotencyKey{}, nil
	case table.Conflict:
		before, _, err := record.Get[record.IdempotencyKey](bounded, e.table, write.Key)
		return false, before, err
	case table.Unknown:
	}
	return false, record.IdempotencyKey{}, err
}

// endKey records what became of a keyed request; while it is not recorded, the key
// counts as under way and is not run again.
func (e *Entry) endKey(workspace, key, outcome string, status int) {
	e.changeKey(workspace, key, func(before record.IdempotencyKey) table.Write {
		before.Outcome, before.Status = outcome, status
		// A row that was read back can be written again.
		write, _ := record.NewWrite(keyOf(workspace, key), before)
		return write
	})
}

// dropKey frees the key of a request that provably was not run.
func (e *Entry) dropKey(workspace, key string) {
	e.changeKey(workspace, key, func(record.IdempotencyKey) table.Write {
		return table.Write{Key: keyOf(workspace, key), Remove: true}
	})
}

func (e *Entry) changeKey(workspace, key string, change func(record.IdempotencyKey) table.Write) {
	e.loop.Go(func() {
		ctx, cancel := context.WithTimeout(e.loop.Context(), keyBound)
		defer cancel()
		before, version, err := record.Get[record.IdempotencyKey](ctx, e.table, keyOf(workspace, key))
		if err == nil && version != table.Absent {
			write := change(before)
			_, err = e.table.CommitRetry(ctx, []table.Condition{{Key: write.Key, Revision: version}}, []table.Write{write})
		}
		if err != nil {
			e.log.Warn("key-unrecorded", zap.String("workspace", workspace), zap.String("key", key), logs.Error(err))
		}
	})
}

func (e *Entry) operatorNode() operator.Hooks {
	return operator.Hooks{
		Document:    func() contract.Document { return *e.document.Load() },
		LocalStatus: e.localVersions,
		Capacities:  e.rooms,
		Shards: func() int {
			count := 0
			e.loopDo(func() { count = e.keeper.Count() })
			return count
		},
		OnDocument:  func(document contract.Document) { e.loopDo(func() { e.adopt(document) }) },
		OnJob:       func(of placement.Job) { e.loopDo(func() { e.book.Owe(of.Workspace, of.Class, of.Tasks) }) },
		NotifyInbox: func() { e.loop.Post(e.keeper.PollInbox) },
		Flush: func(ctx context.Context) error {
			e.loopDo(func() { e.closeWindow(false) })
			return e.storeWindows(ctx)
		},
		Alive: e.alive,
	}
}

func (e *Entry) localVersions() []operator.NodeVersion {
	list := []operator.NodeVersion{{Node: e.settings.Name, Role: "entry", Version: e.document.Load().Version}}
	e.loopDo(func() {
		for name, version := range e.links.Configs() {
			list = append(list, operator.NodeVersion{Node: name, Role: "agent", Version: version})
		}
	})
	return list
}

// rooms lists the capacities of the instances that are linked here.
func (e *Entry) rooms() []placement.Resources {
	var list []placement.Resources
	e.loopDo(func() {
		for _, a := range e.links.Announcements() {
			list = append(list, a.Capacity.Resources())
		}
	})
	return list
}

// alive names the runs of entries that still have their open window.
func (e *Entry) alive(context.Context) map[string]bool {
	alive := map[string]bool{e.incarnation: true}
	e.loopDo(func() {
		for _, other := range e.entries {
			if time.Since(other.since) < rowLife {
				alive[other.row.Incarnation] = true
			}
		}
	})
	return alive
}

// oldestWindow is the first window that is not stored yet.
func (e *Entry) oldestWindow() (ledger.Window, bool) {
	var window ledger.Window
	found := false
	e.loopDo(func() {
		if len(e.closed) > 0 {
			window, found = e.closed[0], true
		}
	})
	return window, found
}
