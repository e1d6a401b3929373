// Package interference decides how far batch tasks on an instance are throttled
// for the services beside them.
package interference

import (
	"slices"
	"time"
)

const (
	// window is how long a sample counts.
	window = 2 * time.Second
	// samplesLeast is how many samples a class needs before its tail is believed.
	samplesLeast = 10
	// near is the share of the target from which on tasks are throttled.
	near = 0.9
	// far is the share of the target below which the throttle is released.
	far = 0.7
	// cut is what a throttle step leaves of the share.
	cut = 0.5
	// shareLeast keeps tasks from standing still.
	shareLeast = 0.1
	// releaseStep and releasePeriod bound how fast the share comes back.
	releaseStep   = 0.1
	releasePeriod = time.Second
	// cutPeriod lets a throttle step show in the samples before the next.
	cutPeriod = 500 * time.Millisecond
)

// Target is the tail latency owed to a class of services.
type Target struct {
	Quantile float64
	Latency  time.Duration
}

type sample struct {
	at   time.Time
	took time.Duration
}

// Throttle is the fast loop's state on one instance.
type Throttle struct {
	targets map[string]Target
	samples map[string][]sample
	share   float64
	changed time.Time
}

// Decision is a change of the share that batch tasks may use of their processors.
type Decision struct {
	Share  float64
	Class  string // whose tail decided
	Tail   time.Duration
	Target time.Duration
}

// New makes the state with no target and no throttle.
func New() *Throttle {
	return &Throttle{targets: map[string]Target{}, samples: map[string][]sample{}, share: 1}
}

// Share is the share in force.
func (s *Throttle) Share() float64 { return s.share }

// SetTargets replaces the targets of the service classes.
func (s *Throttle) SetTargets(targets map[string]Target) { s.targets = targets }

// Observe takes the service time of one request.
func (s *Throttle) Observe(now time.Time, class string, took time.Duration) {
	if _, owed := s.targets[class]; owed {
		s.samples[class] = append(s.samples[class], sample{at: now, took: took})
	}
}

// Tick decides whether the share changes now.
func (s *Throttle) Tick(now time.Time) (Decision, bool) {
	worst := s.worst(now)
	pressure := 0.0
	if worst.Target > 0 {
		pressure = float64(worst.Tail) / float64(worst.Target)
	}
	since := now.Sub(s.changed)
	switch {
	case pressure >= near && s.share > shareLeast && since >= cutPeriod:
		s.share = max(s.share*cut, shareLeast)
	case pressure < far && s.share < 1 && since >= releasePeriod:
		s.share = min(s.share+releaseStep, 1)
	default:
		return Decision{}, false
	}
	s.changed = now
	worst.Share = s.share
	return worst, true
}

// worst finds the class whose tail is nearest to its target.
func (s *Throttle) worst(now time.Time) Decision {
	var worst Decision
	for class, target := range s.targets {
		tail, ok := s.tail(now, class, target.Quantile)
		if !ok {
			continue
		}
		ratio := float64(tail) / float64(target.Latency)
		if worst.Target == 0 || ratio > float64(worst.Tail)/float64(worst.Target) {
			worst = Decision{Class: class, Tail: tail, Target: target.Latency}
		}
	}
	return worst
}

func (s *Throttle) tail(now time.Time, class string, quantile float64) (time.Duration, bool) {
	fresh := slices.DeleteFunc(s.samples[class], func(each sample) bool { return now.Sub(each.at) > window })
	s.samples[class] = fresh
	if len(fresh) < samplesLeast {
		return 0, false
	}
	times := make([]time.Duration, len(fresh))
	for i, each := range fresh {
		times[i] = each.took
	}
	slices.Sort(times)
	return times[int(quantile*float64(len(times)-1))], true
}
