package speeds

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// group returns a model with so many instances, of which the first is to be judged.
func group(instances int) (*Model, *Record) {
	m := New()
	for i := range instances {
		m.Record(string(rune('a'+i)), "s", string(rune('A'+i)))
	}
	return m, m.Record("a", "s", "A")
}

// Each hold lengthens until the instance has shown that it is well.
func TestHoldsLengthenUntilAGoodRun(t *testing.T) {
	cases := []struct {
		name  string
		good  bool          // a run ends as done between the holds
		holds time.Duration // of the third hold
	}{
		{"bad runs only", false, 4 * failingHold},
		{"a good run", true, failingHold},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, r := group(8)
			now := at(0)
			r.Failed(now, "first")
			for i := range 3 {
				if now = r.HeldUntil(); now.IsZero() {
					now = at(0)
				}
				if c.good {
					r.Done(now)
					r.Failed(now, "other")
				}
				r.Failed(now, string(rune('j'+i)))
			}
			if hold := r.HeldUntil().Sub(now); hold != c.holds {
				t.Errorf("the third hold lasts %v, not %v", hold, c.holds)
			}
		})
	}
}

// An instance is judged by the runs of its peers, and in proportion.
func TestSpeedIsAgainstPeers(t *testing.T) {
	cases := []struct {
		name      string
		own, peer time.Duration // where a run is expected to take a second
		below     float64       // the speed
		above     float64
		held      bool
	}{
		{"as the others", time.Second, time.Second, 1, 1, false},
		{"all take long", 3 * time.Second, 3 * time.Second, 1, 1, false},
		{"somewhat slower", 1700 * time.Millisecond, time.Second, 0.8, 0.55, false},
		{"far slower", 3 * time.Second, time.Second, 0.5, 0.3, true},
		{"faster", 500 * time.Millisecond, time.Second, 1, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, r := group(8)
			for _, other := range m.sorted {
				taken := c.peer
				if other == r {
					taken = c.own
				}
				for range 10 {
					other.Ended(at(1), time.Second, taken)
				}
			}
			m.Review(at(1))
			if speed := m.Speed("a", at(1)); speed > c.below || speed < c.above {
				t.Errorf("speed %.2f, not between %.2f and %.2f", speed, c.above, c.below)
			}
			if r.Held(at(1)) != c.held {
				t.Errorf("held: %v", !c.held)
			}
		})
	}
}

// A slow instance gets one run after its hold. That run decides.
func TestASlowInstanceIsProbed(t *testing.T) {
	for _, taken := range []time.Duration{time.Second, 4 * time.Second} {
		_, r := group(8)
		r.hold(at(0), Slow, slowHold)
		if r.Probes() != 1 || !r.Held(at(0.9)) || r.Held(at(1)) {
			t.Fatal("not held for 1 s and probed by one run then")
		}
		r.Ended(at(5), time.Second, taken)
		if well := !r.Held(at(5)) && !r.Probing(); well != (taken == time.Second) {
			t.Errorf("after a run of %v: well %v", taken, well)
		}
	}
}

// The probes of a slow instance say nothing if no others of their step have ended. It gets all work again
// after a while.
func TestASlowInstanceIsNotProbedForEver(t *testing.T) {
	m, r := group(8)
	r.hold(at(0), Slow, slowHold)
	for second := range 8 {
		r.Ended(at(float64(second)), 0, time.Second)
		m.Review(at(float64(second)))
		if want := second < 6; r.Probing() != want {
			t.Errorf("%d s after the hold began: probed %v, want %v", second, r.Probing(), want)
		}
	}
}

// A hold for another cause never ends the one that lasts.
func TestAHoldIsNotShortenedByAnother(t *testing.T) {
	_, r := group(8)
	r.hold(at(0), Flapping, 10*time.Second)
	r.Failed(at(1), "first")
	r.Failed(at(1), "second")
	if !r.Held(at(9)) {
		t.Errorf("held until %v only", r.HeldUntil().Sub(start))
	}
}

// Hosts whose instances are gone for long are forgotten, those of which a silence is remembered are not.
func TestHostsThatAreGoneAreForgotten(t *testing.T) {
	m, _ := group(3)
	m.Silent(at(0), "A")
	for _, instance := range []string{"a", "b"} {
		m.Drop(instance)
	}
	for i, want := range []int{2, 1} {
		m.Review(at(1 + float64(i)*flapMemory.Seconds()))
		if len(m.flaps) != want {
			t.Errorf("review %d: %d hosts, not %d", i, len(m.flaps), want)
		}
	}
}
