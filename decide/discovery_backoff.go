package decide

import "math"

// The time budget of a router that must poll discovery, from the moment on which its list is known
// to have been current. A change counts as notified notifiedMillis after discovery had it and could
// be reached, or MovedNotifiedMillis after a configuration that names another discovery. Each pause
// and each call is a part of that:
//
//   - A failed call is followed by the next one within MaxBackOffMillis, and a call that discovery
//     has accepted is answered or given up within MaxPollCallMillis. Both together are within
//     notifiedMillis.
//   - A restarted router polls like one whose calls have failed all along: its list is already as old
//     as the restart took, and the calls of a fleet that starts at once are spread evenly.
//   - After a move the calls begin at once, and each pause is a part of what is left.
const (
	// notifiedMillis is the time after which a change counts as notified, whatever calls failed.
	notifiedMillis = 6000
	// MovedNotifiedMillis is that time from a configuration on that names another discovery.
	MovedNotifiedMillis = 4000
	// MaxBackOffMillis is the longest time between two calls of a router whose calls fail.
	MaxBackOffMillis = 3500
	// MaxPollCallMillis is how long a call that is to be answered in its turn is waited for.
	// Discovery itself turns a call away that would wait for 2 s, so a longer one is lost.
	MaxPollCallMillis = notifiedMillis - MaxBackOffMillis
	// movedRetryShare is the part of the remaining time that a pause takes at most after a move.
	movedRetryShare = 1.0 / 3
	// minMovedRetryMillis is the least pause there, before its spread, and
	// movedRetryMillisPerRouter is the same for each router of the fleet: all of them together make
	// some 1,500 calls a second at most.
	minMovedRetryMillis       = 400
	movedRetryMillisPerRouter = 1

	// pollSlotMillis is the time that discovery needs for the call of one router: one discovery
	// serves all routers in turn, and with few of them it has time for each every second.
	pollSlotMillis = 250
	// minPollMillis is the least time between two calls of a router whose calls fail, where a
	// change may take that long to arrive.
	minPollMillis = 1000
	// pollWindowShare is the part of PollWithinMillis that calls are spread over, as all routers
	// together must be able to ask within it.
	pollWindowShare = 0.6
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
	// movedCallsEnd is until when calls to another discovery share the budget of the move, ms, also
	// after an answer: what that discovery has by then counts as notified. 0 = it never changed.
	movedCallsEnd float64
}

// DiscoveryMoved takes that another discovery is polled from now on, or by another process. The list
// that is held stays until that one has answered.
func (b *Balancer) DiscoveryMoved(now float64) {
	b.begin(now)
	b.discovery = discoveryPolling{pollAt: now, movedCallsEnd: now + MovedNotifiedMillis}
	b.pollDiscovery()
}

// pollSpreadMillis is the time over which the calls of all routers are spread.
func (b *Balancer) pollSpreadMillis() float64 {
	spread := min(pollSlotMillis*float64(b.cfg.Routers-1), MaxBackOffMillis)
	if b.cfg.PollWithinMillis > 0 {
		spread = min(spread, pollWindowShare*b.cfg.PollWithinMillis)
	}
	return spread
}

// pollBackoffMillis is how long to wait after a call that failed.
func (b *Balancer) pollBackoffMillis() float64 {
	longest := b.longestBackoffMillis()
	b.discovery.failures++
	if remaining := b.discovery.movedCallsEnd - b.now; remaining > 0 {
		longest = min(longest, b.movedRetryMillis(remaining))
	}
	return longest * (1 + 2*b.rng.Float64()) / 3
}

// longestBackoffMillis is longer after each failure in a row; a random part of it, from a third on,
// is waited for.
func (b *Balancer) longestBackoffMillis() float64 {
	least := float64(minPollMillis)
	if b.cfg.PollWithinMillis > 0 {
		least = min(least, pollWindowShare*b.cfg.PollWithinMillis)
	}
	growth := min(maxBackoffGrowth, 1+float64(b.discovery.failures)/backoffGrowthFailures)
	mean := max(least, b.pollSpreadMillis()) * growth
	return min(backoffSpread*mean, MaxBackOffMillis)
}

// movedRetryMillis is the longest pause while a call to another discovery can still be in time. Who
// has less time left calls more often, and so gets ahead of those who have more.
func (b *Balancer) movedRetryMillis(remainingMillis float64) float64 {
	least := max(minMovedRetryMillis, movedRetryMillisPerRouter*float64(b.cfg.Routers))
	return max(least, movedRetryShare*remainingMillis)
}

// firstPollMillis is how long to wait after a start: what is left of a backoff at an arbitrary
// moment of it. In a release most routers start together, and their calls come at an even rate from
// the first on.
func (b *Balancer) firstPollMillis() float64 {
	const shortestSquared = 1.0 / 9
	backoff := b.pollSpreadMillis() * math.Sqrt(shortestSquared+(1-shortestSquared)*b.rng.Float64())
	return backoff * b.rng.Float64()
}

// pollDiscovery asks for a watch when it is time to.
func (b *Balancer) pollDiscovery() {
	if b.now < b.discovery.pollAt {
		return
	}
	b.discovery.pollAt = b.now + pollAgainMillis
	b.host.WatchEndpoints()
}
