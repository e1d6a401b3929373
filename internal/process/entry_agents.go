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

// announced registers a newly connected agent. All functions of this file run on the
// loop.
func (e *Entry) announced(a link.Announce) link.Welcome {
	e.applyConfigText(a.Config)
	e.routing.Announce(time.Now(), routing.Instance{
		Name: a.Instance, Domain: a.Domain, Incarnation: a.Incarnation, Slots: a.Capacity.Slots,
	})
	if a.Draining {
		e.routing.Drain(a.Instance)
	}
	e.shardManager.Announce(instanceOf(a))
	return link.Welcome{Entry: e.settings.Name, Peers: e.peers(), Config: e.configFor(a.Config.Version)}
}

func instanceOf(a link.Announce) placement.Instance {
	return placement.Instance{Name: a.Instance, Domain: a.Domain, Rack: a.Rack, Capacity: a.Capacity.Resources()}
}

func (e *Entry) heartbeat(a link.Announce, heartbeat link.Heartbeat) link.HeartbeatReply {
	e.routing.Observe(time.Now(), a.Instance, routing.Load{Busy: heartbeat.Busy, Queued: heartbeat.Queued})
	if heartbeat.Draining {
		e.routing.Drain(a.Instance)
	}
	owner, epoch := e.shardManager.Owner(a.Instance)
	if heartbeat.Text != "" {
		e.applyConfigText(link.Config{Version: heartbeat.Config, Text: heartbeat.Text})
	}
	reply := link.HeartbeatReply{Owner: owner, Epoch: epoch, Want: heartbeat.Config > e.document.Load().Version}
	if peers := e.peers(); link.HashPeers(peers) != heartbeat.Peers {
		reply.Peers = peers
	}
	if config := e.configFor(heartbeat.Config); config.Text != "" {
		reply.Config = &config
	}
	if heartbeat.WorkerIncarnation != "" {
		reply.Grant = e.shardManager.Heartbeat(instanceOf(a), placement.Heartbeat{
			Instance: a.Instance, Incarnation: a.Incarnation, WorkerIncarnation: heartbeat.WorkerIncarnation, Epoch: heartbeat.Epoch, Session: heartbeat.Session, Sequence: heartbeat.Sequence,
			Busy: heartbeat.Busy, Draining: heartbeat.Draining, Held: heartbeat.Held,
		})
	}
	return reply
}

func (e *Entry) disconnected(a link.Announce) {
	e.routing.Remove(a.Instance, a.Incarnation)
}

// configFor returns the current document for a node that has the given version. It
// includes the text only if the current document is newer.
func (e *Entry) configFor(version uint64) link.Config {
	document := e.document.Load()
	config := link.Config{Version: document.Version}
	if document.Version > version {
		config.Text = document.Text()
	}
	return config
}

// applyConfigText parses and applies a document that an agent sent, if its version is
// higher than the current one.
func (e *Entry) applyConfigText(offered link.Config) {
	if offered.Version <= e.document.Load().Version || offered.Text == "" {
		return
	}
	document, err := contract.Parse([]byte(offered.Text))
	if err != nil {
		e.log.Error("config-rejected", zap.Uint64("version", offered.Version), logs.Error(err))
		return
	}
	document.Version = offered.Version
	e.applyConfig(document)
}

// applyConfig applies a document if its version is higher than the current one, and
// requests a heartbeat from each agent, whose reply carries the document.
func (e *Entry) applyConfig(document contract.Document) {
	if document.Version <= e.document.Load().Version {
		return
	}
	e.document.Store(&document)
	e.shardManager.SetContract(document)
	e.log.Info("config-in-force", zap.Uint64("version", document.Version))
	for _, a := range e.links.Announcements() {
		e.links.RequestHeartbeat(a.Instance)
	}
}

// recordDecision logs and counts one decision of an owner about a task. The log line
// carries every value that is counted.
func (e *Entry) recordDecision(d placement.Decision) {
	tally := ledger.TallyOf(d)
	e.log.Info(ledger.EventTask+d.Action.String(), zap.String("job", d.Job.ID), zap.Int("task", d.Task), zap.Int("attempt", d.Attempt),
		zap.String("workspace", d.Job.Workspace), zap.String("class", d.Job.Class), zap.String("instance", d.Instance),
		zap.Int("over", d.Candidates), zap.Stringer("state", d.State), zap.String("why", d.Reason),
		zap.String("fate", tally.Outcome), zap.String("cause", tally.Cause), zap.String("move", tally.Move))
	e.metrics.Add("task-"+d.Action.String(), 1)
	e.recorder.RecordDecision(time.Now(), d)
}
