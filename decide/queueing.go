package decide

const (
	// maxModelUtilization is the utilization up to which the formulas apply, as the paper needs
	// λ_j < n_j·μ_o. Beyond it, a parabola keeps the results finite and increasing.
	maxModelUtilization = 0.98
	// minOfferedLoad keeps divisions finite.
	minOfferedLoad = 1e-9
)

// mgmWaiting returns the number of requests waiting at an M/G/m server, λT(λ) by equations (2) to
// (5) of the paper, and its first and second derivatives by λ: the FDL and the terms of H_P. The
// server has the given number of channels, which serve servicePerSecond each. momentRatio is X²/X̄²
// of the service times.
func mgmWaiting(arrivalsPerSecond float64, channels int, servicePerSecond, momentRatio float64) (
	waiting, slope, curvature float64,
) {
	m := float64(channels)
	mu := servicePerSecond
	excess := max(0, arrivalsPerSecond-maxModelUtilization*m*mu)
	load := max((arrivalsPerSecond-excess)/mu, minOfferedLoad) // in Erlang
	rho := load / m

	// Erlang's B formula and its derivatives by the load.
	blocked := 1.0
	for k := 1.0; k <= m; k++ {
		blocked = load * blocked / (k + load*blocked)
	}
	blocked1 := blocked * (m/load - 1 + blocked)
	blocked2 := blocked1*(m/load-1+blocked) + blocked*(blocked1-m/(load*load))

	// The probability that all channels are busy, equation (2), is blocked/q.
	q := 1 - rho*(1-blocked)
	q1 := rho*blocked1 - (1-blocked)/m
	q2 := 2*blocked1/m + rho*blocked2
	busy := blocked / q
	busy1 := (blocked1 - busy*q1) / q
	busy2 := (blocked2 - 2*busy1*q1 - busy*q2) / q

	// The number of requests waiting, equations (3) to (5), and its derivatives by the rate.
	g := 1 / (1 - rho)
	half := momentRatio / 2
	waiting = half * rho * g * busy
	slope = half * (g*g*busy/m + rho*g*busy1) / mu
	curvature = half * (2*g*g*g*busy/(m*m) + 2*g*g*busy1/m + rho*g*busy2) / (mu * mu)
	return waiting + excess*(slope+excess*curvature/2), slope + excess*curvature, curvature
}
