package process

import (
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/decision/routing"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"go.uber.org/zap"
)

// announced takes a new agent. It runs on the loop, as all of this file does.
func (e *Entry) announced(a link.Announce) link.Welcome {
	e.adoptText(a.Config)
	e.routing.Announce(time.Now(), routing.Instance{
		Name: a.Instance, Domain: a.Domain, Incarnation: a.Incarnation, Slots: a.Capacity.Slots,
	})
	if a.Draining {
		e.routing.Drain(a.Instance)
	}
	e.keeper.Announce(instanceOf(a))
	return link.Welcome{Entry: e.settings.Name, Peers: e.peers(), Config: e.configFor(a.Config.Version)}
}

func instanceOf(a link.Announce) placement.Instance {
	return placement.Instance{Name: a.Instance, Domain: a.Domain, Rack: a.Rack, Capacity: a.Capacity.Resources()}
}

func (e *Entry) beat(a link.Announce, beat link.Heartbeat) link.HeartbeatReply {
	e.routing.Observe(time.Now(), a.Instance, routing.Load{Busy: beat.Busy, Queued: beat.Queued})
	if beat.Draining {
		e.routing.Drain(a.Instance)
	}
	owner, epoch := e.keeper.Owner(a.Instance)
	if beat.Text != "" {
		e.adoptText(link.Config{Version: beat.Config, Text: beat.Text})
	}
	reply := link.HeartbeatReply{Owner: owner, Epoch: epoch, Want: beat.Config > e.document.Load().Version}
	if peers := e.peers(); link.HashPeers(peers) != beat.Peers {
		reply.Peers = peers
	}
	if config := e.configFor(beat.Config); config.Text != "" {
		reply.Config = &config
	}
	if beat.WorkerIncarnation != "" {
		reply.Grant = e.keeper.Heartbeat(instanceOf(a), placement.Heartbeat{
			Instance: a.Instance, Incarnation: a.Incarnation, WorkerIncarnation: beat.WorkerIncarnation, Epoch: beat.Epoch, Session: beat.Session, Sequence: beat.Sequence,
			InFlight: beat.Busy, Draining: beat.Draining, Held: beat.Held,
		})
	}
	return reply
}

func (e *Entry) gone(a link.Announce) {
	e.routing.Remove(a.Instance, a.Incarnation)
}

// configFor is the document for a node that has version: with text if it is newer.
func (e *Entry) configFor(version uint64) link.Config {
	document := e.document.Load()
	config := link.Config{Version: document.Version}
	if document.Version > version {
		config.Text = document.Text()
	}
	return config
}

// adoptText takes a document that a peer brought.
func (e *Entry) adoptText(offered link.Config) {
	if offered.Version <= e.document.Load().Version || offered.Text == "" {
		return
	}
	document, err := contract.Parse([]byte(offered.Text))
	if err != nil {
		e.log.Error("config-refused", zap.Uint64("version", offered.Version), logs.Error(err))
		return
	}
	document.Version = offered.Version
	e.adopt(document)
}

// adopt puts a document in force here if its version is higher.
func (e *Entry) adopt(document contract.Document) {
	if document.Version <= e.document.Load().Version {
		return
	}
	e.document.Store(&document)
	e.keeper.SetContract(document)
	e.log.Info("config-in-force", zap.Uint64("version", document.Version))
	for _, a := range e.links.Announcements() {
		e.links.RequestHeartbeat(a.Instance)
	}
}

// decided logs and counts one decision of an owner about a task. The line has all
// that is counted.
func (e *Entry) decided(d placement.Decision) {
	tally := ledger.TallyOf(d)
	e.log.Info(ledger.EventTask+d.Action.String(), zap.String("job", d.Job.ID), zap.Int("task", d.Task), zap.Int("attempt", d.Attempt),
		zap.String("workspace", d.Job.Workspace), zap.String("class", d.Job.Class), zap.String("instance", d.Instance),
		zap.Int("over", d.Candidates), zap.Stringer("state", d.State), zap.String("why", d.Reason),
		zap.String("fate", tally.Outcome), zap.String("cause", tally.Cause), zap.String("move", tally.Move))
	e.metrics.Add("task-"+d.Action.String(), 1)
	e.book.RecordDecision(time.Now(), d)
}
