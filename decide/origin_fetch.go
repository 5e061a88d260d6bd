package decide

import (
	"cmp"
	"math"
	"slices"
)

const (
	// storedMillis is how long a server that fetches by itself is thought to keep a value.
	storedMillis = 10000
	// leaveMillis is the time before the client's deadline at which a wait for the origin ends.
	leaveMillis = 5
	// minFetchLatencyMillis stands in for the latency of fetches while none is known.
	minFetchLatencyMillis = 5
	// minFetchCycleMillis is the least time that a fetch is counted for where less than one is
	// allowed at a time.
	minFetchCycleMillis = 100
	// fetchQueueMillis is the time constant by which a queue seen at the origin fades.
	fetchQueueMillis = 2000
	// fetchWeight is the weight of a fetch in the latency of fetches: over ten fetches.
	fetchWeight = 0.1
	// fetchPatienceFactor is the multiple of the latency of fetches after which one is late: a
	// fetch whose answer is lost holds up all requests that wait for the key.
	fetchPatienceFactor = 2
	// lateFactor is the multiple of the floor beyond which a timeout shows a slow origin; before,
	// the fetch was sent too late.
	lateFactor = 2

	// slowFactor is the multiple of the floor from which the origin counts as slow, at the latest.
	slowFactor = 2.5
	// slowFactorMin is the multiple below which it never does.
	slowFactorMin = 1.3
	// slowObjectiveShare is the share of the latency objective from which it does: beyond half of
	// it a queue there serves nobody, as the cache came first.
	slowObjectiveShare = 0.5
	// maxObjectiveShare is the share from which it does even if the floor has risen in an overload.
	maxObjectiveShare = 0.8

	// maxFetchLimit is the largest limit of a router.
	maxFetchLimit = 64
	// fetchGrowthShare is the part of one by which a limit grows in the time of a fetch, at least.
	fetchGrowthShare = 0.1
	// fleetFetchGrowth is the number of fetches by which the limits of all routers together grow in
	// the time of a fetch, at least.
	fleetFetchGrowth = 4
	// fetchCutMillis is the least time between two cuts of the limit.
	fetchCutMillis = 500
	// fetchCut is what a cut leaves of the limit.
	fetchCut = 0.8
	// failedFetchCut is what it leaves after a failure: the origin is stopped, or works off a queue
	// that nobody waits for any more, and needs time.
	failedFetchCut = 0.4
	// minFleetFetches is the number of fetches that all routers together may have after cuts.
	minFleetFetches = 8
	// maxLeastFetches bounds the least limit of one router.
	maxLeastFetches = 2
	// minFetchedShare is the share of the own requests that may be fetched after cuts: no origin is
	// built for less.
	minFetchedShare = 0.1
	// failedLeastDivisor divides the least limit after a failure.
	failedLeastDivisor = 40
)

// originFetches limits the fetches from the origin.
type originFetches struct {
	// limit bounds the fetches in flight; below 1, fetches pause between two.
	limit float64
	// limitCutAt is when the limit was last cut, ms.
	limitCutAt float64
	// waiting are the requests that wait for a place or for another's fetch of their key.
	waiting []*request
	// sent counts fetches over trafficTimeConstantMillis.
	sent decayingSum
	// latency follows the latency of fetches, ms.
	latency trend
}

// needsOrigin says whether a new request has to wait for a place at the origin, or for a fetch of
// its key. Where servers fetch by themselves, writes and keys not seen for a while go there too.
func (b *Balancer) needsOrigin(r *request) bool {
	if r.IsWrite || r.key.fetch != nil {
		return true
	}
	return !b.cfg.CacheAside && b.now > r.key.storedAt+storedMillis
}

// waitForOrigin has a request wait for the origin or for a fetch of its key while it can be in
// time.
func (b *Balancer) waitForOrigin(r *request) {
	waitUntil := r.deadlineAt - leaveMillis
	if r.class.LateWeight == 0 {
		waitUntil = min(waitUntil, r.objectiveAt-b.originFetches.latency.value/2)
	}
	r.waitingSince = b.now
	b.originFetches.waiting = append(b.originFetches.waiting, r)
	b.host.SetTimer(max(1, waitUntil-b.now), waitToken(r.ID))
}

// serveWaiting lets waiting requests go on, those of the highest priority first.
func (b *Balancer) serveWaiting() {
	waiting := b.originFetches.waiting
	slices.SortStableFunc(waiting, func(p, q *request) int { return cmp.Compare(q.priority, p.priority) })
	// No Host method leads back here before it returns, so the list does not change meanwhile.
	b.originFetches.waiting = slices.DeleteFunc(waiting, func(r *request) bool { return b.resume(r) })
}

// resume lets a waiting request go on if it can, and reports whether it did: to where its key
// is stored by now, to the origin, or to an answer where no fetch can be in time.
func (b *Balancer) resume(r *request) bool {
	switch {
	case r.isAnswered:
		return true
	case !r.IsWrite && r.key.storedAt > r.waitingSince:
		r.askAgain = r.key.storedOn
		r.waitingSince = 0
		b.forward(r)
		return true
	case b.cfg.CacheAside && !b.canFetchInTime(r):
		b.answer(r, causeOrigin)
		return true
	case !b.hasFetchSlot(r):
		return false
	}
	b.fetch(r)
	return true
}

// canFetchInTime says whether the origin may be asked and is likely to answer in time.
func (b *Balancer) canFetchInTime(r *request) bool {
	origin := b.membership.origin
	if origin == nil || !origin.acceptsNewWork() || !b.mayAttempt(r, origin) {
		return false
	}
	return b.now+b.expectedFetchMillis() <= r.usefulUntil()
}

// hasFetchSlot says whether the limit lets a request ask the origin. Reads of a key share one
// fetch. Below a limit of one, fetches pause: one at a time at each of hundreds of routers would
// overload the origin.
func (b *Balancer) hasFetchSlot(r *request) bool {
	f := &b.originFetches
	if !r.IsWrite && r.key.fetch != nil || b.fetchesInFlight() >= max(1, f.limit) {
		return false
	}
	if f.limit >= 1 {
		return true
	}
	sent := f.sent.decayTo(b.now, trafficTimeConstantMillis)
	return sent < f.limit*trafficTimeConstantMillis/max(f.latency.value, minFetchCycleMillis)
}

// fetch has a waiting request ask the origin, directly or by way of a server that fetches by
// itself.
func (b *Balancer) fetch(r *request) {
	r.waitingSince = 0
	if !r.IsWrite {
		r.key.fetch = r
	}
	r.isServerFetch = !b.cfg.CacheAside
	if r.isServerFetch {
		b.forward(r)
	} else {
		b.send(r, b.membership.origin)
	}
	if r.inFlight > 0 {
		b.originFetches.sent.add(b.now, trafficTimeConstantMillis, 1)
	}
}

// fetchesInFlight counts the fetches in flight: at the origin, or of keys that servers are likely
// to fetch by themselves.
func (b *Balancer) fetchesInFlight() float64 {
	if b.membership.origin != nil {
		return float64(b.membership.origin.attempts.inFlight)
	}
	n := 0
	for _, r := range b.requests {
		if r.isServerFetch && !r.isAnswered {
			n++
		}
	}
	return float64(n)
}

// expectedFetchMillis is how long a fetch is likely to take: a queue at the origin fades from
// memory.
func (b *Balancer) expectedFetchMillis() float64 {
	l := b.originFetches.latency
	return l.floor + (l.value-l.floor)*math.Exp((l.updatedAt-b.now)/fetchQueueMillis)
}

// fetchPatienceMillis is how long a fetch is waited for before its key's requests look elsewhere.
func (b *Balancer) fetchPatienceMillis() float64 {
	return fetchPatienceFactor * max(b.originFetches.latency.value, minFetchLatencyMillis)
}

// fetchEnded takes the end of a fetch: the key is stored where it was missing, and the limit
// follows how the origin does.
func (b *Balancer) fetchEnded(r *request, status AttemptStatus, latencyMillis float64) {
	if status == MalformedResponse {
		status = OK // the origin did its work, and its answer was stored
	}
	if r.key.fetch == r && status == OK {
		r.key.storedAt = b.now
		r.key.storedOn = r.askAgain
	}
	f := &b.originFetches
	isLate := status == Timeout && latencyMillis > lateFactor*f.latency.floor
	if status == OK || isLate {
		f.latency.update(b.now, latencyMillis, fetchWeight)
	}
	slow := slowFetchMillis(f.latency.floor, r.class.LatencyObjectiveMillis)
	switch {
	case (status == OK || isLate) && f.latency.value < slow:
		f.limit = min(maxFetchLimit, f.limit+fetchLimitGrowth(f.limit, b.cfg.Routers))
	case status.isOfServer() && (status != Timeout || isLate) && b.now-f.limitCutAt > fetchCutMillis:
		b.cutFetchLimit(status == Failed, f.latency.value >= slow)
	}
}

// slowFetchMillis is the latency of fetches from which the origin counts as slow. A floor that has
// risen in an overload excuses no answer that comes too late.
func slowFetchMillis(floorMillis, objectiveMillis float64) float64 {
	return min(
		slowFactor*floorMillis,
		max(slowFactorMin*floorMillis, slowObjectiveShare*objectiveMillis),
		maxObjectiveShare*objectiveMillis,
	)
}

// fetchLimitGrowth is by how much a quick fetch raises the limit. Each time that its fetches have
// come back a router adds a tenth of one, and all together four at least; one each would be a step
// of two thirds for eighty routers.
func fetchLimitGrowth(limit float64, routers int) float64 {
	ofRouter := fetchGrowthShare * min(1, limit)
	ofFleet := fleetFetchGrowth / float64(routers) / max(1, limit)
	return min(1/max(1, limit), max(ofRouter, ofFleet))
}

// cutFetchLimit lowers the limit after a fetch that failed or was slow. With a queue at the origin
// it first comes down to the fetches in flight, as it may be far above them.
func (b *Balancer) cutFetchLimit(hasFailed, isSlow bool) {
	f := &b.originFetches
	perSecond := b.perSecond(&b.arrivals, trafficTimeConstantMillis)
	ofRequests := minFetchedShare * perSecond * f.latency.floor / millisPerSecond
	least := min(maxLeastFetches, max(minFleetFetches/float64(b.cfg.Routers), ofRequests))
	cut := fetchCut
	if hasFailed {
		cut = failedFetchCut
		least /= failedLeastDivisor
	}
	f.limitCutAt = b.now
	if isSlow {
		f.limit = min(f.limit, max(least, b.fetchesInFlight()+1))
	}
	f.limit = max(min(least, f.limit), cut*f.limit)
}
