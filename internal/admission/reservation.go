package admission

import "math"

const (
	// minAdmissionRetryAfterMillis is the shortest retry-after: a client that is sent back sooner costs more
	// than it gains.
	minAdmissionRetryAfterMillis = 20
	// retryAfterJitter is the greatest share by which a retry-after is lengthened at random, so that
	// clients rejected together do not return together.
	retryAfterJitter = 0.05
	// A reservation expires when it is overdue by reservationGraceMillis and by the part of its
	// retry-after that reservationExpiryFactor is above 1.
	reservationGraceMillis  = 500
	reservationExpiryFactor = 1.25
	// earlyToleranceMillis is by how much a client may be early: clocks and the network differ.
	earlyToleranceMillis = 15
	// workEpsilon is reserved work that counts as none: what rounding leaves of sums and differences.
	workEpsilon = 1e-6
	// retryAfterGain is the share by which the average of a tenant's retry-after times follows each.
	retryAfterGain = 0.1
)

// reservation is work that was rejected with a retry-after and is expected back at that time.
type reservation struct {
	identity         uint64 // of tenant, key and class
	flow             int32
	dueAt            float64 // ms
	retryAfterMillis float64 // before dueAt
	cost             float64 // ms
}

// reservationTable holds the reservations that are not claimed yet, in fixed memory.
type reservationTable struct {
	entries    []reservation
	free       []int32
	byIdentity map[uint64]int32
	expiry     heap // by when they are forgotten
}

func newReservationTable(size int) reservationTable {
	return reservationTable{
		entries:    make([]reservation, size),
		free:       descending(size),
		byIdentity: make(map[uint64]int32, size),
		expiry:     newHeap(size),
	}
}

// add stores a reservation, and reports whether it did: it does not where the table is full or the
// same request has one already.
func (t *reservationTable) add(r reservation, expiresAt float64) bool {
	if _, ok := t.byIdentity[r.identity]; ok || len(t.free) == 0 {
		return false
	}
	last := len(t.free) - 1
	i := t.free[last]
	t.free = t.free[:last]
	t.entries[i] = r
	t.byIdentity[r.identity] = i
	t.expiry.set(i, expiresAt)
	return true
}

// remove takes a reservation out.
func (t *reservationTable) remove(i int32) reservation {
	r := t.entries[i]
	delete(t.byIdentity, r.identity)
	t.expiry.remove(i)
	t.free = append(t.free, i)
	return r
}

// claim is what a request has of an earlier rejection.
type claim struct {
	// retryAfterMillis is the retry-after of that rejection, where it is due; 0 = it is not.
	retryAfterMillis float64
	// rejectedAt is when that was.
	rejectedAt float64
	// earlyMillis is by how much the request comes before its time; 0 = it does not.
	earlyMillis float64
}

func (c claim) isDue() bool { return c.retryAfterMillis > 0 }

// reject rejects a request. Its retry-after is when its tenant's share is free: behind all that it
// has waiting, and behind all reservations of its own, so that those who are rejected together do
// not return together.
func (a *Admission) reject(id uint32, flowIndex int32, cost float64, identity uint64) {
	stats := &a.flows[flowIndex].stats
	stats.Rejected++
	jitter := 1 + retryAfterJitter*a.rng.Float64()
	retryAfter := max(minAdmissionRetryAfterMillis, a.waitFor(flowIndex, math.Inf(1))*jitter)
	stats.RetryAfterMillis = follow(stats.RetryAfterMillis, retryAfter, retryAfterGain)
	if retryAfter <= a.cfg.MaxRetryAfterMillis {
		a.reserve(identity, flowIndex, retryAfter, cost)
	}
	a.recentRejections.add(identity, a.now)
	a.host.Reject(id, retryAfter)
}

// reserve remembers a retry-after, unless the table is full.
func (a *Admission) reserve(identity uint64, flowIndex int32, retryAfter, cost float64) {
	r := reservation{
		identity:         identity,
		flow:             flowIndex,
		dueAt:            a.now + retryAfter,
		retryAfterMillis: max(retryAfter, minAdmissionRetryAfterMillis),
		cost:             cost,
	}
	if !a.reservations.add(r, a.now+retryAfter*reservationExpiryFactor+reservationGraceMillis) {
		return
	}
	f := &a.flows[flowIndex]
	wasActive := f.isActive()
	if f.reservedWork == 0 {
		f.reservationsDueFrom = r.dueAt
	}
	f.reservedWork += cost
	a.updateWeights(flowIndex, wasActive)
}

// claimReservation looks for a request's reservation, and ends it where it is due.
func (a *Admission) claimReservation(identity uint64) claim {
	i, ok := a.reservations.byIdentity[identity]
	if !ok {
		return claim{}
	}
	r := a.reservations.entries[i]
	if early := r.dueAt - a.now; early > earlyToleranceMillis {
		return claim{earlyMillis: early}
	}
	a.releaseReservation(i)
	a.returnStats.recordReturn()
	return claim{retryAfterMillis: r.retryAfterMillis, rejectedAt: r.dueAt - r.retryAfterMillis}
}

// releaseReservation ends a reservation.
func (a *Admission) releaseReservation(i int32) {
	r := a.reservations.remove(i)
	f := &a.flows[r.flow]
	wasActive := f.isActive()
	// Reservations fall due nearly in the order in which they were made: with this one out, the
	// next is not due before it.
	f.reservationsDueFrom = max(f.reservationsDueFrom, r.dueAt)
	f.reservedWork -= r.cost
	if f.reservedWork < workEpsilon {
		f.reservedWork = 0
	}
	a.updateWeights(r.flow, wasActive)
	a.retire(r.flow)
}

// expireReservations forgets the reservations whose clients have not returned.
func (a *Admission) expireReservations() {
	expiry := &a.reservations.expiry
	for expiry.len() > 0 && expiry.firstKey() <= a.now {
		a.releaseReservation(expiry.first())
		a.returnStats.recordNoReturn()
	}
}
