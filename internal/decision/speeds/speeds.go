// Package speeds learns how fast instances work, compared with their peers. It is pure: its callers
// pass the time.
package speeds

import "time"

// Model holds what was learned. It is not safe for concurrent use.
type Model struct{}

// New returns a model in which all instances work at full speed.
func New() *Model { return &Model{} }

// Speed returns the speed of an instance at now, as a share of that of its peers, and above 0.
func (m *Model) Speed(_ string, _ time.Time) float64 { return 1 }
