// Package durations learns how long tasks take, from the runs that have ended, and predicts when
// others will end. It is pure: its callers pass the time.
package durations

import "time"

// Class identifies tasks whose durations are learned together.
type Class struct {
	Queue string `json:"queue"`
	Image string `json:"image,omitempty"`
}

// Prediction says how long one run of a task takes from its start, at full speed.
type Prediction struct {
	Median time.Duration
	Tail   time.Duration // nine of ten runs take no longer
}

// Remaining returns how much longer a run takes that has worked for elapsed at full speed: its
// median while it is in its usual range, and after that what is left to the tail.
func (p Prediction) Remaining(elapsed time.Duration) time.Duration {
	if elapsed < p.Median {
		return p.Median - elapsed
	}
	return max(p.Tail-elapsed, 0)
}

// Model holds what was learned. It is not safe for concurrent use.
type Model struct{}

// New returns a model that has learned nothing: it predicts the estimates.
func New() *Model { return &Model{} }

// Predict returns how long a task of a class takes whose user estimates estimate.
func (m *Model) Predict(_ Class, estimate time.Duration) Prediction {
	return Prediction{Median: estimate, Tail: estimate}
}
