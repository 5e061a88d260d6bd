package admission

import "math"

const (
	minRetryAfterMillis = 20
	// retryAfterJitter is the greatest share by which a retry-after is drawn out.
	retryAfterJitter = 0.05
	// A promise is forgotten when it is overdue by promiseGraceMillis and a quarter of its retry-after.
	reservationGraceMillis  = 500
	reservationExpiryFactor = 1.25
	earlyToleranceMillis    = 15 // by which a client may be early: clocks and the network
	// workEpsilon is promised work that is nothing: what is left of sums and differences by rounding.
	workEpsilon = 1e-6
	// retryAfterGain is the share by which the average of a tenant's retry-after times follows each.
	retryAfterGain = 0.1
)

// reservation is a retry-after that a client was told.
type reservation struct {
	identity   uint64 // tenant, key and class
	flow       int32
	dueAt      float64
	retryAfter float64 // ms, before that
	cost       float64
}

// reservationTable holds the promises that are not yet redeemed, in fixed memory.
type reservationTable struct {
	entries    []reservation
	free       []int32
	byIdentity map[uint64]int32
	expiry     heap
}

func newReservationTable(size int) reservationTable {
	return reservationTable{
		entries:    make([]reservation, size),
		free:       descending(size),
		byIdentity: make(map[uint64]int32, size),
		expiry:     newHeap(size),
	}
}

// add books a promise, and tells whether it did: it does not where the table is full or the client was told before.
func (t *reservationTable) add(p reservation, expiresAt float64) bool {
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
func (t *reservationTable) remove(i int32) reservation {
	p := t.entries[i]
	delete(t.byIdentity, p.identity)
	t.expiry.remove(i)
	t.free = append(t.free, i)
	return p
}

// claim is what a client that comes was told before.
type claim struct {
	retryAfter  float64 // after how many ms it was to come, where it is due; 0 = it is not
	rejectedAt  float64 // when it was told
	earlyMillis float64 // by how many ms it comes too early; 0 = it does not
}

func (r claim) isDue() bool { return r.retryAfter > 0 }

// reject rejects a request and tells when its tenant's share is free: behind all that it has waiting, and behind all
// others of its own that were told to come back before, so that those who are rejected together do not return together.
func (a *Admission) reject(id uint32, flowIndex int32, cost float64, identity uint64) {
	count := &a.flows[flowIndex].stats
	count.Rejected++
	jitter := 1 + retryAfterJitter*a.rng.Float64()
	retryAfter := max(minRetryAfterMillis, a.waitFor(flowIndex, math.Inf(1))*jitter)
	count.RetryAfterMillis = follow(count.RetryAfterMillis, retryAfter, retryAfterGain)
	if retryAfter <= a.cfg.MaxRetryAfterMillis {
		a.reserve(identity, flowIndex, retryAfter, cost)
	}
	a.recentRejections.add(identity, a.now)
	a.host.Reject(id, retryAfter)
}

// reserve remembers a retry-after, while there is room.
func (a *Admission) reserve(identity uint64, flowIndex int32, retryAfter, cost float64) {
	p := reservation{
		identity:   identity,
		flow:       flowIndex,
		dueAt:      a.now + retryAfter,
		retryAfter: max(retryAfter, minRetryAfterMillis),
		cost:       cost,
	}
	if !a.reservations.add(p, a.now+retryAfter*reservationExpiryFactor+reservationGraceMillis) {
		return
	}
	f := &a.flows[flowIndex]
	wasActive := f.isActive()
	if f.reservedWork == 0 {
		f.reservationsDueFrom = p.dueAt
	}
	f.reservedWork += cost
	a.updateWeights(flowIndex, wasActive)
}

// claimReservation looks for what a client was told, and ends the promise where it is due.
func (a *Admission) claimReservation(identity uint64) claim {
	i, ok := a.reservations.byIdentity[identity]
	if !ok {
		return claim{}
	}
	p := a.reservations.entries[i]
	if early := p.dueAt - a.now; early > earlyToleranceMillis {
		return claim{earlyMillis: early}
	}
	a.releaseReservation(i)
	a.returnStats.recordReturn()
	return claim{retryAfter: p.retryAfter, rejectedAt: p.dueAt - p.retryAfter}
}

// releaseReservation ends a promise.
func (a *Admission) releaseReservation(i int32) {
	p := a.reservations.remove(i)
	f := &a.flows[p.flow]
	wasActive := f.isActive()
	f.reservationsDueFrom = max(f.reservationsDueFrom, p.dueAt) // they fall due in the order in which they were told, or nearly
	f.reservedWork -= p.cost
	if f.reservedWork < workEpsilon {
		f.reservedWork = 0
	}
	a.updateWeights(p.flow, wasActive)
	a.retire(p.flow)
}

// expireReservations forgets the promises whose clients have not come.
func (a *Admission) expireReservations() {
	expiry := &a.reservations.expiry
	for expiry.len() > 0 && expiry.firstKey() <= a.now {
		a.releaseReservation(expiry.first())
		a.returnStats.recordNoReturn()
	}
}
