package runner

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

// coldTolerance is by how much a worker's statement of when it is no longer cold may differ from the
// last one without being reported.
const coldTolerance = 500 * time.Millisecond

// takeCold removes the remaining time from a registration, since it decreases with each one, and
// returns when it ends, or the zero time if the worker is not cold.
func takeCold(registration *dispatch.Registration) time.Time {
	remaining := registration.ColdRemaining
	registration.ColdRemaining = 0
	if remaining <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(remaining) * time.Millisecond)
}

// noteCold records until when the worker is cold. A change is reported with the registration.
func (r *Runner) noteCold(until time.Time) {
	now := time.Now()
	if until.Before(now) && r.coldUntil.Before(now.Add(coldTolerance)) || until.Sub(r.coldUntil).Abs() < coldTolerance {
		return
	}
	r.coldUntil = until
	r.registrationVersion++
}

// withCold returns the registration with the remaining time as it is now.
func (r *Runner) withCold() dispatch.Registration {
	registration := *r.registration
	registration.ColdRemaining = max(time.Until(r.coldUntil).Milliseconds(), 0)
	return registration
}
