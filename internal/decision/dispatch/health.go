package dispatch

import "time"

// speed returns the speed at which an instance works at now, as a share of that of its peers.
func (s *Scheduler) speed(in *instance, now time.Time) float64 {
	return s.speeds.Speed(in.registration.Incarnation.ID, now)
}
