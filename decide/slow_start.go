package decide

import "math"

const (
	// warmAgeFactor is the multiple of SlowStartMillis after which the budget no longer holds, as
	// the router may have learnt of the start late.
	warmAgeFactor = 1.5
	// coldCapacityPerSecond stands in for the capacity of a server of which nothing is known.
	coldCapacityPerSecond = 10
	// budgetShare is the part of what a cold server survives that all routers together send it:
	// the rest is for requests that turn out heavier than their hints, and for chance.
	budgetShare = 0.4
)

// warmShare is the share of its capacity that a server has at least.
func (b *Balancer) warmShare(s *server) float64 {
	ageMillis := b.now - s.slowStart.startedAt
	return slowStartShare(ageMillis, b.cfg.SlowStartMillis, b.cfg.SlowStartInitialShare)
}

// slowStartShare is the share of its capacity that a server has at an age: it rises from the
// initial share to 1 over the time of the slow start. An age of +Inf is that of a server which has
// run for long; it is answered first, as times an initial share of 1 it would give no number.
func slowStartShare(ageMillis, slowStartMillis, initialShare float64) float64 {
	duration := max(slowStartMillis, 1)
	if ageMillis >= duration {
		return 1
	}
	return min(1, initialShare+(1-initialShare)*max(0, ageMillis)/duration)
}

// hasSlowStartBudget says whether this router's equal share of a cold server's slow-start budget
// lets a request of the given work go there: if it holds 1 + window*(1 - 1/work) requests, work being
// 1 at least. All routers together are allowed fleetPerSecond, one process its equal part of that.
//
// The share begins at a random part of a request, grows by what the settings allow, and lapses by
// one request each time that it holds more than one beside what flows in during OverloadMillis. So
// of shares below one request only that part lets one go at once, and the fleet holds at most what
// flows in during a window: the sum over all routers follows the settings, not the number of
// routers. If each share filled up to one request, hundreds of routers could send one at the same
// moment. Every request needs a whole one, as half of the routers could otherwise send a light one
// right after the start. A heavy one takes only what is soon to lapse: more light ones are served
// by the same work.
func (b *Balancer) hasSlowStartBudget(s *server, work float64) bool {
	if b.now >= s.slowStart.startedAt+warmAgeFactor*b.cfg.SlowStartMillis {
		return true
	}
	// The kind's capacity, as a report made amid cheap misses overstates what the server can do.
	capacity := b.capacities.typicalPerSecond(s, coldCapacityPerSecond)
	fleetPerSecond := budgetShare * b.cfg.OverloadFactor * capacity * b.warmShare(s)
	requestsPerMilli := fleetPerSecond / b.budgetShares() / millisPerSecond
	windowRequests := requestsPerMilli * b.cfg.OverloadMillis
	s.slowStart.budget.refill(b.now, requestsPerMilli, windowRequests)
	return s.slowStart.budget.requests >= 1+windowRequests*(1-1/max(1, work))
}

// refill lets a budget grow, and what it holds beyond one request and a window lapse.
func (b *slowStartBudget) refill(now, requestsPerMilli, windowRequests float64) {
	b.requests += requestsPerMilli * (now - b.updatedAt)
	b.requests -= math.Ceil(max(0, b.requests-1-windowRequests))
	b.updatedAt = now
}

// slowStartCost is what a request takes from a budget: hints are rough, and light requests turn out
// heavier.
func slowStartCost(work float64) float64 { return (1 + work) / 2 }

// budgetShares is the number of processes that fill the cold servers together.
func (b *Balancer) budgetShares() float64 { return float64(b.cfg.Routers * max(1, b.processes)) }

// SetProcessCount takes how many processes work as this router now. They split its share of the
// slow-start budgets.
func (b *Balancer) SetProcessCount(now float64, processes int) {
	b.begin(now)
	b.processes = max(1, processes)
}
