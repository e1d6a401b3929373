package dispatch

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/speeds"
)

// TestWhatCallersGetOnAnUnevenFleet compares what callers get if instances are judged by what they
// deliver with what they get if none is.
func TestWhatCallersGetOnAnUnevenFleet(t *testing.T) {
	cases := []struct {
		name   string
		change func(*worker)
		cause  speeds.Cause
		min    int // percent of the jobs in time
	}{
		{"slow by three", func(w *worker) { w.slowness = 3 }, speeds.Slow, 70},
		{"runs stand still", func(w *worker) { w.slowness = 1e6 }, speeds.Slow, 80},
		{"half of the runs fail", func(w *worker) { w.failing = 0.5 }, speeds.Failing, 90},
		{"all runs fail", func(w *worker) { w.failing = 1 }, speeds.Failing, 90},
		{"starts are refused", func(w *worker) { w.sheds = true }, speeds.Shedding, 90},
		{"silent by turns", func(w *worker) {
			w.silent = func(since time.Duration) bool { return since%(4*time.Second) > 3*time.Second }
		}, speeds.Flapping, 70},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var inTime [2]int
			var lost [2]time.Duration
			for i, off := range []bool{true, false} {
				f := newFleet(c.change)
				f.off = off
				f.play(25*time.Second, 3.5)
				inTime[i], lost[i] = 100*f.jobsInTime/max(f.jobsDone+len(f.jobs), 1), f.lost
				t.Logf("off %v: %d %% of %d jobs in time, %v of work lost, holds %v", off, inTime[i], f.jobsDone+len(f.jobs), f.lost.Round(time.Second), f.held)
				if !off && f.held[c.cause] == 0 {
					t.Errorf("no instance was held as %v", c.cause)
				}
			}
			if inTime[1] < c.min || inTime[1] < inTime[0] || lost[1] > lost[0] {
				t.Errorf("%d %% in time, %v lost; without judgement %d %%, %v", inTime[1], lost[1], inTime[0], lost[0])
			}
		})
	}
}

// TestCommonCausesSetNoInstanceAside plays loads in which no instance is worse than its peers.
func TestCommonCausesSetNoInstanceAside(t *testing.T) {
	cases := []struct {
		name   string
		change func(*fleet)
		max    int // holds
	}{
		{"durations of a heavy tail", func(f *fleet) { f.tail = 0.03 }, 0},
		{"all instances are slow", func(f *fleet) { f.each(func(w *worker) { w.slowness = 2 }) }, 0},
		{"all instances turn slow", func(f *fleet) {
			f.play(5*time.Second, 3.5)
			f.each(func(w *worker) { w.slowness = 2 })
		}, 0},
		{"all instances go silent by turns", func(f *fleet) {
			f.each(func(w *worker) {
				w.silent = func(since time.Duration) bool { return since%(4*time.Second) > 3*time.Second }
			})
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(func(*worker) {})
			c.change(f)
			f.play(20*time.Second, 2)
			if holds := len(f.held); holds > c.max || f.jobsDone == 0 {
				t.Errorf("held: %v, %d jobs done", f.held, f.jobsDone)
			}
		})
	}
}

func (f *fleet) each(change func(*worker)) {
	for _, w := range f.instances {
		change(w)
	}
}

// TestFewInstancesAreHeldAtATime plays a fault of half of the instances: the bound keeps most in use.
func TestFewInstancesAreHeldAtATime(t *testing.T) {
	f := newFleet(func(*worker) {})
	for i, w := range f.instances {
		w.failing = float64(i % 2)
	}
	for range 200 {
		f.play(100*time.Millisecond, 20)
		held := 0
		for _, in := range f.scheduler.byID {
			if !in.usable(f.now) && in.record.Held(f.now) {
				held++
			}
		}
		if held > len(f.instances)/4 {
			t.Fatalf("%d of %d instances are held", held, len(f.instances))
		}
	}
}

// TestANewOwnerLearnsAgain checks that what an earlier owner knew isn't needed: nothing is stored.
func TestANewOwnerLearnsAgain(t *testing.T) {
	f := newFleet(func(w *worker) { w.failing, w.slowness = 0, 4 })
	f.play(10*time.Second, 3.5)
	f.scheduler = New(2, 7)
	f.register()
	f.held = map[speeds.Cause]int{}
	f.play(6*time.Second, 3.5)
	if f.held[speeds.Slow] == 0 {
		t.Error("the new owner holds no slow instance")
	}
}

// TestStalledRunsMove compares what callers of best-effort jobs get where a third of the instances stall
// their runs by turns, with moves and without.
func TestStalledRunsMove(t *testing.T) {
	var inTime [2]int
	for i, off := range []bool{true, false} {
		f := newFleet(func(*worker) {})
		f.off = off
		f.step.BestEffort, f.step.Checkpoints = true, true
		for i, w := range f.instances {
			if i%3 == 0 {
				w.pace = func(since time.Duration) float64 {
					if (since+time.Duration(i)*time.Second/3)%(6*time.Second) < 3*time.Second {
						return 0
					}
					return 1
				}
			}
		}
		f.play(25*time.Second, 2.5)
		inTime[i] = 100 * f.jobsInTime / max(f.jobsDone, 1)
		t.Logf("off %v: %d %% of %d jobs in time, %d moves, holds %v", off, inTime[i], f.jobsDone, f.moves, f.held)
		if !off && f.moves == 0 {
			t.Error("nothing moved")
		}
	}
	if inTime[1] <= inTime[0] {
		t.Errorf("%d %% in time, %d %% without moves", inTime[1], inTime[0])
	}
}

// A slow instance is probed by runs that end. A long-running task that has started there is no probe.
func TestALongRunningTaskIsNoProbe(t *testing.T) {
	s := schedulerWith(registrationOf("a", 8), registrationOf("b", 8))
	slow := s.instances["a"]
	for range 6 {
		slow.record.Ended(at(0), time.Second, 5*time.Second)
		s.instances["b"].record.Ended(at(0), time.Second, time.Second)
	}
	s.speeds.Review(at(0))
	expect(t, "held", slow.record.Held(at(0.1)), true)
	s.Accept(at(0), jobOf("full", stepOf(1, 8)), nil)
	expect(t, "start", startsOf(s.Plan(at(0.1))), []string{"full.0.0.0 1 b"})
	lasting := stepOf(1, 1)
	lasting.LongRunning = true
	s.Accept(at(0), jobOf("lasting", lasting), nil)
	s.Accept(at(0), jobOf("j", stepOf(3, 1)), nil)
	expect(t, "during the hold", startsOf(s.Plan(at(0.2))), []string{"lasting.0.0.0 1 a"})
	expect(t, "the probe", startsOf(s.Plan(at(1.1))), []string{"j.0.0.0 1 a"})
	s.Ended(at(2), Incarnation{"a", 1}, []End{{Sequence: 1, Task: TaskName{"lasting", 0, 0, 0}, Run: 1, Reason: EndStopped}})
	expect(t, "beside the probe", startsOf(s.Plan(at(2))), []string{"lasting.0.0.0 2 a"})
}
