package runner

import (
	"context"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/cockroachdb/errors"
)

// probeTimeout bounds the time in which the worker must answer a probe.
const probeTimeout = pollTimeoutMargin

// errNotTheWorker is logged for a registration of another incarnation than the one that answers.
var errNotTheWorker = errors.New("the worker does not answer as this incarnation")

// registerOther handles a registration of another incarnation than the known one. Before an owner has
// attached the worker cannot be polled, and nothing depends on the known one: then the one that started
// last is used.
func (r *Runner) registerOther(registration dispatch.Registration, sequence int64) {
	switch {
	case r.sessionFence > 0:
		r.probe(registration, sequence)
	case registration.Incarnation.StartedAt > r.registration.Incarnation.StartedAt:
		r.startIncarnation(registration)
		r.sequence = sequence
	}
}

// probe polls the worker as the incarnation of a registration, and uses the registration if the worker
// answers as that one. It does nothing while another probe is in flight: registrations are repeated.
func (r *Runner) probe(registration dispatch.Registration, sequence int64) {
	if r.probing {
		return
	}
	r.probing = true
	known := r.registration.Incarnation
	call := PollCall{Incarnation: registration.Incarnation, Fence: r.sessionFence}
	r.loop.Go(func() {
		callCtx, cancel := context.WithTimeout(r.loop.Context(), probeTimeout)
		defer cancel()
		result, err := r.worker.Poll(callCtx, call)
		r.loop.Post(func() {
			r.probing = false
			switch {
			case r.registration.Incarnation != known:
			case err != nil || !result.isOf(registration.Incarnation, known):
				r.IgnoreRegistration(registration.Incarnation.ID, errors.CombineErrors(err, errNotTheWorker))
			default:
				r.startIncarnation(registration)
				r.sequence = sequence
			}
		})
	})
}

// isOf reports whether the result of a poll that was sent to incarnation comes from it and not from
// known. A result that does not state when its incarnation started comes from the one with its ID that
// started last.
func (p PollResult) isOf(incarnation, known dispatch.Incarnation) bool {
	if p.Status != Applied {
		return false
	}
	if p.StartedAt == 0 {
		return incarnation.ID != known.ID || incarnation.StartedAt > known.StartedAt
	}
	return p.StartedAt == incarnation.StartedAt
}
