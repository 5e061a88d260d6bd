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
	SizeUnit  string  `json:"per"` // what the size counts
	Run       string  `json:"run"` // the run that measured it
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	MinSize   float64 `json:"from"` // smallest and largest measured size
	MaxSize   float64 `json:"to"`
	// RMSError is the root mean square of the residuals. MaxRelativeError is the largest absolute
	// residual, as a share of the line's largest absolute value.
	RMSError         float64 `json:"error"`
	MaxRelativeError float64 `json:"worst"`
	R2               float64 `json:"r2"`
	Points           []Point `json:"points"`
}

// minPoints is the smallest number of points for which the fit has an error: two points always fit.
const minPoints = 3

// maxLinearError is the largest MaxRelativeError at which the points count as linear.
const maxLinearError = 0.15

// Fit fits a line to points. It returns an error for fewer than three points and for points that all have
// the same size.
func Fit(name, unit, sizeUnit, run string, points []Point) (Line, error) {
	if len(points) < minPoints {
		return Line{}, fmt.Errorf("slope %s: %d points, at least %d are needed", name, len(points), minPoints)
	}
	points = slices.Clone(points)
	slices.SortFunc(points, func(a, b Point) int { return int(math.Copysign(1, a.Size-b.Size)) })
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.Size, p.Value
	}
	l := Line{Name: name, Unit: unit, SizeUnit: sizeUnit, Run: run, Points: points,
		MinSize: xs[0], MaxSize: xs[len(xs)-1]}
	if l.MinSize == l.MaxSize {
		return Line{}, fmt.Errorf("slope %s: all points have the size %v", name, l.MinSize)
	}
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	l.R2 = stat.RSquared(xs, ys, nil, l.Intercept, l.Slope)
	if math.IsNaN(l.R2) { // all values are equal
		l.R2 = 1
	}
	l.computeErrors()
	return l, nil
}

// computeErrors sets RMSError and MaxRelativeError from the residuals.
func (l *Line) computeErrors() {
	squares, maxResidual, maxValue := 0.0, 0.0, 0.0
	for _, p := range l.Points {
		residual := p.Value - l.At(p.Size)
		squares += residual * residual
		maxResidual = max(maxResidual, math.Abs(residual))
		maxValue = max(maxValue, math.Abs(l.At(p.Size)))
	}
	l.RMSError = math.Sqrt(squares / float64(len(l.Points)))
	if maxValue > 0 {
		l.MaxRelativeError = maxResidual / maxValue
	}
}

// At returns the line's value at a size.
func (l *Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// IsLinear reports whether all points are close to the line.
func (l *Line) IsLinear() bool { return l.MaxRelativeError <= maxLinearError }

// ExtrapolationFactor returns size as a multiple of the largest measured size, at least 1.
func (l *Line) ExtrapolationFactor(size float64) float64 { return max(1, size/l.MaxSize) }
