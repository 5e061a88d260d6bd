package decide

import "math"

const (
	// warmAgeFactor is the multiple of SlowStartMillis after which the budget no longer applies. It
	// is over 1 because the router may have received the start time late.
	warmAgeFactor = 1.5
	// coldCapacityPerSecond is the assumed capacity of a server if no capacity is known.
	coldCapacityPerSecond = 10
	// coldLimitShare is the part of a cold server's limit that all routers together may send it.
	// The rest is a reserve for requests heavier than their hints and for random variation.
	coldLimitShare = 0.4
)

// warmShare returns the smallest share of its capacity that a server can have now.
func (b *Balancer) warmShare(s *server) float64 {
	ageMillis := b.now - s.slowStart.startedAt
	return slowStartShare(ageMillis, b.cfg.SlowStartMillis, b.cfg.SlowStartInitialShare)
}

// slowStartShare returns the share of its capacity that a server has at an age. The share increases
// from the initial share to 1 during the slow start. The first condition also handles an age of
// +Inf, of a server that started long ago: with an initial share of 1 the formula below would give
// NaN.
func slowStartShare(ageMillis, slowStartMillis, initialShare float64) float64 {
	duration := max(slowStartMillis, 1)
	if ageMillis >= duration {
		return 1
	}
	return min(1, initialShare+(1-initialShare)*max(0, ageMillis)/duration)
}

// isInSlowStart reports whether the slow-start budget applies to a server.
func (b *Balancer) isInSlowStart(s *server) bool {
	return b.now < s.slowStart.startedAt+warmAgeFactor*b.cfg.SlowStartMillis
}

// hasSlowStartBudget reports whether this router's equal part of a cold server's slow-start budget
// allows a request of the given work: the budget must hold 1 + windowRequests*(1 - 1/work)
// requests, where work is at least 1. All routers together may send fleetPerSecond, and each
// process an equal part of it.
//
// A process's part starts with a random fraction of a request and grows at the allowed rate.
// Whenever it exceeds one request plus the inflow of OverloadMillis, one request lapses. So if the
// parts are smaller than one request, their random fractions decide which routers may send one at
// once, and the fleet holds at most the inflow of a window: the sum over all routers depends on the
// settings and not on the number of routers. If each part could fill up to one request, hundreds of
// routers could send one at the same moment. Every request, however light, needs a budget of at
// least one, as otherwise half of the routers could send a light request right after the start. A
// heavy request may only use budget that is about to lapse, as the same work serves more light
// requests.
func (b *Balancer) hasSlowStartBudget(s *server, work float64) bool {
	if !b.isInSlowStart(s) {
		return true
	}
	fleetPerSecond := coldLimitShare * b.cfg.OverloadFactor * b.slowStartPerSecond(s) * b.warmShare(s)
	requestsPerMilli := fleetPerSecond / b.fleetProcesses() / millisPerSecond
	windowRequests := requestsPerMilli * b.cfg.OverloadMillis
	s.slowStart.budget.refill(b.now, requestsPerMilli, windowRequests)
	return s.slowStart.budget.requests >= 1+windowRequests*(1-1/max(1, work))
}

// refill adds the inflow since the last call and lets lapse what exceeds one request and a window.
func (b *slowStartBudget) refill(now, requestsPerMilli, windowRequests float64) {
	b.requests += requestsPerMilli * (now - b.updatedAt)
	b.requests -= math.Ceil(max(0, b.requests-1-windowRequests))
	b.updatedAt = now
}

// slowStartCost returns what a request takes from a budget. Hints are inaccurate, and light
// requests turn out heavier than their hints.
func slowStartCost(work float64) float64 { return (1 + work) / 2 }

// fleetProcesses returns the number of processes that share the slow-start budgets.
func (b *Balancer) fleetProcesses() float64 { return float64(b.cfg.Routers * max(1, b.processes)) }

// SetProcessCount sets the number of processes that now run as this router. They share its part of
// the slow-start budgets.
func (b *Balancer) SetProcessCount(now float64, processes int) {
	b.beginEvent(now)
	b.processes = max(1, processes)
}
