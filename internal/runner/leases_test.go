package runner

import (
	"context"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
)

// Guards against a run that leaves the books while it begins: the new incarnation of a worker carries out
// the start that was meant for the previous one, and its answer arrives before any poll shows it.
func TestAnAnswerOfAnotherIncarnationSettlesNothing(t *testing.T) {
	var stops []StopCall
	other := Answer{StartedAt: 9}
	worker := Worker{
		Start: func(context.Context, StartCall) (Answer, error) { return other, nil },
		Stop: func(_ context.Context, call StopCall) (Answer, error) {
			stops = append(stops, call)
			return other, nil
		},
		Poll: unansweredPoll,
	}
	withRunner(t, worker, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() {
			r.start(link.StartOrder{Task: task, Run: 1})
			r.session = nil // it has no link that could be closed
		})
		time.Sleep(100 * time.Millisecond)
		onLoop(t, r, func() {
			if r.registration.Incarnation.StartedAt != 9 {
				t.Errorf("the worker counts as incarnation %d", r.registration.Incarnation.StartedAt)
			}
			if known := r.runs[task]; known == nil || !known.stopping {
				t.Errorf("the run is %+v, want one that is stopped", known)
			}
		})
		if len(stops) != 1 || stops[0].Incarnation.StartedAt != 9 {
			t.Errorf("stops %+v, want one for incarnation 9", stops)
		}
	})
}

// Guards against a task that is freed while its run has a lease of a call that was meant for the previous
// incarnation of its worker.
func TestLeasesOfARestartedWorker(t *testing.T) {
	restart := func(r *Runner) {
		r.session = nil // it has no link that could be closed
		next := *r.registration
		next.Incarnation.StartedAt = 9
		r.startIncarnation(next)
		r.session = &session{number: 2, epoch: 1, began: time.Now(), wakeup: make(chan struct{}, 1)}
		r.sessionFence = link.Fence(1, 2)
	}
	answer := func(r *Runner, fence uint64) {
		call := PollCall{Incarnation: r.registration.Incarnation, Fence: fence}
		r.handlePoll(call, PollResult{Answer: Answer{StartedAt: 9}, Clock: 50}, nil, time.Now(), time.Now())
	}
	cases := []struct {
		name string
		do   func(r *Runner)
		want time.Duration
	}{
		{"no call has been answered", restart, link.MaxUnfencedLease(maxLease)},
		{"a call of an earlier session has been answered", func(r *Runner) { restart(r); answer(r, 1) }, link.MaxUnfencedLease(maxLease)},
		{"a call of the session has been answered", func(r *Runner) { restart(r); answer(r, r.sessionFence) }, link.MaxStaleLease(maxLease)},
		{"another ID", func(r *Runner) {
			r.session = nil
			r.startIncarnation(dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "v", StartedAt: 9}, Service: "s"})
		}, 0},
		{"the owner knows of an earlier incarnation", func(r *Runner) {
			r.leases = newLeases(maxLease)
			r.leases.learnRestarted()
		}, link.MaxUnfencedLease(maxLease)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
				onLoop(t, r, func() {
					c.do(r)
					if got := r.leases.staleFor(); got != c.want {
						t.Errorf("a stale lease for %v, want %v", got, c.want)
					}
					r.silent = true
				})
				time.Sleep(c.want - time.Millisecond)
				onLoop(t, r, func() {
					if c.want > 0 && r.leasesExpired() {
						t.Error("the leases count as expired too early")
					}
				})
				time.Sleep(initialLeaseBound + 2*time.Millisecond)
				onLoop(t, r, func() {
					if !r.leasesExpired() {
						t.Error("the leases never expire")
					}
				})
			})
		})
	}
}

// Guards against runs that go on under a stale lease after the grants of the owner are over.
func TestRunsThatNoOwnerGrantsAreStopped(t *testing.T) {
	for _, stale := range []bool{false, true} {
		stopped := 0
		worker := Worker{Poll: unansweredPoll, Stop: func(context.Context, StopCall) (Answer, error) { stopped++; return Answer{}, nil }}
		withRunner(t, worker, func(t *testing.T, r *Runner) {
			onLoop(t, r, func() {
				r.runs[task] = &run{number: 1, settledAt: time.Now()}
				if stale {
					r.leases.restarted()
				}
				r.grantLease()
				r.stopUngranted()
				if r.runs[task].stopping {
					t.Error("a granted run is stopped")
				}
			})
			time.Sleep(3 * time.Second)
			onLoop(t, r, func() {
				r.stopUngranted()
				if r.runs[task].stopping != stale {
					t.Errorf("stopped %v, want %v", r.runs[task].stopping, stale)
				}
			})
			time.Sleep(time.Second)
		})
		if stale != (stopped > 0) {
			t.Errorf("%d stops, with a stale lease: %v", stopped, stale)
		}
	}
}
