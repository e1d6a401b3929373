package worker

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/pkg/platform/object"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// leasePeriod is the time between two leases given to the worker.
	leasePeriod = 400 * time.Millisecond
	// callBound is how long one call of the worker or of the object store may take.
	callBound = 2 * time.Second
	// reasonMost is how many bytes of an error are kept as a reason.
	reasonMost = 200
)

// held is one task that the agent holds.
type held struct {
	placement.TaskStatus
	need     placement.Resources
	class    string
	busy     bool      // a call about it is under way
	settled  time.Time // the last call about it ended
	approved bool      // the owner's latest grant covers it
	used     float64
	share    float64
}

// Tasks are the tasks an agent holds on its worker. All methods but New run on
// the control loop; calls of the worker run on goroutines of their own.
type Tasks struct {
	loop       *loop.Loop
	client     *Client
	store      *object.Client
	log        *zap.Logger
	capacity   placement.Resources
	held       map[AttemptID]*held
	boot       string
	clock      time.Duration // the worker's clock when clockAt was here
	clockAt    time.Time
	epoch      uint64
	session    uint64    // given by the owner of that epoch
	until      time.Time // the grant ends
	number     uint64    // of the latest lease sent
	leasing    bool
	again      bool // a lease was asked for while one was under way
	changed    func()
	superseded func()
}

// NewTasks makes the holder of the worker's tasks. Changed is called on the loop when
// there is news for the owner, superseded when another agent took the worker.
func NewTasks(l *loop.Loop, client *Client, store *object.Client, log *zap.Logger, capacity placement.Resources, changed, superseded func()) *Tasks {
	t := &Tasks{
		loop: l, client: client, store: store, log: log, capacity: capacity,
		held: map[AttemptID]*held{}, changed: changed, superseded: superseded,
	}
	l.Every(leasePeriod, t.lease)
	l.Post(t.lease)
	return t
}

// Incarnation names the worker's run; "" until it is claimed.
func (t *Tasks) Incarnation() string { return t.boot }

// Epoch is the highest epoch seen.
func (t *Tasks) Epoch() uint64 { return t.epoch }

// Session is what the owner gave last, to be sent with beats.
func (t *Tasks) Session() uint64 { return t.session }

// Held lists the tasks for a beat, in order.
func (t *Tasks) Held() []placement.TaskStatus {
	list := make([]placement.TaskStatus, 0, len(t.held))
	for _, h := range t.held {
		list = append(list, h.TaskStatus)
	}
	slices.SortFunc(list, func(a, b placement.TaskStatus) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return list
}

// Active counts the tasks that run or may run again.
func (t *Tasks) Active() int {
	n := 0
	for _, h := range t.held {
		if !h.RunState.Final() {
			n++
		}
	}
	return n
}

// Unreported tells whether the end of some task is not yet in the table.
func (t *Tasks) Unreported() bool { return len(t.held) > 0 }

// ApplyReply takes the owner's answer to the beat that was sent at sent with listed. The
// grant covers what was listed and is not to stop, and what is to start.
func (t *Tasks) ApplyReply(sent time.Time, listed []placement.TaskStatus, reply placement.Reply) {
	if reply.Epoch < t.epoch {
		t.log.Warn("grant-refused", zap.Uint64("epoch", reply.Epoch), zap.Uint64("seen", t.epoch))
		return
	}
	if reply.Epoch != t.epoch || reply.Session != t.session {
		t.epoch, t.session = reply.Epoch, reply.Session
		t.changed()
	}
	for _, forget := range reply.Ack {
		t.forget(AttemptID(forget))
	}
	for _, stop := range reply.Stop {
		t.stop(stop)
	}
	if reply.TTL <= 0 {
		return
	}
	t.until = sent.Add(reply.TTL)
	t.approve(listed, reply.Stop)
	for _, start := range reply.Start {
		t.start(start)
	}
	t.lease()
}

// approve marks what the grant covers.
func (t *Tasks) approve(listed []placement.TaskStatus, stops []placement.Stop) {
	covered := make(map[AttemptID]bool, len(listed))
	for _, h := range listed {
		covered[AttemptID{h.Task, h.Attempt}] = true
	}
	for _, stop := range stops {
		delete(covered, AttemptID{stop.Task, stop.Attempt})
	}
	for of, h := range t.held {
		h.approved = covered[of]
	}
}

func (t *Tasks) granted() bool { return time.Now().Before(t.until) }

// start admits a task if its need fits beside what is held: this is the only
// place where the capacity for tasks is decided.
func (t *Tasks) start(start placement.Start) {
	of := AttemptID{start.Task, start.Attempt}
	if _, known := t.held[of]; known {
		return
	}
	h := &held{
		TaskStatus: placement.TaskStatus{Task: start.Task, Attempt: start.Attempt, RunState: placement.Starting},
		need:       start.Need, class: start.Class, approved: true, share: 1,
	}
	if misfit := start.Need.Shortage(t.room()); misfit != "" {
		h.RunState, h.Reason = placement.Declined, misfit
		t.held[of] = h
		t.log.Info("task-declined", zap.String("task", start.Task), zap.Int("attempt", start.Attempt), zap.String("why", misfit))
		t.changed()
		return
	}
	t.held[of] = h
	h.busy = true
	t.log.Info("task-start", zap.String("task", start.Task), zap.Int("attempt", start.Attempt), zap.String("checkpoint", start.Checkpoint))
	t.loop.Go(func() {
		err := t.startOnWorker(start)
		t.loop.Post(func() { t.started(of, h, err) })
	})
}

func (t *Tasks) room() placement.Resources {
	room := t.capacity
	for _, h := range t.held {
		if !h.RunState.Final() {
			room = room.Minus(h.need)
		}
	}
	return room
}

func (t *Tasks) startOnWorker(start placement.Start) error {
	ctx, cancel := context.WithTimeout(t.loop.Context(), callBound)
	defer cancel()
	var checkpoint []byte
	if start.Checkpoint != "" {
		saved, err := t.store.Get(ctx, start.Checkpoint)
		if err != nil {
			return errNotSent{err}
		}
		checkpoint = saved
	}
	return t.client.Start(ctx, start, checkpoint)
}

// errNotSent marks a start that the worker never saw.
type errNotSent struct{ error }

// declined tells whether a failed start provably left nothing on the worker.
func declined(err error) bool {
	var notSent errNotSent
	var refused problem.Problem
	return errors.As(err, &notSent) ||
		errors.As(err, &refused) && (refused.Step == StepRoom || refused.Step == StepCheckpoint)
}

// started takes the end of a start call. One whose answer was lost stays as
// starting, and shows up, or not, in the next report.
func (t *Tasks) started(of AttemptID, h *held, err error) {
	h.settle()
	switch {
	case err == nil:
		h.RunState = placement.Paused
	case declined(err):
		h.RunState, h.Reason = placement.Declined, shorten(err)
		t.log.Info("task-declined", zap.String("task", of.Task), zap.Int("attempt", of.Attempt), zap.String("why", h.Reason))
		t.changed()
		return
	default:
		t.log.Warn("task-start-doubt", zap.String("task", of.Task), zap.Int("attempt", of.Attempt), logs.Error(err))
	}
	t.lease()
}

// settle marks the end of a call about the task.
func (h *held) settle() {
	h.busy = false
	h.settled = time.Now()
}

func shorten(err error) string {
	text := err.Error()
	return text[:min(len(text), reasonMost)]
}

// stop ends a task; with Save its state goes to the object store first, and
// while that fails the task stays paused and the stop is tried at the next beat.
func (t *Tasks) stop(stop placement.Stop) {
	of := AttemptID{stop.Task, stop.Attempt}
	h, known := t.held[of]
	if !known || h.busy || h.RunState.Final() || h.RunState == placement.Starting {
		return
	}
	h.busy = true
	h.approved = false
	t.log.Info("task-stop", zap.String("task", of.Task), zap.Int("attempt", of.Attempt), zap.Bool("save", stop.Save), zap.String("why", stop.Reason))
	t.loop.Go(func() {
		checkpoint, err := t.stopOnWorker(of, stop.Save)
		t.loop.Post(func() { t.stopped(of, h, checkpoint, stop.Reason, err) })
	})
}

func (t *Tasks) stopOnWorker(of AttemptID, save bool) (string, error) {
	ctx, cancel := context.WithTimeout(t.loop.Context(), callBound)
	defer cancel()
	if !save {
		return "", t.client.Stop(ctx, of, "")
	}
	state, err := t.client.Checkpoint(ctx, of)
	if err != nil {
		return "", err
	}
	key := fmt.Sprintf("checkpoint/%s/%d", of.Task, of.Attempt)
	if err := t.store.Put(ctx, key, state); err != nil {
		return "", err
	}
	return key, t.client.Stop(ctx, of, key)
}

func (t *Tasks) stopped(of AttemptID, h *held, checkpoint, why string, err error) {
	h.settle()
	if checkpoint != "" {
		h.Checkpoint = checkpoint
	}
	if err != nil {
		t.log.Warn("task-stop-failed", zap.String("task", of.Task), zap.Int("attempt", of.Attempt), logs.Error(err))
		return
	}
	h.RunState, h.Reason = placement.Stopped, why
	t.changed()
}

func (t *Tasks) forget(of AttemptID) {
	h, known := t.held[of]
	if !known || !h.RunState.Final() || h.busy {
		return
	}
	if h.RunState == placement.Declined {
		delete(t.held, of)
		return
	}
	h.busy = true
	t.loop.Go(func() {
		ctx, cancel := context.WithTimeout(t.loop.Context(), callBound)
		defer cancel()
		err := t.client.Forget(ctx, of)
		t.loop.Post(func() {
			h.settle()
			if err == nil {
				delete(t.held, of)
			}
		})
	})
}

// Throttle sets the share of their processors that all running tasks may use.
func (t *Tasks) Throttle(share float64) {
	for of, h := range t.held {
		if h.busy || h.RunState != placement.Running || h.share == share {
			continue
		}
		h.busy = true
		t.loop.Go(func() {
			ctx, cancel := context.WithTimeout(t.loop.Context(), callBound)
			defer cancel()
			err := t.client.Throttle(ctx, of, share)
			t.loop.Post(func() {
				h.settle()
				if err == nil {
					h.share = share
				}
			})
		})
	}
}
