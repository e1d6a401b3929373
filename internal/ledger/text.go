package ledger

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteText shows the report as a table.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := printer{w: table}
	p.printf("workspace\tclass\ttarget\towed\tdelivered\tshare\ttail\tmet\twhy not\n")
	for _, line := range r.Rows {
		p.printf("%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", line.Workspace, line.Class, line.Target, line.Owed,
			line.Outcomes[Delivered.String()], line.share(), line.tail(), line.Status, line.Reason())
	}
	if p.err == nil {
		p.err = table.Flush()
	}
	p.w = w
	for _, gap := range r.Gaps {
		p.printf("missing: node %s, run %s, window %d: %s\n", gap.Node, gap.Incarnation, gap.Number, gap.Reason)
	}
	return p.err
}

// WriteNotes lists the decisions that explain each line's shortfalls and moves.
func (r Report) WriteNotes(w io.Writer) error {
	p := printer{w: w}
	for _, line := range r.Rows {
		for _, note := range line.Notes {
			p.printf("%s %s %s %s: %s\n", note.At.Format("2006-01-02T15:04:05.000Z"), note.Node, line.Workspace, line.Class, note.Text)
		}
	}
	return p.err
}

func (l *Row) share() string {
	if l.Outcomes[Delivered.String()] == 0 && l.Status != "no" {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", l.Share*100)
}

func (l *Row) tail() string {
	if l.Tail == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0fms", l.Tail)
}

// Reason says in words what became of the work that was not delivered.
func (l *Row) Reason() string {
	var parts []string
	for _, fate := range Outcomes()[1:] {
		if n := l.Outcomes[fate.String()]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, fate))
		}
	}
	if l.Open > 0 {
		parts = append(parts, fmt.Sprintf("%d open", l.Open))
	}
	if causes := Ranked(l.Causes); len(causes) > 0 {
		parts = append(parts, "because "+strings.Join(causes, ", "))
	}
	if moves := Ranked(l.Moves); len(moves) > 0 {
		parts = append(parts, "moved: "+strings.Join(moves, ", "))
	}
	return strings.Join(parts, "; ")
}

// Ranked lists counts as `n name`, largest first.
func Ranked(counts map[string]int) []string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%d %s", counts[name], name)
	}
	return names
}

// printer keeps the first error of many writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, arguments ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, arguments...)
	}
}
