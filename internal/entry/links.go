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
	// redialPause is the wait before an entry that could not be reached is dialled again.
	redialPause = 500 * time.Millisecond
	// dialBound is how long a connection to an entry may take to open.
	dialBound = time.Second
	// linksMost is how many entries an agent talks to besides the owner of its shard.
	linksMost = 4
)

// Hooks is what the links ask of the agent. All functions run on the loop.
type Hooks struct {
	Announce    func() link.Announce
	Heartbeat   func(full bool) link.Heartbeat
	Granted     func(beat link.Heartbeat, sent time.Time, reply placement.Reply)
	ApplyConfig func(link.Config)
	Revoke      func(attempt string) link.RevokeReply
	Seeds       func(context.Context) []link.Peer // on any goroutine: entries to begin with while no link is open
}

// Dial opens a connection to an entry.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Links keeps a link to each entry the agent talks to.
type Links struct {
	loop *loop.Loop
	node Hooks
	dial Dial
	log  *zap.Logger

	metrics *metrics.Registry
	peers   map[string]*peer // by link address
	owner   string           // name of the owner of this agent's shard, as last heard
	epoch   uint64           // the epoch of that owner
	open    atomic.Int64     // links that are open
}

// peer is one entry.
type peer struct {
	link.Peer
	conn    *link.Conn
	beating bool
	again   bool
	cancel  context.CancelFunc
	told    uint64                 // mark of the peers it told last
	held    []placement.TaskStatus // of the last beat with Held that it answered
	heldAs  uint64                 // the sequence of that beat; 0 for none
	wants   bool                   // it asked for the text of the document
}

// NewLinks starts the links of an agent.
func NewLinks(l *loop.Loop, node Hooks, dial Dial, log *zap.Logger, set *metrics.Registry) *Links {
	links := &Links{loop: l, node: node, dial: dial, log: log, metrics: set, peers: map[string]*peer{}}
	l.GoEvery(link.HeartbeatInterval, func(ctx context.Context) {
		if links.OpenCount() > 0 {
			return
		}
		seeds := node.Seeds(ctx)
		l.Post(func() { links.meet(seeds) })
	})
	l.Every(link.HeartbeatInterval, links.HeartbeatAll)
	return links
}

// OpenCount is the number of open links. It may be called on any goroutine.
func (l *Links) OpenCount() int { return int(l.open.Load()) }

// meet dials entries that are new, up to linksMost and the owner.
func (l *Links) meet(found []link.Peer) {
	for _, each := range found {
		known, met := l.peers[each.Link]
		if met {
			known.Name = each.Name
			continue
		}
		if len(l.peers) >= linksMost && each.Name != l.owner {
			continue
		}
		ctx, cancel := context.WithCancel(l.loop.Context())
		p := &peer{Peer: each, cancel: cancel}
		l.peers[each.Link] = p
		l.loop.Go(func() { l.keep(ctx, p) })
	}
}

// keep holds a link to one entry until the entry has been away for forgetAfter.
func (l *Links) keep(ctx context.Context, p *peer) {
	lastOpen := time.Now()
	for ctx.Err() == nil {
		opened, err := l.serve(ctx, p)
		if opened {
			lastOpen = time.Now()
		}
		if ctx.Err() != nil {
			return
		}
		l.log.Debug("link-down", zap.String("entry", p.Link), logs.Error(err))
		if time.Since(lastOpen) > forgetAfter {
			l.loop.Post(func() { delete(l.peers, p.Link) })
			return
		}
		loop.Sleep(ctx, redialPause)
	}
}

// forgetAfter is how long an entry may be away before it is no longer dialled; it
// is met again when its row or another entry names it.
const forgetAfter = 10 * time.Second

// serve opens the link, announces the instance and stays until the link is gone.
func (l *Links) serve(ctx context.Context, p *peer) (opened bool, err error) {
	dialing, cancel := context.WithTimeout(ctx, dialBound)
	stream, err := l.dial(dialing, p.Link)
	cancel()
	if err != nil {
		return false, errors.Wrapf(err, "dial entry %s", p.Link)
	}
	conn := link.New(ctx, stream, p.Link, l.metrics, l.handle)
	defer conn.Close()
	var announce link.Announce
	if err := l.loop.Do(func() { announce = l.node.Announce() }); err != nil {
		return false, err
	}
	var welcome link.Welcome
	if err := conn.Call(ctx, link.MethodAnnounce, announce, &welcome); err != nil {
		return false, err
	}
	l.open.Add(1)
	defer l.open.Add(-1)
	l.loop.Post(func() { l.opened(p, conn, welcome) })
	select {
	case <-conn.Done():
	case <-ctx.Done():
	}
	l.loop.Post(func() {
		if p.conn == conn {
			p.conn = nil
		}
	})
	return true, errors.Newf("link to entry %s closed", p.Link)
}

func (l *Links) opened(p *peer, conn *link.Conn, welcome link.Welcome) {
	l.log.Info("link-up", zap.String("entry", welcome.Entry), zap.String("address", p.Link))
	p.Name = welcome.Entry
	p.conn = conn
	p.told, p.heldAs = link.HashPeers(welcome.Peers), 0
	l.node.ApplyConfig(welcome.Config)
	l.meet(welcome.Peers)
	l.beat(p)
}

// HeartbeatAll beats to every entry at once. It runs on the loop.
func (l *Links) HeartbeatAll() {
	for _, p := range l.peers {
		l.beat(p)
	}
}

// beat sends one report; a link has one under way at a time, so that an answer
// which was given up is never taken.
func (l *Links) beat(p *peer) {
	if p.conn == nil {
		return
	}
	if p.beating {
		p.again = true
		return
	}
	p.beating = true
	p.again = false
	full := l.owner == "" || l.owner == p.Name
	whole := l.node.Heartbeat(full)
	whole.Peers = p.told
	if p.wants {
		whole.Text = l.node.Announce().Config.Text
	}
	report := p.shorten(whole)
	sent := time.Now()
	conn := p.conn
	l.loop.Go(func() {
		var reply link.HeartbeatReply
		err := conn.Call(l.loop.Context(), link.MethodHeartbeat, report, &reply)
		l.loop.Post(func() {
			p.beating = false
			l.answered(p, conn, sent, whole, reply, err)
			if p.again {
				l.beat(p)
			}
		})
	})
}

// shorten leaves out of a beat what this entry has been told on this link.
func (p *peer) shorten(whole link.Heartbeat) link.Heartbeat {
	if p.heldAs != 0 && slices.Equal(p.held, whole.Held) {
		whole.Held, whole.HeldSequence = nil, p.heldAs
	}
	return whole
}

func (l *Links) answered(p *peer, conn *link.Conn, sent time.Time, whole link.Heartbeat, reply link.HeartbeatReply, err error) {
	if err != nil {
		l.log.Debug("beat-failed", zap.String("entry", p.Name), logs.Error(err))
		conn.Close()
		return
	}
	if reply.Epoch >= l.epoch && reply.Owner != "" && reply.Owner != l.owner {
		l.log.Info("owner", zap.String("entry", reply.Owner), zap.String("was", l.owner), zap.Uint64("epoch", reply.Epoch))
		l.owner = reply.Owner
		l.epoch = reply.Epoch
		p.again = p.again || l.owner == p.Name
	}
	p.learn(whole, reply)
	if reply.Config != nil {
		l.node.ApplyConfig(*reply.Config)
	}
	l.meet(reply.Peers)
	if reply.Grant != nil {
		l.node.Granted(whole, sent, *reply.Grant)
	}
}

// learn notes what the entry has been told, after its answer.
func (p *peer) learn(whole link.Heartbeat, reply link.HeartbeatReply) {
	p.wants = reply.Want
	p.again = p.again || reply.Want
	if len(reply.Peers) > 0 {
		p.told = link.HashPeers(reply.Peers)
	}
	switch {
	case reply.Full:
		p.heldAs = 0
		p.again = true
	case whole.WorkerIncarnation == "":
	case p.heldAs == 0 || !slices.Equal(p.held, whole.Held):
		p.held, p.heldAs = whole.Held, whole.Sequence
	}
}

// handle answers the calls of an entry.
func (l *Links) handle(_ context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case link.MethodRequestHeartbeat:
		l.loop.Post(l.HeartbeatAll)
		return struct{}{}, nil
	case link.MethodRevoke:
		asked, err := link.Decode[link.Revoke](params)
		if err != nil {
			return nil, err
		}
		var revoked link.RevokeReply
		err = l.loop.Do(func() { revoked = l.node.Revoke(asked.Attempt) })
		return revoked, err
	}
	return nil, link.ErrMethod(method)
}
