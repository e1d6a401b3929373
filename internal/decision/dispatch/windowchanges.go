package dispatch

import "time"

//go:generate stringer -type=WindowCause -linecomment

// WindowCause is what has happened to a window.
type WindowCause int

// WindowMade and WindowMoved are the beginning of a window on the instances named, the others its end.
// WindowUsed: its tasks have been placed. WindowNotNeeded: its job has ended or has no value any more,
// or its tasks do not wait. WindowExpired: it has held its instances for too long. WindowInstanceGone:
// one of them may not be used any more. WindowNoRoom: none of the expected ends makes room there.
const (
	WindowMade         WindowCause = iota // made
	WindowMoved                           // moved
	WindowUsed                            // used
	WindowNotNeeded                       // not-needed
	WindowExpired                         // expired
	WindowInstanceGone                    // instance-gone
	WindowNoRoom                          // no-room
)

// WindowChange is a change of a window.
type WindowChange struct {
	Job           string
	Step          int
	Cause         WindowCause
	Instances     []string
	Wait          time.Duration // until its room is expected
	Fragmentation Fragmentation // of its service
}

// Fragmentation is the free room of the usable instances of a service, in thousandths of a core, and
// the largest task that fits on one of them.
type Fragmentation struct {
	Free              int `json:"free"`
	Largest           int `json:"largest"`
	BestEffortFree    int `json:"best_effort_free"`
	BestEffortLargest int `json:"best_effort_largest"`
}

// add adds the room of an instance.
func (f *Fragmentation) add(in *instance) {
	free, leftover := max(in.free().Processors, 0), max(in.bestEffortRoom(), 0)
	f.Free += free
	f.Largest = max(f.Largest, free)
	f.BestEffortFree += leftover
	f.BestEffortLargest = max(f.BestEffortLargest, leftover)
}

// Fragmentation returns the fragmentation of each service.
func (s *Scheduler) Fragmentation(now time.Time) map[string]Fragmentation {
	services := map[string]Fragmentation{}
	for _, in := range s.byID {
		if in.usable(now) {
			f := services[in.registration.Service]
			f.add(in)
			services[in.registration.Service] = f
		}
	}
	return services
}

// Windows returns the number of windows.
func (s *Scheduler) Windows() int { return len(s.holds) }

// maxWindowChanges bounds the changes that are kept for TakeWindowChanges.
const maxWindowChanges = 100

// TakeWindowChanges returns the changes of windows since the last call.
func (s *Scheduler) TakeWindowChanges() []WindowChange {
	changes := s.windowChanges
	s.windowChanges = nil
	return changes
}

// noteWindow records a change of a window.
func (p *planner) noteWindow(h *hold, cause WindowCause) {
	if len(p.scheduler.windowChanges) >= maxWindowChanges {
		return
	}
	change := WindowChange{Job: h.job.spec.ID, Step: h.step, Cause: cause, Wait: max(h.window.Expected.Sub(p.now), 0)}
	for _, share := range h.window.Shares {
		change.Instances = append(change.Instances, share.Host)
	}
	for _, in := range p.usable {
		if in.registration.Service == h.service {
			change.Fragmentation.add(in)
		}
	}
	p.scheduler.windowChanges = append(p.scheduler.windowChanges, change)
}
