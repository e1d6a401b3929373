// Package link is the protocol between agents and entries: its messages, and the
// connection that carries them.
package link

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Method names.
const (
	MethodAnnounce         = "announce"
	MethodHeartbeat        = "beat"
	MethodRevoke           = "revoke"
	MethodRequestHeartbeat = "poke"
)

const (
	// HeartbeatInterval is the time between two beats of an agent that has no news.
	HeartbeatInterval = time.Second
	// GrantTTL is how long a grant lasts from the sending of its beat.
	GrantTTL = 4 * time.Second
	// CallTimeout is how long one call over a link may take.
	CallTimeout = 2 * time.Second
)

// Config is a configuration document with its version; Text is empty when only
// the version is said.
type Config struct {
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
}

// Capacity is what an instance offers.
type Capacity struct {
	Slots        int     `json:"slots"`
	MaxInFlight  int     `json:"connections"`
	Processors   float64 `json:"cpu"`
	Memory       int     `json:"memory"` // MB
	Accelerators int     `json:"accelerators"`
}

// Resources is the part of the capacity that batch tasks take.
func (c Capacity) Resources() placement.Resources {
	return placement.Resources{Processors: c.Processors, Memory: c.Memory, Accelerators: c.Accelerators}
}

// Announce is the first message on a link.
type Announce struct {
	Instance    string   `json:"instance"`
	Incarnation string   `json:"incarnation"`
	Domain      string   `json:"domain"`
	Rack        string   `json:"rack"`
	GateAddress string   `json:"gate"` // host:port for request bodies
	Capacity    Capacity `json:"capacity"`
	Config      Config   `json:"config"`
	Draining    bool     `json:"leaving,omitempty"`
}

// Peer is an entry that an agent may talk to.
type Peer struct {
	Name string `json:"name"`
	Link string `json:"link"` // host:port
}

// Welcome answers an announcement.
type Welcome struct {
	Entry  string `json:"entry"`
	Peers  []Peer `json:"peers"`
	Config Config `json:"config"`
}

// Heartbeat is an agent's report on the link it announced itself on. WorkerIncarnation, Epoch and Held
// go to the owner of its shard only.
//
// What the entry knows already is not sent again: HeldSequence names an earlier beat of
// this link, answered since, whose Held still holds, and Peers is the HashPeers of the
// peers that the agent was told last.
type Heartbeat struct {
	Sequence          uint64                 `json:"n"`
	Busy              int                    `json:"busy,omitempty"`
	Queued            int                    `json:"queued,omitempty"`
	Draining          bool                   `json:"leaving,omitempty"`
	Config            uint64                 `json:"config,omitempty"` // version in force
	Text              string                 `json:"text,omitempty"`   // of that document, when the entry wanted it
	Peers             uint64                 `json:"peers,omitempty"`
	WorkerIncarnation string                 `json:"boot,omitempty"`
	Epoch             uint64                 `json:"epoch,omitempty"` // the highest seen
	Session           uint64                 `json:"session,omitempty"`
	Held              []placement.TaskStatus `json:"held,omitempty"`
	HeldSequence      uint64                 `json:"heldas,omitempty"`
}

// HeartbeatReply answers a beat. Owner tells who owns the agent's shard and since which
// epoch, as far as the entry knows; Grant is nil unless that is the entry itself.
// Full asks for a beat with Held, because the one that HeldSequence names is not known.
type HeartbeatReply struct {
	Owner  string           `json:"owner,omitempty"`
	Epoch  uint64           `json:"epoch,omitempty"`
	Peers  []Peer           `json:"peers,omitempty"`
	Config *Config          `json:"config,omitempty"` // only when it is newer
	Grant  *placement.Reply `json:"grant,omitempty"`
	Full   bool             `json:"full,omitempty"`
	Want   bool             `json:"want,omitempty"` // the agent's document is newer: send its text
}

// HashPeers is a number that stands for a list of peers, whatever their order.
func HashPeers(peers []Peer) uint64 {
	var mark uint64
	for _, peer := range peers {
		mark += xxhash.Sum64String(peer.Name + " " + peer.Link)
	}
	return mark
}

// Revoke asks where an attempt stands and ends it if it has not started.
type Revoke struct {
	Attempt string `json:"attempt"`
}

// RevokeReply answers: incarnation of the agent and the attempt's standing.
type RevokeReply struct {
	Incarnation string `json:"incarnation"`
	State       string `json:"standing"`
}

// Handler answers one call; its result is sent back.
type Handler func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Conn is one link.
type Conn struct {
	rpc  *jsonrpc2.Conn
	peer string
}

// counted counts the bytes of a stream.
type counted struct {
	io.ReadWriteCloser
	set *metrics.Registry
}

// Read counts what comes in.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	c.set.Add("link-bytes-in", int64(n))
	return n, err
}

// Write counts what goes out.
func (c counted) Write(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Write(p)
	c.set.Add("link-bytes-out", int64(n))
	return n, err
}

// New runs the protocol over stream with the peer named and counts its bytes. Calls that arrive go to
// handler, each on a goroutine of its own. The link closes with ctx.
func New(ctx context.Context, stream io.ReadWriteCloser, peer string, set *metrics.Registry, handler Handler) *Conn {
	serve := func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		var params json.RawMessage
		if r.Params != nil {
			params = *r.Params
		}
		return handler(ctx, r.Method, params)
	}
	async := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(serve))
	quiet := jsonrpc2.SetLogger(discard{})
	return &Conn{rpc: jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(counted{stream, set}), async, quiet), peer: peer}
}

// discard drops the library's own log; errors reach the callers.
type discard struct{}

// Printf drops a line.
func (discard) Printf(string, ...any) {}

// Call sends a request and waits for its answer, CallTimeout at most.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	bounded, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	err := c.rpc.Call(bounded, method, params, result)
	return errors.Wrapf(err, "call %s of peer %s", method, c.peer)
}

// Notify sends a message without an answer.
func (c *Conn) Notify(ctx context.Context, method string) error {
	return errors.Wrapf(c.rpc.Notify(ctx, method, nil), "notify %s to peer %s", method, c.peer)
}

// Done is closed when the link is gone.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close ends the link.
func (c *Conn) Close() {
	// A link that is gone already is closed as wished.
	_ = c.rpc.Close()
}

// ErrMethod answers calls of a method the peer does not have.
func ErrMethod(method string) error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + method}
}

// Decode reads the parameters of a call.
func Decode[T any](params json.RawMessage) (T, error) {
	var value T
	err := json.Unmarshal(params, &value)
	return value, errors.Wrap(err, "decode parameters")
}
