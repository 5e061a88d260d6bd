package decide

import "math"

// The time budget of a router that must poll discovery. It starts when the router's list is known
// to have been current. A change counts as announced to all routers discoveryBudgetMillis after
// discovery had it and was reachable, or DiscoveryChangeBudgetMillis after a configuration that
// names another discovery service. The pauses and the calls of a router have to fit in that time:
//
//   - After a failed call, the next one follows within MaxPollBackoffMillis. A call that discovery
//     has accepted is answered, or is abandoned, within MaxPollCallMillis. Both together are
//     discoveryBudgetMillis.
//   - A restarted router polls like one whose calls have been failing: its list is as old as the
//     restart took, and the calls of a fleet that starts at the same time are spread evenly.
//   - After a change of the discovery service, the first call is made at once, and each pause is a
//     share of the remaining time.
const (
	// discoveryBudgetMillis is the time after which a change counts as announced, even if calls
	// failed.
	discoveryBudgetMillis = 6000
	// DiscoveryChangeBudgetMillis is the same time from a configuration that names another
	// discovery service.
	DiscoveryChangeBudgetMillis = 4000
	// MaxPollBackoffMillis is the longest time between two calls of a router whose calls fail.
	MaxPollBackoffMillis = 3500
	// MaxPollCallMillis is how long a router waits for the answer to a call that discovery has
	// queued. Discovery itself rejects calls that would have to wait for 2 s, so a later answer is
	// lost.
	MaxPollCallMillis = discoveryBudgetMillis - MaxPollBackoffMillis
	// changeRetryShare is the longest pause after a change of the discovery, as a share of the
	// remaining time.
	changeRetryShare = 1.0 / 3
	// minChangeRetryMillis is the shortest such pause, before its jitter, and
	// changeRetryMillisPerRouter is the same per router of the fleet. All routers together make at
	// most some 1,500 calls per second.
	minChangeRetryMillis       = 400
	changeRetryMillisPerRouter = 1

	// pollSlotMillis is the time that discovery needs per call. One discovery serves all routers in
	// turn; a small fleet may call it every second.
	pollSlotMillis = 250
	// minPollMillis is the shortest mean time between two calls of a router whose calls fail, if a
	// change may take that long to arrive.
	minPollMillis = 1000
	// pollWindowShare is the share of PollWithinMillis that the calls are spread over, as all
	// routers together must be able to ask within it.
	pollWindowShare = 0.6
	// backoffGrowthFailures is the number of consecutive failures after which the backoff has
	// reached maxBackoffGrowth times its initial value.
	backoffGrowthFailures = 4
	// maxBackoffGrowth is the largest factor by which the backoff grows.
	maxBackoffGrowth = 2
	// backoffSpread is the longest backoff as a multiple of the mean. The shortest is a third of
	// the longest. The calls of all routers fail at the same time and must not be repeated at the
	// same time.
	backoffSpread = 1.5
	// unansweredPollMillis is how long a call for a watch may remain without any answer before it
	// is repeated.
	unansweredPollMillis = 5000
)

// discoveryPolling schedules the calls to discovery for the endpoint list.
type discoveryPolling struct {
	// pollAt is when to ask for a watch, ms; +Inf = a watch is assumed to be active.
	pollAt float64
	// failures is the number of consecutive failed calls.
	failures int
	// changeBudgetEndsAt is until when calls are subject to the budget of a change of the
	// discovery, ms, even after an answer: what the new discovery has by then counts as announced.
	// 0 = no change yet.
	changeBudgetEndsAt float64
}

// DiscoveryChanged makes the Balancer poll at once, as the configuration names another discovery
// service. It is also called in a new process that from now on polls in place of the old one. The
// current list is kept until the first answer.
func (b *Balancer) DiscoveryChanged(now float64) {
	b.beginEvent(now)
	b.discovery = discoveryPolling{pollAt: now, changeBudgetEndsAt: now + DiscoveryChangeBudgetMillis}
	b.pollDiscovery()
}

// pollSpreadMillis returns the time over which the calls of all routers are spread.
func (b *Balancer) pollSpreadMillis() float64 {
	spread := min(pollSlotMillis*float64(b.cfg.Routers-1), MaxPollBackoffMillis)
	if b.cfg.PollWithinMillis > 0 {
		spread = min(spread, pollWindowShare*b.cfg.PollWithinMillis)
	}
	return spread
}

// pollBackoffMillis counts a failed call and returns how long to wait before the next one.
func (b *Balancer) pollBackoffMillis() float64 {
	longest := b.longestBackoffMillis()
	b.discovery.failures++
	if remaining := b.discovery.changeBudgetEndsAt - b.now; remaining > 0 {
		longest = min(longest, b.changeRetryMillis(remaining))
	}
	return longest * (1 + 2*b.rng.Float64()) / 3
}

// longestBackoffMillis returns the longest backoff. It increases with each consecutive failure. The
// actual backoff is drawn between a third of it and the whole.
func (b *Balancer) longestBackoffMillis() float64 {
	shortest := float64(minPollMillis)
	if b.cfg.PollWithinMillis > 0 {
		shortest = min(shortest, pollWindowShare*b.cfg.PollWithinMillis)
	}
	growth := min(maxBackoffGrowth, 1+float64(b.discovery.failures)/backoffGrowthFailures)
	mean := max(shortest, b.pollSpreadMillis()) * growth
	return min(backoffSpread*mean, MaxPollBackoffMillis)
}

// changeRetryMillis returns the longest pause while a call to another discovery can still be in
// time. Routers with less remaining time call more often and so are served before the others.
func (b *Balancer) changeRetryMillis(remainingMillis float64) float64 {
	shortest := max(minChangeRetryMillis, changeRetryMillisPerRouter*float64(b.cfg.Routers))
	return max(shortest, changeRetryShare*remainingMillis)
}

// firstPollMillis returns how long to wait after a start: the rest of a backoff from a random
// moment in it. Most routers start together in a release, and so their calls come at an even rate
// from the start.
func (b *Balancer) firstPollMillis() float64 {
	const shortestSquared = 1.0 / 9
	backoff := b.pollSpreadMillis() * math.Sqrt(shortestSquared+(1-shortestSquared)*b.rng.Float64())
	return backoff * b.rng.Float64()
}

// pollDiscovery asks for a watch when one is due.
func (b *Balancer) pollDiscovery() {
	if b.now < b.discovery.pollAt {
		return
	}
	b.discovery.pollAt = b.now + unansweredPollMillis
	b.host.WatchEndpoints()
}
