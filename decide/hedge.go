package decide

const (
	// minServiceMillis is the shortest assumed service time of a unit of work.
	minServiceMillis = 5
	// minSoftTimeoutWork is the least work that a soft timeout allows for. Hints are inaccurate,
	// and they omit the part of the service time that does not depend on the work.
	minSoftTimeoutWork = 0.5
	// minSoftTimeoutFactor is the smallest soft timeout, as a multiple of the expected time.
	minSoftTimeoutFactor = 1.2
	// maxSoftTimeoutFactor is the largest soft timeout, as a multiple of the expected time. It is
	// used if it leaves nextAttemptFactor times the expected time for another attempt.
	maxSoftTimeoutFactor = 3
	nextAttemptFactor    = 1.5
	// unknownServerTimeoutShare is the smallest soft timeout at a server that is probed or has no
	// known latency, as a share of the remaining time. Such a server answers over a new connection,
	// perhaps from another zone, and would stay ejected if its probes were ended early.
	unknownServerTimeoutShare = 0.75
	// overtakenTimeoutFactor is the next soft timeout of an attempt that is overtaken, or is a
	// fetch, as a multiple of the time since its send.
	overtakenTimeoutFactor = 0.5

	// lostShareWeight is the EWMA weight of an overtaken attempt in the lost share: about five
	// attempts.
	lostShareWeight = 0.2
	// cancelLostShare is the lost share from which an overtaken attempt is canceled at once.
	cancelLostShare = 0.5
	// lostShareDecay multiplies the lost share for each attempt canceled at once, as its answer is
	// never seen. After a few of them, one is waited for again.
	lostShareDecay = 0.97
)

// softTimeoutMillis returns the soft timeout of an attempt at a cache server: when it is hedged or
// canceled.
func (b *Balancer) softTimeoutMillis(r *request, s *server) float64 {
	service := max(s.load.latencyPerWork.floor, b.serviceTime.mean/2, minServiceMillis)
	expected := service*max(minSoftTimeoutWork, r.work) + b.expectedWaitMillis(s)
	remaining := r.objectiveAt - b.now
	timeoutMillis := max(minSoftTimeoutFactor*expected,
		min(maxSoftTimeoutFactor*expected, remaining-nextAttemptFactor*expected))
	if s.health.isEjected || s.load.latencyPerWork.value == 0 {
		timeoutMillis = max(timeoutMillis, unknownServerTimeoutShare*remaining)
	}
	return timeoutMillis
}

// softTimeoutExpired handles an expired soft timeout: the attempt is hedged, or canceled for a
// retry. A server that has answered other attempts since this one was sent is not suspected.
func (b *Balancer) softTimeoutExpired(r *request, number int) {
	if number >= len(r.attempts) || r.attempts[number].hasEnded {
		return
	}
	a := &r.attempts[number]
	isFetch := a.server == b.membership.origin
	if b.now >= r.objectiveAt && !isFetch {
		if r.class.LateWeight == 0 && b.mayCancel(r) {
			b.host.Cancel(r.ID, number) // its answer would be worth nothing, and it delays other requests
		}
		return
	}
	if isFetch || a.server.health.lastReplyAt >= a.sentAt {
		b.overtakenSoftTimeoutExpired(r, number)
		return
	}
	if !r.isServerFetch {
		b.recordStall(r, a.server)
	}
	if b.retryBudget < 1 || r.inFlight > 1 {
		return
	}
	if b.cfg.HedgingAllowed {
		b.hedge(r)
	} else {
		b.cancelForRetry(r, number)
	}
}

// mayCancel reports whether an attempt of a request may be canceled and repeated.
func (b *Balancer) mayCancel(r *request) bool {
	return b.cfg.CancelAllowed && r.class.Effect == Idempotent
}

// hedge sends a second attempt beside the first, if there is a server for it.
func (b *Balancer) hedge(r *request) {
	if s := b.pick(r); s != nil {
		b.retryBudget--
		b.send(r, s)
	}
}

// cancelForRetry cancels an attempt if another server can take the request in time. Otherwise a
// cancellation would cost a connection and gain nothing. The end of the attempt leads to a retry.
func (b *Balancer) cancelForRetry(r *request, number int) {
	r.inFlight-- // pick must decide as if the attempt had ended
	s := b.pick(r)
	r.inFlight++
	if s != nil && b.mayCancel(r) {
		b.host.Cancel(r.ID, number)
	} else if r.class.LateWeight == 0 && b.now < r.objectiveAt {
		b.host.SetTimer(r.objectiveAt-b.now, attemptToken(r.ID, number))
	}
}

// overtakenSoftTimeoutExpired handles an expired soft timeout of a fetch, or of an attempt whose
// server has answered other attempts since. The attempt is either lost or heavy. It gets half as
// much time again, unless most overtaken attempts were lost recently.
func (b *Balancer) overtakenSoftTimeoutExpired(r *request, number int) {
	a := &r.attempts[number]
	mayRetry := !b.cfg.HedgingAllowed && b.mayCancel(r) && b.retryBudget >= 1
	if mayRetry && a.server.health.latestAnsweredSentAt > a.sentAt && b.recordOvertaken(a) {
		if a.server != b.membership.origin {
			r.preferredServer = a.server
		}
		b.host.Cancel(r.ID, number)
		return
	}
	b.host.SetTimer(overtakenTimeoutFactor*(b.now-a.sentAt), attemptToken(r.ID, number))
}

// recordOvertaken records the expired soft timeout of an attempt that later ones have overtaken. It
// reports whether the attempt counts as lost: at the second expiry, or at the first if most were
// lost.
func (b *Balancer) recordOvertaken(a *attempt) bool {
	isSecondTime := a.wasOvertaken
	areMostLost := b.lostShare > cancelLostShare
	a.wasOvertaken = true
	if isSecondTime {
		b.lostShare += lostShareWeight * (1 - b.lostShare)
	} else if areMostLost {
		b.lostShare *= lostShareDecay
	}
	return isSecondTime || areMostLost
}

// recordOvertakenAnswer records that an overtaken attempt was answered.
func (b *Balancer) recordOvertakenAnswer() { b.lostShare -= lostShareWeight * b.lostShare }

// recordStall records the expired soft timeout of an attempt at a server that has not replied to
// anything since the send. That detects a fault about a second before the timeout. If servers
// rarely get requests from this router, the key of a stalled request has most likely caused the
// long queue itself, and is counted as hotter than the arrivals show.
func (b *Balancer) recordStall(r *request, s *server) {
	r.key.arrivals.add(b.now, b.keyTimeConstantMillis(), b.lowTrafficFactor())
	b.recordWait(s, r.class.LatencyObjectiveMillis)
	s.health.unanswered++
	s.health.acceptedShare *= stalledAcceptedFactor
	b.eject(s, true)
}
