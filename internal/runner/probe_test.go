package runner

import (
	"context"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

// workerAnsweringAs returns a worker that answers polls as one incarnation and rejects those that are
// meant for another ID.
func workerAnsweringAs(incarnation dispatch.Incarnation) Worker {
	return Worker{Poll: func(_ context.Context, call PollCall) (PollResult, error) {
		time.Sleep(time.Duration(call.Wait)*time.Millisecond + time.Microsecond)
		if call.Incarnation.ID != incarnation.ID {
			return PollResult{Answer: Answer{Status: WrongIncarnation}}, nil
		}
		return PollResult{Clock: 200, Answer: Answer{StartedAt: incarnation.StartedAt}}, nil
	}}
}

// registrationOf returns a registration of the incarnation with the given ID and start.
func registrationOf(id string, startedAt int64) dispatch.Registration {
	return dispatch.Registration{Incarnation: dispatch.Incarnation{ID: id, StartedAt: startedAt}, Service: "s"}
}

// A registration that another writer has sent does not displace the worker that answers.
func TestAnOddRegistrationDoesNotDisplaceTheWorker(t *testing.T) {
	cases := []struct {
		name string
		odd  dispatch.Registration
	}{
		{"a later start under the same ID", registrationOf("w", 6)},
		{"an earlier start under the same ID", registrationOf("w", 4)},
		{"a later start under another ID", registrationOf("x", 6)},
		{"an earlier start under another ID", registrationOf("x", 4)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withRunner(t, workerAnsweringAs(dispatch.Incarnation{ID: "w", StartedAt: 5}), func(t *testing.T, r *Runner) {
				onLoop(t, r, func() { r.runs[task], r.session = &run{number: 1}, nil })
				r.Register(c.odd, 99)
				time.Sleep(time.Second)
				onLoop(t, r, func() {
					if r.registration.Incarnation.StartedAt != 5 || r.registration.Incarnation.ID != "w" || r.runs[task] == nil {
						t.Errorf("the worker was taken for %+v, its run %+v", r.registration.Incarnation, r.runs[task])
					}
				})
			})
		})
	}
}

// The agent returns to the worker that answers, whatever registration came first.
func TestTheWorkerThatAnswersIsUsedAfterAnOddRegistration(t *testing.T) {
	answering := dispatch.Incarnation{ID: "w", StartedAt: 5}
	for _, odd := range []dispatch.Registration{registrationOf("w", 9), registrationOf("w", 1), registrationOf("x", 9), registrationOf("x", 1)} {
		withRunner(t, workerAnsweringAs(answering), func(t *testing.T, r *Runner) {
			onLoop(t, r, func() { r.session, r.registration = nil, &odd })
			r.StartPolling()
			for sequence := range int64(3) {
				r.Register(registrationOf("w", 5), sequence+2)
				time.Sleep(time.Second)
			}
			onLoop(t, r, func() {
				if r.registration.Incarnation != answering || r.silent || r.clockReadAt.IsZero() {
					t.Errorf("after %+v: the worker is taken for %+v, silent %v", odd.Incarnation, r.registration.Incarnation, r.silent)
				}
			})
		})
	}
}

// The next incarnation of a worker is used at once, under the same ID and under another one.
func TestTheNextIncarnationIsUsedAtOnce(t *testing.T) {
	for _, next := range []dispatch.Registration{registrationOf("w", 6), registrationOf("x", 6), registrationOf("x", 4)} {
		withRunner(t, workerAnsweringAs(next.Incarnation), func(t *testing.T, r *Runner) {
			onLoop(t, r, func() { r.session = nil })
			r.Register(next, 1)
			time.Sleep(time.Millisecond)
			onLoop(t, r, func() {
				if r.registration.Incarnation != next.Incarnation || r.sequence != 1 {
					t.Errorf("the worker is taken for %+v, want %+v", r.registration.Incarnation, next.Incarnation)
				}
			})
		})
	}
}
