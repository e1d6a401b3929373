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

// Row is what one workspace and class was owed and got over the period.
type Row struct {
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Kind      string `json:"kind"`
	Target    string `json:"target"`
	// TargetTail is the latency owed, in milliseconds; 0 for classes without one.
	TargetTail float64 `json:"targettail,omitempty"`

	Owed      int            `json:"owed"`
	Open      int            `json:"open"` // not ended yet
	Outcomes  map[string]int `json:"fates"`
	Causes    map[string]int `json:"causes"`
	Moves     map[string]int `json:"moves"`
	Tail      float64        `json:"tail,omitempty"` // milliseconds at the target's quantile
	Median    float64        `json:"median,omitempty"`
	Share     float64        `json:"share"` // delivered of what was owed and has ended
	Status    string         `json:"met"`   // yes, no, open, or none owed
	Points    []Point        `json:"points"`
	Notes     []Note         `json:"notes,omitempty"`
	histogram *hdrhistogram.Histogram
}

// Point is a line's count in one stretch of the period, for plots.
type Point struct {
	At       time.Time      `json:"at"`
	Owed     int            `json:"owed"`
	Outcomes map[string]int `json:"fates"`
	Causes   map[string]int `json:"causes"`
	Tail     float64        `json:"tail,omitempty"` // milliseconds

	histogram *hdrhistogram.Histogram
}

// Gap is a window of a node that is missing from the store.
type Gap struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Number      int    `json:"number"`
	Reason      string `json:"why"`
}

// Report is the arbitrator's answer.
type Report struct {
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Version uint64    `json:"version"`
	Windows int       `json:"windows"`
	Rows    []*Row    `json:"lines"`
	Gaps    []Gap     `json:"gaps,omitempty"`
}

// Query selects what to report; empty texts select all.
type Query struct {
	From, To  time.Time
	Workspace string
	Class     string
	Alive     map[string]bool // incarnations whose open window is not lost
}

// Build merges windows into a report under the targets of the document.
func Build(query Query, document contract.Document, windows []Window, index []record.Window) (Report, error) {
	report := Report{From: query.From, To: query.To, Version: document.Version, Windows: len(windows)}
	lines := map[cellKey]*Row{}
	stretch := stretchOf(windows)
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
			if lines[key] == nil {
				lines[key] = newLine(cell, document)
				report.Rows = append(report.Rows, lines[key])
			}
			class, _ := document.Class(cell.Class)
			lines[key].add(window.From.Truncate(stretch), cell, class)
		}
	}
	for _, line := range report.Rows {
		class, _ := document.Class(line.Class)
		line.judge(class)
	}
	slices.SortFunc(report.Rows, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	report.Gaps = gaps(index, query.Alive)
	return report, nil
}

func newLine(cell *Cell, document contract.Document) *Row {
	class, known := document.Class(cell.Class)
	line := &Row{
		Workspace: cell.Workspace, Class: cell.Class, Kind: class.Kind.String(), Target: Target(class),
		Outcomes: map[string]int{}, Causes: map[string]int{}, Moves: map[string]int{},
		histogram: metrics.NewHistogram(),
	}
	if class.Kind == contract.Service {
		line.TargetTail = float64(class.Latency.Microseconds()) / 1000
	}
	if !known {
		line.Kind, line.Target = "removed", "none in force"
	}
	return line
}

// Target shows a class's target in words.
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

// pointsMost is how many stretches the period of a report is parted into.
const pointsMost = 60

// stretchOf is the length of one point of a report over windows.
func stretchOf(windows []Window) time.Duration {
	var first, last time.Time
	for _, window := range windows {
		if first.IsZero() || window.From.Before(first) {
			first = window.From
		}
		if window.To.After(last) {
			last = window.To
		}
	}
	return max(last.Sub(first)/pointsMost, time.Second)
}

// add counts a cell in the point that begins at at; cells of several nodes share one.
func (l *Row) add(at time.Time, cell *Cell, class contract.Class) {
	l.Owed += cell.Owed
	sum(l.Outcomes, cell.Outcomes)
	sum(l.Causes, cell.Causes)
	sum(l.Moves, cell.Moves)
	l.Notes = append(l.Notes, cell.Notes...)
	if n := len(l.Points); n == 0 || !l.Points[n-1].At.Equal(at) {
		l.Points = append(l.Points, Point{At: at, Outcomes: map[string]int{}, Causes: map[string]int{}, histogram: metrics.NewHistogram()})
	}
	point := &l.Points[len(l.Points)-1]
	point.Owed += cell.Owed
	sum(point.Outcomes, cell.Outcomes)
	sum(point.Causes, cell.Causes)
	if cell.histogram != nil {
		l.histogram.Merge(cell.histogram)
		point.histogram.Merge(cell.histogram)
		point.Tail = milliseconds(point.histogram, class.Quantile)
	}
}

func sum(into, from map[string]int) {
	for key, n := range from {
		into[key] += n
	}
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile*100)) / 1000
}

// judge says whether the target was met by what has ended. Cancelled work was
// given up by its workspace and is not owed.
func (l *Row) judge(class contract.Class) {
	ended := 0
	for _, n := range l.Outcomes {
		ended += n
	}
	l.Open = max(l.Owed-ended, 0)
	counted := ended - l.Outcomes[Cancelled.String()]
	if counted > 0 {
		l.Share = float64(l.Outcomes[Delivered.String()]) / float64(counted)
	}
	if l.histogram.TotalCount() > 0 {
		l.Tail = milliseconds(l.histogram, class.Quantile)
		l.Median = milliseconds(l.histogram, 0.5)
	}
	owedShare := 1.0
	if class.Kind == contract.Service {
		owedShare = class.Quantile
	}
	switch {
	case counted == 0 && l.Open == 0:
		l.Status = "none owed"
	case counted == 0:
		l.Status = "open"
	case l.Share < owedShare:
		l.Status = "no"
	case l.Open > 0:
		l.Status = "open"
	default:
		l.Status = "yes"
	}
}

// gaps finds the windows that are missing: numbers that were skipped, and the open
// window of a node that is gone without having closed its last.
func gaps(index []record.Window, alive map[string]bool) []Gap {
	type node struct {
		name    string
		numbers map[int]bool
		most    int
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
		known.most = max(known.most, row.Number)
		known.last = known.last || row.Last
	}
	var found []Gap
	for _, incarnation := range order {
		known := nodes[incarnation]
		for number := range known.most {
			if !known.numbers[number] {
				found = append(found, Gap{known.name, incarnation, number, "window was not stored"})
			}
		}
		if !known.last && !alive[incarnation] {
			found = append(found, Gap{known.name, incarnation, known.most + 1, "node was lost with its open window"})
		}
	}
	return found
}
