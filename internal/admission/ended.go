package admission

// maxChargeFactor bounds what a request is charged, in multiples of what it was thought to cost.
const maxChargeFactor = 8

// Ended tells what became of a request that was admitted.
func (a *Admission) Ended(now float64, e Outcome) {
	a.advance(now)
	i, ok := a.byID[e.ID]
	if !ok || a.records[i].isQueued {
		return
	}
	r := a.records[i]
	a.release(i)
	a.limiter.release(r.slots)
	if len(a.byID) == a.waiting { // nothing is in work: no rounding is left over
		a.limiter.inUse = 0
	}
	if !r.isRetry {
		a.limiter.ended++
	}
	if e.Served {
		a.flows[r.flow].stats.Served++
	}
	if e.Rejected {
		a.countDownstreamRejection(&r, e)
	}
	if e.Served && e.LatencyMillis > 0 && e.WorkMillis > 0 {
		a.observe(&r, e)
	}
	a.settleCharge(&r, e)
	a.admitWaiting()
}

// countDownstreamRejection books a request that was admitted and that the Balancer rejected for want of capacity. A retry has
// little time left: that it is rejected says nothing of capacity.
func (a *Admission) countDownstreamRejection(r *record, e Outcome) {
	count := &a.flows[r.flow].stats
	hadAttempt := e.Attempts > 0
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

// observe learns from the latency and the work of a request that was served. What takes long for its size says nothing
// of overload.
func (a *Admission) observe(r *record, e Outcome) {
	a.costs.observeLatency(r.class, e.LatencyMillis)
	if r.size+e.ResponseBytes > sizeUnitBytes {
		return
	}
	a.limiter.observeStretch(e.LatencyMillis / a.cfg.Classes[r.class].CostMillis)
	a.costs.observeWork(r.class, e.WorkMillis)
}

// settleCharge charges a flow what a request has cost in place of what was thought: its time with servers, and the bytes
// that went through.
func (a *Admission) settleCharge(r *record, e Outcome) {
	cost := r.cost / sizeFactor(r.size)
	actual := min(e.WorkMillis+cost*float64(r.size+e.ResponseBytes)/sizeUnitBytes, maxChargeFactor*r.cost)
	if e.Attempts == 0 {
		actual = 0
	}
	a.correct(r.flow, actual-r.cost)
	a.flows[r.flow].stats.WorkMillis += actual - r.cost
}

// Disconnected tells that a client has disconnected; what it waited for is dropped.
func (a *Admission) Disconnected(now float64, id uint32) {
	a.advance(now)
	if i, ok := a.byID[id]; ok && a.records[i].isQueued {
		a.flows[a.records[i].flow].stats.Disconnected++
		a.dropQueued(i)
	}
	a.admitWaiting()
}
