package ledger

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// page is the template of the report as one HTML file without external resources.
var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(r *Row) string { return r.share() },
	"tail":    func(r *Row) string { return r.tail() },
	"when":    func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") },
	"moment":  func(t time.Time) string { return t.UTC().Format("15:04:05.000") },
	"fate":    func(r *Row, name string) int { return r.Outcomes[name] },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>apricotwind report</title>
<style>
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 1000px; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .3em .6em; border-bottom: 1px solid #ddd; vertical-align: top; }
td.n { text-align: right; }
.yes { color: #176b2c; } .no { color: #a3161a; font-weight: bold; }
h2 { margin-top: 2em; }
figure { display: inline-block; margin: .5em 1em .5em 0; }
figcaption { font-size: 13px; color: #555; }
</style></head><body>
<h1>What was owed, delivered, and why</h1>
<p>From {{when .From}} to {{when .To}} UTC, under version {{.Version}} of the contract and targets, from {{.Windows}} windows of the ledger.</p>
<table><tr><th>workspace</th><th>class</th><th>target</th><th>owed</th><th>delivered</th><th>share</th><th>tail</th><th>met</th><th>why not</th></tr>
{{range .Rows}}<tr><td>{{.Workspace}}</td><td>{{.Class}}</td><td>{{.Target}}</td><td class="n">{{.Owed}}</td><td class="n">{{fate . "delivered"}}</td><td class="n">{{percent .}}</td><td class="n">{{tail .}}</td><td class="{{.Status}}">{{.Status}}</td><td>{{.Reason}}</td></tr>
{{end}}</table>
{{if .Gaps}}<h2>Missing windows</h2><ul>{{range .Gaps}}<li>node {{.Node}}, run {{.Incarnation}}, window {{.Number}}: {{.Reason}}</li>{{end}}</ul>{{end}}
{{range .Sections}}<h2>{{.Title}}</h2>{{range .Figures}}<figure>{{.SVG}}<figcaption>{{.Caption}}</figcaption></figure>{{end}}
{{if .Notes}}<details><summary>{{len .Notes}} decisions that explain</summary><ul>{{range .Notes}}<li>{{moment .At}} {{.Node}}: {{.Text}}</li>{{end}}</ul></details>{{end}}
{{end}}</body></html>
`))

// section is the part of the page with the plots and notes of one workspace and class.
type section struct {
	Title   string
	Figures []figure
	Notes   []Note
}

type figure struct {
	SVG     template.HTML
	Caption string
}

// WriteHTML writes the report as one self-contained HTML page, with plots over time.
func (r Report) WriteHTML(w io.Writer) error {
	var sections []section
	for _, row := range r.Rows {
		figures, err := row.figures()
		if err != nil {
			return errors.Wrapf(err, "plots of %s %s", row.Workspace, row.Class)
		}
		if len(figures) > 0 {
			sections = append(sections, section{Title: row.Workspace + ", " + row.Class, Figures: figures, Notes: row.Notes})
		}
	}
	var out bytes.Buffer
	err := page.Execute(&out, struct {
		Report
		Sections []section
	}{r, sections})
	if err != nil {
		return errors.Wrap(err, "write page")
	}
	_, err = out.WriteTo(w)
	return errors.Wrap(err, "write page")
}

// figures returns the plots of a row: tail latency against the target, delivered work
// against all work that has ended, and the causes of the work that was not delivered. A row without
// points has none.
func (r *Row) figures() ([]figure, error) {
	if len(r.Points) == 0 {
		return nil, nil
	}
	var figures []figure
	add := func(svg []byte, err error, caption string) error {
		if err == nil && svg != nil {
			figures = append(figures, figure{SVG: template.HTML(svg), Caption: caption})
		}
		return err
	}
	if r.TargetTail > 0 {
		svg, err := r.plotTail()
		if err := add(svg, err, fmt.Sprintf("Tail latency over time, in ms; the dashed line is the target of %g ms.", r.TargetTail)); err != nil {
			return nil, err
		}
	}
	svg, err := r.plotDelivered()
	if err := add(svg, err, "Ended over time: delivered against all that had a fate."); err != nil {
		return nil, err
	}
	svg, err = r.plotCauses()
	if err := add(svg, err, "Causes of what was not delivered, stacked over time."); err != nil {
		return nil, err
	}
	return figures, nil
}
