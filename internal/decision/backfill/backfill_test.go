package backfill

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func cores(n int) Room { return Room{Processors: n * 1000} }

// hostOf returns a host where nothing is free and runs of some cores end, one a second from at 1 s on.
func hostOf(id, rack string, limit int, ends ...int) *Host {
	h := &Host{ID: id, Rack: rack, Limit: limit}
	for i, n := range ends {
		h.Ends = append(h.Ends, End{At: at(float64(i + 1)), Frees: cores(n)})
	}
	return h
}

func TestWhereAndWhenThereIsRoom(t *testing.T) {
	none := hostOf("none", "r1", 9, 1, 1)
	slow := hostOf("slow", "r1", 9, 1, 1, 1, 1, 4)
	fast := hostOf("fast", "r2", 9, 2, 2, 4)
	single := hostOf("single", "r2", 1, 4, 4)
	cases := []struct {
		name     string
		hosts    []*Host
		need     Room
		count    int
		oneRack  bool
		from     float64 // 0: never
		gathered bool
		shares   map[string]int
	}{
		{"nowhere", []*Host{none}, cores(4), 1, false, 0, false, nil},
		{"where it comes first", []*Host{none, slow, fast}, cores(4), 1, false, 2, true, map[string]int{"fast": 1}},
		{"by one end", []*Host{slow, single}, cores(4), 1, false, 1, false, map[string]int{"single": 1}},
		{"for a gang", []*Host{slow, fast}, cores(2), 3, false, 2, true, map[string]int{"fast": 2, "slow": 1}},
		{"for a gang of which one may run on an instance", []*Host{slow, single}, cores(4), 2, false, 4, true, map[string]int{"single": 1, "slow": 1}},
		{"for a gang that finds a rack a bit later", []*Host{slow, fast}, cores(2), 3, true, 3, true, map[string]int{"fast": 3}},
		{"for a gang that finds a rack much later", []*Host{fast, slow}, cores(4), 3, true, 4, true, map[string]int{"fast": 2, "slow": 1}},
		{"for a gang that never fits", []*Host{none, fast}, cores(4), 3, false, 0, false, nil},
	}
	for _, c := range cases {
		w, ok := Find(at(0), c.hosts, c.need, c.count)
		if c.oneRack && ok {
			w = FindInOneRack(at(0), c.hosts, c.need, c.count, w, 1500*time.Millisecond)
		}
		var shares map[string]int
		from := 0.0
		if ok {
			shares, from = map[string]int{}, w.From.Sub(at(0)).Seconds()
		}
		for _, share := range w.Shares {
			shares[share.Host] = share.Count
		}
		if diff := cmp.Diff([]any{c.from, c.gathered, c.shares}, []any{from, w.Gathered, shares}); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// A window never begins later than it was first expected, so that tasks that end late let in no others.
func TestAWindowIsNotPutOff(t *testing.T) {
	h := hostOf("a", "r1", 1, 2, 2)
	w, _ := Find(at(0), []*Host{h}, cores(4), 1)
	h.Ends[1].At = at(9)
	if !w.Renew(at(1), []*Host{h}) || !w.From.Equal(at(2)) || !w.Expected.Equal(at(9)) {
		t.Errorf("with a late end: from %v, expected %v", w.From, w.Expected)
	}
	if w.Admits(&w.Shares[0], cores(1), at(5)) {
		t.Error("a task that is gone before the late end is admitted")
	}
	h.Ends = h.Ends[:1]
	if w.Renew(at(1), []*Host{h}) {
		t.Error("the window is kept though the room never comes")
	}
}
