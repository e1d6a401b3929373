// Package interference decides how far batch tasks are slowed for the latency-critical
// tasks on the same instance. Model learns what each best-effort image costs each
// latency-critical one, Pacer sets the pace of the images on one instance by these costs,
// and Throttle sets one CPU share for all batch tasks from measured tail latencies. Batch
// tasks are best-effort tasks; a service class is a class of latency-critical requests.
// Callers measure latencies and CPU use, and apply the decisions. The types aren't safe
// for concurrent use.
package interference

import (
	"slices"
	"time"
)

const (
	// sampleWindow is the age above which a sample no longer contributes to the tail latency.
	sampleWindow = 2 * time.Second
	// minSamples is the number of samples in the window below which a class's tail
	// latency is ignored.
	minSamples = 10
	// decreaseThreshold is the ratio of tail latency to target from which the CPU share is
	// decreased. It is the inverse of a headroom as Headroom returns it: 0.9 is a headroom
	// of 1.11.
	decreaseThreshold = 0.9
	// increaseThreshold is the ratio of tail latency to target below which the CPU share is
	// increased: 0.7 is a headroom of 1.43.
	increaseThreshold = 0.7
	// decreaseFactor is the factor by which a decrease multiplies the CPU share.
	decreaseFactor = 0.5
	// minShare is the lowest CPU share, so that batch tasks always make some progress.
	minShare = 0.1
	// increaseStep is added to the CPU share by one increase, and increaseInterval is the
	// least time from any change to an increase. They bound how fast the share recovers.
	increaseStep     = 0.1
	increaseInterval = time.Second
	// decreaseInterval is the least time from any change to a decrease, so that the effect
	// of the change shows in the samples first.
	decreaseInterval = 500 * time.Millisecond
)

// Target is the latency target of a service class: the quantile (0 to 1) of its service
// times that must stay below Latency.
type Target struct {
	Quantile float64
	Latency  time.Duration
}

type sample struct {
	at          time.Time
	serviceTime time.Duration
}

// Throttle is a control loop for one instance. It sets the CPU share of all batch tasks
// by additive increase and multiplicative decrease (AIMD), from the class whose tail
// latency is closest to its target. Agents that control admission use it, as they measure
// each request; the runner uses Pacer. It isn't safe for concurrent use.
type Throttle struct {
	targets    map[string]Target
	samples    map[string][]sample
	share      float64
	lastChange time.Time
}

// Decision is a change of the CPU share of batch tasks. Class, Tail and Target describe
// the class with the highest ratio of tail latency to target; they are zero if no class
// has enough samples.
type Decision struct {
	Share  float64 // from 0.1 to 1, of the cores that the tasks requested
	Class  string
	Tail   time.Duration
	Target time.Duration
}

// NewThrottle returns a Throttle without targets, at a CPU share of 1.
func NewThrottle() *Throttle {
	return &Throttle{targets: map[string]Target{}, samples: map[string][]sample{}, share: 1}
}

// Share returns the current CPU share of batch tasks, from 0.1 to 1.
func (t *Throttle) Share() float64 { return t.share }

// SetTargets replaces the latency targets, by service class. The Throttle keeps the map;
// the caller must not change it afterwards.
func (t *Throttle) SetTargets(targets map[string]Target) { t.targets = targets }

// Observe records the service time of one request that completed at now. Classes without
// a target are ignored.
func (t *Throttle) Observe(now time.Time, class string, serviceTime time.Duration) {
	if _, hasTarget := t.targets[class]; hasTarget {
		t.samples[class] = append(t.samples[class], sample{at: now, serviceTime: serviceTime})
	}
}

// Tick updates the CPU share and reports whether it changed. The caller calls it
// periodically and applies the decision.
func (t *Throttle) Tick(now time.Time) (Decision, bool) {
	worst := t.worstClass(now)
	pressure := 0.0
	if worst.Target > 0 {
		pressure = float64(worst.Tail) / float64(worst.Target)
	}
	sinceChange := now.Sub(t.lastChange)
	switch {
	case pressure >= decreaseThreshold && t.share > minShare && sinceChange >= decreaseInterval:
		t.share = max(t.share*decreaseFactor, minShare)
	case pressure < increaseThreshold && t.share < 1 && sinceChange >= increaseInterval:
		t.share = min(t.share+increaseStep, 1)
	default:
		return Decision{}, false
	}
	t.lastChange = now
	worst.Share = t.share
	return worst, true
}

// worstClass returns the class with the highest ratio of tail latency to target, and the zero
// Decision if no class has enough samples.
func (t *Throttle) worstClass(now time.Time) Decision {
	var worst Decision
	for class, target := range t.targets {
		tail, ok := t.tail(now, class, target.Quantile)
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

// tail removes the samples of a class that are older than the window and returns the
// quantile of the others; false if there are too few.
func (t *Throttle) tail(now time.Time, class string, quantile float64) (time.Duration, bool) {
	recent := slices.DeleteFunc(t.samples[class], func(obs sample) bool { return now.Sub(obs.at) > sampleWindow })
	t.samples[class] = recent
	if len(recent) < minSamples {
		return 0, false
	}
	times := make([]time.Duration, len(recent))
	for i, obs := range recent {
		times[i] = obs.serviceTime
	}
	slices.Sort(times)
	return times[int(quantile*float64(len(times)-1))], true
}
