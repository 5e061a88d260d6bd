package admission

// arrival is a request at the door, with what is known of it.
type arrival struct {
	request      Request
	flow         int32
	cost         float64 // thought, ms
	identity     uint64  // of tenant, key and class
	isRetry      bool    // marked as one, or its like was rejected lately
	isGuaranteed bool    // within its tenant's guaranteed rate
	hasFreeShare bool    // it is due, and its tenant's share is free
	claim
}

// Arrive takes a request at the door. It is admitted, rejected or has to wait; the Host is told.
func (a *Admission) Arrive(now float64, q Request) {
	a.advance(now)
	in := a.newArrival(q)
	if a.waiting == 0 && a.hasCapacity(in.cost) && len(a.freeRecords) > 0 { // nobody is held back
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

// newArrival tells whose request it is, what it costs and what its client was told before, and books that it came.
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

// rejectOnArrival rejects a request that may not wait, whatever the wait would be, and tells whether it did. A retry that
// may wait is taken from its tenant's retry budget.
func (a *Admission) rejectOnArrival(in *arrival) bool {
	f := &a.flows[in.flow]
	needsToken := in.isRetry && !in.isDue()
	if in.earlyMillis > 0 { // it gains nothing by coming early, and what it was told holds
		f.stats.Rejected++
		f.stats.RejectedEarly++
		a.host.Reject(in.request.ID, in.earlyMillis)
		return true
	}
	if needsToken && !in.isGuaranteed && f.retryTokens < 1 && f.waiting > 0 { // within its share a tenant may retry as it likes
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

// allowedWait is how long a request may wait, so that what remains of its deadline suffices for an answer. One that came
// when it was told may wait for longer: while there is a fair chance it is given one.
func (a *Admission) allowedWait(in *arrival) float64 {
	remaining := in.request.RemainingMillis
	latency := a.costs.latencyByClass[in.request.Class]
	if !in.isDue() {
		return min(a.cfg.MaxWaitMillis, remaining/2, remaining-1.5*latency)
	}
	allowed := min(a.cfg.MaxWaitMillis, remaining-latency)
	if in.hasFreeShare { // it goes next, so that a moment will do
		allowed = max(allowed, min(a.cfg.MaxWaitMillis, remaining/4))
	}
	return allowed
}
