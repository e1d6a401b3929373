package runner

import (
	"context"
	"testing"
	"time"
)

// workerWithFence returns a worker that has seen a fencing token and rejects polls with a lower one.
func workerWithFence(seen uint64) Worker {
	return Worker{Poll: func(_ context.Context, call PollCall) (PollResult, error) {
		time.Sleep(time.Duration(call.Wait)*time.Millisecond + time.Microsecond)
		if call.Fence < seen {
			return PollResult{Answer: Answer{Status: Rejected, Fenced: true}}, nil
		}
		return pollResultOf(200), nil
	}}
}

// An agent whose worker has seen a higher fencing token ends its session, and attaches again as soon as the
// worker registers with it again. Meanwhile it does not take the worker for silent, and reports no loss.
func TestAFencedOffAgentAttachesAgainOnceItsWorkerRegisters(t *testing.T) {
	withRunner(t, workerWithFence(3), func(t *testing.T, r *Runner) {
		onLoop(t, r, func() { r.session = nil }) // its link is not part of this test
		r.StartPolling()
		time.Sleep(5 * time.Second) // longer than the leases
		onLoop(t, r, func() {
			if !r.fencedOff || r.silent || r.sessionDue(1) || r.sessionDue(2) {
				t.Errorf("fenced off %v, silent %v, session due %v", r.fencedOff, r.silent, r.sessionDue(1))
			}
		})
		r.Register(registrationOf("w", 5), 2)
		onLoop(t, r, func() {
			if !r.sessionDue(1) || r.leasesExpired() {
				t.Errorf("no session is due after the worker has registered again, leases expired %v", r.leasesExpired())
			}
			r.sessionFence = 3 // as after the next attach
		})
		time.Sleep(time.Second)
		onLoop(t, r, func() {
			if r.fencedOff || r.incarnationUncertain {
				t.Errorf("fenced off %v, uncertain %v with the token of the next session", r.fencedOff, r.incarnationUncertain)
			}
		})
	})
}

// Calls of an earlier session, which the worker rejects after it has seen the token of the current one, end
// nothing.
func TestARejectedCallOfAnEarlierSessionEndsNothing(t *testing.T) {
	withRunner(t, Worker{}, func(t *testing.T, r *Runner) {
		onLoop(t, r, func() {
			call, _ := r.nextPoll(0)
			r.sessionFence = 2
			now := time.Now()
			r.handlePoll(call, PollResult{Answer: Answer{Status: Rejected, Fenced: true}}, nil, now, now)
			if r.fencedOff || r.session == nil {
				t.Error("the current session has ended")
			}
		})
	})
}
