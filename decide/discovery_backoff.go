package decide

const (
	// pollSlotMillis is the time that discovery needs for the call of one router: one discovery
	// serves all routers in turn, and with few of them it has time for each every second.
	pollSlotMillis = 250
	// minPollMillis is the least time between two calls of a router whose calls fail, where a
	// change may take that long to arrive.
	minPollMillis = 1000
	// pollWindowShare is the part of PollWithinMillis that calls are spread over, as all routers
	// together must be able to ask within it.
	pollWindowShare = 0.6
	// MaxBackOffMillis is the longest time between two calls of a router whose calls fail. A change
	// counts as notified 6 s after discovery has it, whatever calls have failed meanwhile, and a
	// call may take 2 s.
	MaxBackOffMillis = 4000
	// backoffGrowthFailures is the number of failures in a row after which the backoff has doubled,
	// and grows no further.
	backoffGrowthFailures = 4
	// maxBackoffGrowth is the factor by then.
	maxBackoffGrowth = 2
	// backoffSpread is the longest backoff as a multiple of the mean. The shortest is a third of
	// the longest: the calls of all routers failed together and must not come back together.
	backoffSpread = 1.5
	// pollAgainMillis is when a watch is asked for again that has had no answer at all.
	pollAgainMillis = 5000
)

// discoveryPolling is when to poll discovery for the endpoint list.
type discoveryPolling struct {
	// pollAt is when to ask for a watch again, ms; +Inf = the watch is thought to stand.
	pollAt float64
	// failures counts the calls that failed in a row.
	failures int
}

// pollSpreadMillis is the time over which the calls of all routers are spread.
func (b *Balancer) pollSpreadMillis() float64 {
	spread := min(pollSlotMillis*float64(b.cfg.Routers-1), MaxBackOffMillis)
	if b.cfg.PollWithinMillis > 0 {
		spread = min(spread, pollWindowShare*b.cfg.PollWithinMillis)
	}
	return spread
}

// pollBackoffMillis is how long to wait after a call that failed: longer after each one in a row, and
// a random part of that, from a third on.
func (b *Balancer) pollBackoffMillis() float64 {
	least := float64(minPollMillis)
	if b.cfg.PollWithinMillis > 0 {
		least = min(least, pollWindowShare*b.cfg.PollWithinMillis)
	}
	growth := min(maxBackoffGrowth, 1+float64(b.discovery.failures)/backoffGrowthFailures)
	mean := max(least, b.pollSpreadMillis()) * growth
	b.discovery.failures++
	return min(backoffSpread*mean, MaxBackOffMillis) * (1 + 2*b.rng.Float64()) / 3
}

// firstPollMillis is how long to wait after a start: in a release most routers start together.
func (b *Balancer) firstPollMillis() float64 { return b.pollSpreadMillis() * b.rng.Float64() }

// pollDiscovery asks for a watch when it is time to.
func (b *Balancer) pollDiscovery() {
	if b.now < b.discovery.pollAt {
		return
	}
	b.discovery.pollAt = b.now + pollAgainMillis
	b.host.WatchEndpoints()
}
