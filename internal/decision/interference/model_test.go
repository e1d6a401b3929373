package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The model must attribute lost headroom to the image that causes it. Four instances run
// one task each of a latency-critical job, with a varying load that they share, and up to
// two best-effort tasks, with four cores each, of each of four images. Which ones run
// changes over time. Image h costs 0.14 of headroom per core, the others nothing.
func TestModelFindsTheCostlyImage(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		model := NewModel()
		cores := make([]map[string]float64, 4)
		for step := range 40 { // ten seconds
			now := time.Unix(0, 0).Add(time.Duration(step) * 250 * time.Millisecond)
			alone := 2.6 + 0.9*math.Sin(2*math.Pi*float64(step)/40+float64(seed))
			for i := range cores {
				if (step+i)%8 == 0 {
					cores[i] = map[string]float64{}
					for _, image := range []string{"h", "l", "m", "n"} {
						cores[i][image] = 4 * float64(random.IntN(3))
					}
				}
				headroom := max(alone-0.14*cores[i]["h"]+0.2*(random.Float64()-0.5), 0.1)
				model.Observe(Sample{At: now, LatencyCritical: "s", Job: "j", Headroom: headroom, Cores: cores[i]})
			}
		}
		if h := model.Cost("s", "h"); h < 0.1 || h > 0.18 {
			t.Errorf("seed %d: cost of the costly image: got %.3f, want about 0.14", seed, h)
		}
		for _, harmless := range []string{"l", "m", "n"} {
			if l := model.Cost("s", harmless); l > 0.03 {
				t.Errorf("seed %d: cost of the harmless image %s: got %.3f, want at most 0.03", seed, harmless, l)
			}
		}
	}
}

// MinHeadroom must return the minimum over a whole period of a varying load, and drop it
// after the load has become constant.
func TestMinHeadroomFollowsTheLoad(t *testing.T) {
	model := NewModel()
	now := time.Unix(0, 0)
	feed := func(seconds int, headroom func(second float64) float64) {
		for step := range seconds * 4 {
			now = now.Add(250 * time.Millisecond)
			model.Observe(Sample{At: now, LatencyCritical: "s", Job: "j", Headroom: headroom(float64(step) / 4)})
		}
	}
	feed(20, func(second float64) float64 { return 2.6 + 0.9*math.Sin(2*math.Pi*second/10) })
	if low := model.MinHeadroom("s", "j"); low < 1.5 || low > 2 {
		t.Errorf("minimum headroom of a load whose headroom falls to 1.7: %.2f", low)
	}
	feed(16, func(float64) float64 { return 3 })
	if low := model.MinHeadroom("s", "j"); low < 2.7 {
		t.Errorf("minimum headroom after 16 s of a constant headroom of 3: %.2f", low)
	}
}

// One instance that hangs must not raise the estimated cost of a best-effort image much.
func TestHangingInstanceHardlyRaisesCosts(t *testing.T) {
	model := NewModel()
	for step := range 40 {
		now := time.Unix(0, 0).Add(time.Duration(step) * 250 * time.Millisecond)
		for i := range 4 {
			headroom, cores := 2.5, map[string]float64{"f": float64(4 * (i % 2))}
			if i == 3 && step > 20 {
				headroom = 0.05
			}
			model.Observe(Sample{At: now, LatencyCritical: "s", Job: "j", Headroom: headroom, Cores: cores})
		}
	}
	// The image ran on the instance that hangs and on one that doesn't.
	if cost := model.Cost("s", "f"); cost > 0.35 {
		t.Errorf("estimated cost of the image: got %.3f, want at most 0.35", cost)
	}
}

// A model that was restored from another one's estimates must have the same costs.
func TestRestoredModelHasTheSameCosts(t *testing.T) {
	first := NewModel()
	for step := range 80 {
		now := time.Unix(0, 0).Add(time.Duration(step) * 250 * time.Millisecond)
		cores := float64(4 * (step / 8 % 2))
		first.Observe(Sample{At: now, LatencyCritical: "s", Job: "j", Headroom: 3 - 0.2*cores, Cores: map[string]float64{"h": cores, "l": 4 - cores}})
	}
	next := NewModel()
	next.Restore(first.Estimates(10))
	for _, image := range []string{"h", "l"} {
		if before, after := first.Cost("s", image), next.Cost("s", image); math.Abs(before-after) > 1e-9 {
			t.Errorf("cost of image %s: %.3f before, %.3f after Restore", image, before, after)
		}
	}
	if known := first.Estimates(1); len(known) != 1 {
		t.Errorf("got %d estimates, want 1", len(known))
	}
}

// headroomWith simulates an instance. Its latency-critical task has a headroom of 2.2, less
// 0.3 for each core that the costly image h uses at its current pace.
func headroomWith(pacer *Pacer, costlyCores float64) float64 {
	return max(2.2-0.3*costlyCores*float64(pacer.Pace("h"))/100, 0.05)
}

func TestPacerSlowsOnlyTheCostlyImage(t *testing.T) {
	model := NewModel()
	model.Set(PairCost{Pair{"s", "h"}, 0.3})
	model.Set(PairCost{Pair{"s", "l"}, 0})
	pacer := NewPacer(model)
	now := time.Unix(0, 0)
	timeOver := time.Duration(0)
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		headroom := headroomWith(pacer, 7)
		if headroom < 1 {
			timeOver += 250 * time.Millisecond
		}
		pacer.Observe(now, []TaskHeadroom{{"s", headroom}}, map[string]ImageUsage{"h": {7 * float64(pacer.Pace("h")) / 100, 7}, "l": {7, 7}})
	}
	if timeOver > time.Second {
		t.Errorf("target exceeded for %v", timeOver)
	}
	if pacer.Pace("l") != 100 {
		t.Errorf("the harmless image is slowed to %d %%", pacer.Pace("l"))
	}
	if pacer.Pace("h") == 100 {
		t.Error("the costly image is not slowed")
	}
}

// If the model wrongly takes the image that causes the slowdown for harmless, the pacer
// must pause all best-effort images, so that the target isn't exceeded for long.
func TestPacerPausesAllAfterMaxTimeOverTarget(t *testing.T) {
	model := NewModel()
	model.Set(PairCost{Pair{"s", "h"}, 0}) // wrong: it costs 0.3
	pacer := NewPacer(model)
	now := time.Unix(0, 0)
	timeOver, longest := time.Duration(0), time.Duration(0)
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		headroom := headroomWith(pacer, 7)
		if timeOver += 250 * time.Millisecond; headroom >= 1 {
			timeOver = 0
		}
		longest = max(longest, timeOver)
		pacer.Observe(now, []TaskHeadroom{{"s", headroom}}, map[string]ImageUsage{"h": {7, 7}})
	}
	if longest > 2*time.Second {
		t.Errorf("target exceeded for %v without a break", longest)
	}
}

func TestFullPaceWithoutLatencyCriticalTasks(t *testing.T) {
	pacer := NewPacer(NewModel())
	now := time.Unix(0, 0)
	pacer.Observe(now.Add(time.Second), []TaskHeadroom{{"s", 0.6}}, map[string]ImageUsage{"h": {7, 7}})
	if pacer.Pace("h") == 100 {
		t.Fatal("the best-effort image is not slowed")
	}
	pacer.Observe(now.Add(2*time.Second), nil, map[string]ImageUsage{"h": {7, 7}})
	if pacer.Pace("h") != 100 {
		t.Error("the best-effort image is still slowed without a latency-critical task")
	}
}
