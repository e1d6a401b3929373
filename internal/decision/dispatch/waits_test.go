package dispatch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestWaitsOfLongRunningTasksNameTheirCause(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(2, 20)
	s.RestoreInstance(Registration{Incarnation: Incarnation{ID: "a", StartedAt: 1}, Service: "s", Capacity: Resources{Processors: 1000}})
	s.Accept(now, &Job{ID: "earlier", Policy: Policy{Service: "s"}, OwnerRevision: 10, Steps: []Step{{Count: 2, LongRunning: true, Need: Resources{Processors: 500}}}}, nil)
	s.Accept(now, &Job{ID: "own", Policy: Policy{Service: "s"}, OwnerRevision: 20, Steps: []Step{{Count: 1, LongRunning: true, Need: Resources{Processors: 500}}}}, nil)
	s.Plan(now)
	want := Waits{
		Unconfirmed: 2, Unplaced: 1, Instances: 1, MissingInstances: 1,
		Example: TaskName{Job: "own"}, Obstacles: map[Obstacle]int{ObstacleNotReady: 1},
	}
	if diff := cmp.Diff(want, s.LongRunningWaits(now)); diff != "" {
		t.Error(diff)
	}
}
