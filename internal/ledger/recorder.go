// Package ledger counts what was owed and delivered, and reports it.
package ledger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Outcome -linecomment

// Outcome is what became of a piece of work that was owed.
type Outcome int

// The fates. Each owed request or task ends in exactly one.
const (
	Delivered Outcome = iota // delivered
	Late                     // late
	Refused                  // refused
	Failed                   // failed
	Unknown                  // unknown
	Cancelled                // cancelled
)

// Outcomes lists every fate.
func Outcomes() []Outcome { return []Outcome{Delivered, Late, Refused, Failed, Unknown, Cancelled} }

// Kinds of moves of a task that is not at its end.
const (
	Evicted      = "evicted"
	InstanceLost = "instance lost"
	Returned     = "returned"
	HeldForLost  = "held for a lost instance"
)

// Cell is the count of one workspace and class in one window.
type Cell struct {
	Workspace string         `json:"workspace"`
	Class     string         `json:"class"`
	Owed      int            `json:"owed"`
	Outcomes  map[string]int `json:"fates,omitempty"`
	Causes    map[string]int `json:"causes,omitempty"` // of what was not delivered
	Moves     map[string]int `json:"moves,omitempty"`  // of tasks, by kind
	Notes     []Note         `json:"notes,omitempty"`  // decisions that explain
	Latency   []byte         `json:"latency,omitempty"`
	histogram *hdrhistogram.Histogram
}

// Note is one decision that explains a shortfall or a move.
type Note struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	Text string    `json:"text"`
}

// notesMost bounds the notes of one cell in one window; causes count the rest.
const notesMost = 10

// Window is one node's count over a stretch of time.
type Window struct {
	Node        string    `json:"node"`
	Incarnation string    `json:"incarnation"`
	Number      int       `json:"number"`
	From        time.Time `json:"from"`
	To          time.Time `json:"to"`
	Version     uint64    `json:"version"` // of the document in force at its end
	Last        bool      `json:"last,omitempty"`
	Cells       []*Cell   `json:"cells"`
}

type cellKey struct{ workspace, class string }

// Recorder counts for one node. It is owned by the control loop.
type Recorder struct {
	node        string
	incarnation string
	number      int
	from        time.Time
	cells       map[cellKey]*Cell
	order       []cellKey
}

// New opens the book of a node at now.
func New(now time.Time, node, incarnation string) *Recorder {
	return &Recorder{node: node, incarnation: incarnation, from: now, cells: map[cellKey]*Cell{}}
}

func (b *Recorder) cell(workspace, class string) *Cell {
	key := cellKey{workspace, class}
	found, ok := b.cells[key]
	if !ok {
		found = &Cell{
			Workspace: workspace, Class: class,
			Outcomes: map[string]int{}, Causes: map[string]int{}, Moves: map[string]int{},
		}
		b.cells[key] = found
		b.order = append(b.order, key)
	}
	return found
}

// Owe counts n pieces of work that a workspace is owed.
func (b *Recorder) Owe(workspace, class string, n int) { b.cell(workspace, class).Owed += n }

// RecordOutcome counts the fate of one piece of work; cause is empty when it was delivered.
func (b *Recorder) RecordOutcome(workspace, class string, fate Outcome, cause string) {
	cell := b.cell(workspace, class)
	cell.Outcomes[fate.String()]++
	if cause != "" {
		cell.Causes[cause]++
	}
}

// Move counts a move of a task that is not at its end, by kind.
func (b *Recorder) Move(workspace, class, kind string) { b.cell(workspace, class).Moves[kind]++ }

// Note keeps a decision that explains.
func (b *Recorder) Note(now time.Time, workspace, class, text string) {
	cell := b.cell(workspace, class)
	if len(cell.Notes) < notesMost {
		cell.Notes = append(cell.Notes, Note{At: now.UTC(), Node: b.node, Text: text})
	}
}

// RecordLatency records the latency of one answer.
func (b *Recorder) RecordLatency(workspace, class string, took time.Duration) {
	cell := b.cell(workspace, class)
	if cell.histogram == nil {
		cell.histogram = metrics.NewHistogram()
	}
	metrics.Record(cell.histogram, took)
}

// Rotate ends the open window and opens the next.
func (b *Recorder) Rotate(now time.Time, version uint64, last bool) (Window, error) {
	closed := Window{
		Node: b.node, Incarnation: b.incarnation, Number: b.number,
		From: b.from.UTC(), To: now.UTC(), Version: version, Last: last,
	}
	for _, key := range b.order {
		cell := b.cells[key]
		if err := cell.encode(); err != nil {
			return Window{}, err
		}
		closed.Cells = append(closed.Cells, cell)
	}
	b.number++
	b.from = now
	b.cells = map[cellKey]*Cell{}
	b.order = nil
	return closed, nil
}

func (c *Cell) encode() error {
	if c.histogram == nil {
		return nil
	}
	encoded, err := c.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	c.Latency = encoded
	return errors.Wrap(err, "encode latencies")
}

func (c *Cell) decode() error {
	if len(c.Latency) == 0 {
		return nil
	}
	decoded, err := hdrhistogram.Decode(c.Latency)
	c.histogram = decoded
	return errors.Wrap(err, "decode latencies")
}
