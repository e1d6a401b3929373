package entry

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// redialInterval is the wait before a failed or closed link is dialled again.
	redialInterval = 500 * time.Millisecond
	// dialTimeout bounds the time to open a connection to an entry.
	dialTimeout = time.Second
	// maxLinks is the number of entries, linked or being dialled, at which an agent adds
	// no other entry except the owner of its shard.
	maxLinks = 4
)

// Hooks are the callbacks of the links into the agent. All are called on the loop,
// except Seeds. Announce returns the announcement of the instance, and Heartbeat the
// next heartbeat, with the fields for the owner of the shard if forOwner. Granted applies
// the grant in the reply to the heartbeat that was sent at sent. ApplyConfig applies a
// configuration from an entry. Revoke revokes an attempt.
type Hooks struct {
	Announce    func() link.Announce
	Heartbeat   func(forOwner bool) link.Heartbeat
	Granted     func(heartbeat link.Heartbeat, sent time.Time, reply placement.Reply)
	ApplyConfig func(link.Config)
	Revoke      func(attempt string) link.RevokeReply
	Seeds       func(context.Context) []link.Peer // called on any goroutine: entries to dial while no link is open
}

// Dial opens a connection to the link address of an entry. It must return when ctx
// ends.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Links maintains a link to each entry that the agent communicates with. Its state is
// owned by the loop.
type Links struct {
	loop  *loop.Loop
	hooks Hooks
	dial  Dial
	log   *zap.Logger

	metrics *metrics.Registry
	peers   map[string]*peer // by link address
	owner   string           // entry that owns this agent's shard, as last reported
	epoch   uint64           // epoch of that owner
	open    atomic.Int64     // number of open links
}

// peer is one entry and the state of the link to it. It is owned by the loop.
type peer struct {
	link.Peer
	conn          *link.Conn
	inFlight      bool // a heartbeat was sent and its reply is awaited
	pending       bool // another heartbeat must follow that reply
	cancel        context.CancelFunc
	peersHash     uint64                 // HashPeers of the peer list that the entry sent last
	acked         []placement.TaskStatus // Held of the last heartbeat with Held that the entry replied to
	ackedSequence uint64                 // sequence of that heartbeat; 0 for none
	wantsText     bool                   // the entry asked for the text of the configuration
}

// NewLinks returns the links of an agent and starts dialling the entries that
// hooks.Seeds returns. Links, dials and heartbeats end with the loop.
func NewLinks(l *loop.Loop, hooks Hooks, dial Dial, log *zap.Logger, registry *metrics.Registry) *Links {
	links := &Links{loop: l, hooks: hooks, dial: dial, log: log, metrics: registry, peers: map[string]*peer{}}
	l.GoEvery(link.HeartbeatInterval, func(ctx context.Context) {
		if links.OpenCount() > 0 {
			return
		}
		seeds := hooks.Seeds(ctx)
		l.Post(func() { links.addPeers(seeds) })
	})
	l.Every(link.HeartbeatInterval, links.HeartbeatAll)
	return links
}

// OpenCount returns the number of open links. It is safe for concurrent use.
func (l *Links) OpenCount() int { return int(l.open.Load()) }

// addPeers starts a link to each entry that is not known yet. Beyond maxLinks it adds
// only the owner of the shard.
func (l *Links) addPeers(candidates []link.Peer) {
	for _, candidate := range candidates {
		known, exists := l.peers[candidate.LinkAddress]
		if exists {
			known.Name = candidate.Name
			continue
		}
		if len(l.peers) >= maxLinks && candidate.Name != l.owner {
			continue
		}
		ctx, cancel := context.WithCancel(l.loop.Context())
		p := &peer{Peer: candidate, cancel: cancel}
		l.peers[candidate.LinkAddress] = p
		l.loop.Go(func() { l.maintain(ctx, p) })
	}
}

// maintain keeps a link to one entry open and redials when it closes. It removes the
// entry once the entry has been unreachable for peerExpiry.
func (l *Links) maintain(ctx context.Context, p *peer) {
	lastOpen := time.Now()
	for ctx.Err() == nil {
		opened, err := l.serve(ctx, p)
		if opened {
			lastOpen = time.Now()
		}
		if ctx.Err() != nil {
			return
		}
		l.log.Debug("link-down", zap.String("entry", p.LinkAddress), logs.Error(err))
		if time.Since(lastOpen) > peerExpiry {
			l.loop.Post(func() { delete(l.peers, p.LinkAddress) })
			return
		}
		loop.Sleep(ctx, redialInterval)
	}
}

// peerExpiry is how long an entry may be unreachable before the agent stops dialling
// it. The agent dials it again when the entry's row or another entry names it.
const peerExpiry = 10 * time.Second

// serve opens a link, announces the instance and returns when the link closes or ctx
// ends. It reports in opened whether the entry replied to the announcement.
func (l *Links) serve(ctx context.Context, p *peer) (opened bool, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	stream, err := l.dial(dialCtx, p.LinkAddress)
	cancel()
	if err != nil {
		return false, errors.Wrapf(err, "dial entry %s", p.LinkAddress)
	}
	conn := link.New(ctx, stream, p.LinkAddress, l.metrics, l.handle)
	defer conn.Close()
	var announce link.Announce
	if err := l.loop.Do(func() { announce = l.hooks.Announce() }); err != nil {
		return false, err
	}
	var welcome link.Welcome
	if err := conn.Call(ctx, link.MethodAnnounce, announce, &welcome); err != nil {
		return false, err
	}
	l.open.Add(1)
	defer l.open.Add(-1)
	l.loop.Post(func() { l.onOpen(p, conn, welcome) })
	select {
	case <-conn.Done():
	case <-ctx.Done():
	}
	l.loop.Post(func() {
		if p.conn == conn {
			p.conn = nil
		}
	})
	return true, errors.Newf("link to entry %s closed", p.LinkAddress)
}

func (l *Links) onOpen(p *peer, conn *link.Conn, welcome link.Welcome) {
	l.log.Info("link-up", zap.String("entry", welcome.Entry), zap.String("address", p.LinkAddress))
	p.Name = welcome.Entry
	p.conn = conn
	p.peersHash, p.ackedSequence = link.HashPeers(welcome.Peers), 0
	l.hooks.ApplyConfig(welcome.Config)
	l.addPeers(welcome.Peers)
	l.sendHeartbeat(p)
}

// HeartbeatAll sends a heartbeat to every linked entry without waiting for the next
// interval. It must run on the loop.
func (l *Links) HeartbeatAll() {
	for _, p := range l.peers {
		l.sendHeartbeat(p)
	}
}

// sendHeartbeat sends one heartbeat. At most one heartbeat to an entry is in flight, and
// a failed one closes the link. So replies are applied in the order of the heartbeats,
// and the reply to a call that timed out is never applied. If another heartbeat is
// requested meanwhile, it is sent after the reply.
func (l *Links) sendHeartbeat(p *peer) {
	if p.conn == nil {
		return
	}
	if p.inFlight {
		p.pending = true
		return
	}
	p.inFlight = true
	p.pending = false
	forOwner := l.owner == "" || l.owner == p.Name
	heartbeat := l.hooks.Heartbeat(forOwner)
	heartbeat.Peers = p.peersHash
	if p.wantsText {
		heartbeat.Text = l.hooks.Announce().Config.Text
	}
	message := p.omitAcked(heartbeat)
	sent := time.Now()
	conn := p.conn
	l.loop.Go(func() {
		var reply link.HeartbeatReply
		err := conn.Call(l.loop.Context(), link.MethodHeartbeat, message, &reply)
		l.loop.Post(func() {
			p.inFlight = false
			l.handleReply(p, conn, sent, heartbeat, reply, err)
			if p.pending {
				l.sendHeartbeat(p)
			}
		})
	})
}

// omitAcked returns the heartbeat as it is sent: if the entry has acknowledged a
// heartbeat with the same tasks on this link, the sequence of that heartbeat replaces the
// tasks.
func (p *peer) omitAcked(heartbeat link.Heartbeat) link.Heartbeat {
	if p.ackedSequence != 0 && slices.Equal(p.acked, heartbeat.Held) {
		heartbeat.Held, heartbeat.HeldSequence = nil, p.ackedSequence
	}
	return heartbeat
}

func (l *Links) handleReply(p *peer, conn *link.Conn, sent time.Time, heartbeat link.Heartbeat, reply link.HeartbeatReply, err error) {
	if err != nil {
		l.log.Debug("heartbeat-failed", zap.String("entry", p.Name), logs.Error(err))
		conn.Close()
		return
	}
	if reply.Epoch >= l.epoch && reply.Owner != "" && reply.Owner != l.owner {
		l.log.Info("owner", zap.String("entry", reply.Owner), zap.String("was", l.owner), zap.Uint64("epoch", reply.Epoch))
		l.owner = reply.Owner
		l.epoch = reply.Epoch
		p.pending = p.pending || l.owner == p.Name
	}
	p.recordReply(heartbeat, reply)
	if reply.Config != nil {
		l.hooks.ApplyConfig(*reply.Config)
	}
	l.addPeers(reply.Peers)
	if reply.Grant != nil {
		l.hooks.Granted(heartbeat, sent, *reply.Grant)
	}
}

// recordReply records what the entry knows and what it asks for, as its reply to
// heartbeat shows.
func (p *peer) recordReply(heartbeat link.Heartbeat, reply link.HeartbeatReply) {
	p.wantsText = reply.Want
	p.pending = p.pending || reply.Want
	if len(reply.Peers) > 0 {
		p.peersHash = link.HashPeers(reply.Peers)
	}
	switch {
	case reply.Full:
		p.ackedSequence = 0
		p.pending = true
	case heartbeat.WorkerIncarnation == "":
	case p.ackedSequence == 0 || !slices.Equal(p.acked, heartbeat.Held):
		p.acked, p.ackedSequence = heartbeat.Held, heartbeat.Sequence
	}
}

// handle serves the calls of an entry: requests for a heartbeat and revocations.
func (l *Links) handle(_ context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case link.MethodRequestHeartbeat:
		l.loop.Post(l.HeartbeatAll)
		return struct{}{}, nil
	case link.MethodRevoke:
		request, err := link.Decode[link.Revoke](params)
		if err != nil {
			return nil, err
		}
		var revoked link.RevokeReply
		err = l.loop.Do(func() { revoked = l.hooks.Revoke(request.Attempt) })
		return revoked, err
	}
	return nil, link.UnknownMethod(method)
}
