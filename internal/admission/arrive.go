package admission

// arrival is a request that has just arrived, with what is known of it.
type arrival struct {
	request Request
	flow    int32
	// cost is the estimated work, in ms.
	cost float64
	// identity is a hash of tenant, key and class.
	identity uint64
	// isRetry tells that it is marked as a retry, or its like was rejected lately.
	isRetry bool
	// isGuaranteed tells that it is within its tenant's guaranteed rate.
	isGuaranteed bool
	// hasFreeShare tells that its reservation is due and its tenant's share is free.
	hasFreeShare bool
	claim
}

// Arrive decides on a new request: it is admitted, rejected or queued. The Host is notified of an
// admission or a rejection before Arrive returns.
func (a *Admission) Arrive(nowMillis float64, q Request) {
	a.advance(nowMillis)
	in := a.newArrival(q)
	hasContention := a.waiting > 0 || !a.hasCapacity(in.cost)
	if !hasContention && len(a.freeRecords) > 0 {
		if in.earlyMillis > 0 {
			a.releaseReservation(a.reservations.byIdentity[in.identity])
		}
		a.admit(a.newRecord(&in))
		return
	}
	if a.rejectOnArrival(&in) {
		return
	}
	allowed := a.allowedWait(&in)
	wait := a.waitFor(in.flow, max(0, allowed))
	if in.isGuaranteed {
		wait = min(wait, (a.guaranteedBacklog+in.cost)/a.pace())
	}
	if allowed <= 0 || !in.isDue() && wait > allowed {
		a.reject(q.ID, in.flow, in.cost, in.identity)
		return
	}
	a.enqueue(a.newRecord(&in), a.now+allowed, in.isDue())
	a.admitWaiting()
}

// newArrival finds out whose request it is, what it costs and whether it has a reservation, and counts
// it.
func (a *Admission) newArrival(q Request) arrival {
	flowIndex, hash := a.find(q.Tenant)
	f := &a.flows[flowIndex]
	f.stats.Requests++
	in := arrival{request: q, flow: flowIndex}
	in.cost = a.costs.estimate(q.Class) * sizeFactor(q.SizeBytes)
	in.identity = combinedHash(hash, q.Key, uint64(q.Class))
	in.isRetry = q.IsRetry || a.recentRejections.has(in.identity, a.now)
	in.claim = a.claimReservation(in.identity)
	in.hasFreeShare = in.isDue() && f.waiting == 0 && f.finishTag <= a.queueOf(f).virtualTime
	if in.isDue() {
		a.returnStats.returned++
	}
	if in.hasFreeShare {
		a.returnStats.returnedWithinShare++
	}
	if !in.isRetry && !in.isDue() {
		f.retryTokens = min(a.cfg.RetryBudgetBurst, f.retryTokens+a.cfg.RetryBudgetShare)
	}
	f.refillGuarantee(a.now)
	in.isGuaranteed = f.guaranteedTokens >= 1
	return in
}

// rejectOnArrival rejects a request that may not wait, however short the wait would be, and reports
// whether it did. A retry that may wait is taken from its tenant's retry budget.
func (a *Admission) rejectOnArrival(in *arrival) bool {
	f := &a.flows[in.flow]
	needsToken := in.isRetry && !in.isDue()
	if in.earlyMillis > 0 { // it gains nothing by coming early, and its retry-after stays
		f.stats.Rejected++
		f.stats.RejectedEarly++
		a.host.Reject(in.request.ID, in.earlyMillis)
		return true
	}
	// Within its share, while none of its requests wait, a tenant may retry as it likes.
	if needsToken && !in.isGuaranteed && f.retryTokens < 1 && f.waiting > 0 {
		f.stats.RejectedRetries++
		a.reject(in.request.ID, in.flow, in.cost, in.identity)
		return true
	}
	isFull := a.waiting >= a.cfg.QueueLimit
	if len(a.freeRecords) == 0 || isFull && !a.evictFor(in.flow) {
		a.reject(in.request.ID, in.flow, in.cost, in.identity)
		return true
	}
	if needsToken {
		f.retryTokens = max(0, f.retryTokens-1)
	}
	return false
}

// Parts of a request's remaining time that it may wait.
const (
	// waitShareOfRemaining leaves a new request at least as much time for its attempts as for its
	// wait.
	waitShareOfRemaining = 1. / 2
	// reservedWaitShareOfRemaining is for a request that is due and whose tenant's share is free: it
	// goes next, so that a short wait suffices.
	reservedWaitShareOfRemaining = 1. / 4
	// latencyReserve is how many of its class's latencies a new request must have left after its
	// wait.
	latencyReserve = 1.5
)

// allowedWait is how long a request may wait, in ms, so that what remains of its deadline suffices
// for an answer. One that has returned when its retry-after was over may wait for longer, as long as
// an answer in time is likely.
func (a *Admission) allowedWait(in *arrival) float64 {
	remaining := in.request.RemainingMillis
	latency := a.costs.latencyByClass[in.request.Class]
	if !in.isDue() {
		return min(a.cfg.MaxWaitMillis, remaining*waitShareOfRemaining, remaining-latencyReserve*latency)
	}
	allowed := min(a.cfg.MaxWaitMillis, remaining-latency)
	if in.hasFreeShare {
		allowed = max(allowed, min(a.cfg.MaxWaitMillis, remaining*reservedWaitShareOfRemaining))
	}
	return allowed
}
