package decide

const (
	// housekeepingIntervalMillis is the time between two housekeeping runs.
	housekeepingIntervalMillis = 100
	// housekeepingToken is the token of the housekeeping timer. Other tokens contain a request ID
	// and the number of an attempt.
	housekeepingToken = 1 << 63

	// attemptBits is the number of low bits of a token that contain an attempt's number plus one; 0
	// there means the request itself.
	attemptBits = 8
	attemptMask = 1<<attemptBits - 1
)

// waitToken returns the token of the timer that ends a request's wait for the origin.
func waitToken(requestID uint32) uint64 { return uint64(requestID) << attemptBits }

// attemptToken returns the token of an attempt's soft timeout.
func attemptToken(requestID uint32, number int) uint64 {
	return waitToken(requestID) | uint64(number+1)
}

// TimerExpired handles an expired timer.
func (b *Balancer) TimerExpired(now float64, token uint64) {
	b.beginEvent(now)
	if token == housekeepingToken {
		b.housekeep()
		return
	}
	r := b.requests[uint32(token>>attemptBits)]
	if r == nil || r.isAnswered {
		return
	}
	if numberPlusOne := int(token & attemptMask); numberPlusOne > 0 {
		b.softTimeoutExpired(r, numberPlusOne-1)
	} else if r.waitingSinceAt > 0 && r.inFlight == 0 {
		b.rejectOrFail(r, causeWaited)
	}
	b.resumeWaiting()
}

// housekeep performs the periodic work: it recomputes the placement, polls discovery, closes idle
// connections and sends health checks.
func (b *Balancer) housekeep() {
	b.host.SetTimer(housekeepingIntervalMillis, housekeepingToken)
	b.solveIfDue()
	b.pollDiscovery()
	b.visitServers()
}

// visitServers closes idle connections and sends health checks, beginning at the server to check next.
// It visits all servers only while the idle timeout is shortened; otherwise it ends with the budget of
// health checks.
func (b *Balancer) visitServers() {
	caches := b.membership.caches
	first := b.healthChecks.next
	for i := range caches {
		if !b.mayCheckHealth() && !b.isIdleTimeoutShortened() {
			return
		}
		s := caches[(first+i)%len(caches)]
		b.closeIfIdle(s)
		if b.checkIfDue(s) {
			b.healthChecks.next = first + i + 1
		}
	}
}
