// Package link defines the protocol between agents and entries: its messages, and the
// JSON-RPC connection that carries them. Other packages decide when a message is sent and
// what follows from it: entry and agent for announcements, heartbeats, configurations and
// revocations; owner, runner and submission for jobs with steps.
package link

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/budget"
	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Names of the methods between agents and entries.
const (
	MethodAnnounce         = "announce"
	MethodHeartbeat        = "beat"
	MethodRevoke           = "revoke"
	MethodRequestHeartbeat = "poke"
)

const (
	// HeartbeatInterval is the time between two heartbeats of an agent that has no change
	// to report.
	HeartbeatInterval = time.Second
	// GrantTTL is how long a grant is valid, from when the agent sent the heartbeat that
	// the grant replies to.
	GrantTTL = 4 * time.Second
	// CallTimeout bounds one call over a link.
	CallTimeout = 2 * time.Second
	// WriteTimeout bounds one write to a link. A peer that reads nothing for so long, because
	// it hangs or its machine is gone, counts as disconnected, and the link closes.
	WriteTimeout = 2 * time.Second
)

// Config is a configuration document with its version. Text is empty if the message
// states the version only.
type Config struct {
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
}

// Capacity is the capacity of an instance. Slots is the number of requests that it runs at
// a time, and MaxInFlight the number that may run or wait; the other fields are its
// resources for batch tasks.
type Capacity struct {
	Slots        int     `json:"slots"`
	MaxInFlight  int     `json:"connections"`
	Processors   float64 `json:"cpu"`    // cores
	Memory       int     `json:"memory"` // MB
	Accelerators int     `json:"accelerators"`
}

// Resources returns the part of the capacity that batch tasks use.
func (c Capacity) Resources() placement.Resources {
	return placement.Resources{Processors: c.Processors, Memory: c.Memory, Accelerators: c.Accelerators}
}

// Announce is the first message of an agent on a link. It describes the instance.
type Announce struct {
	Instance    string   `json:"instance"`
	Incarnation string   `json:"incarnation"`
	Domain      string   `json:"domain"`
	Rack        string   `json:"rack"`
	GateAddress string   `json:"gate"` // host:port that accepts requests
	Capacity    Capacity `json:"capacity"`
	Config      Config   `json:"config"`
	Draining    bool     `json:"leaving,omitempty"`
}

// Peer is an entry that an agent may connect to.
type Peer struct {
	Name        string `json:"name"`
	LinkAddress string `json:"link"` // host:port
}

// Welcome is the reply to Announce: the name of the entry, the entries it knows and its
// configuration.
type Welcome struct {
	Entry  string `json:"entry"`
	Peers  []Peer `json:"peers"`
	Config Config `json:"config"`
}

// Heartbeat is the periodic report of an agent to an entry, on the link on which it sent
// its announcement. The agent sends WorkerIncarnation, Epoch, Session and Held only to the
// owner of its shard, or to every entry while it knows no owner.
//
// The agent does not repeat what the entry knows. HeldSequence is the sequence of an
// earlier heartbeat on this link that the entry has acknowledged and whose Held is
// unchanged. Peers is the HashPeers of the last peer list that the agent received.
type Heartbeat struct {
	Sequence          uint64                 `json:"n"`
	Busy              int                    `json:"busy,omitempty"`
	Queued            int                    `json:"queued,omitempty"`
	Draining          bool                   `json:"leaving,omitempty"`
	Config            uint64                 `json:"config,omitempty"` // version in force on the agent
	Text              string                 `json:"text,omitempty"`   // of that document, if the entry asked for it
	Peers             uint64                 `json:"peers,omitempty"`
	WorkerIncarnation string                 `json:"boot,omitempty"`
	Epoch             uint64                 `json:"epoch,omitempty"`   // the highest epoch seen
	Session           uint64                 `json:"session,omitempty"` // the latest one that the owner of Epoch issued
	Held              []placement.TaskStatus `json:"held,omitempty"`
	HeldSequence      uint64                 `json:"heldas,omitempty"`
}

// HeartbeatReply is the reply to Heartbeat. Owner is the owner of the agent's shard and
// Epoch the epoch since which it owns the shard, as far as the entry knows; Grant is nil
// unless the entry itself is the owner.
// Full asks for a heartbeat with Held, because the entry does not know the heartbeat that
// HeldSequence refers to.
type HeartbeatReply struct {
	Owner  string           `json:"owner,omitempty"`
	Epoch  uint64           `json:"epoch,omitempty"`
	Peers  []Peer           `json:"peers,omitempty"`
	Config *Config          `json:"config,omitempty"` // only if newer than the agent's
	Grant  *placement.Reply `json:"grant,omitempty"`
	Full   bool             `json:"full,omitempty"`
	Want   bool             `json:"want,omitempty"` // the agent's document is newer; the entry asks for its text
}

// HashPeers returns a hash of a list of peers that does not depend on their order.
func HashPeers(peers []Peer) uint64 {
	var hash uint64
	for _, peer := range peers {
		hash += xxhash.Sum64String(peer.Name + " " + peer.LinkAddress)
	}
	return hash
}

// Revoke asks for the state of an attempt, and prevents an attempt that has not started
// from starting.
type Revoke struct {
	Attempt string `json:"attempt"`
}

// RevokeReply is the reply to Revoke: the incarnation of the agent and the state of the
// attempt.
type RevokeReply struct {
	Incarnation string `json:"incarnation"`
	State       string `json:"standing"`
}

// Handler serves one call of the peer. Its result or error is the reply. It must be safe
// for concurrent use.
type Handler func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Conn is one link to a peer. It is safe for concurrent use.
type Conn struct {
	rpc    *jsonrpc2.Conn
	stream *stream
	peer   string
}

// errNotSent marks errors of calls of which the peer has received nothing.
var errNotSent = errors.New("not sent")

// stream is the connection of a link. It counts bytes in metrics, and bounds each write: the
// JSON-RPC library ignores the context of a call while it writes, so that a peer which reads
// nothing would block the caller for ever.
type stream struct {
	net.Conn
	registry *metrics.Registry
	bounds   *budget.Link // nil: none
	begun    bool         // a part of a message has arrived
	arrived  int64        // bytes, if there are bounds
	cut      atomic.Bool  // a write failed after a part of its bytes, or took too long
}

// Read reads from the connection and counts the bytes received.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.registry.Add("link-bytes-in", int64(n))
	if s.bounds == nil {
		return n, err
	}
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		s.bounds.Late()
	}
	if n == 0 {
		return n, err
	}
	s.arrived += int64(n)
	s.begin()
	if exceeded := s.bounds.Receive(n); exceeded != nil {
		return 0, errors.CombineErrors(exceeded, s.Conn.Close())
	}
	return n, err
}

// begin bounds the time in which a message must be complete.
func (s *stream) begin() {
	if !s.begun {
		s.begun = true
		_ = s.Conn.SetReadDeadline(time.Now().Add(budget.MessageTimeout)) // the next read fails as well
	}
}

// Write writes to the connection and counts the bytes sent. If the write fails or takes longer
// than WriteTimeout, it closes the connection, since the peer has received part of a message.
func (s *stream) Write(p []byte) (int, error) {
	err := s.Conn.SetWriteDeadline(time.Now().Add(WriteTimeout))
	n := 0
	if err == nil {
		n, err = s.Conn.Write(p)
	}
	s.registry.Add("link-bytes-out", int64(n))
	if err != nil {
		if n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			s.cut.Store(true)
		}
		return n, errors.CombineErrors(err, s.Conn.Close())
	}
	return n, nil
}

// keptBuffer is the size, in bytes, of messages whose buffer is used again for the next ones.
const keptBuffer = 4 << 10

// boundedObjects reads the messages of a link within its budget.
type boundedObjects struct {
	jsonrpc2.ObjectStream
	stream  *stream
	source  io.Reader // of decoder: what an earlier decoder has not decoded, then stream
	decoder *json.Decoder
	decoded int64 // bytes of the messages that earlier decoders have decoded
}

// ReadObject implements jsonrpc2.ObjectStream.
func (b *boundedObjects) ReadObject(v any) error {
	before := b.decoder.InputOffset()
	err := b.decoder.Decode(v)
	s := b.stream
	s.bounds.Received()
	if s.begun {
		s.begun = false
		_ = s.Conn.SetReadDeadline(time.Time{}) // the next read fails as well
	}
	if err != nil {
		return err
	}
	if b.decoder.InputOffset()-before > keptBuffer {
		b.renew()
	}
	if rest := s.arrived - b.decoded - b.decoder.InputOffset(); rest > keptBuffer {
		s.begin()
		err = s.bounds.Receive(int(rest))
	}
	if marked, ok := s.Conn.(*budget.Conn); ok && err == nil {
		marked.MarkMessage()
	}
	return err
}

// renew replaces the decoder, whose buffer never shrinks.
func (b *boundedObjects) renew() {
	rest, _ := io.ReadAll(b.decoder.Buffered()) // reads memory
	b.decoded += b.decoder.InputOffset()
	if len(rest) > 0 {
		b.source = io.MultiReader(bytes.NewReader(rest), b.source)
	}
	b.decoder = json.NewDecoder(b.source)
}

// boundedCalls runs each call on a goroutine of its own, as jsonrpc2.AsyncHandler does, within the
// budget of the link. A link that makes more calls is closed.
type boundedCalls struct {
	handler jsonrpc2.Handler
	bounds  *budget.Link
}

// Handle implements jsonrpc2.Handler.
func (b *boundedCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	size := 0
	if r.Params != nil {
		size = len(*r.Params)
	}
	release, ok := b.bounds.BeginCall(size)
	if !ok {
		_ = conn.Close() // it may be closed already
		return
	}
	go func() {
		defer release()
		b.handler.Handle(ctx, conn, r)
	}()
}

// New runs the protocol with the named peer over conn and counts the bytes in registry.
// Each incoming call runs handler on its own goroutine. The link closes when ctx ends.
func New(ctx context.Context, conn net.Conn, peer string, registry *metrics.Registry, handler Handler) *Conn {
	return NewBounded(ctx, conn, peer, registry, nil, handler)
}

// NewBounded is New for a peer that may be anyone: its messages and calls stay within bounds, and the
// link closes if they do not. With nil it is New.
func NewBounded(ctx context.Context, conn net.Conn, peer string, registry *metrics.Registry, bounds *budget.Link, handler Handler) *Conn {
	serve := func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		var params json.RawMessage
		if r.Params != nil {
			params = *r.Params
		}
		return handler(ctx, r.Method, params)
	}
	async := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(serve))
	noLog := jsonrpc2.SetLogger(discardLogger{})
	counted := &stream{Conn: conn, registry: registry, bounds: bounds}
	objects := jsonrpc2.NewPlainObjectStream(counted)
	if bounds != nil {
		async = &boundedCalls{handler: jsonrpc2.HandlerWithError(serve), bounds: bounds}
		objects = &boundedObjects{ObjectStream: objects, stream: counted, source: counted, decoder: json.NewDecoder(counted)}
	}
	return &Conn{rpc: jsonrpc2.NewConn(ctx, objects, async, noLog), stream: counted, peer: peer}
}

// discardLogger drops the log lines of the JSON-RPC library; callers receive its errors.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

// Call sends a request and decodes the reply into result. It waits for at most
// CallTimeout.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	bounded, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return c.call(bounded, method, params, result)
}

// call is Call with no other bound than ctx. Its error is marked with errNotSent if the peer has
// certainly received nothing, because the link was closed already or the write failed at once.
func (c *Conn) call(ctx context.Context, method string, params, result any) error {
	waiter, err := c.rpc.DispatchCall(ctx, method, params)
	if err == nil {
		return errors.Wrapf(waiter.Wait(ctx, result), "call %s of peer %s", method, c.peer)
	}
	err = errors.Wrapf(err, "send %s to peer %s", method, c.peer)
	if c.stream.cut.Load() {
		return err // the peer may have received the whole of a message
	}
	return errors.Mark(err, errNotSent)
}

// Notify sends a notification without parameters. It does not wait for the peer.
func (c *Conn) Notify(ctx context.Context, method string) error {
	return errors.Wrapf(c.rpc.Notify(ctx, method, nil), "notify %s to peer %s", method, c.peer)
}

// Done returns a channel that is closed when the link closes.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Close closes the link. Closing it twice is allowed.
func (c *Conn) Close() {
	// The only error means that the link is closed already.
	_ = c.rpc.Close()
}

// RejectCalls is the Handler of a link on which the peer makes no calls. It answers each with an
// error.
func RejectCalls(_ context.Context, method string, _ json.RawMessage) (any, error) {
	return nil, UnknownMethod(method)
}

// IsUnknownMethod reports whether a call failed because the other process does not know its method.
func IsUnknownMethod(err error) bool {
	var failed *jsonrpc2.Error
	return errors.As(err, &failed) && failed.Code == jsonrpc2.CodeMethodNotFound
}

// UnknownMethod returns the error for a call of an unknown method.
func UnknownMethod(method string) error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + method}
}

// Decode decodes the parameters of a call.
func Decode[T any](params json.RawMessage) (T, error) {
	var value T
	err := json.Unmarshal(params, &value)
	return value, errors.Wrap(err, "decode parameters")
}
