package runner

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/cockroachdb/errors"
)

var errRefused = errors.Wrap(&net.OpError{Op: "dial", Err: errors.New("refused")}, "call the worker")

// Guards against a start that counts as settled while the next incarnation may carry it out, and against one
// that counts as under way after it was carried out.
func TestStartsUnderWay(t *testing.T) {
	unanswered := func(ctx context.Context, _ StartCall) (Answer, error) {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	lists := func(r *Runner) {
		call, _ := r.nextPoll(0)
		r.handlePoll(call, pollResultOf(200, task), nil, time.Now(), time.Now())
	}
	cases := []struct {
		name    string
		start   func(context.Context, StartCall) (Answer, error)
		elapsed time.Duration
		then    func(r *Runner)
		want    bool
	}{
		{"answered", func(context.Context, StartCall) (Answer, error) { return Answer{}, nil }, time.Millisecond, nil, false},
		{"rejected", func(context.Context, StartCall) (Answer, error) { return Answer{Status: Rejected}, nil }, time.Millisecond, nil, false},
		{"no connection", func(context.Context, StartCall) (Answer, error) { return Answer{}, errRefused }, time.Millisecond, nil, false},
		{"no answer yet", unanswered, time.Millisecond, nil, true},
		{"no answer, but the run is listed", unanswered, time.Millisecond, lists, false},
		{"no answer to two calls, and the run is listed", unanswered, 500 * time.Millisecond, lists, true},
		{"no answer until the calls are too old", unanswered, link.MaxCallDelay + 3*time.Second, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stop := func(context.Context, StopCall) (Answer, error) { return Answer{}, nil }
			withRunner(t, Worker{Poll: unansweredPoll, Start: c.start, Stop: stop}, func(t *testing.T, r *Runner) {
				onLoop(t, r, func() { r.start(link.StartOrder{Task: task, Run: 1}) })
				time.Sleep(c.elapsed)
				onLoop(t, r, func() {
					if c.then != nil {
						c.then(r)
					}
					if got := len(r.startCalls.pending(task)) > 0; got != c.want {
						t.Errorf("under way: %v, want %v", got, c.want)
					}
				})
				time.Sleep(time.Second) // until the call in flight ends
			})
		})
	}
}

// Guards against a call that expires before the worker's next incarnation has dropped it: it may have waited for
// its connection.
func TestAStartCallExpiresLate(t *testing.T) {
	withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() { r.startCalls.add(task, 1) })
		time.Sleep(orderTimeout + link.MaxCallDelay - time.Millisecond)
		onLoop(t, r, func() {
			if _, pending := r.startCalls.list()[task]; !pending {
				t.Error("the call expires too early")
			}
		})
		time.Sleep(time.Millisecond)
		onLoop(t, r, func() {
			if calls := r.startCalls.list(); len(calls) > 0 || len(r.startCalls) > 0 {
				t.Errorf("calls %v, kept %v, want none", calls, r.startCalls)
			}
		})
	})
}
