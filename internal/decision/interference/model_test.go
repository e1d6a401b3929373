package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Four instances with a task each of one serving job, whose load swings as the others'
// does, and up to two filling tasks of four cores of each of four images, which come and
// go. Image h costs 0.14 of the headroom for each core, the others nothing.
func TestPairsTellHeavyFromLight(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		pairs := NewModel()
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
				pairs.Observe(Sample{At: now, LatencyCritical: "s", Job: "j", Headroom: headroom, Cores: cores[i]})
			}
		}
		if h := pairs.Cost("s", "h"); h < 0.1 || h > 0.18 {
			t.Errorf("seed %d: the heavy image costs %.3f, 0.14 is true", seed, h)
		}
		for _, light := range []string{"l", "m", "n"} {
			if l := pairs.Cost("s", light); l > 0.03 {
				t.Errorf("seed %d: the harmless image %s costs %.3f", seed, light, l)
			}
		}
	}
}

// The lowest headroom of a swinging load is remembered over the swing, and forgotten
// afterwards.
func TestTroughFollowsTheSwing(t *testing.T) {
	pairs := NewModel()
	now := time.Unix(0, 0)
	feed := func(seconds int, headroom func(second float64) float64) {
		for step := range seconds * 4 {
			now = now.Add(250 * time.Millisecond)
			pairs.Observe(Sample{At: now, LatencyCritical: "s", Job: "j", Headroom: headroom(float64(step) / 4)})
		}
	}
	feed(20, func(second float64) float64 { return 2.6 + 0.9*math.Sin(2*math.Pi*second/10) })
	if low := pairs.MinHeadroom("s", "j"); low < 1.5 || low > 2 {
		t.Errorf("trough of a load that swings down to 1.7: %.2f", low)
	}
	feed(16, func(float64) float64 { return 3 })
	if low := pairs.MinHeadroom("s", "j"); low < 2.7 {
		t.Errorf("trough 16 s after the swing ended at 3: %.2f", low)
	}
}

// One instance that hangs does not make a filling image on the others look heavy.
func TestAHangingInstanceTeachesLittle(t *testing.T) {
	pairs := NewModel()
	for step := range 40 {
		now := time.Unix(0, 0).Add(time.Duration(step) * 250 * time.Millisecond)
		for i := range 4 {
			headroom, cores := 2.5, map[string]float64{"f": float64(4 * (i % 2))}
			if i == 3 && step > 20 {
				headroom = 0.05
			}
			pairs.Observe(Sample{At: now, LatencyCritical: "s", Job: "j", Headroom: headroom, Cores: cores})
		}
	}
	// The image ran on the one that hangs and on one that does not.
	if cost := pairs.Cost("s", "f"); cost > 0.35 {
		t.Errorf("the image is believed to cost %.3f", cost)
	}
}

// What one owner has learned serves the next as it did the first.
func TestEstimatesAreLearnedAgain(t *testing.T) {
	first := NewModel()
	for step := range 80 {
		now := time.Unix(0, 0).Add(time.Duration(step) * 250 * time.Millisecond)
		cores := float64(4 * (step / 8 % 2))
		first.Observe(Sample{At: now, LatencyCritical: "s", Job: "j", Headroom: 3 - 0.2*cores, Cores: map[string]float64{"h": cores, "l": 4 - cores}})
	}
	next := NewModel()
	next.Restore(first.Estimates(10))
	for _, image := range []string{"h", "l"} {
		if had, has := first.Cost("s", image), next.Cost("s", image); math.Abs(had-has) > 1e-9 {
			t.Errorf("image %s cost %.3f and costs %.3f now", image, had, has)
		}
	}
	if known := first.Estimates(1); len(known) != 1 {
		t.Errorf("%d estimates of at most 1", len(known))
	}
}

// An instance whose serving task has a headroom of 2.2 and 0.3 less for each core of the
// heavy image that works.
func headroomWith(pacer *Pacer, heavyCores float64) float64 {
	return max(2.2-0.3*heavyCores*float64(pacer.Pace("h"))/100, 0.05)
}

func TestPacerSlowsWhatIsHeavyOnly(t *testing.T) {
	pairs := NewModel()
	pairs.Set(PairCost{Pair{"s", "h"}, 0.3})
	pairs.Set(PairCost{Pair{"s", "l"}, 0})
	pacer := NewPacer(pairs)
	now := time.Unix(0, 0)
	over := time.Duration(0)
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		headroom := headroomWith(pacer, 7)
		if headroom < 1 {
			over += 250 * time.Millisecond
		}
		pacer.Observe(now, []LatencyCritical{{"s", headroom}}, map[string]BestEffort{"h": {7 * float64(pacer.Pace("h")) / 100, 7}, "l": {7, 7}})
	}
	if over > time.Second {
		t.Errorf("over the target for %v", over)
	}
	if pacer.Pace("l") != 100 {
		t.Errorf("the light image is slowed to %d %%", pacer.Pace("l"))
	}
	if pacer.Pace("h") == 100 {
		t.Error("the heavy image is not slowed")
	}
}

// Whatever is believed of the images, a serving task is not left over its target.
func TestPacerStopsEverythingWhenNothingElseHelps(t *testing.T) {
	pairs := NewModel()
	pairs.Set(PairCost{Pair{"s", "h"}, 0}) // wrong
	pacer := NewPacer(pairs)
	now := time.Unix(0, 0)
	over, longest := time.Duration(0), time.Duration(0)
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		headroom := headroomWith(pacer, 7)
		if over += 250 * time.Millisecond; headroom >= 1 {
			over = 0
		}
		longest = max(longest, over)
		pacer.Observe(now, []LatencyCritical{{"s", headroom}}, map[string]BestEffort{"h": {7, 7}})
	}
	if longest > 2*time.Second {
		t.Errorf("over the target for %v on end", longest)
	}
}

func TestPacerGivesBackWhatNobodyNeeds(t *testing.T) {
	pacer := NewPacer(NewModel())
	now := time.Unix(0, 0)
	pacer.Observe(now.Add(time.Second), []LatencyCritical{{"s", 0.6}}, map[string]BestEffort{"h": {7, 7}})
	if pacer.Pace("h") == 100 {
		t.Fatal("nothing is slowed")
	}
	pacer.Observe(now.Add(2*time.Second), nil, map[string]BestEffort{"h": {7, 7}})
	if pacer.Pace("h") != 100 {
		t.Error("still slowed without a serving task")
	}
}
