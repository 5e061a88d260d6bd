package admission

// arrival is a newly arrived request with the data that the decision on it needs.
type arrival struct {
	request Request
	flow    int32
	// cost is the estimated work, in ms.
	cost float64
	// identity is a hash of tenant, key and class.
	identity uint64
	// isRetry reports whether the request is marked as a retry, or an identical one was recently
	// rejected.
	isRetry bool
	// isGuaranteed reports whether the request is within its tenant's guaranteed rate.
	isGuaranteed bool
	// hasFreeShare reports whether its reservation is due and its tenant's share is free.
	hasFreeShare bool
	claim
}

// Arrive decides on a new request: it is admitted, rejected or queued. The Host is notified of an
// admission or a rejection before Arrive returns.
func (a *Admission) Arrive(nowMillis float64, req Request) {
	a.advance(nowMillis)
	incoming := a.newArrival(req)
	hasContention := a.waiting > 0 || !a.hasCapacity(incoming.cost)
	if !hasContention && len(a.freeRecords) > 0 {
		if incoming.earlyMillis > 0 {
			a.releaseReservation(a.reservations.byIdentity[incoming.identity])
		}
		a.admit(a.newRecord(&incoming))
		return
	}
	if a.rejectOnArrival(&incoming) {
		return
	}
	allowed := a.allowedWait(&incoming)
	wait := a.expectedWait(incoming.flow, max(0, allowed))
	if incoming.isGuaranteed {
		wait = min(wait, (a.guaranteedBacklog+incoming.cost)/a.workRate())
	}
	if allowed <= 0 || !incoming.isDue() && wait > allowed {
		a.reject(req.ID, incoming.flow, incoming.cost, incoming.identity)
		return
	}
	a.enqueue(a.newRecord(&incoming), a.now+allowed, incoming.isDue())
	a.admitWaiting()
}

// newArrival looks up a request's tenant, cost and reservation, and updates the statistics.
func (a *Admission) newArrival(req Request) arrival {
	flowIndex, hash := a.findFlow(req.Tenant)
	f := &a.flows[flowIndex]
	f.stats.Requests++
	incoming := arrival{request: req, flow: flowIndex}
	incoming.cost = a.costs.estimate(req.Class) * sizeFactor(req.SizeBytes)
	incoming.identity = combinedHash(hash, req.Key, uint64(req.Class))
	incoming.isRetry = req.IsRetry || a.recentRejections.has(incoming.identity, a.now)
	incoming.claim = a.claimReservation(incoming.identity)
	incoming.hasFreeShare = incoming.isDue() && f.waiting == 0 && f.finishTag <= a.queueOf(f).virtualTime
	if incoming.isDue() {
		a.returnStats.returned++
	}
	if incoming.hasFreeShare {
		a.returnStats.returnedWithinShare++
	}
	if !incoming.isRetry && !incoming.isDue() {
		f.retryTokens = min(a.cfg.RetryBudgetBurst, f.retryTokens+a.cfg.RetryBudgetShare)
	}
	f.refillGuarantee(a.now)
	incoming.isGuaranteed = f.guaranteedTokens >= 1
	return incoming
}

// rejectOnArrival rejects a request that must not be queued however short its wait would be, and
// reports whether it did. A retry that may be queued uses a token of its tenant's retry budget.
func (a *Admission) rejectOnArrival(incoming *arrival) bool {
	f := &a.flows[incoming.flow]
	needsToken := incoming.isRetry && !incoming.isDue()
	if incoming.earlyMillis > 0 { // returning early gains nothing: the client gets the rest of its retry-after
		f.stats.Rejected++
		f.stats.RejectedEarly++
		a.host.Reject(incoming.request.ID, incoming.earlyMillis)
		return true
	}
	// A tenant that has no queued request is within its share, and may retry without a token.
	if needsToken && !incoming.isGuaranteed && f.retryTokens < 1 && f.waiting > 0 {
		f.stats.RejectedRetries++
		a.reject(incoming.request.ID, incoming.flow, incoming.cost, incoming.identity)
		return true
	}
	isFull := a.waiting >= a.cfg.QueueLimit
	if len(a.freeRecords) == 0 || isFull && !a.evictFor(incoming.flow) {
		a.reject(incoming.request.ID, incoming.flow, incoming.cost, incoming.identity)
		return true
	}
	if needsToken {
		f.retryTokens = max(0, f.retryTokens-1)
	}
	return false
}

// Shares of a request's remaining time that it may spend in the queue.
const (
	// waitShareOfRemaining leaves a new request at least as much time for its attempts as for its
	// wait.
	waitShareOfRemaining = 1. / 2
	// reservedWaitShareOfRemaining applies to a request whose reservation is due and whose tenant's
	// share is free: it is admitted next, so a short wait is enough.
	reservedWaitShareOfRemaining = 1. / 4
	// latencyReserve is the remaining time that a new request must have after its wait, in
	// multiples of the recent latency of its class.
	latencyReserve = 1.5
)

// allowedWait returns how long a request may be queued, in ms, so that the rest of its remaining
// time is enough for an answer. A request that returns when its retry-after is over may wait
// longer, as long as an answer in time is likely.
func (a *Admission) allowedWait(incoming *arrival) float64 {
	remaining := incoming.request.RemainingMillis
	latency := a.costs.latencyByClass[incoming.request.Class]
	if !incoming.isDue() {
		return min(a.cfg.MaxWaitMillis, remaining*waitShareOfRemaining, remaining-latencyReserve*latency)
	}
	allowed := min(a.cfg.MaxWaitMillis, remaining-latency)
	if incoming.hasFreeShare {
		allowed = max(allowed, min(a.cfg.MaxWaitMillis, remaining*reservedWaitShareOfRemaining))
	}
	return allowed
}
