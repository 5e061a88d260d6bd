// Package scalingfit fits straight lines to figures measured at several sizes and reports the error of
// the fit.
package scalingfit

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is a value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a figure as a function of the size, fitted by least squares: Intercept + Slope * size.
type Line struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Per       string  `json:"per"` // what the size counts
	Run       string  `json:"run"` // the run that measured it
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	From      float64 `json:"from"` // smallest and largest measured size
	To        float64 `json:"to"`
	// Error is the root mean square of the residuals. Worst is the largest absolute residual, as a share of
	// the line's largest absolute value.
	Error  float64 `json:"error"`
	Worst  float64 `json:"worst"`
	R2     float64 `json:"r2"`
	Points []Point `json:"points"`
}

// leastPoints is the smallest number of points for which the fit has an error: two points always fit.
const leastPoints = 3

// bendsFrom is the largest Line.Worst at which the points count as linear.
const bendsFrom = 0.15

// Fit fits a line to points. It returns an error for fewer than three points and for points that all have
// the same size.
func Fit(name, unit, per, run string, points []Point) (Line, error) {
	if len(points) < leastPoints {
		return Line{}, fmt.Errorf("slope %s: %d points, at least %d are needed", name, len(points), leastPoints)
	}
	points = slices.Clone(points)
	slices.SortFunc(points, func(a, b Point) int { return int(math.Copysign(1, a.Size-b.Size)) })
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.Size, p.Value
	}
	l := Line{Name: name, Unit: unit, Per: per, Run: run, Points: points, From: xs[0], To: xs[len(xs)-1]}
	if l.From == l.To {
		return Line{}, fmt.Errorf("slope %s: all points have the size %v", name, l.From)
	}
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	l.R2 = stat.RSquared(xs, ys, nil, l.Intercept, l.Slope)
	if math.IsNaN(l.R2) { // all values are equal
		l.R2 = 1
	}
	l.misses()
	return l, nil
}

// misses sets Error and Worst from the residuals.
func (l *Line) misses() {
	squares, most, largest := 0.0, 0.0, 0.0
	for _, p := range l.Points {
		miss := p.Value - l.At(p.Size)
		squares += miss * miss
		most = max(most, math.Abs(miss))
		largest = max(largest, math.Abs(l.At(p.Size)))
	}
	l.Error = math.Sqrt(squares / float64(len(l.Points)))
	if largest > 0 {
		l.Worst = most / largest
	}
}

// At returns the line's value at a size.
func (l *Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// IsLinear reports whether all points are close to the line.
func (l *Line) IsLinear() bool { return l.Worst <= bendsFrom }

// ExtrapolationFactor returns size as a multiple of the largest measured size, at least 1.
func (l *Line) ExtrapolationFactor(size float64) float64 { return max(1, size/l.To) }
