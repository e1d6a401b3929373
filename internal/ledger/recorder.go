// Package ledger counts, per workspace and class, the requests and tasks that were owed and
// their outcomes, stores the counts in windows, and compares them with the targets in
// reports. It makes no decisions about them.
package ledger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Outcome -linecomment

// Outcome is the final outcome of a request or task.
type Outcome int

// The outcomes. Each owed request or task ends with exactly one.
const (
	Delivered Outcome = iota // delivered
	Late                     // late
	Refused                  // refused
	Failed                   // failed
	Unknown                  // unknown
	Cancelled                // cancelled
)

// Outcomes returns all outcomes, Delivered first.
func Outcomes() []Outcome { return []Outcome{Delivered, Late, Refused, Failed, Unknown, Cancelled} }

// Kinds of moves: decisions about a task that do not end it.
const (
	Evicted      = "evicted"
	InstanceLost = "instance lost"
	Returned     = "returned"
	HeldForLost  = "held for a lost instance"
)

// Cell holds the counts of one workspace and class in one window.
type Cell struct {
	Workspace string         `json:"workspace"`
	Class     string         `json:"class"`
	Owed      int            `json:"owed"`
	Outcomes  map[string]int `json:"fates,omitempty"`
	Causes    map[string]int `json:"causes,omitempty"`  // of work that was not delivered
	Moves     map[string]int `json:"moves,omitempty"`   // of tasks, by kind
	Notes     []Note         `json:"notes,omitempty"`   // on requests and decisions that explain shortfalls and moves
	Latency   []byte         `json:"latency,omitempty"` // histogram in microseconds, encoded by hdrhistogram
	histogram *hdrhistogram.Histogram
}

// Note explains one request or one decision about a task that caused a shortfall or a move.
type Note struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	Text string    `json:"text"`
}

// maxNotes bounds the notes of one cell in one window. Causes and moves are counted without
// this limit.
const maxNotes = 10

// Window holds the counts of one node over an interval of time.
type Window struct {
	Node        string    `json:"node"`
	Incarnation string    `json:"incarnation"`
	Number      int       `json:"number"`
	From        time.Time `json:"from"`
	To          time.Time `json:"to"`
	Version     uint64    `json:"version"` // of the document in force at the end of the window
	Last        bool      `json:"last,omitempty"`
	Cells       []*Cell   `json:"cells"`
}

type cellKey struct{ workspace, class string }

// Recorder accumulates the counts of one node for the open window. It is owned by the
// control loop and is not safe for concurrent use.
type Recorder struct {
	node        string
	incarnation string
	number      int
	from        time.Time
	cells       map[cellKey]*Cell
	order       []cellKey
}

// New returns the recorder of a node, with a first window that starts at now.
func New(now time.Time, node, incarnation string) *Recorder {
	return &Recorder{node: node, incarnation: incarnation, from: now, cells: map[cellKey]*Cell{}}
}

func (r *Recorder) cell(workspace, class string) *Cell {
	key := cellKey{workspace, class}
	found, ok := r.cells[key]
	if !ok {
		found = &Cell{
			Workspace: workspace, Class: class,
			Outcomes: map[string]int{}, Causes: map[string]int{}, Moves: map[string]int{},
		}
		r.cells[key] = found
		r.order = append(r.order, key)
	}
	return found
}

// RecordOwed counts n requests or tasks as owed to a workspace: a request that passed validation,
// once it has ended, and the tasks of a job, once it is accepted.
func (r *Recorder) RecordOwed(workspace, class string, n int) { r.cell(workspace, class).Owed += n }

// RecordOutcome counts the outcome of one request or task. Cause is empty if it was
// delivered.
func (r *Recorder) RecordOutcome(workspace, class string, outcome Outcome, cause string) {
	cell := r.cell(workspace, class)
	cell.Outcomes[outcome.String()]++
	if cause != "" {
		cell.Causes[cause]++
	}
}

// RecordMove counts a move of a task that has not ended, by kind.
func (r *Recorder) RecordMove(workspace, class, kind string) { r.cell(workspace, class).Moves[kind]++ }

// RecordNote adds a note to the open window. It drops notes beyond maxNotes.
func (r *Recorder) RecordNote(now time.Time, workspace, class, text string) {
	cell := r.cell(workspace, class)
	if len(cell.Notes) < maxNotes {
		cell.Notes = append(cell.Notes, Note{At: now.UTC(), Node: r.node, Text: text})
	}
}

// RecordLatency records the latency of one request.
func (r *Recorder) RecordLatency(workspace, class string, latency time.Duration) {
	cell := r.cell(workspace, class)
	if cell.histogram == nil {
		cell.histogram = metrics.NewHistogram()
	}
	metrics.Record(cell.histogram, latency)
}

// Rotate closes the open window, returns it and opens the next one. Version is that of the
// document in force; last states that the node shuts down after this window.
func (r *Recorder) Rotate(now time.Time, version uint64, last bool) (Window, error) {
	closed := Window{
		Node: r.node, Incarnation: r.incarnation, Number: r.number,
		From: r.from.UTC(), To: now.UTC(), Version: version, Last: last,
	}
	for _, key := range r.order {
		cell := r.cells[key]
		if err := cell.encode(); err != nil {
			return Window{}, err
		}
		closed.Cells = append(closed.Cells, cell)
	}
	r.number++
	r.from = now
	r.cells = map[cellKey]*Cell{}
	r.order = nil
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
