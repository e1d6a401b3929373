package submission

import (
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

func TestRoutesInForceNeverFall(t *testing.T) {
	var force ActiveRoutes
	cases := []struct {
		version uint64
		adopted bool
	}{{3, true}, {3, false}, {2, false}, {7, true}, {5, false}}
	for _, c := range cases {
		if got := force.Adopt(NewRoutes(c.version, nil, 0)); got != c.adopted {
			t.Errorf("version %d adopted: %v, want %v", c.version, got, c.adopted)
		}
	}
	if force.Get().Version() != 7 {
		t.Errorf("version %d is in force, want 7", force.Get().Version())
	}
}

// Only last states are remembered, and memory is bounded.
func TestLastStatesAreRememberedWithinABound(t *testing.T) {
	d := New(nil, nil, nil, nil, nil)
	for i := range 3 * finalMost {
		d.remember(dispatch.TaskName{Step: i}.String(), dispatch.Completed)
		if len(d.final) > finalMost {
			t.Fatalf("%d states are kept", len(d.final))
		}
	}
	d.remember("j", dispatch.Failed)
	if state, ok := d.known("j"); !ok || state != dispatch.Failed {
		t.Errorf("got %v, %v", state, ok)
	}
	if _, ok := d.known("k"); ok {
		t.Error("a job that nobody asked about is known")
	}
}
