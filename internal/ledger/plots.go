package ledger

import (
	"bytes"
	"image/color"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	// plotWidth and plotHeight are the size of a plot in points (72 per inch).
	plotWidth  vg.Length = 340
	plotHeight vg.Length = 170
	// yAxisScale is the ratio of the Y axis to the highest value; it leaves space for the
	// legend.
	yAxisScale = 1.4
	// barShare is the share of its time interval that a bar fills.
	barShare = 0.8
)

var (
	blue = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	gray = color.RGBA{R: 0x88, G: 0x88, B: 0x88, A: 0xff}
	red  = color.RGBA{R: 0xa3, G: 0x16, B: 0x1a, A: 0xff}
)

// seconds returns the time of a point since the first point of the row, in seconds.
func (r *Row) seconds(p Point) float64 { return p.At.Sub(r.Points[0].At).Seconds() }

func newPlot(y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	return p
}

// drawSVG renders a plot as an SVG element.
func drawSVG(p *plot.Plot) ([]byte, error) {
	p.Y.Max *= yAxisScale
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, errors.Wrap(err, "draw plot")
	}
	at := bytes.Index(out.Bytes(), []byte("<svg"))
	return out.Bytes()[max(at, 0):], nil
}

func (r *Row) plotTail() ([]byte, error) {
	var tails plotter.XYs
	for _, point := range r.Points {
		if point.Tail > 0 {
			tails = append(tails, plotter.XY{X: r.seconds(point), Y: point.Tail})
		}
	}
	if len(tails) < 2 {
		return nil, nil
	}
	p := newPlot("ms")
	line, err := plotter.NewLine(tails)
	if err != nil {
		return nil, errors.Wrap(err, "tail")
	}
	line.Color = blue
	target, err := plotter.NewLine(plotter.XYs{{X: tails[0].X, Y: r.TargetTail}, {X: tails[len(tails)-1].X, Y: r.TargetTail}})
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	target.Color = red
	target.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line, target)
	p.Legend.Add("tail", line)
	p.Legend.Add("target", target)
	return drawSVG(p)
}

// plotDelivered plots all work that ended as gray bars, and in front of them the delivered
// work.
func (r *Row) plotDelivered() ([]byte, error) {
	var ended, delivered []float64
	for _, point := range r.Points {
		all := 0
		for _, n := range point.Outcomes {
			all += n
		}
		ended = append(ended, float64(all))
		delivered = append(delivered, float64(point.Outcomes[Delivered.String()]))
	}
	return r.bars("per stretch", []series{{"ended", gray, ended, false}, {"delivered", blue, delivered, false}})
}

// plotCauses plots the causes as stacked bars. It returns nil if there are none.
func (r *Row) plotCauses() ([]byte, error) {
	var list []series
	for i, cause := range slices.Sorted(maps.Keys(r.Causes)) {
		var values []float64
		for _, point := range r.Points {
			values = append(values, float64(point.Causes[cause]))
		}
		list = append(list, series{cause, plotutil.Color(i), values, true})
	}
	if len(list) == 0 {
		return nil, nil
	}
	return r.bars("per stretch", list)
}

// series is one set of bars. A stacked series is drawn on top of the previous one.
type series struct {
	name    string
	color   color.Color
	values  []float64
	stacked bool
}

func (r *Row) bars(y string, list []series) ([]byte, error) {
	p := newPlot(y)
	width := plotWidth / vg.Length(len(r.Points)+2) * barShare
	var previous *plotter.BarChart
	for _, s := range list {
		bars, err := plotter.NewBarChart(plotter.Values(s.values), width)
		if err != nil {
			return nil, errors.Wrap(err, s.name)
		}
		bars.Color = s.color
		bars.LineStyle.Width = 0
		if s.stacked && previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	p.X.Label.Text = "stretch of the period"
	return drawSVG(p)
}
