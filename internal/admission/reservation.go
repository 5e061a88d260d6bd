package admission

import "math"

const (
	// minAdmissionRetryAfterMillis is the shortest retry-after: a client that returns sooner costs
	// more than it gains.
	minAdmissionRetryAfterMillis = 20
	// retryAfterJitter is the greatest share by which a retry-after is randomly lengthened, so that
	// clients rejected at the same time do not return at the same time.
	retryAfterJitter = 0.05
	// A reservation expires reservationGraceMillis after its retry-after multiplied by
	// reservationExpiryFactor.
	reservationGraceMillis  = 500
	reservationExpiryFactor = 1.25
	// earlyToleranceMillis is how early a client may return: clocks and network delays differ.
	earlyToleranceMillis = 15
	// workEpsilon is the reserved work below which it counts as 0, to absorb rounding errors.
	workEpsilon = 1e-6
	// retryAfterGain is the gain of the moving average of a tenant's retry-after times.
	retryAfterGain = 0.1
)

// reservation is rejected work that is expected to return when its retry-after is over.
type reservation struct {
	identity         uint64 // of tenant, key and class
	flow             int32
	dueAt            float64 // ms
	retryAfterMillis float64 // ends at dueAt
	cost             float64 // ms
}

// reservationTable holds the unclaimed reservations in fixed memory.
type reservationTable struct {
	entries    []reservation
	free       []int32
	byIdentity map[uint64]int32
	expiry     heap // ordered by when they expire
}

func newReservationTable(size int) reservationTable {
	return reservationTable{
		entries:    make([]reservation, size),
		free:       descendingStack(size),
		byIdentity: make(map[uint64]int32, size),
		expiry:     newHeap(size),
	}
}

// add stores a reservation and reports whether it did. It does not if the table is full or the same
// request already has one.
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

// remove removes a reservation and returns it.
func (t *reservationTable) remove(i int32) reservation {
	r := t.entries[i]
	delete(t.byIdentity, r.identity)
	t.expiry.remove(i)
	t.free = append(t.free, i)
	return r
}

// claim is the relation of a request to its reservation from an earlier rejection.
type claim struct {
	// retryAfterMillis is the retry-after of that rejection if the reservation is due; otherwise 0.
	retryAfterMillis float64
	// rejectedAt is the time of that rejection.
	rejectedAt float64
	// earlyMillis is the time left until the reservation is due; 0 = it is due, or there is none.
	earlyMillis float64
}

func (c claim) isDue() bool { return c.retryAfterMillis > 0 }

// reject rejects a request. Its retry-after ends when its tenant's share is expected to be free:
// after all queued requests and all reservations of the tenant, so that clients rejected at the
// same time do not return at the same time.
func (a *Admission) reject(id uint32, flowIndex int32, cost float64, identity uint64) {
	stats := &a.flows[flowIndex].stats
	stats.Rejected++
	jitter := 1 + retryAfterJitter*a.rng.Float64()
	retryAfter := max(minAdmissionRetryAfterMillis, a.expectedWait(flowIndex, math.Inf(1))*jitter)
	stats.RetryAfterMillis = updateAverage(stats.RetryAfterMillis, retryAfter, retryAfterGain)
	if retryAfter <= a.cfg.MaxRetryAfterMillis {
		a.reserve(identity, flowIndex, retryAfter, cost)
	}
	a.recentRejections.add(identity, a.now)
	a.host.Reject(id, retryAfter)
}

// reserve stores a reservation for a retry-after, unless the table is full.
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

// claimReservation looks up a request's reservation, and releases it if it is due.
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

// releaseReservation removes a reservation and updates its flow.
func (a *Admission) releaseReservation(i int32) {
	r := a.reservations.remove(i)
	f := &a.flows[r.flow]
	wasActive := f.isActive()
	// Reservations become due approximately in the order in which they were made, so the next one
	// is not due before this one.
	f.reservationsDueFrom = max(f.reservationsDueFrom, r.dueAt)
	f.reservedWork -= r.cost
	if f.reservedWork < workEpsilon {
		f.reservedWork = 0
	}
	a.updateWeights(r.flow, wasActive)
	a.retire(r.flow)
}

// expireReservations releases the reservations whose clients have not returned.
func (a *Admission) expireReservations() {
	expiry := &a.reservations.expiry
	for expiry.len() > 0 && expiry.firstKey() <= a.now {
		a.releaseReservation(expiry.first())
		a.returnStats.recordNoReturn()
	}
}
