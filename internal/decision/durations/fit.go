package durations

import (
	"math"
	"time"
)

const (
	// memory is the factor by which what was learned fades with each step, so that about the last
	// 60 steps count.
	memory = 1 - 1.0/60
	// ratioVariance is the prior variance of the log of a queue's mean ratio to the estimates.
	ratioVariance = 0.5 * 0.5
	// slopeShrinkage is the number of steps, times the variance of the estimates' logs, after which
	// half of the dependence on the estimates is believed.
	slopeShrinkage = 1
	// priorVariance is the variance of a step's log around its prediction before any is known. It
	// counts as priorWeight steps.
	priorVariance = 0.6 * 0.6
	priorWeight   = 4
	// priorTaskVariance is that of the tasks of a step around its middle.
	priorTaskVariance = 0.2 * 0.2
	// clipDeviations is the number of standard deviations to which a step's deviation is clipped,
	// and minClip the least bound, in logs: one step of a heavy tail says little of the others.
	clipDeviations = 2.5
	minClip        = 1
	// maxExtrapolation is the number of standard deviations beyond the known estimates up to which
	// the dependence on the estimates holds.
	maxExtrapolation = 2.5
)

// fit predicts the log of what a step takes from the log of its estimate: the estimate plus the
// mean ratio, plus a slope from -1 (the estimates say nothing) to 0 (the estimates are right but
// for the ratio) times the distance of the estimate from the mean one. It is a regression by least
// squares with forgetting, of clipped deviations, shrunk towards the plain estimate.
type fit struct {
	weight     float64 // of the steps with an estimate, decayed
	estimate   float64 // mean log of the estimates
	ratio      float64 // mean log of what the steps took, less that of the estimates
	spread     float64 // sum of the squares of the estimates around their mean
	covariance float64 // sum of the products of estimates and ratios around their means
	errors     float64 // sum of the squares of the residuals
	allWeight  float64 // of all steps, decayed
	center     float64 // mean log of what all steps took
}

// predict returns the log of what a step takes. known is false if there is neither an estimate nor a
// step that is known.
func (f *fit) predict(estimate time.Duration) (log float64, known bool) {
	if estimate <= 0 {
		return f.center, f.allWeight > 0
	}
	x := toLog(estimate)
	if f.weight == 0 {
		return x, true
	}
	certainty := f.weight / (f.weight + f.variance()/ratioVariance)
	return x + f.ratio*certainty + f.slopeTerm(x), true
}

// residual returns how much longer, in logs, a step took than others of its estimate, without the
// shrinkage of the ratio. It is 0 without an estimate.
func (f *fit) residual(estimate time.Duration, took float64) float64 {
	if estimate <= 0 {
		return 0
	}
	x := toLog(estimate)
	return f.clip(took - x - f.ratio - f.slopeTerm(x))
}

// slopeTerm returns what the distance of the log of an estimate from the mean one adds.
func (f *fit) slopeTerm(x float64) float64 {
	slope := min(max(f.covariance/(f.spread+slopeShrinkage), -1), 0)
	reach := maxExtrapolation * math.Sqrt(f.spread/f.weight)
	return slope * min(max(x-f.estimate, -reach), reach)
}

// variance returns the variance of a step's log around its prediction.
func (f *fit) variance() float64 {
	return (f.errors + priorWeight*priorVariance) / (f.weight + priorWeight)
}

// clip bounds the deviation of a step from its prediction.
func (f *fit) clip(deviation float64) float64 {
	bound := max(clipDeviations*math.Sqrt(f.variance()), minClip)
	return min(max(deviation, -bound), bound)
}

// observe records the log of what a step took.
func (f *fit) observe(estimate time.Duration, took float64) {
	expected, known := f.predict(estimate)
	if known {
		took = expected + f.clip(took-expected)
	}
	f.allWeight = f.allWeight*memory + 1
	f.center += (took - f.center) / f.allWeight
	if estimate <= 0 {
		return
	}
	x := toLog(estimate)
	before := f.weight * memory
	f.weight = before + 1
	fromEstimate, fromRatio := x-f.estimate, took-x-f.ratio
	f.estimate += fromEstimate / f.weight
	f.ratio += fromRatio / f.weight
	f.spread = f.spread*memory + before/f.weight*fromEstimate*fromEstimate
	f.covariance = f.covariance*memory + before/f.weight*fromEstimate*fromRatio
	deviation := f.residual(estimate, took)
	f.errors = f.errors*memory + deviation*deviation
}
