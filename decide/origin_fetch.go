package decide

import "math"

const (
	// assumedStoredMillis is how long a server that fetches by itself is assumed to keep a value.
	assumedStoredMillis = 10000
	// originWaitMarginMillis is the time before the client's deadline at which a request stops
	// waiting for the origin.
	originWaitMarginMillis = 5
	// minFetchLatencyMillis is the assumed latency of fetches while it is unknown.
	minFetchLatencyMillis = 5
	// minFetchCycleMillis is the shortest time that a fetch counts for while the limit is below
	// one.
	minFetchCycleMillis = 100
	// fetchQueueDecayMillis is the time constant with which an observed queue at the origin decays.
	fetchQueueDecayMillis = 2000
	// fetchWeight is the EWMA weight of a fetch in the latency of fetches: about ten fetches.
	fetchWeight = 0.1
	// fetchSoftTimeoutFactor is the soft timeout of a fetch, as a multiple of the latency of
	// fetches. A fetch whose answer is lost delays all requests that wait for the key.
	fetchSoftTimeoutFactor = 2
	// slowTimeoutFactor is the multiple of the floor latency beyond which a timeout shows a slow
	// origin. An earlier timeout shows only that the fetch was sent too late.
	slowTimeoutFactor = 2

	// maxSlowFactor is the multiple of the floor latency from which the origin always counts as
	// slow.
	maxSlowFactor = 2.5
	// minSlowFactor is the multiple of the floor latency below which slowObjectiveShare does not
	// apply.
	minSlowFactor = 1.3
	// slowObjectiveShare is the share of the latency objective from which the origin counts as
	// slow. A longer queue at the origin is of no use, as the time of the cache lookup comes on
	// top.
	slowObjectiveShare = 0.5
	// maxObjectiveShare is the share of the latency objective from which the origin counts as slow
	// even if the floor latency has risen during an overload.
	maxObjectiveShare = 0.8

	// maxFetchLimit is the largest fetch limit of a router.
	maxFetchLimit = 64
	// fetchGrowthShare is the smallest growth of a limit per fast fetch, if the limit is at least
	// one.
	fetchGrowthShare = 0.1
	// fleetFetchGrowth is the smallest growth of the limits of all routers together during the time
	// of a fetch.
	fleetFetchGrowth = 4
	// minFetchCutIntervalMillis is the shortest time between two cuts of the limit.
	minFetchCutIntervalMillis = 500
	// fetchCutFactor is the factor by which a cut multiplies the limit.
	fetchCutFactor = 0.8
	// failedFetchCutFactor is that factor after a failure. The origin is down, or processes
	// a queue of requests that have already timed out, and needs time to recover.
	failedFetchCutFactor = 0.4
	// minFleetFetchLimit is the smallest sum of the limits of all routers after cuts.
	minFleetFetchLimit = 8
	// maxMinFetchLimit bounds the smallest limit of one router after cuts.
	maxMinFetchLimit = 2
	// minFetchedShare is the share of this router's requests that the limit still allows to be
	// fetched after cuts, as any origin has capacity for that.
	minFetchedShare = 0.1
	// failedMinLimitDivisor divides the smallest limit after a failure.
	failedMinLimitDivisor = 40
)

// originFetches limits the fetches from the origin.
type originFetches struct {
	// limit bounds the fetches in flight; below 1, there is a pause after each fetch.
	limit float64
	// limitCutAt is when the limit was last cut, ms.
	limitCutAt float64
	// waiting are the requests that wait for a fetch slot or for another request's fetch of their
	// key.
	waiting fetchQueue
	// expectedAtServers counts the requests without an answer that are expected to make their server
	// fetch from the origin.
	expectedAtServers int
	// sent counts fetches over trafficTimeConstantMillis.
	sent decayingSum
	// latency is the trend of the latency of fetches, ms.
	latency trend
}

// needsOrigin reports whether a new request must wait for a fetch slot, or for a fetch of its key.
// If servers fetch by themselves, that includes writes and keys that were not found on a server
// recently.
func (b *Balancer) needsOrigin(r *request) bool {
	if r.IsWrite || r.key.fetch != nil {
		return true
	}
	return !b.cfg.CacheAside && b.now > r.key.storedAt+assumedStoredMillis
}

// waitForOrigin queues a request for the origin or for a fetch of its key, until its answer can no
// longer be in time.
func (b *Balancer) waitForOrigin(r *request) {
	waitUntil := r.deadlineAt - originWaitMarginMillis
	if r.class.LateWeight == 0 {
		waitUntil = min(waitUntil, r.objectiveAt-b.originFetches.latency.value/2)
	}
	r.waitingSinceAt = b.now
	b.originFetches.waiting.add(r)
	if origin := b.membership.origin; b.cfg.CacheAside && origin != nil && !b.mayAttempt(r, origin) {
		b.originFetches.waiting.mustWalk = true // it is rejected
	}
	b.host.SetTimer(max(1, waitUntil-b.now), waitToken(r.ID))
}

// resumeWaiting resumes all waiting requests that can proceed, in descending order of priority.
func (b *Balancer) resumeWaiting() {
	waiting := &b.originFetches.waiting
	if len(waiting.requests) == 0 {
		return
	}
	fetchedAt := b.now + b.expectedFetchMillis()
	isSomeUseless := b.cfg.CacheAside && (!b.isOriginAvailable() || fetchedAt > waiting.usefulUntil)
	if !waiting.mustWalk && !waiting.hasInFlight && !isSomeUseless && !b.isBelowFetchLimit() {
		return
	}
	// The Host does not call the Balancer from its methods, so the list does not change meanwhile.
	waiting.walk(func(r *request) bool { return b.resume(r, fetchedAt) })
}

// resume lets a waiting request proceed if it can, and reports whether it did: to the server that
// now has its key, to the origin, or to a rejection if no fetch can be in time. A fetch that began now
// would be answered at fetchedAt.
func (b *Balancer) resume(r *request, fetchedAt float64) bool {
	switch {
	case r.isAnswered:
		return true
	case !r.IsWrite && r.key.storedAt > r.waitingSinceAt:
		r.preferredServer = r.key.storedOn
		r.waitingSinceAt = 0
		b.forward(r)
		return true
	case b.cfg.CacheAside && !b.canFetchInTime(r, fetchedAt):
		b.rejectOrFail(r, causeOrigin)
		return true
	case !b.hasFetchSlot(r):
		return false
	}
	b.fetch(r)
	return true
}

// isOriginAvailable reports whether the origin may be asked.
func (b *Balancer) isOriginAvailable() bool {
	return b.membership.origin != nil && b.membership.origin.acceptsNewWork()
}

// canFetchInTime reports whether the origin may be asked and is likely to answer in time.
func (b *Balancer) canFetchInTime(r *request, fetchedAt float64) bool {
	return b.isOriginAvailable() && fetchedAt <= r.usefulUntil() && b.mayAttempt(r, b.membership.origin)
}

// hasFetchSlot reports whether the limit allows a request to ask the origin. Reads of a key share
// one fetch.
func (b *Balancer) hasFetchSlot(r *request) bool {
	return (r.IsWrite || r.key.fetch == nil) && b.isBelowFetchLimit()
}

// isBelowFetchLimit reports whether the limit allows another fetch. Below a limit of one, fetches are
// separated by pauses: one fetch in flight at each of hundreds of routers would overload the origin.
func (b *Balancer) isBelowFetchLimit() bool {
	f := &b.originFetches
	if b.fetchesInFlight() >= max(1, f.limit) {
		return false
	}
	if f.limit >= 1 {
		return true
	}
	sent := f.sent.decayTo(b.now, trafficTimeConstantMillis)
	return sent < f.limit*trafficTimeConstantMillis/max(f.latency.value, minFetchCycleMillis)
}

// fetch sends a waiting request to the origin, either directly or by way of a server that fetches
// by itself.
func (b *Balancer) fetch(r *request) {
	r.waitingSinceAt = 0
	if !r.IsWrite {
		r.key.fetch = r
	}
	b.originFetches.waiting.virtualTime = max(b.originFetches.waiting.virtualTime, r.fetchStartTag)
	if !b.cfg.CacheAside {
		b.expectFetchAtServer(r)
		b.forward(r)
	} else {
		b.send(r, b.membership.origin)
	}
	if r.inFlight > 0 {
		b.originFetches.sent.add(b.now, trafficTimeConstantMillis, 1)
	}
}

// expectFetchAtServer records that a request is expected to make its server fetch from the origin.
func (b *Balancer) expectFetchAtServer(r *request) {
	r.isServerFetch = true
	b.originFetches.expectedAtServers++
}

// expectNoFetchAtServer records that a request makes its server fetch no more.
func (b *Balancer) expectNoFetchAtServer(r *request) {
	if r.isServerFetch && !r.isAnswered {
		b.originFetches.expectedAtServers--
	}
	r.isServerFetch = false
}

// fetchesInFlight returns the number of fetches in flight at the origin. If servers fetch by
// themselves, it counts the requests that are expected to cause a fetch.
func (b *Balancer) fetchesInFlight() float64 {
	if b.membership.origin != nil {
		return float64(b.membership.origin.attempts.inFlight)
	}
	return float64(b.originFetches.expectedAtServers)
}

// expectedFetchMillis returns the expected time of a fetch. An observed queue at the origin decays.
func (b *Balancer) expectedFetchMillis() float64 {
	l := b.originFetches.latency
	return l.floor + (l.value-l.floor)*math.Exp((l.updatedAt-b.now)/fetchQueueDecayMillis)
}

// fetchSoftTimeoutMillis returns the soft timeout of a fetch.
func (b *Balancer) fetchSoftTimeoutMillis() float64 {
	return fetchSoftTimeoutFactor * max(b.originFetches.latency.value, minFetchLatencyMillis)
}

// fetchEnded handles the end of a fetch. The key is then stored on the server that missed it, and
// the limit is adapted to the latency and the failures of the origin.
func (b *Balancer) fetchEnded(r *request, status AttemptStatus, latencyMillis float64) {
	if status == MalformedResponse {
		status = OK // the origin has processed the fetch, and its answer was stored
	}
	if r.key.fetch == r && status == OK {
		b.recordStored(r.key, r.preferredServer)
	}
	f := &b.originFetches
	isLate := status == Timeout && latencyMillis > slowTimeoutFactor*f.latency.floor
	if status == OK || isLate {
		f.latency.update(b.now, latencyMillis, fetchWeight)
	}
	slowMillis := slowFetchMillis(f.latency.floor, r.class.LatencyObjectiveMillis)
	switch {
	case (status == OK || isLate) && f.latency.value < slowMillis:
		f.limit = min(maxFetchLimit, f.limit+fetchLimitGrowth(f.limit, b.cfg.Routers))
	case status.reflectsServer() && (status != Timeout || isLate) && b.now-f.limitCutAt > minFetchCutIntervalMillis:
		b.cutFetchLimit(status == Failed, f.latency.value >= slowMillis)
	}
}

// recordStored records that a server now has the value of a key.
func (b *Balancer) recordStored(k *keyTraffic, on *server) {
	k.storedAt = b.now
	k.storedOn = on
	if k.waitingReads > 0 {
		b.originFetches.waiting.mustWalk = true
	}
}

// slowFetchMillis returns the latency of fetches from which the origin counts as slow. It is
// bounded by the objective, so that a floor latency that rose during an overload does not hide late
// answers.
func slowFetchMillis(floorMillis, objectiveMillis float64) float64 {
	return min(
		maxSlowFactor*floorMillis,
		max(minSlowFactor*floorMillis, slowObjectiveShare*objectiveMillis),
		maxObjectiveShare*objectiveMillis,
	)
}

// fetchLimitGrowth returns by how much a fast fetch raises the limit: by a tenth, or by a tenth of
// the limit if that is below one, or by more if the limits of all routers together would otherwise
// grow by less than four during the time of a fetch. A limit grows by at most one in that time. If
// each router added one, the limits of eighty routers would grow by two thirds.
func fetchLimitGrowth(limit float64, routers int) float64 {
	routerGrowth := fetchGrowthShare * min(1, limit)
	fleetGrowth := fleetFetchGrowth / float64(routers) / max(1, limit)
	return min(1/max(1, limit), max(routerGrowth, fleetGrowth))
}

// cutFetchLimit reduces the limit after a fetch that failed or was slow. If the origin is slow, the
// limit is first reduced to the fetches in flight, as it may be far above them.
func (b *Balancer) cutFetchLimit(hasFailed, isSlow bool) {
	f := &b.originFetches
	perSecond := b.perSecond(&b.arrivals, trafficTimeConstantMillis)
	requestsLimit := minFetchedShare * perSecond * f.latency.floor / millisPerSecond
	minLimit := min(maxMinFetchLimit, max(minFleetFetchLimit/float64(b.cfg.Routers), requestsLimit))
	factor := fetchCutFactor
	if hasFailed {
		factor = failedFetchCutFactor
		minLimit /= failedMinLimitDivisor
	}
	f.limitCutAt = b.now
	if isSlow {
		f.limit = min(f.limit, max(minLimit, b.fetchesInFlight()+1))
	}
	f.limit = max(min(minLimit, f.limit), factor*f.limit)
}
