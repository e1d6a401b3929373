// Package budget bounds what clients can take of a process's memory and descriptors: connections,
// heads, bodies, links and their messages each have a share, and what exceeds a share is refused or
// closed, the slowest first. Handlers decide what an answer says; see docs/design/clients.md.
package budget

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// DefaultMemory is the memory of a process whose settings name none, in bytes.
	DefaultMemory = 2048 << 20
	// DefaultDescriptors is the number of descriptors of a process whose settings name none.
	DefaultDescriptors = 4096
	// fileDescriptors are kept for files.
	fileDescriptors = 200
	// sideConnections bounds the connections of a listener that clients do not use.
	sideConnections = 64
	// minConnections is the least number of connections that a listener accepts.
	minConnections = 16
)

// Shares of the memory. The rest is for the process's own state.
const (
	connectionsPart = 4  // a quarter
	headsPart       = 16 // a sixteenth
	bodiesPart      = 8
	linksPart       = 12
	messagesPart    = 10
)

// Costs in bytes of memory.
const (
	// connectionCost is that of a connection with an ordinary request: its goroutine, its buffers, an
	// ordinary head and body, and receiveBuffer bytes that the kernel holds unread.
	connectionCost = 24<<10 + receiveBuffer
	receiveBuffer  = 16 << 10
	// linkCost is that of a link without a call: goroutines, buffers, and unread bytes.
	linkCost          = 16<<10 + linkReceiveBuffer
	linkReceiveBuffer = 16 << 10
	// lineCost is that of one header line, apart from its bytes, which are held twice.
	lineCost = 200
	byteCost = 2
	// bodyCost is that of one byte of a body: the buffer that grows, the decoded job and its row.
	bodyCost = 4
	// messageCost is that of one byte of a message: the buffer that doubles, and the decoded parameters.
	messageCost = 4
	// callCost is that of a call of a link that is being served, apart from its message.
	callCost = 8 << 10
	// freeHead and freeBody are what every request may hold: connectionCost contains them.
	freeHead, freeBody = 8 << 10, 4 << 10
	// freeMessage is what a message on every link may hold.
	freeMessage = 4 << 10
)

// errExceeded marks a read that failed because a share of the budget is exhausted.
var errExceeded = errors.New("the memory for clients is exhausted")

// Exceeded reports whether a read of a body failed because of the budget. The request was not run and
// may be repeated later.
func Exceeded(err error) bool { return errors.Is(err, errExceeded) }

// Settings are what a process may use. Zero values mean the defaults.
type Settings struct {
	Memory      int64 // bytes
	Descriptors int
}

// Limits are those of a deployment's configuration. A value of 0 means the default.
type Limits struct {
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

// Budget is the budget of one process. It is safe for concurrent use.
type Budget struct {
	settings Settings
	registry *metrics.Registry
	refusals *logs.FailureLogger
	limits   atomic.Pointer[Limits]
	heads    *share
	bodies   *share
	messages *share
	holders  holders
	began    time.Time
}

// New returns the budget of a process.
func New(settings Settings, registry *metrics.Registry, log *zap.Logger) *Budget {
	if settings.Memory == 0 {
		settings.Memory = DefaultMemory
	}
	if settings.Descriptors == 0 {
		settings.Descriptors = DefaultDescriptors
	}
	b := &Budget{
		settings: settings, began: time.Now(), registry: registry, refusals: logs.NewFailureLogger(log, "clients-refused"),
		heads: newShare(settings.Memory / headsPart), bodies: newShare(settings.Memory / bodiesPart), messages: newShare(settings.Memory / messagesPart),
	}
	b.SetLimits(Limits{})
	registry.Gauge("clients-heads-bytes", func() any { return b.heads.inUse() })
	registry.Gauge("clients-bodies-bytes", func() any { return b.bodies.inUse() })
	registry.Gauge("clients-messages-bytes", func() any { return b.messages.inUse() })
	return b
}

// SetLimits applies the limits of a configuration.
func (b *Budget) SetLimits(limits Limits) {
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	limits.HeaderBytes = min(limits.HeaderBytes, maxHeaderBytes)
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	b.limits.Store(&limits)
}

// sockets is the number of descriptors for connections. Half of them are for those that the process
// opens itself, since a request may need one.
func (b *Budget) sockets() int { return (b.settings.Descriptors - fileDescriptors) / 2 }

// linkCap and connectionCap are the most accepted links, and connections of one listener.
func (b *Budget) linkCap() int {
	return max(min(int(b.settings.Memory/linksPart/linkCost), b.sockets()/4), minConnections)
}

func (b *Budget) connectionCap() int {
	free := b.sockets() - b.linkCap() - 2*b.sideCap()
	return max(min(int(b.settings.Memory/connectionsPart/connectionCost), free), minConnections)
}

func (b *Budget) sideCap() int { return max(min(sideConnections, b.sockets()/8), minConnections) }

// note counts what was refused or closed, and logs it at most every few seconds.
func (b *Budget) note(reason Reason) {
	b.registry.Add("clients-"+reason.String(), 1)
	b.refusals.Note(errors.Newf("%v", reason))
}

// Refuse answers a request that was not run because of the budget.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}
