package admission

// maxChargeFactor bounds what a request is charged, as a multiple of its estimated cost.
const maxChargeFactor = 8

// RequestEnded processes the outcome of an admitted request.
func (a *Admission) RequestEnded(nowMillis float64, outcome Outcome) {
	a.advance(nowMillis)
	i, ok := a.byID[outcome.ID]
	if !ok || a.records[i].isQueued {
		return
	}
	r := a.records[i]
	a.release(i)
	a.limiter.release(r.slots)
	if len(a.byID) == a.waiting { // no request is in progress: clear the rounding error
		a.limiter.inUse = 0
	}
	if !r.isRetry {
		a.limiter.ended++
	}
	if outcome.Served {
		a.flows[r.flow].stats.Served++
	}
	if outcome.Rejected {
		a.countDownstreamRejection(&r, outcome)
	}
	if outcome.Served && outcome.LatencyMillis > 0 && outcome.WorkMillis > 0 {
		a.observeServed(&r, outcome)
	}
	a.settleCharge(&r, outcome)
	a.admitWaiting()
}

// countDownstreamRejection counts an admitted request that the Balancer rejected for lack of
// capacity. Retries do not count for the concurrency limit: they have little time left, so their
// rejection is no evidence of a lack of capacity.
func (a *Admission) countDownstreamRejection(r *record, outcome Outcome) {
	count := &a.flows[r.flow].stats
	hadAttempt := outcome.Attempts > 0
	count.RejectedDownstream++
	if hadAttempt {
		count.RejectedAfterAttempt++
	}
	switch {
	case r.isRetry:
	case hadAttempt:
		a.limiter.originRejects++
	default:
		a.limiter.overloadRejects++
	}
	a.recentRejections.add(r.identity, a.now)
}

// observeServed updates the cost model with a served request, and the limiter with its stretch. A
// large answer takes long even without overload, so it only updates the latency averages.
func (a *Admission) observeServed(r *record, outcome Outcome) {
	a.costs.observeLatency(r.class, outcome.LatencyMillis)
	if r.sizeBytes+outcome.ResponseBytes > sizeUnitBytes {
		return
	}
	a.limiter.observeStretch(outcome.LatencyMillis / a.cfg.Classes[r.class].CostMillis)
	a.costs.observeWork(r.class, outcome.WorkMillis)
}

// settleCharge replaces the estimated cost that a flow was charged for a request by the actual
// cost: the duration of its attempts and the bytes transferred.
func (a *Admission) settleCharge(r *record, outcome Outcome) {
	cost := r.cost / sizeFactor(r.sizeBytes)
	transferred := float64(r.sizeBytes + outcome.ResponseBytes)
	actual := min(outcome.WorkMillis+cost*transferred/sizeUnitBytes, maxChargeFactor*r.cost)
	if outcome.Attempts == 0 {
		actual = 0
	}
	a.adjustCharge(r.flow, actual-r.cost)
	a.flows[r.flow].stats.WorkMillis += actual - r.cost
}

// ClientDisconnected removes a request from the queue after its client has disconnected.
func (a *Admission) ClientDisconnected(nowMillis float64, id uint32) {
	a.advance(nowMillis)
	if i, ok := a.byID[id]; ok && a.records[i].isQueued {
		a.flows[a.records[i].flow].stats.Disconnected++
		a.dropQueued(i)
	}
	a.admitWaiting()
}
