package capacity

import (
	"errors"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dockhinge.example/dockhinge/lab/scalingfit"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// errNothingToPlot is returned if none of the names belongs to a line.
var errNothingToPlot = errors.New("none of the names belongs to a line")

// Plot draws the named lines and their measured points over the size into an SVG file. All of them must
// have the same unit. Names without a line are ignored unless there is no line at all.
func Plot(path, title string, lines []scalingfit.Line, names ...string) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	drawn := 0
	for _, l := range lines {
		for _, name := range names {
			if l.Name != name {
				continue
			}
			if err := draw(p, l, drawn); err != nil {
				return fmt.Errorf("plot %s: %w", name, err)
			}
			drawn++
		}
	}
	if drawn == 0 {
		return errNothingToPlot
	}
	return p.Save(plotWidth, plotHeight, path)
}

// draw adds a line and its points.
func draw(p *plot.Plot, l scalingfit.Line, n int) error {
	var points plotter.XYs
	for _, one := range l.Points {
		points = append(points, plotter.XY{X: one.Size, Y: one.Value})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	fitted, err := plotter.NewLine(plotter.XYs{{X: l.MinSize, Y: l.At(l.MinSize)}, {X: l.MaxSize, Y: l.At(l.MaxSize)}})
	if err != nil {
		return err
	}
	scatter.Color, fitted.Color = plotutil.Color(n), plotutil.Color(n)
	scatter.Shape = plotutil.Shape(n)
	p.X.Label.Text, p.Y.Label.Text = l.SizeUnit+"s", l.Unit
	p.Add(scatter, fitted)
	p.Legend.Add(l.Name, scatter, fitted)
	return nil
}
