package decide

import (
	"math"
	"testing"
)

// Guards against wrong waiting formulas: with exponential service times M/G/m is M/M/m, whose
// waiting is known as a sum. With constant service times half as many requests wait.
func TestWaitingMatchesKnownValues(t *testing.T) {
	erlangC := func(m int, a float64) float64 { // the textbook sum
		sum := 0.0
		term := 1.0
		for k := range m {
			if k > 0 {
				term *= a / float64(k)
			}
			sum += term
		}
		term *= a / float64(m)
		tail := term / (1 - a/float64(m))
		return tail / (sum + tail)
	}
	for _, c := range []struct {
		m   int
		rho float64
	}{{1, 0.3}, {1, 0.9}, {2, 0.5}, {7, 0.8}, {20, 0.95}} {
		mu := 10.0
		a := c.rho * float64(c.m)
		got, _, _ := mgmWaiting(a*mu, c.m, mu, 2) // exponential service times: X² = 2·X̄²
		want := erlangC(c.m, a) * c.rho / (1 - c.rho)
		if math.Abs(got-want) > 1e-9*(1+want) {
			t.Errorf("m=%d rho=%v: %v requests waiting, want %v", c.m, c.rho, got, want)
		}
		half, _, _ := mgmWaiting(a*mu, c.m, mu, 1) // constant service times
		if math.Abs(half-want/2) > 1e-9*(1+want) {
			t.Errorf("m=%d rho=%v: constant service times %v, want %v", c.m, c.rho, half, want/2)
		}
	}
}

// Guards against derivatives that do not match the waiting, also beyond the utilization up to which
// the formulas apply.
func TestWaitingDerivatives(t *testing.T) {
	for _, m := range []int{1, 2, 5, 13} {
		for _, rho := range []float64{0.05, 0.4, 0.8, 0.97, 1.2} {
			mu := 8.0
			momentRatio := 1.7
			lambda := rho * float64(m) * mu
			step := 1e-4 * lambda
			_, slope, curvature := mgmWaiting(lambda, m, mu, momentRatio)
			waiting1, slope1, _ := mgmWaiting(lambda-step, m, mu, momentRatio)
			waiting2, slope2, _ := mgmWaiting(lambda+step, m, mu, momentRatio)
			if n := (waiting2 - waiting1) / (2 * step); math.Abs(n-slope) > 1e-4*math.Abs(slope)+1e-12 {
				t.Errorf("m=%d rho=%v: FDL %v, numerically %v", m, rho, slope, n)
			}
			if n := (slope2 - slope1) / (2 * step); math.Abs(n-curvature) > 1e-3*math.Abs(curvature)+1e-12 {
				t.Errorf("m=%d rho=%v: second derivative %v, numerically %v", m, rho, curvature, n)
			}
		}
	}
}

// Guards against waiting that decreases with the load, and against results that are not finite.
func TestWaitingIsFiniteAndIncreasing(t *testing.T) {
	for _, m := range []int{1, 3, 256} {
		previous := -1.0
		for lambda := 0.0; lambda < 3*float64(m); lambda += 0.01 * float64(m) {
			waiting, slope, curvature := mgmWaiting(lambda, m, 1, 2)
			if waiting < previous || math.IsNaN(waiting+slope+curvature) ||
				math.IsInf(waiting+slope+curvature, 0) || slope < 0 {
				t.Fatalf("m=%d lambda=%v: waiting %v, slope %v, curvature %v after waiting %v",
					m, lambda, waiting, slope, curvature, previous)
			}
			previous = waiting
		}
	}
}
