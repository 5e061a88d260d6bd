// Package scalingfit fits lines to what was measured at several sizes, and tells how far they can be trusted.
package scalingfit

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a figure over the size, fitted by least squares: Intercept + Slope * size.
type Line struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Per       string  `json:"per"` // what the size counts
	Run       string  `json:"run"` // that measured it
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	From      float64 `json:"from"` // the range of sizes that were measured
	To        float64 `json:"to"`
	// Error is the root mean square of what the line misses the points by; Worst the most, as a share of the line's largest value.
	Error  float64 `json:"error"`
	Worst  float64 `json:"worst"`
	R2     float64 `json:"r2"`
	Points []Point `json:"points"`
}

// leastPoints are those without which a line says nothing of its error.
const leastPoints = 3

// bendsFrom is the Worst from which points don't lie on a line.
const bendsFrom = 0.15

// Fit fits a line to points.
func Fit(name, unit, per, run string, points []Point) (Line, error) {
	if len(points) < leastPoints {
		return Line{}, fmt.Errorf("slope %s: %d points, %d are wanted", name, len(points), leastPoints)
	}
	points = slices.Clone(points)
	slices.SortFunc(points, func(a, b Point) int { return int(math.Copysign(1, a.Size-b.Size)) })
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.Size, p.Value
	}
	l := Line{Name: name, Unit: unit, Per: per, Run: run, Points: points, From: xs[0], To: xs[len(xs)-1]}
	if l.From == l.To {
		return Line{}, fmt.Errorf("slope %s: all points are of size %v", name, l.From)
	}
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	l.R2 = stat.RSquared(xs, ys, nil, l.Intercept, l.Slope)
	if math.IsNaN(l.R2) { // all values are alike
		l.R2 = 1
	}
	l.misses()
	return l, nil
}

// misses works out by how much the points lie beside the line.
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

// At is the line's value at a size.
func (l *Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// IsLinear reports whether the points lie on the line as far as their spread tells.
func (l *Line) IsLinear() bool { return l.Worst <= bendsFrom }

// ExtrapolationFactor is how many times the largest measured size a size is; 1 within what was measured.
func (l *Line) ExtrapolationFactor(size float64) float64 { return max(1, size/l.To) }
