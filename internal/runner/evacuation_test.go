package runner

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
)

func unansweredPoll(context.Context, PollCall) (PollResult, error) {
	return PollResult{}, errors.New("no answer")
}

// The highest revision counts, whichever owner states it. A message without the field says nothing.
func TestEvacuationNotices(t *testing.T) {
	on := func(revision uint64) *link.Evacuation { return &link.Evacuation{Evacuated: true, Revision: revision} }
	off := func(revision uint64) *link.Evacuation { return &link.Evacuation{Revision: revision} }
	cases := []struct {
		name    string
		notices []*link.Evacuation
		refused bool
	}{
		{"none", []*link.Evacuation{nil}, false},
		{"evacuated", []*link.Evacuation{on(5), nil}, true},
		{"taken back", []*link.Evacuation{on(5), off(6)}, false},
		{"an owner behind the times", []*link.Evacuation{on(5), off(4)}, true},
		{"a late notice", []*link.Evacuation{off(6), on(5)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var started atomic.Int32
			worker := Worker{Poll: unansweredPoll, Start: func(context.Context, StartCall) (Answer, error) {
				started.Add(1)
				return Answer{}, nil
			}}
			withRunner(t, worker, func(t *testing.T, r *Runner) {
				onLoop(t, r, func() {
					for _, notice := range c.notices {
						r.applyOrders(link.Orders{Session: 1, Evacuation: notice})
					}
					r.applyOrders(link.Orders{Session: 1, Starts: []link.StartOrder{{Task: task, Run: 1}}})
					if refused := len(r.session.notStarted) == 1; refused != c.refused {
						t.Errorf("refused %v, want %v", refused, c.refused)
					}
					if reported := r.takeReport(r.session).Evacuation != nil; reported != c.refused {
						t.Errorf("reported %v, want %v", reported, c.refused)
					}
				})
				time.Sleep(time.Second)
				if (started.Load() == 0) != c.refused {
					t.Errorf("%d starts", started.Load())
				}
			})
		})
	}
}

// A start without an answer is not sent again once the domain is evacuated, but stopped.
func TestAStartIsNotSentAgainDuringAnEvacuation(t *testing.T) {
	var starts, stops atomic.Int32
	worker := Worker{
		Poll: unansweredPoll,
		Start: func(ctx context.Context, _ StartCall) (Answer, error) {
			starts.Add(1)
			<-ctx.Done()
			return Answer{}, ctx.Err()
		},
		Stop: func(context.Context, StopCall) (Answer, error) { stops.Add(1); return Answer{}, nil },
	}
	withRunner(t, worker, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() { r.applyOrders(link.Orders{Session: 1, Starts: []link.StartOrder{{Task: task, Run: 1}}}) })
		time.Sleep(orderTimeout / 2)
		onLoop(t, r, func() {
			r.applyOrders(link.Orders{Session: 1, Evacuation: &link.Evacuation{Evacuated: true, Revision: 5}})
		})
		time.Sleep(3 * orderTimeout)
		if starts.Load() != 1 || stops.Load() != 1 {
			t.Errorf("%d starts and %d stops, want 1 each", starts.Load(), stops.Load())
		}
	})
}

// What is known of one domain is not said of another to which the worker changes.
func TestAnotherDomainIsNotEvacuated(t *testing.T) {
	withRunner(t, Worker{Poll: unansweredPoll}, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() {
			r.applyOrders(link.Orders{Session: 1, Evacuation: &link.Evacuation{Evacuated: true, Revision: 5}})
		})
		r.Register(dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "w", StartedAt: 5}, Service: "s", Domain: "d1"}, 2)
		onLoop(t, r, func() {
			if known := r.takeReport(r.session).Evacuation; known != nil {
				t.Errorf("reported of d1: %+v", *known)
			}
		})
	})
}

// A worker whose loss the owner knows may answer again, and then leave: the owner is owed another report.
func TestASecondLossIsOwed(t *testing.T) {
	withRunner(t, Worker{Poll: unansweredPoll}, func(t *testing.T, r *Runner) {
		near, far := net.Pipe()
		conn := link.New(t.Context(), near, "owner", metrics.New(), link.RejectCalls)
		owner := link.New(t.Context(), far, "agent", metrics.New(), func(context.Context, string, json.RawMessage) (any, error) {
			return link.AttachReply{Epoch: 1}, nil
		})
		onLoop(t, r, func() { r.lossReportedTo, r.session = 1, nil })
		if _, err := r.attach(t.Context(), conn, 1); err != nil {
			t.Fatal(err)
		}
		r.Deregister("w")
		if !r.OwesLossReport(1) {
			t.Error("no report is owed")
		}
		conn.Close()
		owner.Close()
	})
}
