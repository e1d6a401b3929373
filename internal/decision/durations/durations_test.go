package durations

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// source draws steps: what their tasks take, and what their user estimates, in seconds.
type source struct {
	name     string
	took     func(random *rand.Rand, step int) float64
	estimate func(random *rand.Rand, took float64) float64
	steps    int
	// gain bounds the mean error of the prediction for a step before it runs, as a share of that of
	// the estimate, and gainWithRuns that after three of its runs.
	gain, gainWithRuns float64
}

func lognormal(random *rand.Rand, middle, deviation float64) float64 {
	return middle * math.Exp(deviation*random.NormFloat64())
}

// off returns estimates that are off by up to share of what the step takes.
func off(share float64) func(*rand.Rand, float64) float64 {
	return func(random *rand.Rand, took float64) float64 { return took * (1 + share*(2*random.Float64()-1)) }
}

func sources() []source {
	spread := func(random *rand.Rand, _ int) float64 { return lognormal(random, 1.4, 0.5) }
	heavy := func(random *rand.Rand, _ int) float64 {
		took := lognormal(random, 1.2, 0.5)
		if random.Float64() < 0.03 {
			took *= 7
		}
		return took
	}
	bimodal := func(random *rand.Rand, _ int) float64 {
		return lognormal(random, []float64{0.5, 8}[random.IntN(2)], 0.2)
	}
	shifting := func(random *rand.Rand, step int) float64 {
		return lognormal(random, []float64{1, 6}[step/100%2], 0.3)
	}
	worthless := func(random *rand.Rand, _ float64) float64 { return lognormal(random, 3, 1) }
	factor := func(random *rand.Rand, took float64) float64 { return lognormal(random, took*0.67, 0.9) }
	fixed := func(*rand.Rand, float64) float64 { return 10 }
	right := func(_ *rand.Rand, took float64) float64 { return took }
	third := func(_ *rand.Rand, took float64) float64 { return took / 3 }
	return []source{
		{"spread, off by 0.9", spread, off(0.9), 200, 0.85, 0.35},
		{"spread, off by 0.5", spread, off(0.5), 200, 1, 0.55},
		{"spread, off by 0.2", spread, off(0.2), 200, 1.05, 1.05},
		{"spread, right", spread, right, 200, 1, 1},
		{"heavy tail, off by 0.9", heavy, off(0.9), 200, 0.95, 0.4},
		{"heavy tail, off by a factor", heavy, factor, 200, 0.7, 0.3},
		{"heavy tail, worthless", heavy, worthless, 200, 0.5, 0.25},
		{"bimodal, off by 0.5", bimodal, off(0.5), 200, 1.1, 0.55},
		{"bimodal, worthless", bimodal, worthless, 200, 1, 0.3},
		{"shifting, off by 0.5", shifting, off(0.5), 400, 1.1, 0.55},
		{"shifting, one estimate for all", shifting, fixed, 400, 0.7, 0.2},
		{"a third of the truth", spread, third, 200, 0.2, 0.2},
		{"few, off by 0.5", spread, off(0.5), 4, 1.1, 0.65},
		{"few, off by 0.9", spread, off(0.9), 4, 1.1, 0.5},
		{"few, worthless", spread, worthless, 4, 1, 0.4},
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// errorOf returns the distance of the logs of a prediction and of what was predicted.
func errorOf(predicted, took time.Duration) float64 { return math.Abs(toLog(predicted) - toLog(took)) }

// The prediction for a step is better than its estimate where there is something to learn, and never much
// worse; after three runs of the step it is better in any case but for estimates that are right.
func TestPredictionsAgainstEstimates(t *testing.T) {
	const taskDeviation, played = 0.2, 4000
	class := Class{Queue: "q", Image: "f"}
	for _, c := range sources() {
		random := rand.New(rand.NewPCG(1, 2))
		plain, before, withRuns, beyond, count := 0.0, 0.0, 0.0, 0, 0
		for count < played {
			m := New()
			for step := range c.steps {
				middle := c.took(random, step)
				estimate := seconds(c.estimate(random, middle))
				prediction := m.Predict(class, estimate)
				plain += errorOf(estimate, seconds(middle))
				before += errorOf(prediction.Median, seconds(middle))
				if seconds(middle) > prediction.Tail {
					beyond++
				}
				runs := &Runs{}
				for i := range 10 {
					if i == 3 {
						withRuns += errorOf(m.PredictStep(class, estimate, runs).Median, seconds(middle))
					}
					runs.Add(seconds(lognormal(random, middle, taskDeviation)), 0)
				}
				m.Observe(class, estimate, runs)
				count++
			}
		}
		n := float64(count)
		t.Logf("%-32s error of the estimate %.3f, predicted %.3f, with three runs %.3f, beyond the tail %.3f", c.name, plain/n, before/n, withRuns/n, float64(beyond)/n)
		if before > plain*c.gain+0.02*n {
			t.Errorf("%s: mean error %.3f, of the estimate %.3f, want %.2f of it", c.name, before/n, plain/n, c.gain)
		}
		if withRuns > plain*c.gainWithRuns+0.1*n {
			t.Errorf("%s: mean error with three runs %.3f, of the estimate %.3f, want %.2f of it", c.name, withRuns/n, plain/n, c.gainWithRuns)
		}
	}
}

// The end of a run is expected at the median, then at the tail; a run beyond the tail is overdue, unless
// hardly any run is known.
func TestRemainingAndOverdue(t *testing.T) {
	prediction := Prediction{Median: 4 * time.Second, Tail: 6 * time.Second, Evidence: minOverdueEvidence}
	unknown := Prediction{Median: 4 * time.Second, Tail: 4 * time.Second}
	cases := []struct {
		name       string
		prediction Prediction
		elapsed    time.Duration
		remaining  time.Duration
		overdue    bool
	}{
		{"at the start", prediction, 0, 4 * time.Second, false},
		{"before the median", prediction, 3 * time.Second, time.Second, false},
		{"after it", prediction, 5 * time.Second, time.Second, false},
		{"beyond the tail", prediction, 7 * time.Second, 0, true},
		{"nothing known", unknown, 7 * time.Second, 0, false},
	}
	for _, c := range cases {
		if remaining := c.prediction.Remaining(c.elapsed); remaining != c.remaining {
			t.Errorf("%s: %s left, want %s", c.name, remaining, c.remaining)
		}
		if overdue := c.prediction.Overdue(c.elapsed); overdue != c.overdue {
			t.Errorf("%s: overdue %v, want %v", c.name, overdue, c.overdue)
		}
	}
}

// The first runs of a step to end are its shortest: the others are expected to take longer.
func TestTheFirstRunsToEndAreTheShortest(t *testing.T) {
	m, runs := New(), &Runs{}
	runs.Add(800*time.Millisecond, 19)
	first := m.PredictStep(Class{Queue: "q"}, time.Second, runs).Median
	alone := &Runs{}
	alone.Add(800*time.Millisecond, 0)
	if last := m.PredictStep(Class{Queue: "q"}, time.Second, alone).Median; first <= last || first < 900*time.Millisecond {
		t.Errorf("predicted %s while 19 others run, %s without", first, last)
	}
}

// An image whose tasks take longer than those of its queue is predicted so; images that do not differ are
// predicted as if they were one.
func TestImages(t *testing.T) {
	const images, steps = 18, 360
	random := rand.New(rand.NewPCG(3, 4))
	m, alone := New(), New()
	apart := 0.0
	for step := range steps {
		class := Class{Queue: "q", Image: string(rune('a' + step%images))}
		took := lognormal(random, 1.4, 0.5)
		estimate := seconds(lognormal(random, took, 0.5))
		apart += errorOf(m.Predict(class, estimate).Median, alone.Predict(Class{Queue: "q"}, estimate).Median)
		runs := &Runs{}
		runs.Add(seconds(took), 0)
		alone.Observe(Class{Queue: "q"}, estimate, runs)
		m.Observe(class, estimate, runs)
	}
	if apart > 0.1*steps {
		t.Errorf("images that do not differ are predicted apart from their queue by %.3f", apart/steps)
	}
	slow := Class{Queue: "q", Image: "slow"}
	for range 20 {
		runs := &Runs{}
		runs.Add(seconds(lognormal(random, 6, 0.3)), 0)
		m.Observe(slow, seconds(2), runs)
	}
	if err := errorOf(m.Predict(slow, seconds(2)).Median, 6*time.Second); err > 0.35 {
		t.Errorf("predicted %s, want about 6 s", m.Predict(slow, seconds(2)).Median)
	}
}

// The runs of a wide step end in the order of their length. The median of those that are held is that of
// all.
func TestRunsOfAWideStep(t *testing.T) {
	for _, count := range []int{1, 2, 16, 17, 18, 40, 300} {
		runs := &Runs{}
		for i := range count {
			runs.Add(time.Second+time.Duration(i)*time.Second/time.Duration(count), count-1-i)
		}
		middle := fromLog(runs.middle()).Seconds()
		want := 1 + float64(count-1)/2/float64(count)
		if math.Abs(middle-want) > 0.06 || runs.Count() != count || len(runs.logs) > maxRuns {
			t.Errorf("%d runs: median %.3f s, want %.3f s; %d counted, %d held", count, middle, want, runs.Count(), len(runs.logs))
		}
	}
}

// A task without an estimate takes what the others of its queue take, and nothing as long as none is known.
func TestWithoutAnEstimate(t *testing.T) {
	for _, estimate := range []time.Duration{0, time.Second} { // of the steps before
		m, class := New(), Class{Queue: "q"}
		if got := m.Predict(class, 0); got != (Prediction{}) {
			t.Errorf("predicted %v with nothing known", got)
		}
		for range 20 {
			runs := &Runs{}
			runs.Add(4*time.Second, 0)
			m.Observe(class, estimate, runs)
		}
		if err := errorOf(m.Predict(class, 0).Median, 4*time.Second); err > 0.1 {
			t.Errorf("predicted %s, want about 4 s", m.Predict(class, 0).Median)
		}
	}
}
