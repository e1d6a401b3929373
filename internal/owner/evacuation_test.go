package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cockroachdb/errors"
)

// A term does not open before it has read the requests: its first plan knows them.
func TestATermReadsTheEvacuationsBeforeItOpens(t *testing.T) {
	cases := []struct {
		name string
		err  error
	}{{"readable", nil}, {"unreadable", errors.New("no answer")}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			onTerm(t, func(current *term, _ *Conn) {
				rows := []table.Record{{RowKey: table.RowKey{Table: "requests", Key: "e/d0"}}}
				store := &table.Store{Read: func(context.Context, table.Range) ([]table.Record, uint64, error) { return rows, 5, c.err }}
				current.elector.settings.Evacuations.Requests = &evacuation.Follower{Store: store, Table: "requests", Prefix: "e/"}
				current.elector.store = &table.Store{Read: func(context.Context, table.Range) ([]table.Record, uint64, error) { return nil, 5, nil }}
				if _, err := current.read(); (err == nil) != (c.err == nil) {
					t.Errorf("the load: %v, want %v", err, c.err)
				}
				if known := current.evacuations().Of("d0").Evacuated; known != (c.err == nil) {
					t.Errorf("evacuated %v", known)
				}
			})
		})
	}
}

// An agent is told what it does not know, and an owner takes over what an agent knows from a later
// one.
func TestEvacuationIsTold(t *testing.T) {
	cases := []struct {
		name      string
		owner     evacuation.State
		agent     *link.Evacuation
		told      *link.Evacuation
		evacuated bool // as the owner knows afterwards
	}{
		{"calm", evacuation.State{Read: 5}, nil, nil, false},
		{"the agent does not know", evacuation.State{Marks: map[string]evacuation.Mark{"d0": {Evacuated: true, Revision: 7}}}, nil, &link.Evacuation{Evacuated: true, Revision: 7}, true},
		{"both know", evacuation.State{Marks: map[string]evacuation.Mark{"d0": {Evacuated: true, Revision: 7}}}, &link.Evacuation{Evacuated: true, Revision: 6}, nil, true},
		{"taken back", evacuation.State{Read: 9}, &link.Evacuation{Evacuated: true, Revision: 6}, &link.Evacuation{Revision: 9}, false},
		{"the agent knows more", evacuation.State{Read: 5}, &link.Evacuation{Evacuated: true, Revision: 6}, nil, true},
		{"another domain", evacuation.State{Marks: map[string]evacuation.Mark{"d1": {Evacuated: true, Revision: 7}}}, nil, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			onTerm(t, func(current *term, conn *Conn) {
				current.elector.settings.Evacuations.Known.Merge(c.owner)
				registration := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "x", StartedAt: 1}, Service: "s", Domain: "d0", Agent: "ax"}
				attached := current.handleAttach(conn, link.Attach{Registration: registration, Session: 1, Evacuation: c.agent})
				reported, err := current.handleReport(conn, link.Report{Incarnation: registration.Incarnation, Evacuation: c.agent})
				if err != nil {
					t.Fatal(err)
				}
				for _, told := range []*link.Evacuation{attached.Evacuation, reported.Evacuation} {
					if (told == nil) != (c.told == nil) || told != nil && *told != *c.told {
						t.Errorf("told %+v, want %+v", told, c.told)
					}
				}
				if evacuated := current.evacuations().Of("d0").Evacuated; evacuated != c.evacuated {
					t.Errorf("evacuated %v, want %v", evacuated, c.evacuated)
				}
			})
		})
	}
}

// A call of a version that does not know the field, or that is odd, changes nothing.
func TestOddEvacuationCalls(t *testing.T) {
	onTerm(t, func(current *term, _ *Conn) {
		for _, params := range []string{`{}`, `{"read":0,"marks":null}`, `{"marks":{"":{"evacuated":true}}}`, `[]`, `{"marks":{"d0":{"evacuated":"x"}}}`} {
			_, _ = current.elector.handleEvacuated([]byte(params)) // odd calls fail
			if domains := current.evacuations().Domains(); len(domains) != 0 {
				t.Errorf("%s: %v is evacuated", params, domains)
			}
		}
		current.elector.settings.Evacuations.Known.Record("", true, 5)
		current.applyEvacuations()
		job := dispatch.Job{ID: "j", Policy: dispatch.Policy{Service: "s"}, Steps: []dispatch.Step{{Count: 1, Need: dispatch.Resources{Processors: 1000}}}}
		current.scheduler.Accept(time.Now(), &job, nil)
		if starts := current.scheduler.Plan(time.Now()); len(starts) != 1 {
			t.Errorf("%d starts on an instance without a domain", len(starts))
		}
	})
}

// An agent's report may change what is known while the loop's queue is full. The loop must not wait for
// itself then.
func TestAnEvacuationIsRecordedWhileTheLoopIsBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		onTerm(t, func(current *term, _ *Conn) {
			current.followEvacuations()
			go func() {
				for range 10_000 { // more than the queue holds
					current.post(func() {})
				}
			}()
			synctest.Wait()
			current.noteAgentEvacuation(&session{domain: "d0"}, &link.Evacuation{Evacuated: true, Revision: 9})
			current.stop()
		})
	})
}
