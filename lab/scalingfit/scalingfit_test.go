package scalingfit

import (
	"math"
	"testing"
)

func points(f func(float64) float64) (all []Point) {
	for _, x := range []float64{5100, 100, 1000, 300, 2000} {
		all = append(all, Point{x, f(x)})
	}
	return all
}

// For points on a line, Fit returns exactly this line, its range and no error.
func TestFitFindsAnExactLine(t *testing.T) {
	l, err := Fit("cores", "cores", "router", "run", points(func(x float64) float64 { return 0.1 + 0.0002*x }))
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(l.Slope-0.0002) > 1e-9 || math.Abs(l.Intercept-0.1) > 1e-9 ||
		l.MinSize != 100 || l.MaxSize != 5100 || l.RMSError > 1e-9 || !l.IsLinear() {
		t.Errorf("%+v", l)
	}
	if got := l.At(10200); math.Abs(got-2.14) > 1e-9 {
		t.Errorf("at 10,200: %v", got)
	}
	if l.ExtrapolationFactor(5100) != 1 || l.ExtrapolationFactor(10200) != 2 {
		t.Errorf("beyond: %v, %v", l.ExtrapolationFactor(5100), l.ExtrapolationFactor(10200))
	}
}

// A quadratic function is not linear, a constant is.
func TestQuadraticIsNotLinear(t *testing.T) {
	if l, err := Fit("s", "s", "router", "run", points(func(x float64) float64 { return x * x })); err != nil ||
		l.IsLinear() {
		t.Errorf("%+v, %v", l, err)
	}
	if l, err := Fit("s", "s", "router", "run", points(func(float64) float64 { return 3 })); err != nil ||
		!l.IsLinear() || l.At(7) != 3 || l.R2 != 1 {
		t.Errorf("%+v, %v", l, err)
	}
}

// Fit rejects fewer than three points, and points that all have the same size.
func TestFitRejectsTooFewPointsOrSizes(t *testing.T) {
	if _, err := Fit("s", "s", "router", "run", []Point{{1, 1}, {2, 2}}); err == nil {
		t.Error("two points were accepted")
	}
	if _, err := Fit("s", "s", "router", "run", []Point{{1, 1}, {1, 2}, {1, 3}}); err == nil {
		t.Error("points of one size were accepted")
	}
}
