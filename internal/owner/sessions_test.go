package owner

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

// While the row of a disconnected instance is being removed, the instance may attach again,
// be granted another lease and disconnect again. Its tasks may start elsewhere only after
// that lease has expired too.
func TestInstanceThatAttachedAgainIsNotLost(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name        string
		leaseExpiry map[string]time.Time
		lost        bool
	}{
		{"silent all the while", map[string]time.Time{"a": now}, true},
		{"back", nil, false},
		{"back and silent again", map[string]time.Time{"a": now.Add(leaseExpiryWait)}, false},
	}
	for _, c := range cases {
		current := newTestTerm(nil)
		current.leaseExpiry, current.removing, current.removalUncertain, current.revisions = map[string]time.Time{}, map[string]bool{"a": true}, map[string]bool{}, map[table.RowKey]uint64{}
		incarnation := dispatch.Incarnation{ID: "a", StartedAt: 1}
		current.scheduler.Register(now, dispatch.Registration{Incarnation: incarnation, Agent: "p", Service: "s", Capacity: dispatch.Resources{Processors: 8000, Memory: 8000}})
		current.scheduler.RowWritten(incarnation)
		current.scheduler.Reconcile(now, incarnation, nil)
		job := dispatch.Job{ID: "j", Policy: dispatch.Policy{Service: "s"}, Steps: []dispatch.Step{{Count: 1, Need: dispatch.Resources{Processors: 1000}}}}
		current.scheduler.Accept(now, &job, nil)
		if starts := current.scheduler.Plan(now); len(starts) != 1 {
			t.Fatalf("%d starts, want 1", len(starts))
		}
		for id, newExpiry := range c.leaseExpiry {
			current.leaseExpiry[id] = newExpiry
		}
		current.handleRemoval("a", now, table.Txn{}, table.TxnResult{Outcome: table.Committed}, nil)
		if lost := len(current.scheduler.Runs("a")) == 0; lost != c.lost {
			t.Errorf("%s: lost %v, want %v", c.name, lost, c.lost)
		}
	}
}

// A new incarnation of a worker shows that the previous one has ended: the owner no longer
// waits for the leases of the previous one, and removes its row once.
func TestAReplacedIncarnationIsRemovedOnce(t *testing.T) {
	current := newTestTerm(nil)
	before := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "a", StartedAt: 1}, Agent: "p", Service: "s"}
	current.scheduler.RestoreInstance(before)
	current.leaseExpiry = map[string]time.Time{"a": time.Now().Add(current.takeoverWait())}
	after := before
	after.Incarnation = dispatch.Incarnation{ID: "b", StartedAt: 2}
	current.scheduler.Register(time.Now(), after)
	current.collectInstanceChanges()
	if len(current.leaseExpiry) != 0 {
		t.Errorf("still waits for the expiry of leases: %v", current.leaseExpiry)
	}
	removed := 0
	for _, change := range current.changes {
		if change.Gone && change.Registration.Incarnation.ID == "a" {
			removed++
		}
	}
	if removed != 1 {
		t.Errorf("the row of the previous incarnation is removed %d times, want 1", removed)
	}
}

// Only a report that frees resources or changes the use of its instance makes the owner plan at
// once: hundreds of instances report twice a second.
func TestReportsThatChangeThePlan(t *testing.T) {
	cases := []struct {
		name   string
		report link.Report
		plan   bool
	}{
		{"nothing new", link.Report{}, false},
		{"measurements", link.Report{Measurements: []dispatch.Measurement{{Value: 1}}}, false},
		{"a new checkpoint", link.Report{Running: []dispatch.RunStatus{{Checkpoint: "c"}}}, false},
		{"the full list of runs", link.Report{Full: true}, true},
		{"an end", link.Report{Ends: []dispatch.End{{Sequence: 1}}}, true},
		{"a changed registration", link.Report{Registration: &dispatch.Registration{}}, true},
		{"a worker that turns silent", link.Report{Silent: true}, true},
		{"a worker whose leases are over", link.Report{LeasesExpired: true}, true},
	}
	for _, c := range cases {
		if plan := changesPlan(&session{}, c.report); plan != c.plan {
			t.Errorf("%s: plan %v, want %v", c.name, plan, c.plan)
		}
	}
	if changesPlan(&session{silent: true}, link.Report{Silent: true}) {
		t.Error("a worker that stays silent changes nothing")
	}
}

// An acknowledgement that orders or a reply have carried is not sent again, and one that none has
// carried is sent maxAckDelay after the first commit that it is for.
func TestAcknowledgementsThatAreOwed(t *testing.T) {
	now := time.Now()
	s := &session{}
	s.recordCommit(3, now)
	if s.owesAck(now) {
		t.Error("an acknowledgement is owed at once")
	}
	s.recordCommit(5, now.Add(maxAckDelay/2))
	if !s.owesAck(now.Add(maxAckDelay)) {
		t.Error("the first commit is not acknowledged in time")
	}
	s.lastSentCommit = s.lastCommittedEnd
	if s.owesAck(now.Add(2 * maxAckDelay)) {
		t.Error("an acknowledgement that was carried is owed")
	}
}

// That the leases of an instance are over may be heard late: the instance may have attached again, and
// run tasks, by then. Its tasks must not start elsewhere.
func TestALateReportOfExpiredLeasesLosesNothing(t *testing.T) {
	registration := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "w", StartedAt: 1}, Service: "s"}
	cases := []struct {
		name      string
		connected bool
	}{
		{"while the instance is connected", true},
		{"while its leases are waited for", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			onTerm(t, func(current *term, _ *Conn) { // the instance has attached
				job := dispatch.Job{ID: "j", Policy: dispatch.Policy{Service: "s"}, Steps: []dispatch.Step{{Count: 1}}}
				current.scheduler.Accept(time.Now(), &job, nil)
				if starts := current.scheduler.Plan(time.Now()); len(starts) != 1 {
					t.Fatalf("%d starts, want 1", len(starts))
				}
				if !c.connected {
					current.disconnected("w", current.sessions["w"])
				}
				current.handleExpired(link.Attach{Registration: registration, LeasesExpired: true, Epoch: current.epoch})
				if len(current.scheduler.Runs("w")) != 1 {
					t.Error("the instance was lost")
				}
			})
		})
	}
	for _, epoch := range []uint64{1, 2} {
		onTerm(t, func(current *term, _ *Conn) {
			restored := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "r", StartedAt: 1}, Service: "s"}
			current.scheduler.RestoreInstance(restored)
			current.handleExpired(link.Attach{Registration: restored, LeasesExpired: true, Epoch: epoch})
			if waits := len(current.scheduler.Unconfirmed()) > 0; waits != (epoch < current.epoch) {
				t.Errorf("meant for epoch %d, heard in epoch %d: the owner waits for the instance: %v", epoch, current.epoch, waits)
			}
		})
	}
}

// An agent process without a worker speaks for the workers of its predecessors only. It must not take a
// worker from an agent that is connected, nor be heard by another owner than the one that it means.
func TestAnAgentWithoutAWorkerLosesOnlyWhatItsPredecessorsHad(t *testing.T) {
	cases := []struct {
		name               string
		agent, incarnation string // of the agent process that has no worker
		epoch              uint64
		lost               bool
	}{
		{"the next process of the agent", "a", "p2", 2, true},
		{"the process that registered the worker", "a", "p1", 2, false},
		{"another agent", "b", "p2", 2, false},
		{"no name", "", "p2", 2, false},
		{"meant for an earlier owner", "a", "p2", 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			onTerm(t, func(current *term, conn *Conn) {
				for _, restored := range []dispatch.Registration{
					{Incarnation: dispatch.Incarnation{ID: "r", StartedAt: 1}, Service: "s", Agent: "a", AgentIncarnation: "p1"},
					{Incarnation: dispatch.Incarnation{ID: "n", StartedAt: 1}, Service: "s"},
				} {
					current.scheduler.RestoreInstance(restored)
				}
				attach := link.Attach{Vacant: true, Epoch: c.epoch, Registration: dispatch.Registration{Agent: c.agent, AgentIncarnation: c.incarnation}}
				if _, err := current.handleCall(conn, link.MethodAttach, encode(t, attach)); err != nil {
					t.Error(err)
				}
				if lost := len(current.scheduler.Unconfirmed()) < 2; lost != c.lost {
					t.Errorf("lost %v, want %v", lost, c.lost)
				}
			})
		})
	}
	onTerm(t, func(current *term, conn *Conn) {
		registration := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "r", StartedAt: 1}, Service: "s", Agent: "a", AgentIncarnation: "p1"}
		current.scheduler.RestoreInstance(registration)
		current.handleAttach(conn, link.Attach{Registration: registration, Session: 1})
		current.handleVacant(link.Attach{Vacant: true, Epoch: 2, Registration: dispatch.Registration{Agent: "a", AgentIncarnation: "p2"}})
		if len(current.scheduler.RegisteredBy("a")) != 1 {
			t.Error("a connected instance was lost")
		}
	})
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Each session of a term has a higher fencing token than all before it, whichever agent and worker it is of:
// an agent may show the token of a session to another worker, before that one's own session begins.
func TestEachSessionHasAHigherTokenThanAllBefore(t *testing.T) {
	onTerm(t, func(current *term, conn *Conn) {
		last := uint64(0)
		for i, id := range []string{"x", "x", "x", "y", "x", "z", "y"} {
			registration := dispatch.Registration{Incarnation: dispatch.Incarnation{ID: id, StartedAt: 1}, Service: "s", Agent: "a" + id}
			attached := current.handleAttach(conn, link.Attach{Registration: registration, Session: uint64(i)})
			if token := link.Fence(attached.Epoch, attached.Attach); token <= last {
				t.Errorf("session %d, of %s, has the token %d after %d", i, id, token, last)
			} else {
				last = token
			}
		}
		if next := link.Fence(current.epoch+1, 1); next <= link.Fence(current.epoch, link.MaxAttaches) {
			t.Errorf("the first token of the next epoch is %d", next)
		}
	})
}

// An owner whose epoch has no more fencing tokens gives up the ownership, since two sessions with one token
// are not kept apart.
func TestAnOwnerWithoutTokensGivesUp(t *testing.T) {
	onTerm(t, func(current *term, conn *Conn) {
		current.elector.term = current
		current.attaches = link.MaxAttaches
		attach := link.Attach{Registration: dispatch.Registration{Incarnation: dispatch.Incarnation{ID: "x", StartedAt: 1}, Service: "s", Agent: "ax"}, Session: 1}
		params, err := json.Marshal(attach)
		if err != nil {
			t.Fatal(err)
		}
		if reply, err := current.handleCall(conn, link.MethodAttach, params); err == nil {
			t.Errorf("attached as %+v", reply)
		}
		if !current.ended || current.elector.term != nil {
			t.Error("it still is the owner")
		}
	})
}
