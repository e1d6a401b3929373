package submission

import (
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
)

func TestActiveRoutesVersionNeverDecreases(t *testing.T) {
	var active ActiveRoutes
	cases := []struct {
		version uint64
		applied bool
	}{{3, true}, {3, false}, {2, false}, {7, true}, {5, false}}
	for _, c := range cases {
		if got := active.Apply(NewRoutes(c.version, nil, Limits{})); got != c.applied {
			t.Errorf("version %d applied: %v, want %v", c.version, got, c.applied)
		}
	}
	if active.Get().Version() != 7 {
		t.Errorf("version %d is active, want 7", active.Get().Version())
	}
}

// The cache of final states is bounded and returns only states that were put into it.
func TestFinalStateCacheIsBounded(t *testing.T) {
	s := New(nil, nil, nil, nil, nil)
	for i := range 3 * maxFinalStates {
		s.cacheState(dispatch.TaskName{Step: i}.String(), dispatch.Completed)
		if len(s.finalStates) > maxFinalStates {
			t.Fatalf("%d states are cached, which exceeds the bound", len(s.finalStates))
		}
	}
	s.cacheState("j", dispatch.Failed)
	if state, ok := s.cachedState("j"); !ok || state != dispatch.Failed {
		t.Errorf("got %v, %v", state, ok)
	}
	if _, ok := s.cachedState("k"); ok {
		t.Error("a job whose state was never cached is found")
	}
}
