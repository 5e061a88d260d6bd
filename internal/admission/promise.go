package admission

import "math"

const (
	minRetryAfterMillis = 20
	// retryAfterJitter is the greatest share by which a retry-after is drawn out.
	retryAfterJitter = 0.05
	// A promise is forgotten when it is overdue by promiseGraceMillis and a quarter of its retry-after.
	promiseGraceMillis   = 500
	promiseExpiryFactor  = 1.25
	earlyToleranceMillis = 15 // by which a client may be early: clocks and the network
	// workEpsilon is promised work that is nothing: what is left of sums and differences by rounding.
	workEpsilon = 1e-6
	// toldGain is the share by which the average of a tenant's retry-after times follows each.
	toldGain = 0.1
)

// promise is a retry-after that a client was told.
type promise struct {
	identity   uint64 // tenant, key and class
	flow       int32
	dueAt      float64
	retryAfter float64 // ms, before that
	cost       float64
}

// promiseTable holds the promises that are not yet redeemed, in fixed memory.
type promiseTable struct {
	entries    []promise
	free       []int32
	byIdentity map[uint64]int32
	expiry     heap
}

func newPromiseTable(size int) promiseTable {
	return promiseTable{
		entries:    make([]promise, size),
		free:       descending(size),
		byIdentity: make(map[uint64]int32, size),
		expiry:     newHeap(size),
	}
}

// add books a promise, and tells whether it did: it does not where the table is full or the client was told before.
func (t *promiseTable) add(p promise, expiresAt float64) bool {
	if _, ok := t.byIdentity[p.identity]; ok || len(t.free) == 0 {
		return false
	}
	last := len(t.free) - 1
	i := t.free[last]
	t.free = t.free[:last]
	t.entries[i] = p
	t.byIdentity[p.identity] = i
	t.expiry.set(i, expiresAt)
	return true
}

// remove takes a promise out.
func (t *promiseTable) remove(i int32) promise {
	p := t.entries[i]
	delete(t.byIdentity, p.identity)
	t.expiry.remove(i)
	t.free = append(t.free, i)
	return p
}

// redemption is what a client that comes was told before.
type redemption struct {
	retryAfter float64 // after how many ms it was to come, where it is due; 0 = it is not
	rejectedAt float64 // when it was told
	early      float64 // by how many ms it comes too early; 0 = it does not
}

func (r redemption) isDue() bool { return r.retryAfter > 0 }

// reject rejects a request and tells when its tenant's share is free: behind all that it has waiting, and behind all
// others of its own that were told to come back before, so that those who are rejected together do not return together.
func (a *Admission) reject(id uint32, flowIndex int32, cost float64, identity uint64) {
	count := &a.flows[flowIndex].count
	count.Refused++
	jitter := 1 + retryAfterJitter*a.rng.Float64()
	retryAfter := max(minRetryAfterMillis, a.waitFor(flowIndex, math.Inf(1))*jitter)
	count.Told = follow(count.Told, retryAfter, toldGain)
	if retryAfter <= a.cfg.MaxAfterMS {
		a.promise(identity, flowIndex, retryAfter, cost)
	}
	a.rejections.add(identity, a.now)
	a.host.Reject(id, retryAfter)
}

// promise remembers a retry-after, while there is room.
func (a *Admission) promise(identity uint64, flowIndex int32, retryAfter, cost float64) {
	p := promise{
		identity:   identity,
		flow:       flowIndex,
		dueAt:      a.now + retryAfter,
		retryAfter: max(retryAfter, minRetryAfterMillis),
		cost:       cost,
	}
	if !a.promises.add(p, a.now+retryAfter*promiseExpiryFactor+promiseGraceMillis) {
		return
	}
	f := &a.flows[flowIndex]
	wasActive := f.isActive()
	if f.promisedWork == 0 {
		f.promisesDueFrom = p.dueAt
	}
	f.promisedWork += cost
	a.updateWeights(flowIndex, wasActive)
}

// redeem looks for what a client was told, and ends the promise where it is due.
func (a *Admission) redeem(identity uint64) redemption {
	i, ok := a.promises.byIdentity[identity]
	if !ok {
		return redemption{}
	}
	p := a.promises.entries[i]
	if early := p.dueAt - a.now; early > earlyToleranceMillis {
		return redemption{early: early}
	}
	a.forget(i)
	a.returns.came()
	return redemption{retryAfter: p.retryAfter, rejectedAt: p.dueAt - p.retryAfter}
}

// forget ends a promise.
func (a *Admission) forget(i int32) {
	p := a.promises.remove(i)
	f := &a.flows[p.flow]
	wasActive := f.isActive()
	f.promisesDueFrom = max(f.promisesDueFrom, p.dueAt) // they fall due in the order in which they were told, or nearly
	f.promisedWork -= p.cost
	if f.promisedWork < workEpsilon {
		f.promisedWork = 0
	}
	a.updateWeights(p.flow, wasActive)
	a.retire(p.flow)
}

// expirePromises forgets the promises whose clients have not come.
func (a *Admission) expirePromises() {
	expiry := &a.promises.expiry
	for expiry.len() > 0 && expiry.firstKey() <= a.now {
		a.forget(expiry.first())
		a.returns.stayedAway()
	}
}
