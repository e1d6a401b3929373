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
		of.lapses, of.losing, of.doubtful, of.versions = map[string]time.Time{}, map[string]bool{"a": true}, map[string]bool{}, map[table.RowKey]uint64{}
		life := dispatch.Incarnation{ID: "a", StartedAt: 1}
		of.book.Register(now, dispatch.Registration{Incarnation: life, Agent: "p", Service: "s", Capacity: dispatch.Resources{Processors: 8000, Memory: 8000}})
		of.book.Registered(life)
		of.book.Reconcile(now, life, nil)
		job := dispatch.Job{ID: "j", Policy: dispatch.Policy{Service: "s"}, Steps: []dispatch.Step{{Count: 1, Need: dispatch.Resources{Processors: 1000}}}}
		of.book.Accept(now, &job, nil)
		if starts := of.book.Plan(now); len(starts) != 1 {
			t.Fatalf("%d starts, want 1", len(starts))
		}
		for id, lapse := range c.lapses {
			of.lapses[id] = lapse
		}
		of.lost("a", now, table.Txn{}, table.TxnResult{Outcome: table.Committed}, nil)
		if lost := len(of.book.Runs("a")) == 0; lost != c.lost {
			t.Errorf("%s: lost %v, want %v", c.name, lost, c.lost)
		}
	}
}

// Another life of a worker shows that the life before is over: nobody waits for its grants,
// and its row is removed once.
func TestAReplacedLifeIsGivenUpOnce(t *testing.T) {
	of := termOf(nil)
	before := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "a", StartedAt: 1}, Agent: "p", Service: "s"}
	of.book.RestoreInstance(before)
	of.lapses = map[string]time.Time{"a": time.Now().Add(doubtWait)}
	after := before
	after.Incarnation = dispatch.Incarnation{ID: "b", StartedAt: 2}
	of.book.Register(time.Now(), after)
	of.takeChanges()
	if len(of.lapses) != 0 {
		t.Errorf("still waits for %v", of.lapses)
	}
	removed := 0
	for _, change := range of.changes {
		if change.Gone && change.Registration.Incarnation.ID == "a" {
			removed++
		}
	}
	if removed != 1 {
		t.Errorf("the row of the life before is removed %d times", removed)
	}
}
