package admission

import "math"

// record is a queued or admitted request.
type record struct {
	id         uint32
	flow       int32
	class      int32
	next, prev int32 // in the list of its flow
	cost       float64
	sizeBytes  int
	// identity is a hash of tenant, key and class.
	identity uint64
	// slots is the part of the concurrency limit that it occupies while it is admitted.
	slots    float64
	list     uint8
	isQueued bool
	// isRetry reports whether the client has sent the request before.
	isRetry bool

	// hadFreeShare reports whether its tenant's share was free when it arrived.
	hadFreeShare bool
	// retryAfterMillis is the retry-after of its earlier rejection; 0 = it has no reservation.
	retryAfterMillis float64
	// rejectedAt is the time of that rejection.
	rejectedAt float64
}

// newRecord initializes a free record for a request and returns its index.
func (a *Admission) newRecord(incoming *arrival) int32 {
	last := len(a.freeRecords) - 1
	i := a.freeRecords[last]
	a.freeRecords = a.freeRecords[:last]
	list := uint8(ordinaryList)
	switch {
	case incoming.isGuaranteed:
		list = guaranteedList
		a.flows[incoming.flow].guaranteedTokens--
	case a.cfg.Classes[incoming.request.Class].HasPriority:
		list = priorityList
	}
	a.records[i] = record{
		id:               incoming.request.ID,
		flow:             incoming.flow,
		class:            int32(incoming.request.Class),
		next:             noIndex,
		prev:             noIndex,
		cost:             incoming.cost,
		sizeBytes:        incoming.request.SizeBytes,
		identity:         incoming.identity,
		list:             list,
		isRetry:          incoming.isRetry || incoming.isDue(),
		hadFreeShare:     incoming.hasFreeShare,
		retryAfterMillis: incoming.retryAfterMillis,
		rejectedAt:       incoming.rejectedAt,
	}
	a.byID[incoming.request.ID] = i
	a.flows[incoming.flow].open++
	return i
}

// release frees a record.
func (a *Admission) release(i int32) {
	r := &a.records[i]
	delete(a.byID, r.id)
	a.freeRecords = append(a.freeRecords, i)
	a.flows[r.flow].open--
	a.retire(r.flow)
}

// enqueue adds a request to its flow's queue, until expiresAt at the latest. A request whose
// reservation is due is placed before the others of its tenant.
func (a *Admission) enqueue(i int32, expiresAt float64, isAhead bool) {
	r := &a.records[i]
	f := &a.flows[r.flow]
	wasActive := f.isActive()
	a.linkRecord(i, isAhead)
	f.waiting++
	f.backlog += r.cost
	a.waiting++
	a.expiry.set(i, expiresAt)
	a.updateWeights(r.flow, wasActive)
	if r.list == guaranteedList {
		a.guaranteedBacklog += r.cost
		if !a.guaranteed.has(r.flow) {
			a.guaranteed.set(r.flow, a.now)
		}
	}
	if f.waiting == 1 {
		a.markReady(r.flow)
	}
	a.queueOf(f).longest.set(r.flow, -f.backlog/f.weight)
}

// linkRecord adds a record to its flow's list, at the head if isAhead is set.
func (a *Admission) linkRecord(i int32, isAhead bool) {
	r := &a.records[i]
	f := &a.flows[r.flow]
	head, tail := &f.head[r.list], &f.tail[r.list]
	r.isQueued = true
	switch {
	case *tail == noIndex:
		*head = i
		*tail = i
	case isAhead:
		r.next = *head
		a.records[r.next].prev = i
		*head = i
	default:
		r.prev = *tail
		a.records[r.prev].next = i
		*tail = i
	}
}

// dequeue removes a request from its flow's queue.
func (a *Admission) dequeue(i int32) {
	r := &a.records[i]
	f := &a.flows[r.flow]
	wasActive := f.isActive()
	a.unlinkRecord(i)
	f.waiting--
	a.waiting--
	if r.list == guaranteedList {
		a.releaseGuaranteed(r)
	}
	f.backlog -= r.cost
	if f.waiting == 0 {
		f.backlog = 0
		a.unmarkReady(r.flow)
		a.queueOf(f).longest.remove(r.flow)
	} else {
		a.queueOf(f).longest.set(r.flow, -f.backlog/f.weight)
	}
	a.expiry.remove(i)
	a.updateWeights(r.flow, wasActive)
}

// unlinkRecord removes a record from its flow's list.
func (a *Admission) unlinkRecord(i int32) {
	r := &a.records[i]
	f := &a.flows[r.flow]
	if r.prev != noIndex {
		a.records[r.prev].next = r.next
	} else {
		f.head[r.list] = r.next
	}
	if r.next != noIndex {
		a.records[r.next].prev = r.prev
	} else {
		f.tail[r.list] = r.prev
	}
	r.next = noIndex
	r.prev = noIndex
	r.isQueued = false
}

// releaseGuaranteed subtracts a dequeued request from the guaranteed backlog.
func (a *Admission) releaseGuaranteed(r *record) {
	a.guaranteedBacklog -= r.cost
	if a.flows[r.flow].head[guaranteedList] == noIndex {
		a.guaranteed.remove(r.flow)
	}
	if a.guaranteed.len() == 0 { // clear the rounding error
		a.guaranteedBacklog = 0
	}
}

// dropQueued removes a queued request without a decision.
func (a *Admission) dropQueued(i int32) {
	a.dequeue(i)
	a.release(i)
}

// rejectQueued removes a queued request and rejects it.
func (a *Admission) rejectQueued(i int32) {
	r := a.records[i]
	a.dropQueued(i)
	a.reject(r.id, r.flow, r.cost, r.identity)
}

// expireWaiting rejects the queued requests whose maximum wait is over.
func (a *Admission) expireWaiting() {
	for a.expiry.len() > 0 && a.expiry.firstKey() <= a.now {
		a.rejectQueued(a.expiry.first())
	}
}

// evictFor rejects the newest request of the flow with the longest wait for its share, to make room
// in a full queue. It reports whether it did: a flow's own requests are not evicted for it, and
// guaranteed requests are never evicted.
func (a *Admission) evictFor(flowIndex int32) bool {
	longest := a.longestWaiting()
	if longest == noIndex || longest == flowIndex {
		return false
	}
	f := &a.flows[longest]
	newest := f.tail[ordinaryList]
	if newest == noIndex {
		newest = f.tail[priorityList]
	}
	if newest == noIndex {
		return false
	}
	a.rejectQueued(newest)
	return true
}

// longestWaiting returns the flow with the longest wait for its share, or noIndex.
func (a *Admission) longestWaiting() int32 {
	longest := noIndex
	greatest := 0.0
	for _, queue := range [...]*fairQueue{&a.top, &a.unnamed} {
		if queue.longest.len() == 0 {
			continue
		}
		i := queue.longest.first()
		if wait := a.flows[i].backlog / a.share(i); wait > greatest {
			longest = i
			greatest = wait
		}
	}
	return longest
}

// admitWaiting admits queued requests while the concurrency limit allows it.
func (a *Admission) admitWaiting() {
	for a.waiting > 0 {
		i := a.nextQueued()
		if !a.hasCapacity(a.records[i].cost) {
			return
		}
		a.dequeue(i)
		a.admit(i)
	}
}

// hasCapacity reports whether the concurrency limit allows another request of this cost.
func (a *Admission) hasCapacity(cost float64) bool {
	return a.limiter.inUse+a.limiter.slots(cost, a.costs.mean) <= a.limiter.limit
}

// admit admits a request and charges its flow.
func (a *Admission) admit(i int32) {
	r := &a.records[i]
	f := &a.flows[r.flow]
	a.charge(r.flow, r.cost)
	r.slots = a.limiter.slots(r.cost, a.costs.mean)
	a.limiter.acquire(r.slots)
	a.costs.observeAdmission(r.cost)
	f.recentWork = f.recentWork*math.Exp((f.recentWorkAt-a.now)/rateTimeConstantMillis) + r.cost
	f.recentWorkAt = a.now
	f.stats.Admitted++
	f.stats.WorkMillis += r.cost
	if r.retryAfterMillis > 0 {
		a.returnStats.recordAdmitted(a.now-r.rejectedAt, r.retryAfterMillis, r.hadFreeShare)
	}
	a.host.Admit(r.id)
}
