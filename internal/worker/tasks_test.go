package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/loop"
	"go.uber.org/zap"
)

// fakeWorker is a worker that answers every call and records the calls.
type fakeWorker struct {
	calls     chan string
	leases    chan Call
	status    Status
	startedAt time.Time // the worker's clock shows one hour at this time
	fail      map[string]bool
}

func (f *fakeWorker) transport(_ context.Context, path string, body []byte) (int, []byte, error) {
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return 0, nil, err
	}
	if path == "/task/lease" {
		select {
		case f.leases <- call:
		default:
		}
	} else {
		f.calls <- path
	}
	if f.fail[path] {
		return 0, nil, context.DeadlineExceeded
	}
	status := f.status
	status.Clock = time.Hour + time.Since(f.startedAt)
	answer, err := json.Marshal(status)
	return http.StatusOK, answer, err
}

// withTasks runs a test on the tasks of a fake worker. The test must access them through
// onLoop.
func withTasks(t *testing.T, f *fakeWorker, test func(tasks *Tasks, onLoop func(func()))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f.calls, f.leases = make(chan string, 100), make(chan Call, 100)
		f.status.Incarnation, f.startedAt = "b", time.Now()
		l := loop.New(ctx)
		var tasks *Tasks
		onLoop := func(do func()) {
			if err := l.Do(do); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Millisecond)
		}
		onLoop(func() {
			capacity := placement.Resources{Processors: 4}
			tasks = NewTasks(l, NewClient(f.transport, "a"), nil, zap.NewNop(), capacity, func() {}, func() {})
		})
		test(tasks, onLoop)
		cancel()
		l.Wait()
	})
}

func start(task string, cpu float64) placement.Start {
	return placement.Start{Task: task, Attempt: 1, Need: placement.Resources{Processors: cpu}}
}

func TestGrantOfALowerEpochIsRefused(t *testing.T) {
	withTasks(t, &fakeWorker{}, func(tasks *Tasks, onLoop func(func())) {
		onLoop(func() { tasks.ApplyReply(time.Now(), nil, placement.Reply{Epoch: 2, TTL: time.Second}) })
		onLoop(func() {
			tasks.ApplyReply(time.Now(), nil, placement.Reply{Epoch: 1, TTL: time.Second, Start: []placement.Start{start("j.0", 1)}})
			if len(tasks.Held()) != 0 || tasks.Epoch() != 2 {
				t.Errorf("held %v at epoch %d", tasks.Held(), tasks.Epoch())
			}
		})
	})
}

func TestTasksOverTheCapacityAreDeclinedHere(t *testing.T) {
	withTasks(t, &fakeWorker{}, func(tasks *Tasks, onLoop func(func())) {
		onLoop(func() {
			tasks.ApplyReply(time.Now(), nil, placement.Reply{Epoch: 1, TTL: time.Second, Start: []placement.Start{start("j.0", 3), start("j.1", 2)}})
			held := tasks.Held()
			if held[0].RunState != placement.Starting || held[1].RunState != placement.Declined {
				t.Errorf("held %+v", held)
			}
		})
	})
}

func TestTasksNotListedInTheHeartbeatAreNotCoveredByTheGrant(t *testing.T) {
	f := &fakeWorker{status: Status{Tasks: []TaskReport{{AttemptID: AttemptID{"j.9", 1}, RunState: placement.Paused}}}}
	withTasks(t, f, func(tasks *Tasks, onLoop func(func())) {
		onLoop(func() { tasks.ApplyReply(time.Now(), nil, placement.Reply{Epoch: 1, TTL: time.Second}) })
		for len(f.leases) > 0 {
			if call := <-f.leases; len(call.Leased) > 0 {
				t.Errorf("a task that the heartbeat did not list is leased: %v", call.Leased)
			}
		}
	})
}

func TestLeaseEndsWithTheGrantOnTheWorkersClock(t *testing.T) {
	f := &fakeWorker{status: Status{Tasks: []TaskReport{{AttemptID: AttemptID{"j.9", 1}, RunState: placement.Paused}}}}
	withTasks(t, f, func(tasks *Tasks, onLoop func(func())) {
		before := time.Now()
		onLoop(func() {
			listed := tasks.Held()
			tasks.ApplyReply(time.Now(), listed, placement.Reply{Epoch: 1, TTL: 4 * time.Second})
		})
		var last Call
		for len(f.leases) > 0 {
			last = <-f.leases
		}
		overrun := last.LeaseDeadline - time.Hour - 4*time.Second - before.Sub(f.startedAt)
		if overrun > 0 || overrun < -time.Second || len(last.Leased) != 1 {
			t.Errorf("lease with deadline %s for tasks %v", last.LeaseDeadline, last.Leased)
		}
		time.Sleep(5 * time.Second)
		for len(f.leases) > 0 {
			last = <-f.leases
		}
		if last.LeaseDeadline != 0 || len(last.Leased) != 0 {
			t.Errorf("after the end of the grant: deadline %s, leased %v", last.LeaseDeadline, last.Leased)
		}
	})
}

func TestLostAnswerToAStartIsNotARefusal(t *testing.T) {
	f := &fakeWorker{fail: map[string]bool{"/task/start": true}}
	withTasks(t, f, func(tasks *Tasks, onLoop func(func())) {
		onLoop(func() {
			tasks.ApplyReply(time.Now(), nil, placement.Reply{Epoch: 1, TTL: time.Second, Start: []placement.Start{start("j.0", 1)}})
		})
		onLoop(func() {
			for _, held := range tasks.Held() {
				if held.RunState.Final() {
					t.Errorf("reported as ended: %+v", held)
				}
			}
		})
	})
}
