// Package agent is the entry's side towards agents: the links they open and the
// gates that requests are sent to.
package agent

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// Hooks is what the links ask of the entry. All functions run on the loop.
type Hooks struct {
	Announced    func(link.Announce) link.Welcome
	Heartbeat    func(link.Announce, link.Heartbeat) link.HeartbeatReply // with Held filled in
	Disconnected func(link.Announce)
}

// linked is one agent with an open link.
type linked struct {
	announce link.Announce
	conn     *link.Conn
	poking   bool
	sequence uint64
	config   uint64
	held     []placement.TaskStatus // of the last beat that carried its tasks
	heldAs   uint64                 // its sequence; 0 for none
}

// Links are the open links of an entry. All methods but New run on the loop.
type Links struct {
	loop *loop.Loop
	node Hooks
	log  *zap.Logger

	metrics *metrics.Registry
	agents  map[string]*linked // by instance
}

// NewLinks makes the links; Serve takes connections.
func NewLinks(l *loop.Loop, node Hooks, log *zap.Logger, set *metrics.Registry) *Links {
	return &Links{loop: l, node: node, log: log, metrics: set, agents: map[string]*linked{}}
}

// Serve takes agents' connections until the listener closes. It runs on a
// goroutine of its own.
func (l *Links) Serve(listener net.Listener) error {
	for {
		stream, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept link")
		}
		l.loop.Go(func() { l.serve(stream) })
	}
}

// session is one connection; announce is set once the agent has announced itself.
type session struct {
	links *Links
	conn  *link.Conn
	ready chan struct{}
	agent *linked // owned by the loop
}

func (l *Links) serve(stream net.Conn) {
	s := &session{links: l, ready: make(chan struct{})}
	s.conn = link.New(l.loop.Context(), stream, stream.RemoteAddr().String(), l.metrics, s.handle)
	close(s.ready)
	select {
	case <-s.conn.Done():
	case <-l.loop.Context().Done():
		s.conn.Close()
	}
	l.loop.Post(func() { l.gone(s) })
}

// gone forgets the agent unless it has a newer link.
func (l *Links) gone(s *session) {
	if s.agent == nil {
		return
	}
	name := s.agent.announce.Instance
	if l.agents[name] != s.agent {
		return
	}
	delete(l.agents, name)
	l.log.Info("agent-gone", zap.String("instance", name), zap.String("incarnation", s.agent.announce.Incarnation))
	l.node.Disconnected(s.agent.announce)
}

func (s *session) handle(_ context.Context, method string, params json.RawMessage) (any, error) {
	<-s.ready
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
		beat, err := link.Decode[link.Heartbeat](params)
		if err != nil {
			return nil, err
		}
		var reply link.HeartbeatReply
		var refused error
		err = s.links.loop.Do(func() { reply, refused = s.links.beat(s, beat) })
		return reply, errors.CombineErrors(refused, err)
	}
	return nil, link.ErrMethod(method)
}

func (l *Links) announced(s *session, announce link.Announce) link.Welcome {
	s.agent = &linked{announce: announce, conn: s.conn, config: announce.Config.Version}
	l.agents[announce.Instance] = s.agent
	l.log.Info("agent-announced", zap.String("instance", announce.Instance), zap.String("incarnation", announce.Incarnation),
		zap.String("domain", announce.Domain), zap.String("rack", announce.Rack), zap.String("gate", announce.GateAddress))
	return l.node.Announced(announce)
}

func (l *Links) beat(s *session, beat link.Heartbeat) (link.HeartbeatReply, error) {
	if s.agent == nil {
		return link.HeartbeatReply{}, errors.New("beat before the instance was announced on this link")
	}
	if beat.Sequence <= s.agent.sequence {
		return link.HeartbeatReply{}, errors.New("beat came late")
	}
	s.agent.sequence = beat.Sequence
	s.agent.config = beat.Config
	if !s.agent.fill(&beat) {
		return link.HeartbeatReply{Full: true}, nil
	}
	return l.node.Heartbeat(s.agent.announce, beat), nil
}

// fill puts the tasks into a beat that names an earlier one for them; false when
// that one is not known.
func (a *linked) fill(beat *link.Heartbeat) bool {
	switch {
	case beat.HeldSequence != 0 && beat.HeldSequence != a.heldAs:
		return false
	case beat.HeldSequence != 0:
		beat.Held = a.held
	case beat.WorkerIncarnation != "":
		a.held, a.heldAs = beat.Held, beat.Sequence
	}
	return true
}

// RequestHeartbeat asks an agent to beat at once; several pokes under way are one.
func (l *Links) RequestHeartbeat(instance string) {
	known, ok := l.agents[instance]
	if !ok || known.poking {
		return
	}
	known.poking = true
	l.loop.Go(func() {
		err := known.conn.Notify(l.loop.Context(), link.MethodRequestHeartbeat)
		l.loop.Post(func() {
			known.poking = false
			if err != nil {
				l.log.Debug("poke-failed", zap.String("instance", instance), logs.Error(err))
			}
		})
	})
}

// Announcements lists what the linked agents announced.
func (l *Links) Announcements() []link.Announce {
	list := make([]link.Announce, 0, len(l.agents))
	for _, known := range l.agents {
		list = append(list, known.announce)
	}
	return list
}

// Configs maps each linked instance to the version of the document in force there.
func (l *Links) Configs() map[string]uint64 {
	versions := make(map[string]uint64, len(l.agents))
	for name, known := range l.agents {
		versions[name] = known.config
	}
	return versions
}

// GateAddress is where to send requests for an instance and its incarnation.
func (l *Links) GateAddress(instance string) (address string, ok bool) {
	known, ok := l.agents[instance]
	if !ok {
		return "", false
	}
	return known.announce.GateAddress, true
}

// revokeBound is how long an entry asks what became of an attempt.
const revokeBound = 3 * time.Second

// revokePause is the wait between two tries to ask.
const revokePause = 200 * time.Millisecond

// Revoke asks the agent where an attempt stands and makes sure that one which has
// not started never will. It asks again over a new link when the old one is gone;
// an answer of another incarnation says nothing about the attempt. It runs on any
// goroutine.
func (l *Links) Revoke(ctx context.Context, instance, incarnation, attempt string) (string, error) {
	bounded, cancel := context.WithTimeout(ctx, revokeBound)
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
				return "", errors.Newf("the agent of %s is another incarnation now", instance)
			}
			if err == nil {
				return revoked.State, nil
			}
		}
		loop.Sleep(bounded, revokePause)
	}
	return "", err
}
