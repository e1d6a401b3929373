package owner

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

// While the row of a silent instance is removed it may come back, be granted more and fall
// silent again. Its tasks start elsewhere only after that grant is over too.
func TestAnInstanceThatWasBackMeanwhileIsNotLost(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name   string
		lapses map[string]time.Time
		lost   bool
	}{
		{"silent all the while", map[string]time.Time{"a": now}, true},
		{"back", nil, false},
		{"back and silent again", map[string]time.Time{"a": now.Add(grantWait)}, false},
	}
	for _, c := range cases {
		of := termOf(nil)
		of.lapses, of.losing, of.doubtful, of.versions = map[string]time.Time{}, map[string]bool{"a": true}, map[string]bool{}, map[table.Place]uint64{}
		life := dispatch.Life{ID: "a", Born: 1}
		of.book.Attach(now, dispatch.Offer{Life: life, Agent: "p", Service: "s", Capacity: dispatch.Need{Processors: 8000, Memory: 8000}})
		of.book.Registered(life)
		of.book.List(now, life, nil)
		job := dispatch.Job{ID: "j", Policy: dispatch.Policy{Service: "s"}, Steps: []dispatch.Step{{Count: 1, Need: dispatch.Need{Processors: 1000}}}}
		of.book.Accept(now, &job, nil)
		if starts := of.book.Plan(now); len(starts) != 1 {
			t.Fatalf("%d starts, want 1", len(starts))
		}
		for id, lapse := range c.lapses {
			of.lapses[id] = lapse
		}
		of.lost("a", now, table.Change{}, table.Applied{Outcome: table.Committed}, nil)
		if lost := len(of.book.Traits("a")) == 0; lost != c.lost {
			t.Errorf("%s: lost %v, want %v", c.name, lost, c.lost)
		}
	}
}
