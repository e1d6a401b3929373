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

// fake is a worker that answers every call and keeps what it was asked.
type fake struct {
	calls  chan string
	leases chan Call
	report Report
	born   time.Time // the worker's clock showed an hour then
	fail   map[string]bool
}

func (f *fake) post(_ context.Context, path string, body []byte) (int, []byte, error) {
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
	report := f.report
	report.Clock = time.Hour + time.Since(f.born)
	answer, err := json.Marshal(report)
	return http.StatusOK, answer, err
}

// withTasks runs act on the loop of a holder of a fake worker.
func withTasks(t *testing.T, f *fake, act func(tasks *Tasks, on func(func()))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f.calls, f.leases = make(chan string, 100), make(chan Call, 100)
		f.report.Incarnation, f.born = "b", time.Now()
		l := loop.New(ctx)
		var tasks *Tasks
		on := func(do func()) {
			if err := l.Do(do); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Millisecond)
		}
		on(func() {
			capacity := placement.Resources{Processors: 4}
			tasks = NewTasks(l, NewClient(f.post, "a"), nil, zap.NewNop(), capacity, func() {}, func() {})
		})
		act(tasks, on)
		cancel()
		l.Wait()
	})
}

func start(task string, cpu float64) placement.Start {
	return placement.Start{Task: task, Attempt: 1, Need: placement.Resources{Processors: cpu}}
}

func TestGrantOfALowerEpochIsRefused(t *testing.T) {
	withTasks(t, &fake{}, func(tasks *Tasks, on func(func())) {
		on(func() { tasks.ApplyReply(time.Now(), nil, placement.Reply{Epoch: 2, TTL: time.Second}) })
		on(func() {
			tasks.ApplyReply(time.Now(), nil, placement.Reply{Epoch: 1, TTL: time.Second, Start: []placement.Start{start("j.0", 1)}})
			if len(tasks.Held()) != 0 || tasks.Epoch() != 2 {
				t.Errorf("held %v at epoch %d", tasks.Held(), tasks.Epoch())
			}
		})
	})
}

func TestTasksOverTheCapacityAreDeclinedHere(t *testing.T) {
	withTasks(t, &fake{}, func(tasks *Tasks, on func(func())) {
		on(func() {
			tasks.ApplyReply(time.Now(), nil, placement.Reply{Epoch: 1, TTL: time.Second, Start: []placement.Start{start("j.0", 3), start("j.1", 2)}})
			held := tasks.Held()
			if held[0].RunState != placement.Starting || held[1].RunState != placement.Declined {
				t.Errorf("held %+v", held)
			}
		})
	})
}

func TestWhatIsNotListedInTheBeatIsNotCoveredByItsGrant(t *testing.T) {
	f := &fake{report: Report{Tasks: []TaskReport{{AttemptID: AttemptID{"j.9", 1}, RunState: placement.Paused}}}}
	withTasks(t, f, func(tasks *Tasks, on func(func())) {
		on(func() { tasks.ApplyReply(time.Now(), nil, placement.Reply{Epoch: 1, TTL: time.Second}) })
		for len(f.leases) > 0 {
			if call := <-f.leases; len(call.Leased) > 0 {
				t.Errorf("a task that the owner was not told of is kept: %v", call.Leased)
			}
		}
	})
}

func TestLeaseEndsWithTheGrantOnTheWorkersClock(t *testing.T) {
	f := &fake{report: Report{Tasks: []TaskReport{{AttemptID: AttemptID{"j.9", 1}, RunState: placement.Paused}}}}
	withTasks(t, f, func(tasks *Tasks, on func(func())) {
		begun := time.Now()
		on(func() {
			listed := tasks.Held()
			tasks.ApplyReply(time.Now(), listed, placement.Reply{Epoch: 1, TTL: 4 * time.Second})
		})
		var last Call
		for len(f.leases) > 0 {
			last = <-f.leases
		}
		late := last.LeaseDeadline - time.Hour - 4*time.Second - begun.Sub(f.born)
		if late > 0 || late < -time.Second || len(last.Leased) != 1 {
			t.Errorf("lease until %s keeps %v", last.LeaseDeadline, last.Leased)
		}
		time.Sleep(5 * time.Second)
		for len(f.leases) > 0 {
			last = <-f.leases
		}
		if last.LeaseDeadline != 0 || len(last.Leased) != 0 {
			t.Errorf("after the grant: until %s, keep %v", last.LeaseDeadline, last.Leased)
		}
	})
}

func TestLostAnswerToAStartIsNotARefusal(t *testing.T) {
	f := &fake{fail: map[string]bool{"/task/start": true}}
	withTasks(t, f, func(tasks *Tasks, on func(func())) {
		on(func() {
			tasks.ApplyReply(time.Now(), nil, placement.Reply{Epoch: 1, TTL: time.Second, Start: []placement.Start{start("j.0", 1)}})
		})
		on(func() {
			for _, held := range tasks.Held() {
				if held.RunState.Final() {
					t.Errorf("said to be over: %+v", held)
				}
			}
		})
	})
}
