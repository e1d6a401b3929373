// Package agent runs in the entry, not in the agent. It is the part of an entry that
// communicates with agents: it accepts the links that they open and sends requests to
// their gates. Package entry is the counterpart, which runs in the agent; placement and
// routing decisions are made elsewhere.
package agent

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/budget"
	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Hooks are the callbacks of the links into the entry. All are called on the loop.
// Announced is called when an agent announces its instance and returns the reply;
// Heartbeat is called for each valid heartbeat and returns the reply; Disconnected is called
// when the newest link of an agent closes.
type Hooks struct {
	Announced    func(link.Announce) link.Welcome
	Heartbeat    func(link.Announce, link.Heartbeat) link.HeartbeatReply // Held is filled in also when the agent omitted it
	Disconnected func(link.Announce)
}

// silenceTimeout is the time without a call of the agent after which its link is closed,
// announced or not: a link may turn silent without a close. An agent that is alive sends a
// heartbeat every link.HeartbeatInterval, and its grants last no longer than this.
const silenceTimeout = link.GrantTTL

// linkedAgent is one agent with an open link. It is owned by the loop.
type linkedAgent struct {
	announce         link.Announce
	conn             *link.Conn
	requestInFlight  bool
	sequence         uint64                 // of the last heartbeat on this link
	configVersion    uint64                 // in force on the agent
	reported         []placement.TaskStatus // Held of the last heartbeat that listed the tasks
	reportedSequence uint64                 // sequence of that heartbeat; 0 for none
}

// Links holds the open links of an entry. Its methods must be called on the loop,
// except Serve and Revoke, which must be called on other goroutines.
type Links struct {
	loop  *loop.Loop
	hooks Hooks
	log   *zap.Logger

	bounds  *budget.Budget
	metrics *metrics.Registry
	agents  map[string]*linkedAgent // by instance
}

// NewLinks returns links without connections; Serve accepts them.
func NewLinks(l *loop.Loop, hooks Hooks, bounds *budget.Budget, log *zap.Logger, registry *metrics.Registry) *Links {
	return &Links{loop: l, hooks: hooks, bounds: bounds, log: log, metrics: registry, agents: map[string]*linkedAgent{}}
}

// Serve accepts connections of agents until the listener fails or is closed, and
// returns its error. It blocks, so it needs a goroutine of its own.
func (l *Links) Serve(listener net.Listener) error {
	for {
		stream, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept link")
		}
		l.loop.Go(func() { l.serve(stream) })
	}
}

// session is one connection; agent is set once the agent has announced its instance.
type session struct {
	links *Links
	conn  *link.Conn
	ready chan struct{}
	heard chan struct{} // signalled at each call of the agent
	agent *linkedAgent  // owned by the loop
}

func (l *Links) serve(stream net.Conn) {
	s := &session{links: l, ready: make(chan struct{}), heard: make(chan struct{}, 1)}
	s.conn = link.NewBounded(l.loop.Context(), stream, stream.RemoteAddr().String(), l.metrics, l.bounds.Link(), s.handle)
	close(s.ready)
	s.waitForEnd()
	l.loop.Post(func() { l.removeAgent(s) })
}

// waitForEnd returns when the link has closed. It closes the link when the loop ends, and when
// the agent has been silent for silenceTimeout.
func (s *session) waitForEnd() {
	silence := time.NewTimer(silenceTimeout)
	defer silence.Stop()
	for {
		select {
		case <-s.conn.Done():
			return
		case <-s.heard:
			silence.Reset(silenceTimeout)
		case <-silence.C:
			s.links.log.Warn("agent-silent", zap.Duration("silent", silenceTimeout))
			s.conn.Close()
			return
		case <-s.links.loop.Context().Done():
			s.conn.Close()
			return
		}
	}
}

// noteCall restarts the time of silence.
func (s *session) noteCall() {
	select {
	case s.heard <- struct{}{}:
	default:
	}
}

// removeAgent removes the agent of a closed connection, unless the agent has opened a
// newer link.
func (l *Links) removeAgent(s *session) {
	if s.agent == nil {
		return
	}
	name := s.agent.announce.Instance
	if l.agents[name] != s.agent {
		return
	}
	delete(l.agents, name)
	l.log.Info("agent-gone", zap.String("instance", name), zap.String("incarnation", s.agent.announce.Incarnation))
	l.hooks.Disconnected(s.agent.announce)
}

func (s *session) handle(_ context.Context, method string, params json.RawMessage) (any, error) {
	<-s.ready
	s.noteCall()
	switch method {
	case link.MethodAnnounce:
		announce, err := link.Decode[link.Announce](params)
		if err != nil {
			return nil, err
		}
		var welcome link.Welcome
		err = s.links.loop.Do(func() { welcome = s.links.announced(s, announce) })
		return welcome, err
	case link.MethodHeartbeat:
		heartbeat, err := link.Decode[link.Heartbeat](params)
		if err != nil {
			return nil, err
		}
		var reply link.HeartbeatReply
		var rejectErr error
		err = s.links.loop.Do(func() { reply, rejectErr = s.links.handleHeartbeat(s, heartbeat) })
		return reply, errors.CombineErrors(rejectErr, err)
	}
	return nil, link.UnknownMethod(method)
}

func (l *Links) announced(s *session, announce link.Announce) link.Welcome {
	s.agent = &linkedAgent{announce: announce, conn: s.conn, configVersion: announce.Config.Version}
	l.agents[announce.Instance] = s.agent
	l.log.Info("agent-announced", zap.String("instance", announce.Instance), zap.String("incarnation", announce.Incarnation),
		zap.String("domain", announce.Domain), zap.String("rack", announce.Rack), zap.String("gate", announce.GateAddress))
	return l.hooks.Announced(announce)
}

func (l *Links) handleHeartbeat(s *session, heartbeat link.Heartbeat) (link.HeartbeatReply, error) {
	if s.agent == nil {
		return link.HeartbeatReply{}, errors.New("heartbeat received before the instance was announced on this link")
	}
	if heartbeat.Sequence <= s.agent.sequence {
		return link.HeartbeatReply{}, errors.New("heartbeat sequence is not above the last one on this link")
	}
	s.agent.sequence = heartbeat.Sequence
	s.agent.configVersion = heartbeat.Config
	if !s.agent.fillHeld(&heartbeat) {
		return link.HeartbeatReply{Full: true}, nil
	}
	return l.hooks.Heartbeat(s.agent.announce, heartbeat), nil
}

// fillHeld fills in the tasks of a heartbeat that refers to an earlier heartbeat for
// them. It reports false if that earlier heartbeat is not known.
func (a *linkedAgent) fillHeld(heartbeat *link.Heartbeat) bool {
	switch {
	case heartbeat.HeldSequence != 0 && heartbeat.HeldSequence != a.reportedSequence:
		return false
	case heartbeat.HeldSequence != 0:
		heartbeat.Held = a.reported
	case heartbeat.WorkerIncarnation != "":
		a.reported, a.reportedSequence = heartbeat.Held, heartbeat.Sequence
	}
	return true
}

// RequestHeartbeat asks an agent to send a heartbeat at once. It does nothing while an
// earlier request to the same agent is in flight or if the agent is not linked.
func (l *Links) RequestHeartbeat(instance string) {
	known, ok := l.agents[instance]
	if !ok || known.requestInFlight {
		return
	}
	known.requestInFlight = true
	l.loop.Go(func() {
		err := known.conn.Notify(l.loop.Context(), link.MethodRequestHeartbeat)
		l.loop.Post(func() {
			known.requestInFlight = false
			if err != nil {
				l.log.Debug("heartbeat-request-failed", zap.String("instance", instance), logs.Error(err))
			}
		})
	})
}

// Announcements returns the announcements of all linked agents, in no particular order.
func (l *Links) Announcements() []link.Announce {
	list := make([]link.Announce, 0, len(l.agents))
	for _, known := range l.agents {
		list = append(list, known.announce)
	}
	return list
}

// ConfigVersions returns, by linked instance, the version of the configuration in force there.
func (l *Links) ConfigVersions() map[string]uint64 {
	versions := make(map[string]uint64, len(l.agents))
	for name, known := range l.agents {
		versions[name] = known.configVersion
	}
	return versions
}

// GateAddress returns the gate address (host:port) of an instance; ok is false if the
// instance is not linked.
func (l *Links) GateAddress(instance string) (address string, ok bool) {
	known, ok := l.agents[instance]
	if !ok {
		return "", false
	}
	return known.announce.GateAddress, true
}

// revokeTimeout bounds how long an entry tries to revoke an attempt, retries included.
const revokeTimeout = 3 * time.Second

// revokeRetryInterval is the wait between two tries to revoke an attempt.
const revokeRetryInterval = 200 * time.Millisecond

// Revoke asks the agent of an instance to revoke an attempt and returns the state of
// the attempt. An attempt that has not started then never starts. If the link closes,
// Revoke retries over a new one. A reply of another incarnation gives no information
// about the attempt and is returned as an error. Revoke is safe for concurrent use but
// must not be called on the loop.
func (l *Links) Revoke(ctx context.Context, instance, incarnation, attempt string) (string, error) {
	bounded, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	err := errors.Newf("no link to the agent of %s", instance)
	for bounded.Err() == nil {
		var conn *link.Conn
		loopErr := l.loop.Do(func() {
			if known, ok := l.agents[instance]; ok {
				conn = known.conn
			}
		})
		if loopErr != nil {
			return "", loopErr
		}
		if conn != nil {
			var revoked link.RevokeReply
			err = conn.Call(bounded, link.MethodRevoke, link.Revoke{Attempt: attempt}, &revoked)
			if err == nil && revoked.Incarnation != incarnation {
				return "", errors.Newf("the agent of %s has another incarnation now", instance)
			}
			if err == nil {
				return revoked.State, nil
			}
		}
		loop.Sleep(bounded, revokeRetryInterval)
	}
	return "", err
}
