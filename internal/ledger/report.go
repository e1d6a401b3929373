package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
)

// Row is the row of a report for one workspace and class: the totals over the period,
// compared with the target.
type Row struct {
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Kind      string `json:"kind"`
	Target    string `json:"target"`
	// TargetTail is the latency target in milliseconds; 0 for classes without one.
	TargetTail float64 `json:"targettail,omitempty"`

	Owed      int            `json:"owed"`
	Open      int            `json:"open"` // work that has not ended yet
	Outcomes  map[string]int `json:"fates"`
	Causes    map[string]int `json:"causes"`
	Moves     map[string]int `json:"moves"`
	Tail      float64        `json:"tail,omitempty"` // milliseconds, at the quantile of the target
	Median    float64        `json:"median,omitempty"`
	Share     float64        `json:"share"` // share of delivered work in the work that has ended and was not cancelled
	Status    string         `json:"met"`   // whether the target was met: yes, no, open, or none owed
	Points    []Point        `json:"points"`
	Notes     []Note         `json:"notes,omitempty"`
	histogram *hdrhistogram.Histogram
}

// Point holds the counts of a row in one interval of the period, for plots.
type Point struct {
	At       time.Time      `json:"at"`
	Owed     int            `json:"owed"`
	Outcomes map[string]int `json:"fates"`
	Causes   map[string]int `json:"causes"`
	Tail     float64        `json:"tail,omitempty"` // milliseconds, at the quantile of the target

	histogram *hdrhistogram.Histogram
}

// Gap is a window of a node that is missing in the store.
type Gap struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Number      int    `json:"number"`
	Reason      string `json:"why"`
}

// Report compares the recorded counts of a period with the targets.
type Report struct {
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Version uint64    `json:"version"`
	Windows int       `json:"windows"`
	Rows    []*Row    `json:"lines"`
	Gaps    []Gap     `json:"gaps,omitempty"`
}

// Query selects the rows of a report. From and To are the period that the windows passed
// to Build were selected by. An empty Workspace or Class selects all.
type Query struct {
	From, To  time.Time
	Workspace string
	Class     string
	Alive     map[string]bool // incarnations of running nodes, whose open window is not lost
}

// Build merges windows into a report against the targets of the document. Gaps are those of
// all nodes in index. Build sorts windows in place.
func Build(query Query, document contract.Document, windows []Window, index []record.WindowIndex) (Report, error) {
	report := Report{From: query.From, To: query.To, Version: document.Version, Windows: len(windows)}
	rows := map[cellKey]*Row{}
	interval := intervalOf(windows)
	slices.SortStableFunc(windows, func(a, b Window) int { return a.From.Compare(b.From) })
	for _, window := range windows {
		for _, cell := range window.Cells {
			if query.Workspace != "" && cell.Workspace != query.Workspace || query.Class != "" && cell.Class != query.Class {
				continue
			}
			if err := cell.decode(); err != nil {
				return Report{}, err
			}
			key := cellKey{cell.Workspace, cell.Class}
			if rows[key] == nil {
				rows[key] = newRow(cell, document)
				report.Rows = append(report.Rows, rows[key])
			}
			class, _ := document.Class(cell.Class)
			rows[key].add(window.From.Truncate(interval), cell, class)
		}
	}
	for _, row := range report.Rows {
		class, _ := document.Class(row.Class)
		row.evaluate(class)
	}
	slices.SortFunc(report.Rows, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	report.Gaps = findGaps(index, query.Alive)
	return report, nil
}

func newRow(cell *Cell, document contract.Document) *Row {
	class, known := document.Class(cell.Class)
	row := &Row{
		Workspace: cell.Workspace, Class: cell.Class, Kind: class.Kind.String(), Target: Target(class),
		Outcomes: map[string]int{}, Causes: map[string]int{}, Moves: map[string]int{},
		histogram: metrics.NewHistogram(),
	}
	if class.Kind == contract.Service {
		row.TargetTail = float64(class.Latency.Microseconds()) / 1000
	}
	if !known {
		row.Kind, row.Target = "removed", "none in force"
	}
	return row
}

// Target returns the target of a class as text.
func Target(class contract.Class) string {
	switch class.Kind {
	case contract.Service:
		return fmt.Sprintf("%g%% within %s", class.Quantile*100, class.Latency)
	case contract.Batch:
		if class.TasksPerHour > 0 {
			return fmt.Sprintf("%g tasks an hour", class.TasksPerHour)
		}
		return fmt.Sprintf("done within %s", class.Deadline)
	case contract.Sync:
	}
	return fmt.Sprintf("progress %g", class.ProcessorShare)
}

// maxPoints sets the length of an interval: the period of a report divided by maxPoints,
// but at least 1 s.
const maxPoints = 60

// intervalOf returns the interval of one point in a report over windows, at least 1 s.
func intervalOf(windows []Window) time.Duration {
	var first, last time.Time
	for _, window := range windows {
		if first.IsZero() || window.From.Before(first) {
			first = window.From
		}
		if window.To.After(last) {
			last = window.To
		}
	}
	return max(last.Sub(first)/maxPoints, time.Second)
}

// add adds a cell to the totals and to the point that starts at at. Cells of several nodes
// share a point.
func (r *Row) add(at time.Time, cell *Cell, class contract.Class) {
	r.Owed += cell.Owed
	addCounts(r.Outcomes, cell.Outcomes)
	addCounts(r.Causes, cell.Causes)
	addCounts(r.Moves, cell.Moves)
	r.Notes = append(r.Notes, cell.Notes...)
	if n := len(r.Points); n == 0 || !r.Points[n-1].At.Equal(at) {
		r.Points = append(r.Points, Point{At: at, Outcomes: map[string]int{}, Causes: map[string]int{}, histogram: metrics.NewHistogram()})
	}
	point := &r.Points[len(r.Points)-1]
	point.Owed += cell.Owed
	addCounts(point.Outcomes, cell.Outcomes)
	addCounts(point.Causes, cell.Causes)
	if cell.histogram != nil {
		r.histogram.Merge(cell.histogram)
		point.histogram.Merge(cell.histogram)
		point.Tail = milliseconds(point.histogram, class.Quantile)
	}
}

func addCounts(dst, src map[string]int) {
	for key, n := range src {
		dst[key] += n
	}
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile*100)) / 1000
}

// evaluate sets the status of the target from the work that has ended. Cancelled work is
// not counted, since its workspace has withdrawn it.
func (r *Row) evaluate(class contract.Class) {
	ended := 0
	for _, n := range r.Outcomes {
		ended += n
	}
	r.Open = max(r.Owed-ended, 0)
	counted := ended - r.Outcomes[Cancelled.String()]
	if counted > 0 {
		r.Share = float64(r.Outcomes[Delivered.String()]) / float64(counted)
	}
	if r.histogram.TotalCount() > 0 {
		r.Tail = milliseconds(r.histogram, class.Quantile)
		r.Median = milliseconds(r.histogram, 0.5)
	}
	targetShare := 1.0
	if class.Kind == contract.Service {
		targetShare = class.Quantile
	}
	switch {
	case counted == 0 && r.Open == 0:
		r.Status = "none owed"
	case counted == 0:
		r.Status = "open"
	case r.Share < targetShare:
		r.Status = "no"
	case r.Open > 0:
		r.Status = "open"
	default:
		r.Status = "yes"
	}
}

// findGaps returns the missing windows: numbers that were skipped, and the open window of
// each node that stopped without closing its last window.
func findGaps(index []record.WindowIndex, alive map[string]bool) []Gap {
	type node struct {
		name    string
		numbers map[int]bool
		highest int
		last    bool
	}
	nodes := map[string]*node{}
	var order []string
	for _, row := range index {
		known, ok := nodes[row.Incarnation]
		if !ok {
			known = &node{name: row.Node, numbers: map[int]bool{}}
			nodes[row.Incarnation] = known
			order = append(order, row.Incarnation)
		}
		known.numbers[row.Number] = true
		known.highest = max(known.highest, row.Number)
		known.last = known.last || row.Last
	}
	var found []Gap
	for _, incarnation := range order {
		known := nodes[incarnation]
		for number := range known.highest {
			if !known.numbers[number] {
				found = append(found, Gap{known.name, incarnation, number, "window was not stored"})
			}
		}
		if !known.last && !alive[incarnation] {
			found = append(found, Gap{known.name, incarnation, known.highest + 1, "node was lost with its open window"})
		}
	}
	return found
}
