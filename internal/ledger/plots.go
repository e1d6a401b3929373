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
	// plotWidth and plotHeight are in points, 72 to an inch.
	plotWidth  vg.Length = 340
	plotHeight vg.Length = 170
	// headroom is left above the highest value for the legend.
	headroom = 1.4
	// barShare is the share of its stretch of time that a bar fills.
	barShare = 0.8
)

var (
	blue = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	gray = color.RGBA{R: 0x88, G: 0x88, B: 0x88, A: 0xff}
	red  = color.RGBA{R: 0xa3, G: 0x16, B: 0x1a, A: 0xff}
)

// seconds is a point's time from the line's first point.
func (l *Row) seconds(p Point) float64 { return p.At.Sub(l.Points[0].At).Seconds() }

func newPlot(y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	return p
}

// drawSVG renders a plot as an svg element.
func drawSVG(p *plot.Plot) ([]byte, error) {
	p.Y.Max *= headroom
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, errors.Wrap(err, "draw plot")
	}
	at := bytes.Index(out.Bytes(), []byte("<svg"))
	return out.Bytes()[max(at, 0):], nil
}

func (l *Row) plotTail() ([]byte, error) {
	var tails plotter.XYs
	for _, point := range l.Points {
		if point.Tail > 0 {
			tails = append(tails, plotter.XY{X: l.seconds(point), Y: point.Tail})
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
	target, err := plotter.NewLine(plotter.XYs{{X: tails[0].X, Y: l.TargetTail}, {X: tails[len(tails)-1].X, Y: l.TargetTail}})
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

// plotDelivered shows all that ended as gray bars and what was delivered before them.
func (l *Row) plotDelivered() ([]byte, error) {
	var ended, delivered []float64
	for _, point := range l.Points {
		all := 0
		for _, n := range point.Outcomes {
			all += n
		}
		ended = append(ended, float64(all))
		delivered = append(delivered, float64(point.Outcomes[Delivered.String()]))
	}
	return l.bars("per stretch", []series{{"ended", gray, ended, false}, {"delivered", blue, delivered, false}})
}

// plotCauses stacks the causes.
func (l *Row) plotCauses() ([]byte, error) {
	var list []series
	for i, cause := range slices.Sorted(maps.Keys(l.Causes)) {
		var values []float64
		for _, point := range l.Points {
			values = append(values, float64(point.Causes[cause]))
		}
		list = append(list, series{cause, plotutil.Color(i), values, true})
	}
	if len(list) == 0 {
		return nil, nil
	}
	return l.bars("per stretch", list)
}

// series is one set of bars; stacked ones stand on the one before.
type series struct {
	name    string
	color   color.Color
	values  []float64
	stacked bool
}

func (l *Row) bars(y string, list []series) ([]byte, error) {
	p := newPlot(y)
	width := plotWidth / vg.Length(len(l.Points)+2) * barShare
	var before *plotter.BarChart
	for _, each := range list {
		bars, err := plotter.NewBarChart(plotter.Values(each.values), width)
		if err != nil {
			return nil, errors.Wrap(err, each.name)
		}
		bars.Color = each.color
		bars.LineStyle.Width = 0
		if each.stacked && before != nil {
			bars.StackOn(before)
		}
		before = bars
		p.Add(bars)
		p.Legend.Add(each.name, bars)
	}
	p.X.Label.Text = "stretch of the period"
	return drawSVG(p)
}
