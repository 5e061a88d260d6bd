package admission

// maxChargeFactor bounds what a request is charged, in multiples of what it was thought to cost.
const maxChargeFactor = 8

// Ended tells what became of a request that was admitted.
func (a *Admission) Ended(now float64, e End) {
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
		a.flows[r.flow].count.Served++
	}
	if e.Refused {
		a.countRejectedInside(&r, e)
	}
	if e.Served && e.Latency > 0 && e.Work > 0 {
		a.observe(&r, e)
	}
	a.settleCharge(&r, e)
	a.admitWaiting()
}

// countRejectedInside books a request that was admitted and that the Balancer rejected for want of capacity. A retry has
// little time left: that it is rejected says nothing of capacity.
func (a *Admission) countRejectedInside(r *record, e End) {
	count := &a.flows[r.flow].count
	hadAttempt := e.Attempts > 0
	count.Turned++
	if hadAttempt {
		count.After++
	}
	switch {
	case r.isRetry:
	case hadAttempt:
		a.limiter.originRejects++
	default:
		a.limiter.overloadRejects++
	}
	a.rejections.add(r.identity, a.now)
}

// observe learns from the latency and the work of a request that was served. What takes long for its size says nothing
// of overload.
func (a *Admission) observe(r *record, e End) {
	a.costs.observeLatency(r.class, e.Latency)
	if r.size+e.Size > sizeUnitBytes {
		return
	}
	a.limiter.observeStretch(e.Latency / a.cfg.Classes[r.class].Cost)
	a.costs.observeWork(r.class, e.Work)
}

// settleCharge charges a flow what a request has cost in place of what was thought: its time with servers, and the bytes
// that went through.
func (a *Admission) settleCharge(r *record, e End) {
	cost := r.cost / sizeFactor(r.size)
	actual := min(e.Work+cost*float64(r.size+e.Size)/sizeUnitBytes, maxChargeFactor*r.cost)
	if e.Attempts == 0 {
		actual = 0
	}
	a.correct(r.flow, actual-r.cost)
	a.flows[r.flow].count.Work += actual - r.cost
}

// Gone tells that a client has disconnected; what it waited for is dropped.
func (a *Admission) Gone(now float64, id uint32) {
	a.advance(now)
	if i, ok := a.byID[id]; ok && a.records[i].isQueued {
		a.flows[a.records[i].flow].count.Left++
		a.drop(i)
	}
	a.admitWaiting()
}
