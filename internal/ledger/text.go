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

// WriteText writes the report as a table in plain text, followed by the missing windows.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := printer{w: table}
	p.printf("workspace\tclass\ttarget\towed\tdelivered\tshare\ttail\tmet\twhy not\n")
	for _, row := range r.Rows {
		p.printf("%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", row.Workspace, row.Class, row.Target, row.Owed,
			row.Outcomes[Delivered.String()], row.share(), row.tail(), row.Status, row.Reason())
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

// WriteNotes writes the notes of all rows, one per line.
func (r Report) WriteNotes(w io.Writer) error {
	p := printer{w: w}
	for _, row := range r.Rows {
		for _, note := range row.Notes {
			p.printf("%s %s %s %s: %s\n", note.At.Format("2006-01-02T15:04:05.000Z"), note.Node, row.Workspace, row.Class, note.Text)
		}
	}
	return p.err
}

func (r *Row) share() string {
	if r.Outcomes[Delivered.String()] == 0 && r.Status != "no" {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", r.Share*100)
}

func (r *Row) tail() string {
	if r.Tail == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0fms", r.Tail)
}

// Reason summarizes the work that was not delivered: outcomes, open work, causes and moves.
func (r *Row) Reason() string {
	var parts []string
	for _, outcome := range Outcomes()[1:] {
		if n := r.Outcomes[outcome.String()]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, outcome))
		}
	}
	if r.Open > 0 {
		parts = append(parts, fmt.Sprintf("%d open", r.Open))
	}
	if causes := Ranked(r.Causes); len(causes) > 0 {
		parts = append(parts, "because "+strings.Join(causes, ", "))
	}
	if moves := Ranked(r.Moves); len(moves) > 0 {
		parts = append(parts, "moved: "+strings.Join(moves, ", "))
	}
	return strings.Join(parts, "; ")
}

// Ranked returns the counts as texts "n name", the largest count first.
func Ranked(counts map[string]int) []string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%d %s", counts[name], name)
	}
	return names
}

// printer writes formatted text and keeps the first error; it skips all writes after it.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, arguments ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, arguments...)
	}
}
