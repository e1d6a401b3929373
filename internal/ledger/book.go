// Package ledger counts what was owed and delivered, and reports it.
package ledger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Fate -linecomment

// Fate is what became of a piece of work that was owed.
type Fate int

// The fates. Each owed request or task ends in exactly one.
const (
	Delivered Fate = iota // delivered
	Late                  // late
	Refused               // refused
	Failed                // failed
	Unknown               // unknown
	Cancelled             // cancelled
)

// Fates lists every fate.
func Fates() []Fate { return []Fate{Delivered, Late, Refused, Failed, Unknown, Cancelled} }

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
	Fates     map[string]int `json:"fates,omitempty"`
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

// Book counts for one node. It is owned by the control loop.
type Book struct {
	node        string
	incarnation string
	number      int
	from        time.Time
	cells       map[cellKey]*Cell
	order       []cellKey
}

// New opens the book of a node at now.
func New(now time.Time, node, incarnation string) *Book {
	return &Book{node: node, incarnation: incarnation, from: now, cells: map[cellKey]*Cell{}}
}

func (b *Book) cell(workspace, class string) *Cell {
	key := cellKey{workspace, class}
	found, ok := b.cells[key]
	if !ok {
		found = &Cell{
			Workspace: workspace, Class: class,
			Fates: map[string]int{}, Causes: map[string]int{}, Moves: map[string]int{},
		}
		b.cells[key] = found
		b.order = append(b.order, key)
	}
	return found
}

// Owe counts n pieces of work that a workspace is owed.
func (b *Book) Owe(workspace, class string, n int) { b.cell(workspace, class).Owed += n }

// End counts the fate of one piece of work; cause is empty when it was delivered.
func (b *Book) End(workspace, class string, fate Fate, cause string) {
	cell := b.cell(workspace, class)
	cell.Fates[fate.String()]++
	if cause != "" {
		cell.Causes[cause]++
	}
}

// Move counts a move of a task that is not at its end, by kind.
func (b *Book) Move(workspace, class, kind string) { b.cell(workspace, class).Moves[kind]++ }

// Note keeps a decision that explains.
func (b *Book) Note(now time.Time, workspace, class, text string) {
	cell := b.cell(workspace, class)
	if len(cell.Notes) < notesMost {
		cell.Notes = append(cell.Notes, Note{At: now.UTC(), Node: b.node, Text: text})
	}
}

// Time records the latency of one answer.
func (b *Book) Time(workspace, class string, took time.Duration) {
	cell := b.cell(workspace, class)
	if cell.histogram == nil {
		cell.histogram = metrics.NewHistogram()
	}
	metrics.Record(cell.histogram, took)
}

// Close ends the open window and opens the next.
func (b *Book) Close(now time.Time, version uint64, last bool) (Window, error) {
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
